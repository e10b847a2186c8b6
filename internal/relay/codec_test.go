// The tests in this file guard against messages that change when they are encoded and decoded,
// against a decoder that panics on or accepts invalid input, and against growth of the encoded
// status.

package relay

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

var addressGenerator = rapid.Custom(func(t *rapid.T) netip.AddrPort {
	var octets [4]byte
	copy(octets[:], rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address"))
	return netip.AddrPortFrom(netip.AddrFrom4(octets), rapid.Uint16().Draw(t, "port"))
})

// codecNow is the time at which messages are encoded and decoded.
var codecNow = time.Unix(1_000_000, 0)

func drawKey(t *rapid.T) flow.Key {
	return flow.Key{Caller: addressGenerator.Draw(t, "caller"), Service: addressGenerator.Draw(t, "service")}
}

func drawLoad(t *rapid.T) handshake.Load {
	return handshake.Load{
		Accepts:     rapid.Bool().Draw(t, "accepts"),
		InFlight:    rapid.Uint32().Draw(t, "in flight"),
		Slots:       rapid.Uint32().Draw(t, "slots"),
		Cold:        time.Duration(rapid.Uint32().Draw(t, "cold")) * time.Millisecond,
		Suspect:     rapid.Bool().Draw(t, "suspect"),
		RateLimited: rapid.Bool().Draw(t, "rate limited"),
	}
}

func drawAddresses(t *rapid.T) []netip.AddrPort {
	return rapid.SliceOfN(addressGenerator, 1, 5).Draw(t, "addresses")
}

func drawStatus(t *rapid.T) handshake.Status {
	status := handshake.Status{
		Drained:      true,
		ID:           rapid.StringMatching("[a-z0-9-]{1,20}").Draw(t, "id"),
		Role:         presence.RoleAgent,
		Zone:         catalog.ZoneName(rapid.StringMatching("[a-z]{1,9}").Draw(t, "zone")),
		Region:       "saigon",
		Incarnation:  rapid.Uint64().Draw(t, "incarnation"),
		Service:      "lessons",
		Backend:      rapid.StringMatching("i-[0-9]{0,9}").Draw(t, "backend"),
		Load:         drawLoad(t),
		Version:      routing.Version(rapid.Uint64().Draw(t, "version")),
		ShuttingDown: rapid.Bool().Draw(t, "shutting down"),
		Interval:     time.Duration(rapid.Uint32().Draw(t, "interval")) * time.Millisecond,
		Subscribe:    rapid.Bool().Draw(t, "subscribe"),
		Uptime:       time.Duration(rapid.IntRange(0, 3_600_000).Draw(t, "uptime")) * time.Millisecond,
	}
	zones := rapid.SliceOfN(rapid.StringMatching("[a-z]{1,9}"), 0, 4).Draw(t, "evacuated zones")
	set, err := decodeEvacuations(&burlmillv1.HandshakeEvacuations{Revision: rapid.Uint64().Draw(t, "revision"), Zones: zones})
	if err != nil {
		t.Fatal(err)
	}
	if set.Revision() > 0 {
		status.Evacuations = set
	}
	for range rapid.IntRange(0, 3).Draw(t, "confirmations") {
		age := time.Duration(rapid.IntRange(0, 3_600_000).Draw(t, "age")) * time.Millisecond
		status.Confirmations = append(status.Confirmations, handshake.Confirmation{
			Watcher: addressGenerator.Draw(t, "watcher"), Age: age, Served: rapid.Bool().Draw(t, "served")})
	}
	status.Records = handshake.RecordsDigest{RunningCount: rapid.Uint32().Draw(t, "running count"), Hash: rapid.Uint32().Draw(t, "hash")}
	if peers := rapid.SliceOfN(addressGenerator, 0, 5).Draw(t, "peers"); len(peers) > 0 {
		status.Peers = peers
	}
	return status
}

func drawPart(t *rapid.T) presence.Part {
	return presence.Part{Bits: uint8(rapid.IntRange(0, presence.MaxPartBits).Draw(t, "bits")), Prefix: rapid.Uint32().Draw(t, "prefix")}
}

func drawRecords(t *rapid.T) handshake.Records {
	records := handshake.Records{}
	for range rapid.IntRange(1, 5).Draw(t, "records") {
		age := time.Duration(rapid.IntRange(0, 3_600_000).Draw(t, "age")) * time.Millisecond
		records.List = append(records.List, presence.Record{
			Address: addressGenerator.Draw(t, "address"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Role: presence.RoleAgent, Zone: catalog.ZoneName(rapid.StringMatching("[a-z]{1,9}").Draw(t, "zone")),
			Region: "saigon", Service: "lessons", StartedAt: codecNow.Add(-age), Stage: presence.Drained,
			Failed: rapid.Bool().Draw(t, "failed"), ObservedAt: codecNow.Add(-age / 2).Truncate(time.Millisecond)})
	}
	if rapid.Bool().Draw(t, "complete part") {
		records.Parts = append(records.Parts, drawPart(t))
	}
	return records
}

func drawStoreLocations(t *rapid.T) handshake.StoreLocations {
	message := handshake.StoreLocations{}
	for range rapid.IntRange(1, handshake.MaxLocationsPerMessage).Draw(t, "locations") {
		message.Locations = append(message.Locations, handshake.FlowLocation{Key: drawKey(t),
			Confirms: rapid.Uint32().Draw(t, "confirms"), Agent: addressGenerator.Draw(t, "agent")})
	}
	return message
}

func drawMessage(t *rapid.T) handshake.Message {
	datagram := rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "datagram")
	switch rapid.IntRange(0, 20).Draw(t, "kind") {
	case 0:
		return drawStatus(t)
	case 1:
		return handshake.Offer{Service: "lessons", Version: routing.Version(rapid.Uint64().Draw(t, "version")),
			MoreQueued: rapid.Bool().Draw(t, "more queued"), Bytes: datagram}
	case 2:
		return handshake.Accepted{Key: drawKey(t), Number: rapid.Uint32().Draw(t, "number"), Load: drawLoad(t)}
	case 3:
		return handshake.Refused{Key: drawKey(t), Reason: handshake.RefusedBusy, Load: drawLoad(t)}
	case 4:
		return handshake.Forward{Bytes: datagram}
	case 5:
		return handshake.NotHeld{ByBackend: rapid.Bool().Draw(t, "by backend"), Closed: rapid.Bool().Draw(t, "closed"), Bytes: datagram}
	case 6:
		return handshake.FlowQuery{Key: drawKey(t), Confirms: rapid.Uint32().Draw(t, "confirms")}
	case 7:
		return handshake.Hint{Key: drawKey(t)}
	case 8:
		return handshake.Hint{Key: drawKey(t), Agent: addressGenerator.Draw(t, "agent")}
	case 9:
		return handshake.ReservationRequest{Service: "lessons"}
	case 10:
		return handshake.ReservationGranted{Load: drawLoad(t)}
	case 11:
		return handshake.ReservationReleased{}
	case 12:
		return handshake.Search{Key: drawKey(t), Confirms: rapid.Uint32().Draw(t, "confirms"),
			Agents: drawAddresses(t), Datagram: datagram, RequestNumber: rapid.Uint32().Draw(t, "request number")}
	case 13:
		return handshake.SearchAnswer{Key: drawKey(t), Agent: addressGenerator.Draw(t, "agent"), PossibleHolders: drawAddresses(t),
			Unanswered: rapid.Uint32().Draw(t, "unanswered"), RequestNumber: rapid.Uint32().Draw(t, "request number")}
	case 14:
		return handshake.SummaryRequest{Round: rapid.Uint32().Draw(t, "round")}
	case 15:
		return handshake.FlowSummary{Round: rapid.Uint32().Draw(t, "round"), Filter: datagram, MayHold: rapid.Bool().Draw(t, "may hold")}
	case 16:
		return drawRecords(t)
	case 17:
		return handshake.CompareRequest{First: drawPart(t), Digests: rapid.SliceOfN(rapid.Uint32(), 1, 9).Draw(t, "digests")}
	case 18:
		return handshake.FlowQueryAnswer{Key: drawKey(t), Holding: handshake.HoldsPossibly, Location: addressGenerator.Draw(t, "location")}
	case 19:
		return drawStoreLocations(t)
	default:
		return handshake.FlowQueryAnswer{Key: drawKey(t), Holding: handshake.Holds}
	}
}

// TestMessagesRoundTrip checks that decoding an encoded message yields the same message.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		message := drawMessage(t)
		encoded, err := Encode(codecNow, message)
		is.NoErr(err)
		decoded, err := Decode(codecNow, encoded)
		is.NoErr(err)
		is.Equal(decoded, message)
	})
}

// TestDecodeCorruptedMessages checks that the decoder either accepts corrupted input or returns an
// error of kind fault.Invalid, and that it rejects input that is not a message and filters that are
// too long.
func TestDecodeCorruptedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		encoded, err := Encode(codecNow, drawMessage(t))
		is.New(t).NoErr(err)
		offset := rapid.IntRange(0, len(encoded)-1).Draw(t, "offset")
		encoded[offset] ^= rapid.ByteMin(1).Draw(t, "flipped bits")
		if _, err := Decode(codecNow, encoded); err != nil && fault.KindOf(err) != fault.Invalid {
			t.Fatalf("decode failed with an error of kind %v: %v", fault.KindOf(err), err)
		}
	})
	tooLong, err := Encode(codecNow, handshake.FlowSummary{Filter: make([]byte, handshake.MaxFilterBytes+1)})
	is.New(t).NoErr(err)
	for _, input := range [][]byte{nil, {}, {0xff}, make([]byte, 100), tooLong} {
		_, err := Decode(codecNow, input)
		is.New(t).Equal(fault.KindOf(err), fault.Invalid)
	}
}

// TestDecodeRejectsUnknownEnumValues guards against unknown enum values that become valid when they
// are truncated to one byte, and against an answer without a holding.
func TestDecodeRejectsUnknownEnumValues(t *testing.T) {
	key := encodeKey(testKey)
	for name, message := range map[string]*burlmillv1.HandshakeMessage{
		"role":       {Body: &burlmillv1.HandshakeMessage_Status{Status: &burlmillv1.HandshakeStatus{Role: 257}}},
		"no holding": {Body: &burlmillv1.HandshakeMessage_Located{Located: &burlmillv1.HandshakeLocated{Key: key}}},
		"holding":    {Body: &burlmillv1.HandshakeMessage_Located{Located: &burlmillv1.HandshakeLocated{Key: key, Holding: 257}}},
		"reason":     {Body: &burlmillv1.HandshakeMessage_Refused{Refused: &burlmillv1.HandshakeRefused{Key: key, Reason: 258}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := proto.Marshal(message)
			is.NoErr(err)
			_, err = Decode(codecNow, encoded)
			is.Equal(fault.KindOf(err), fault.Invalid)
		})
	}
}

// TestMalformedListEntryIsSkipped guards against one malformed entry of a list that hides the others,
// and against a message that is used although its list has to be complete.
func TestMalformedListEntryIsSkipped(t *testing.T) {
	address, odd := encodeAddress(testKey.Service), []byte{1, 2, 3}
	record := func(address []byte, role uint32) *burlmillv1.HandshakeRecord {
		return &burlmillv1.HandshakeRecord{Address: address, Role: role}
	}
	location := func(agent []byte) *burlmillv1.HandshakeLocation {
		return &burlmillv1.HandshakeLocation{Key: encodeKey(testKey), Agent: agent}
	}
	agent := uint32(presence.RoleAgent)
	entries := func(message handshake.Message) int {
		switch message := message.(type) {
		case handshake.Records:
			return len(message.List) + len(message.Parts)
		case handshake.Status:
			return len(message.Peers) + len(message.Confirmations) + len(message.Evacuations.Zones())
		case handshake.StoreLocations:
			return len(message.Locations)
		default:
			return 0
		}
	}
	for name, test := range map[string]struct {
		message *burlmillv1.HandshakeMessage
		left    int // entries left; 0: the message is malformed
	}{
		"address of a record": {&burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Records{Records: &burlmillv1.HandshakeRecords{Names: []string{"a"},
			List: []*burlmillv1.HandshakeRecord{record(address, agent), record(odd, agent), record(address, agent)}}}}, 2},
		"role of a record": {&burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Records{Records: &burlmillv1.HandshakeRecords{Names: []string{"a"},
			List: []*burlmillv1.HandshakeRecord{record(address, 1<<31), record(address, agent)}}}}, 1},
		"part": {&burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Records{Records: &burlmillv1.HandshakeRecords{
			Parts: []*burlmillv1.HandshakePart{{Bits: 1 << 20}, {Bits: 1}}}}}, 1},
		"peer of a status": {&burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Status{Status: &burlmillv1.HandshakeStatus{
			Peers: [][]byte{odd, address}}}}, 1},
		"confirmation of a status": {&burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Status{Status: &burlmillv1.HandshakeStatus{
			Confirmations: []*burlmillv1.HandshakeConfirmation{{Reader: address}, {Reader: odd}}}}}, 1},
		"location": {&burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_StoreLocations{StoreLocations: &burlmillv1.HandshakeStoreLocations{
			Locations: []*burlmillv1.HandshakeLocation{location(odd), location(address)}}}}, 1},
		"agents to search": {&burlmillv1.HandshakeMessage{Body: &burlmillv1.HandshakeMessage_Search{Search: &burlmillv1.HandshakeSearch{
			Key: encodeKey(testKey), Agents: [][]byte{address, odd}}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := proto.Marshal(test.message)
			is.NoErr(err)
			message, err := Decode(codecNow, encoded)
			is.Equal(fault.KindOf(err), fault.Invalid)
			is.Equal(isSkipped(err), test.left > 0)
			if test.left > 0 {
				is.Equal(entries(message), test.left)
			}
		})
	}
}

var testKey = flow.Key{Caller: netip.MustParseAddrPort("192.0.2.1:1"), Service: netip.MustParseAddrPort("192.0.2.2:2")}

// FuzzDecode checks that the decoder does not panic, that it rejects input only with fault.Invalid,
// and that the encoding of every accepted message stays the same when it is decoded and encoded
// again.
func FuzzDecode(f *testing.F) {
	peer := testKey.Service
	for _, message := range []handshake.Message{
		handshake.Status{ID: "a-1", Role: presence.RoleAgent, Zone: "a", Backend: "i-1", Peers: []netip.AddrPort{peer}, Load: handshake.Load{Slots: 3}},
		handshake.Offer{Service: "lessons", Version: 3, Bytes: []byte("x")},
		handshake.ReservationRequest{Service: "lessons"}, handshake.ReservationGranted{Load: handshake.Load{Slots: 3}}, handshake.ReservationReleased{},
		handshake.Accepted{Key: testKey, Number: 7}, handshake.Refused{Key: testKey, Reason: handshake.RefusedBusy},
		handshake.Forward{Bytes: []byte("x")}, handshake.NotHeld{ByBackend: true, Bytes: []byte("x")},
		handshake.FlowQuery{Key: testKey}, handshake.FlowQueryAnswer{Key: testKey, Holding: handshake.HoldsPossibly},
		handshake.Hint{Key: testKey, Agent: peer}, handshake.Search{Key: testKey, Agents: []netip.AddrPort{peer}},
		handshake.SearchAnswer{Key: testKey, PossibleHolders: []netip.AddrPort{peer}},
		handshake.StoreLocations{Locations: []handshake.FlowLocation{{Key: testKey, Confirms: 5, Agent: peer}}},
		handshake.SummaryRequest{Round: 7}, handshake.FlowSummary{Round: 7, Filter: []byte{1, 2, 3}, MayHold: true},
	} {
		encoded, err := Encode(codecNow, message)
		is.New(f).NoErr(err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		message, err := Decode(codecNow, input)
		if err != nil {
			if fault.KindOf(err) != fault.Invalid {
				t.Fatalf("decode failed with an error of kind %v: %v", fault.KindOf(err), err)
			}
			return
		}
		first, err := Encode(codecNow, message)
		if err != nil {
			t.Fatalf("encode the accepted message %+v: %v", message, err)
		}
		redecoded, err := Decode(codecNow, first)
		if err != nil {
			t.Fatalf("decode the encoding of %+v: %v", message, err)
		}
		if second, err := Encode(codecNow, redecoded); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encoding of %+v changed after it was decoded as %+v (encoding error: %v)", message, redecoded, err)
		}
	})
}

// TestSizeOfStatuses guards against growth of the encoded status, the message that is sent most
// often.
func TestSizeOfStatuses(t *testing.T) {
	is := is.New(t)
	full := handshake.Status{ID: "side-hofdi-a-1", Role: presence.RoleAgent, Zone: "hofdi-a", Region: "reykjavik",
		Incarnation: 1 << 63, Service: "huvo11a", Backend: "i-7f3a91c2", Version: 7000, Interval: 240 * time.Millisecond,
		Load: handshake.Load{Accepts: true, InFlight: 3, Slots: 7}}
	for i := range handshake.MaxAdvertisedPeers {
		full.Peers = append(full.Peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720))
	}
	size := func(status handshake.Status) int {
		encoded, err := Encode(codecNow, status)
		is.NoErr(err)
		return len(encoded)
	}
	brief := full.Brief()
	brief.Peers = nil
	t.Logf("full status %d bytes, without peers %d, brief %d", size(full), size(full)-8*len(full.Peers), size(brief))
	balancer := handshake.Status{Incarnation: 1 << 63, Version: 7000, Interval: 2 * time.Second, Subscribe: true}
	t.Logf("brief status of a balancer %d bytes", size(balancer))
	is.True(size(balancer) <= 37)
	betweenBalancers := balancer
	betweenBalancers.Records = handshake.RecordsDigest{RunningCount: 986, Hash: 1 << 31}
	for i := range 2 {
		watcher := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720)
		betweenBalancers.Confirmations = append(betweenBalancers.Confirmations, handshake.Confirmation{Watcher: watcher, Age: time.Second, Served: true})
	}
	t.Logf("brief status from balancer to balancer %d bytes", size(betweenBalancers))
	is.True(size(betweenBalancers) <= 75)
	is.True(size(brief) <= 50)
	is.True(size(full) <= 250)
}
