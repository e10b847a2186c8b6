// This file reads and writes the PROXY header at the start of a stream, which contains the flow's
// key and, from balancers, the revision of the service. It rejects headers that are invalid or
// late.

package stream

import (
	"bufio"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"
	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
)

const headerVersion = 2

// routeType is the TLV type, from the range for custom use, of an encoded
// burlmill.v1.StreamRoute. Package wire uses the preceding type for datagrams.
const routeType proxyproto.PP2Type = 0xE1

// Header is the content of the PROXY header of a stream.
type Header struct {
	Key      flow.Key
	Revision catalog.Revision // of the service object; meaningful only if HasRoute
	HasRoute bool             // false from fabrics, true from balancers
}

// ReadHeader reads the PROXY header at the start of the stream. Errors are of kind
// fault.Invalid if the header is invalid or not received in time, fault.Unavailable if
// the socket's deadline cannot be set.
func (c *Connection) ReadHeader() (header Header, err error) {
	err = c.readPreamble(headerTimeout, func(reader *bufio.Reader) error {
		header, err = parseHeader(reader)
		return err
	})
	return header, err
}

// SendHeader sends the PROXY header at the start of the stream. Errors are of kind
// fault.Invalid or fault.Internal if the header cannot be encoded, fault.Unavailable
// otherwise.
func (c *Connection) SendHeader(header Header) error {
	encoded, err := FormatHeader(header)
	if err != nil {
		return err
	}
	return c.writePreamble(encoded)
}

// FormatHeader encodes a header. Errors are of kind fault.Invalid, or fault.Internal if
// the route cannot be encoded.
func FormatHeader(header Header) ([]byte, error) {
	if err := checkKey(header.Key); err != nil {
		return nil, err
	}
	source := net.TCPAddrFromAddrPort(header.Key.Caller)
	destination := net.TCPAddrFromAddrPort(header.Key.Service)
	message := proxyproto.HeaderProxyFromAddrs(headerVersion, source, destination)
	if header.HasRoute {
		encoded, err := proto.Marshal(&burlmillv1.StreamRoute{Revision: uint64(header.Revision)})
		if err != nil {
			return nil, fault.Wrap(fault.Internal, err, "encode stream route")
		}
		if err := message.SetTLVs([]proxyproto.TLV{{Type: routeType, Value: encoded}}); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "set stream route")
		}
	}
	encoded, err := message.Format()
	return encoded, fault.Wrap(fault.Invalid, err, "encode PROXY header")
}

func parseHeader(reader *bufio.Reader) (Header, error) {
	message, err := proxyproto.Read(reader)
	if err != nil {
		return Header{}, fault.Wrap(fault.Invalid, err, "read PROXY header")
	}
	source, destination, isTCP := message.TCPAddrs()
	if message.Version != headerVersion || message.Command != proxyproto.PROXY || !isTCP {
		return Header{}, fault.New(fault.Invalid, "unsupported PROXY header: version %d, command %#x, protocol %#x; must be version 2, command PROXY, protocol TCP",
			message.Version, message.Command, message.TransportProtocol)
	}
	header := Header{Key: flow.Key{Caller: canonical(source), Service: canonical(destination)}}
	if err := checkKey(header.Key); err != nil {
		return Header{}, err
	}
	tlvs, err := message.TLVs()
	if err != nil {
		return Header{}, fault.Wrap(fault.Invalid, err, "parse PROXY header")
	}
	return header, header.parseRoute(tlvs)
}

// parseRoute decodes the route from the TLVs, which must be one route or none. Errors
// are of kind fault.Invalid.
func (h *Header) parseRoute(tlvs []proxyproto.TLV) error {
	if len(tlvs) == 0 {
		return nil
	}
	if len(tlvs) > 1 || tlvs[0].Type != routeType {
		return fault.New(fault.Invalid, "PROXY header: %d TLVs, the first of type %#x: must be one route or none", len(tlvs), tlvs[0].Type)
	}
	var route burlmillv1.StreamRoute
	if err := proto.Unmarshal(tlvs[0].Value, &route); err != nil {
		return fault.Wrap(fault.Invalid, err, "decode stream route")
	}
	h.Revision = catalog.Revision(route.GetRevision())
	h.HasRoute = true
	return nil
}

// checkKey returns an error of kind fault.Invalid for addresses that a PROXY header
// cannot represent.
func checkKey(key flow.Key) error {
	caller, service := key.Caller.Addr(), key.Service.Addr()
	if !caller.IsValid() || !service.IsValid() || caller.Is4() != service.Is4() || caller.Is4In6() || service.Is4In6() {
		return fault.New(fault.Invalid, "stream from %v to %v: addresses must be valid, of one IP family and not IPv4-mapped", key.Caller, key.Service)
	}
	return nil
}

// canonical returns the address as used in flow keys: an IPv4-mapped IPv6 address
// becomes an IPv4 address.
func canonical(address *net.TCPAddr) netip.AddrPort {
	addressPort := address.AddrPort()
	return netip.AddrPortFrom(addressPort.Addr().Unmap(), addressPort.Port())
}
