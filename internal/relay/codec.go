// This file encodes and decodes the messages between processes, and rejects malformed ones.
// Gossiped records, requests to compare them and confirmations are in records_codec.go, messages about
// where flows are held in flow_search_codec.go.

package relay

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// maxUptime is the longest uptime in a status. Longer uptimes are encoded as this value.
const maxUptime = time.Hour

// Encode returns the wire form of a message to another process. Times in the message are encoded as
// ages relative to now.
func Encode(now time.Time, message handshake.Message) ([]byte, error) {
	encoded, err := proto.Marshal(envelopeOf(now, message))
	return encoded, fault.Wrap(fault.Internal, err, "encode %T", message)
}

func envelopeOf(now time.Time, message handshake.Message) *burlmillv1.HandshakeMessage {
	switch m := message.(type) {
	case handshake.Status:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Status{Status: encodeStatus(m)}}
	case handshake.Offer:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Offer{Offer: &burlmillv1.HandshakeOffer{
			Service: string(m.Service), Version: uint64(m.Version), Waiting: m.MoreQueued,
			ColdBound: m.ColdLimit, Datagram: m.Bytes}}}
	case handshake.ReservationRequest:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Await{Await: &burlmillv1.HandshakeAwait{
			Service: string(m.Service)}}}
	case handshake.ReservationGranted:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Reserved{Reserved: &burlmillv1.HandshakeReserved{
			Load: encodeLoad(m.Load)}}}
	case handshake.ReservationReleased:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Declined{Declined: &burlmillv1.HandshakeDeclined{}}}
	case handshake.Accepted:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Accepted{Accepted: &burlmillv1.HandshakeAccepted{
			Key: encodeKey(m.Key), Number: m.Number, Load: encodeLoad(m.Load)}}}
	case handshake.Refused:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Refused{Refused: &burlmillv1.HandshakeRefused{
			Key: encodeKey(m.Key), Reason: uint32(m.Reason), Load: encodeLoad(m.Load)}}}
	case handshake.Forward:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Forward{Forward: &burlmillv1.HandshakeForward{
			Datagram: m.Bytes}}}
	case handshake.NotHeld:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_NotHeld{NotHeld: &burlmillv1.HandshakeNotHeld{
			Tried: m.ByBackend, Gone: m.Closed, Datagram: m.Bytes}}}
	case handshake.FlowQuery:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Locate{Locate: &burlmillv1.HandshakeLocate{
			Key: encodeKey(m.Key), Confirms: m.Confirms}}}
	case handshake.FlowQueryAnswer:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Located{Located: &burlmillv1.HandshakeLocated{
			Key: encodeKey(m.Key), Holding: uint32(m.Holding), Location: encodeOptionalAddress(m.Location)}}}
	case handshake.StoreLocations:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_StoreLocations{
			StoreLocations: encodeStoreLocations(m)}}
	case handshake.Hint:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Hint{Hint: &burlmillv1.HandshakeHint{
			Key: encodeKey(m.Key), Agent: encodeOptionalAddress(m.Agent)}}}
	case handshake.Search:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Search{Search: &burlmillv1.HandshakeSearch{
			Key: encodeKey(m.Key), Confirms: m.Confirms, Agents: encodeAddresses(m.Agents),
			Datagram: m.Datagram, Question: m.RequestNumber}}}
	case handshake.SearchAnswer:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Found{Found: encodeSearchAnswer(m)}}
	case handshake.SummaryRequest:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Summarize{Summarize: &burlmillv1.HandshakeSummarize{
			Census: m.Round}}}
	case handshake.FlowSummary:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Digest{Digest: &burlmillv1.HandshakeDigest{
			Census: m.Round, Filter: m.Filter, MayHold: m.MayHold}}}
	case handshake.Records:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Records{Records: encodeRecords(now, m)}}
	case handshake.CompareRequest:
		return &burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Compare{Compare: &burlmillv1.HandshakeCompare{
			First: encodePart(m.First), Hashes: m.Digests}}}
	default:
		return &burlmillv1.HandshakeMessage{}
	}
}

// Decode parses a message that was received from another process at now. Errors are of kind
// fault.Invalid. With an error of type *Skipped it returns the message without its malformed list
// entries. A list that is only correct as a whole makes the message malformed.
func Decode(now time.Time, encoded []byte) (handshake.Message, error) {
	envelope := &burlmillv1.HandshakeMessage{}
	if err := proto.Unmarshal(encoded, envelope); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decode message of %d bytes", len(encoded))
	}
	switch body := envelope.GetBody().(type) {
	case *burlmillv1.HandshakeMessage_Status:
		return decodeStatus(body.Status)
	case *burlmillv1.HandshakeMessage_Offer:
		return handshake.Offer{Service: catalog.ServiceName(body.Offer.GetService()),
			Version: routing.Version(body.Offer.GetVersion()), MoreQueued: body.Offer.GetWaiting(),
			ColdLimit: body.Offer.GetColdBound(), Bytes: body.Offer.GetDatagram()}, nil
	case *burlmillv1.HandshakeMessage_Await:
		return handshake.ReservationRequest{Service: catalog.ServiceName(body.Await.GetService())}, nil
	case *burlmillv1.HandshakeMessage_Reserved:
		return handshake.ReservationGranted{Load: decodeLoad(body.Reserved.GetLoad())}, nil
	case *burlmillv1.HandshakeMessage_Declined:
		return handshake.ReservationReleased{}, nil
	case *burlmillv1.HandshakeMessage_Accepted:
		key, err := decodeKey(body.Accepted.GetKey())
		return handshake.Accepted{Key: key, Number: body.Accepted.GetNumber(),
			Load: decodeLoad(body.Accepted.GetLoad())}, err
	case *burlmillv1.HandshakeMessage_Refused:
		return decodeRefused(body.Refused)
	case *burlmillv1.HandshakeMessage_Forward:
		return handshake.Forward{Bytes: body.Forward.GetDatagram()}, nil
	case *burlmillv1.HandshakeMessage_NotHeld:
		return handshake.NotHeld{ByBackend: body.NotHeld.GetTried(), Closed: body.NotHeld.GetGone(),
			Bytes: body.NotHeld.GetDatagram()}, nil
	case *burlmillv1.HandshakeMessage_Locate:
		key, err := decodeKey(body.Locate.GetKey())
		return handshake.FlowQuery{Key: key, Confirms: body.Locate.GetConfirms()}, err
	case *burlmillv1.HandshakeMessage_Located:
		return decodeFlowQueryAnswer(body.Located)
	case *burlmillv1.HandshakeMessage_Hint:
		return decodeHint(body.Hint)
	case *burlmillv1.HandshakeMessage_Search:
		return decodeSearch(body.Search)
	case *burlmillv1.HandshakeMessage_Found:
		return decodeSearchAnswer(body.Found)
	case *burlmillv1.HandshakeMessage_Summarize:
		return handshake.SummaryRequest{Round: body.Summarize.GetCensus()}, nil
	case *burlmillv1.HandshakeMessage_Digest:
		return decodeFlowSummary(body.Digest)
	case *burlmillv1.HandshakeMessage_Records:
		return decodeRecords(now, body.Records)
	case *burlmillv1.HandshakeMessage_Compare:
		return decodeCompareRequest(body.Compare)
	case *burlmillv1.HandshakeMessage_StoreLocations:
		return decodeStoreLocations(body.StoreLocations)
	default:
		return nil, fault.New(fault.Invalid, "message of %d bytes has no known body", len(encoded))
	}
}

func encodeStatus(status handshake.Status) *burlmillv1.HandshakeStatus {
	encoded := &burlmillv1.HandshakeStatus{
		Id:           status.ID,
		Role:         uint32(status.Role),
		Zone:         string(status.Zone),
		Region:       status.Region,
		Incarnation:  status.Incarnation,
		Service:      string(status.Service),
		Backend:      status.Backend,
		Version:      uint64(status.Version),
		Leaving:      status.ShuttingDown,
		IntervalMs:   uint32(status.Interval.Milliseconds()),
		Subscribe:    status.Subscribe,
		HoldsNothing: status.Drained,
		UptimeMs:     uint32(min(status.Uptime, maxUptime).Milliseconds()),
		Present:      status.Records.RunningCount,
		RecordsHash:  status.Records.Hash,
	}
	if status.Load != (handshake.Load{}) {
		encoded.Load = encodeLoad(status.Load)
	}
	encoded.Peers = encodeAddresses(status.Peers)
	encoded.Confirmations = encodeConfirmations(status.Confirmations)
	encoded.Evacuations = encodeEvacuations(status.Evacuations)
	return encoded
}

// decodeRefused accepts unknown reasons up to 255, which newer versions may send.
func decodeRefused(encoded *burlmillv1.HandshakeRefused) (handshake.Message, error) {
	if encoded.GetReason() > math.MaxUint8 {
		return nil, fault.InvalidField("reason", encoded.GetReason(), "must be at most 255")
	}
	key, err := decodeKey(encoded.GetKey())
	return handshake.Refused{Key: key, Reason: handshake.RefusalReason(encoded.GetReason()),
		Load: decodeLoad(encoded.GetLoad())}, err
}

func decodeStatus(encoded *burlmillv1.HandshakeStatus) (handshake.Message, error) {
	if encoded.GetRole() > uint32(presence.RoleAgent) {
		return nil, fault.InvalidField("role", encoded.GetRole(), fmt.Sprintf("must be at most %d", presence.RoleAgent))
	}
	status := handshake.Status{
		ID:           encoded.GetId(),
		Role:         presence.Role(encoded.GetRole()),
		Zone:         catalog.ZoneName(encoded.GetZone()),
		Region:       encoded.GetRegion(),
		Incarnation:  encoded.GetIncarnation(),
		Service:      catalog.ServiceName(encoded.GetService()),
		Backend:      encoded.GetBackend(),
		Load:         decodeLoad(encoded.GetLoad()),
		Version:      routing.Version(encoded.GetVersion()),
		ShuttingDown: encoded.GetLeaving(),
		Interval:     time.Duration(encoded.GetIntervalMs()) * time.Millisecond,
		Subscribe:    encoded.GetSubscribe(),
		Drained:      encoded.GetHoldsNothing(),
		Uptime:       time.Duration(encoded.GetUptimeMs()) * time.Millisecond,
		Records:      handshake.RecordsDigest{RunningCount: encoded.GetPresent(), Hash: encoded.GetRecordsHash()},
	}
	skipped := Skipped{}
	status.Peers = decodeEach(encoded.GetPeers(), decodeAddress, &skipped)
	status.Confirmations = decodeEach(encoded.GetConfirmations(), decodeConfirmation, &skipped)
	evacuations, err := decodeEvacuations(encoded.GetEvacuations())
	if err != nil {
		skipped.Add("", err)
	} else {
		status.Evacuations = evacuations
	}
	return status, skipped.Err()
}

// decodeEach decodes the entries of a list and adds the malformed ones to skipped.
func decodeEach[E, T any](encoded []E, decode func(E) (T, error), skipped *Skipped) []T {
	var list []T
	for _, item := range encoded {
		decoded, err := decode(item)
		if err != nil {
			skipped.Add("", err)
			continue
		}
		list = append(list, decoded)
	}
	return list
}

// encodeEvacuations returns nil for the zero set, which then takes no bytes on the wire.
func encodeEvacuations(set evacuation.Set) *burlmillv1.HandshakeEvacuations {
	if set.Revision() == 0 {
		return nil
	}
	encoded := &burlmillv1.HandshakeEvacuations{Revision: uint64(set.Revision())}
	for _, zone := range set.Zones() {
		encoded.Zones = append(encoded.Zones, string(zone))
	}
	return encoded
}

func decodeEvacuations(encoded *burlmillv1.HandshakeEvacuations) (evacuation.Set, error) {
	if encoded.GetRevision() == 0 {
		return evacuation.Set{}, nil // a set without a revision is older than any other
	}
	var zones []catalog.ZoneName
	for _, zone := range encoded.GetZones() {
		zones = append(zones, catalog.ZoneName(zone))
	}
	return evacuation.New(catalog.Revision(encoded.GetRevision()), zones...)
}

func encodeLoad(load handshake.Load) *burlmillv1.HandshakeLoad {
	return &burlmillv1.HandshakeLoad{
		Accepts: load.Accepts,
		Busy:    load.InFlight,
		Slots:   load.Slots,
		ColdMs:  uint32(load.Cold.Milliseconds()),
		Suspect: load.Suspect,
		Paced:   load.RateLimited,
	}
}

func decodeLoad(encoded *burlmillv1.HandshakeLoad) handshake.Load {
	return handshake.Load{
		Accepts:     encoded.GetAccepts(),
		InFlight:    encoded.GetBusy(),
		Slots:       encoded.GetSlots(),
		Cold:        time.Duration(encoded.GetColdMs()) * time.Millisecond,
		Suspect:     encoded.GetSuspect(),
		RateLimited: encoded.GetPaced(),
	}
}

func encodeKey(key flow.Key) *burlmillv1.HandshakeKey {
	return &burlmillv1.HandshakeKey{Caller: encodeAddress(key.Caller), Service: encodeAddress(key.Service)}
}

func decodeKey(encoded *burlmillv1.HandshakeKey) (flow.Key, error) {
	caller, err := decodeAddress(encoded.GetCaller())
	if err != nil {
		return flow.Key{}, err
	}
	service, err := decodeAddress(encoded.GetService())
	return flow.Key{Caller: caller, Service: service}, err
}

func encodeAddresses(addresses []netip.AddrPort) [][]byte {
	var encoded [][]byte
	for _, address := range addresses {
		encoded = append(encoded, encodeAddress(address))
	}
	return encoded
}

func decodeAddresses(encoded [][]byte) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, bytes := range encoded {
		address, err := decodeAddress(bytes)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// encodeOptionalAddress returns nil for the zero address, which then takes no bytes on the wire.
func encodeOptionalAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	return encodeAddress(address)
}

func decodeOptionalAddress(encoded []byte) (netip.AddrPort, error) {
	if len(encoded) == 0 {
		return netip.AddrPort{}, nil
	}
	return decodeAddress(encoded)
}

func encodeAddress(address netip.AddrPort) []byte {
	encoded, _ := address.MarshalBinary() // never returns an error
	return encoded
}

func decodeAddress(encoded []byte) (address netip.AddrPort, err error) {
	if err := address.UnmarshalBinary(encoded); err != nil || !address.IsValid() {
		return netip.AddrPort{}, fault.New(fault.Invalid, "address of %d bytes is not an IP address and port", len(encoded))
	}
	return address, nil
}
