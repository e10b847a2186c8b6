// This file encodes, decodes and validates the route, which is a TLV of the PROXY header. It also
// replaces the age of a datagram in an encoded header.

package wire

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/pires/go-proxyproto"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
)

// routeTLVType is the TLV type, from the range for custom use, that contains a
// burlmill.v1.RouteHeader.
const routeTLVType proxyproto.PP2Type = 0xE0

// ageFieldNumber is the number of the field RouteHeader.age.
const ageFieldNumber protowire.Number = 8

const (
	ageTag        = byte(ageFieldNumber)<<3 | byte(protowire.Fixed32Type) // encoded, a single byte
	ageValueBytes = 4
)

// parsedRoute is the content of a route TLV.
type parsedRoute struct {
	route       flow.Route
	age         time.Duration // 0 if the TLV has none
	endsWithAge bool          // the age is the last field, as FormatEnvelope encodes it
}

// parseRoute decodes the route and the age from the TLVs of a header. No TLV at all means that
// there is no route; any TLV besides a single route is an error.
func parseRoute(tlvs []proxyproto.TLV) (parsed parsedRoute, found bool, err error) {
	if len(tlvs) == 0 {
		return parsedRoute{}, false, nil
	}
	if len(tlvs) > 1 || tlvs[0].Type != routeTLVType {
		return parsedRoute{}, false, fault.New(fault.Invalid, "PROXY header: %d TLVs, the first of type %#x: must be one route or none", len(tlvs), tlvs[0].Type)
	}
	var message burlmillv1.RouteHeader
	if err := proto.Unmarshal(tlvs[0].Value, &message); err != nil {
		return parsedRoute{}, false, fault.Wrap(fault.Invalid, err, "route")
	}
	route, err := routeFromMessage(&message)
	return parsedRoute{route, ageOf(message.GetAge()), endsWithAge(tlvs[0].Value)}, err == nil, err
}

// endsWithAge reports whether the last field of an encoded RouteHeader is the age.
func endsWithAge(encoded []byte) bool {
	var last protowire.Number
	for len(encoded) > 0 {
		number, _, length := protowire.ConsumeField(encoded)
		if length < 0 {
			return false
		}
		last = number
		encoded = encoded[length:]
	}
	return last == ageFieldNumber
}

func ageOf(microseconds uint32) time.Duration { return time.Duration(microseconds) * time.Microsecond }

// ageMicroseconds returns the encoded form of an age. An age beyond the range of the field becomes
// the longest one.
func ageMicroseconds(age time.Duration) uint32 {
	return uint32(min(max(age.Microseconds(), 0), math.MaxUint32))
}

// SetAge replaces the age in a header that FormatEnvelope has formatted for an envelope with a route.
func SetAge(header []byte, age time.Duration) {
	binary.LittleEndian.PutUint32(header[len(header)-ageValueBytes:], ageMicroseconds(age))
}

// cutAge splits a header into the part before the value of the age, and the age. If the header
// cannot end with an age, the first part is the whole header. A header that does not end with an age
// may look as if it did.
func cutAge(header []byte) (before []byte, age time.Duration) {
	end := len(header) - ageValueBytes
	if end < 1 || header[end-1] != ageTag {
		return header, 0
	}
	return header[:end], ageOf(binary.LittleEndian.Uint32(header[end:]))
}

func routeFromMessage(message *burlmillv1.RouteHeader) (flow.Route, error) {
	if message.GetStep() > uint32(flow.MaxStep) {
		return flow.Route{}, fault.InvalidField("step", message.GetStep(), "is unknown")
	}
	if message.GetHops() > math.MaxUint8 {
		return flow.Route{}, fault.InvalidField("hops", message.GetHops(), "must be at most 255")
	}
	if message.GetChosen() > catalog.MaxBackends {
		return flow.Route{}, fault.InvalidField("chosen", message.GetChosen(), "names no back end")
	}
	var returnAddress netip.AddrPort
	if err := returnAddress.UnmarshalBinary(message.GetReturnAddress()); err != nil {
		return flow.Route{}, fault.Wrap(fault.Invalid, err, "return_address")
	}
	route := flow.Route{
		Revision: catalog.Revision(message.GetRevision()),
		Step:     flow.Step(message.GetStep()),
		Hops:     uint8(message.GetHops()),
		Visited:  flow.BackendSet(message.GetVisited()),
		Refused:  flow.BackendSet(message.GetRefused()),
		Chosen:   int(message.GetChosen()) - 1,
		ReplyTo:  canonical(returnAddress),
	}
	return route, checkRoute(route)
}

func formatRoute(route flow.Route, age time.Duration) (proxyproto.TLV, error) {
	if err := checkRoute(route); err != nil {
		return proxyproto.TLV{}, err
	}
	returnAddress, err := route.ReplyTo.MarshalBinary()
	if err != nil {
		return proxyproto.TLV{}, fault.Wrap(fault.Invalid, err, "return address %v", route.ReplyTo)
	}
	encoded, err := proto.Marshal(&burlmillv1.RouteHeader{
		Revision:      uint64(route.Revision),
		Step:          uint32(route.Step),
		Hops:          uint32(route.Hops),
		Visited:       uint64(route.Visited),
		Refused:       uint64(route.Refused),
		ReturnAddress: returnAddress,
		Chosen:        uint32(route.Chosen + 1),
	})
	if err != nil {
		return proxyproto.TLV{}, fault.Wrap(fault.Internal, err, "route")
	}
	// The encoder does not guarantee the order of fields, so the last one is appended here.
	encoded = protowire.AppendTag(encoded, ageFieldNumber, protowire.Fixed32Type)
	encoded = protowire.AppendFixed32(encoded, ageMicroseconds(age))
	return proxyproto.TLV{Type: routeTLVType, Value: encoded}, nil
}

// checkRoute validates a route before encoding and after decoding.
func checkRoute(route flow.Route) error {
	if route.Step > flow.MaxStep {
		return fault.InvalidField("step", route.Step, "is unknown")
	}
	if route.Chosen < flow.NoBackend || route.Chosen >= catalog.MaxBackends {
		return fault.InvalidField("chosen", route.Chosen, "names no back end")
	}
	if !route.ReplyTo.IsValid() || route.ReplyTo.Port() == 0 || route.ReplyTo.Addr().Is4In6() {
		return fault.InvalidField("return address", route.ReplyTo, "must be an unmapped IP address and a port above 0")
	}
	return nil
}
