// This file encodes and decodes gossiped records, requests to compare them, and confirmations of
// store watchers, and rejects malformed ones. Times are sent as ages, because the clocks of the
// machines differ.

package relay

import (
	"fmt"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/presence"
)

// maxAge is the longest age in a message. Longer ages are encoded as this value.
const maxAge = time.Hour

// encodeRecords stores each name once, since records share most of them, and refers to names by
// index.
func encodeRecords(now time.Time, records handshake.Records) *burlmillv1.HandshakeRecords {
	encoded := &burlmillv1.HandshakeRecords{}
	indexOfName := func(name string) uint32 {
		index := slices.Index(encoded.Names, name)
		if index < 0 {
			index = len(encoded.Names)
			encoded.Names = append(encoded.Names, name)
		}
		return uint32(index)
	}
	for _, record := range records.List {
		encoded.List = append(encoded.List, &burlmillv1.HandshakeRecord{
			Address:     encodeAddress(record.Address),
			Incarnation: record.Incarnation,
			Role:        uint32(record.Role),
			Zone:        indexOfName(string(record.Zone)),
			Region:      indexOfName(record.Region),
			Service:     indexOfName(string(record.Service)),
			UptimeMs:    encodeAge(now, record.StartedAt),
			Stage:       uint32(record.Stage),
			Gone:        record.Failed,
			AgeMs:       encodeAge(now, record.ObservedAt),
		})
	}
	for _, part := range records.Parts {
		encoded.Parts = append(encoded.Parts, encodePart(part))
	}
	return encoded
}

func encodeAge(now, since time.Time) uint32 {
	return uint32(min(max(0, now.Sub(since)), maxAge).Milliseconds())
}

func decodeRecords(now time.Time, encoded *burlmillv1.HandshakeRecords) (handshake.Message, error) {
	skipped := Skipped{}
	records := handshake.Records{
		List: decodeEach(encoded.GetList(), func(item *burlmillv1.HandshakeRecord) (presence.Record, error) {
			return decodeRecord(now, item, encoded.GetNames())
		}, &skipped),
		Parts: decodeEach(encoded.GetParts(), decodePart, &skipped),
	}
	return records, skipped.Err()
}

func decodeRecord(now time.Time, encoded *burlmillv1.HandshakeRecord, names []string) (presence.Record, error) {
	address, err := decodeAddress(encoded.GetAddress())
	if err != nil {
		return presence.Record{}, err
	}
	if role := encoded.GetRole(); role < uint32(presence.RoleBalancer) || role > uint32(presence.RoleAgent) {
		return presence.Record{}, fault.InvalidField("role", role, fmt.Sprintf("must be 1 to %d", presence.RoleAgent))
	}
	if stage := encoded.GetStage(); stage > uint32(presence.Drained) {
		return presence.Record{}, fault.InvalidField("stage", stage, fmt.Sprintf("must be at most %d", presence.Drained))
	}
	for _, index := range []uint32{encoded.GetZone(), encoded.GetRegion(), encoded.GetService()} {
		if int(index) >= len(names) {
			return presence.Record{}, fault.InvalidField("name", index,
				fmt.Sprintf("must be less than the number of names, %d", len(names)))
		}
	}
	return presence.Record{
		Address:     address,
		Incarnation: encoded.GetIncarnation(),
		Role:        presence.Role(encoded.GetRole()),
		Zone:        catalog.ZoneName(names[encoded.GetZone()]),
		Region:      names[encoded.GetRegion()],
		Service:     catalog.ServiceName(names[encoded.GetService()]),
		StartedAt:   now.Add(-time.Duration(encoded.GetUptimeMs()) * time.Millisecond),
		Stage:       presence.Stage(encoded.GetStage()),
		Failed:      encoded.GetGone(),
		ObservedAt:  now.Add(-time.Duration(encoded.GetAgeMs()) * time.Millisecond),
	}, nil
}

func encodePart(part presence.Part) *burlmillv1.HandshakePart {
	return &burlmillv1.HandshakePart{Bits: uint32(part.Bits), Prefix: part.Prefix}
}

func decodePart(encoded *burlmillv1.HandshakePart) (presence.Part, error) {
	if bits := encoded.GetBits(); bits > presence.MaxPartBits {
		return presence.Part{}, fault.InvalidField("bits", bits, fmt.Sprintf("must be at most %d", presence.MaxPartBits))
	}
	return presence.Part{Bits: uint8(encoded.GetBits()), Prefix: encoded.GetPrefix()}, nil
}

func decodeCompareRequest(encoded *burlmillv1.HandshakeCompare) (handshake.Message, error) {
	if count := len(encoded.GetHashes()); count > handshake.MaxPartsPerRequest {
		return nil, fault.InvalidField("hashes", count, fmt.Sprintf("must be at most %d", handshake.MaxPartsPerRequest))
	}
	first, err := decodePart(encoded.GetFirst())
	return handshake.CompareRequest{First: first, Digests: encoded.GetHashes()}, err
}

func encodeConfirmations(list []handshake.Confirmation) []*burlmillv1.HandshakeConfirmation {
	var encoded []*burlmillv1.HandshakeConfirmation
	for _, confirmation := range list {
		encoded = append(encoded, &burlmillv1.HandshakeConfirmation{Reader: encodeAddress(confirmation.Watcher),
			AgeMs: uint32(min(confirmation.Age, maxAge).Milliseconds()), Served: confirmation.Served})
	}
	return encoded
}

func decodeConfirmation(encoded *burlmillv1.HandshakeConfirmation) (handshake.Confirmation, error) {
	watcher, err := decodeAddress(encoded.GetReader())
	return handshake.Confirmation{Watcher: watcher, Age: time.Duration(encoded.GetAgeMs()) * time.Millisecond, Served: encoded.GetServed()}, err
}
