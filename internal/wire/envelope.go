// This file parses and formats the headers of datagrams, finds the header's bytes without parsing
// it, and rejects invalid headers and datagrams or headers that are too long.

// Package wire encodes and decodes the PROXY protocol version 2 header, with flow
// key and route, that precedes the payload of every datagram between fabrics,
// balancers and agents. It also provides the UDP sockets for these datagrams.
package wire

import (
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/pires/go-proxyproto"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
)

// Sizes of the parts of a datagram, in bytes.
const (
	MaxDatagramBytes = 65507 // largest UDP payload over IPv4
	MaxHeaderBytes   = 512   // longest accepted PROXY header

	fixedPartLength = 16 // signature, version, command, family and length
	lengthOffset    = 14 // offset of the length field in the fixed part
)

const headerVersion = 2

// Envelope is the decoded header of a datagram.
type Envelope struct {
	Key      flow.Key
	Route    flow.Route // meaningful only if HasRoute
	HasRoute bool       // false between fabrics and burlmill, true inside burlmill
	// Age is the time that the datagram has spent in burlmill processes, without its time in the
	// network, in microseconds rounded down. 0 if unknown; meaningful only if HasRoute.
	Age time.Duration
}

// ParseEnvelope parses the header at the beginning of a datagram and returns its
// length in bytes; the payload follows it. Errors are of kind fault.Invalid. The
// datagram is neither retained nor modified.
func ParseEnvelope(datagram []byte) (envelope Envelope, headerLength int, err error) {
	header, err := HeaderBytes(datagram)
	if err != nil {
		return Envelope{}, 0, err
	}
	envelope, _, err = parseHeader(header)
	if err != nil {
		return Envelope{}, 0, err
	}
	return envelope, len(header), nil
}

// HeaderBytes returns the header bytes of a datagram according to the header's length
// field. It validates only the length. The bytes can be the key of a Cache, because
// equal bytes are equal headers. Errors are of kind fault.Invalid.
func HeaderBytes(datagram []byte) ([]byte, error) {
	if len(datagram) > MaxDatagramBytes {
		return nil, fault.New(fault.Invalid, "datagram of %d bytes exceeds %d bytes", len(datagram), MaxDatagramBytes)
	}
	if len(datagram) < fixedPartLength {
		return nil, fault.New(fault.Invalid, "datagram of %d bytes is too short for a PROXY header", len(datagram))
	}
	length := fixedPartLength + int(binary.BigEndian.Uint16(datagram[lengthOffset:fixedPartLength]))
	if length > MaxHeaderBytes {
		return nil, fault.New(fault.Invalid, "PROXY header of %d bytes exceeds %d bytes", length, MaxHeaderBytes)
	}
	if length > len(datagram) {
		return nil, fault.New(fault.Invalid, "PROXY header of %d bytes in a datagram of %d bytes", length, len(datagram))
	}
	return datagram[:length], nil
}

// parseHeader parses a header that fills the whole slice. endsWithAge states whether its last bytes
// are the value of the age.
func parseHeader(encoded []byte) (envelope Envelope, endsWithAge bool, err error) {
	header, err := readHeader(encoded)
	if err != nil {
		return Envelope{}, false, fault.Wrap(fault.Invalid, err, "PROXY header")
	}
	if header.Version != headerVersion || header.Command != proxyproto.PROXY || !header.TransportProtocol.IsDatagram() {
		return Envelope{}, false, fault.New(fault.Invalid, "PROXY header: version %d, command %d, transport %d: must be version 2, PROXY, UDP", header.Version, header.Command, header.TransportProtocol)
	}
	source, destination, ok := header.UDPAddrs()
	if !ok {
		return Envelope{}, false, fault.New(fault.Invalid, "PROXY header: transport %d: must be UDP", header.TransportProtocol)
	}
	envelope = Envelope{Key: flow.Key{Caller: canonical(source.AddrPort()), Service: canonical(destination.AddrPort())}}
	if err := checkKey(envelope.Key); err != nil {
		return Envelope{}, false, err
	}
	tlvs, err := header.TLVs()
	if err != nil {
		return Envelope{}, false, fault.Wrap(fault.Invalid, err, "PROXY header")
	}
	parsed, found, err := parseRoute(tlvs)
	if err != nil {
		return Envelope{}, false, err
	}
	envelope.Route, envelope.Age, envelope.HasRoute = parsed.route, parsed.age, found
	return envelope, parsed.endsWithAge, nil
}

// FormatEnvelope encodes the envelope as header bytes; a datagram is these bytes
// followed by the payload. Errors are of kind fault.Invalid: the key's addresses
// are invalid or of different families, or a field of the route is out of range.
func FormatEnvelope(envelope Envelope) ([]byte, error) {
	if err := checkKey(envelope.Key); err != nil {
		return nil, err
	}
	source := net.UDPAddrFromAddrPort(envelope.Key.Caller)
	destination := net.UDPAddrFromAddrPort(envelope.Key.Service)
	header := proxyproto.HeaderProxyFromAddrs(headerVersion, source, destination)
	if envelope.HasRoute {
		tlv, err := formatRoute(envelope.Route, envelope.Age)
		if err != nil {
			return nil, err
		}
		if err := header.SetTLVs([]proxyproto.TLV{tlv}); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "route")
		}
	}
	encoded, err := header.Format()
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "PROXY header")
	}
	return encoded, nil
}

// checkKey returns an error if a PROXY header cannot represent the key.
func checkKey(key flow.Key) error {
	caller, service := key.Caller.Addr(), key.Service.Addr()
	switch {
	case !caller.IsValid() || !service.IsValid():
		return fault.New(fault.Invalid, "flow %v to %v: both addresses must be IP addresses", key.Caller, key.Service)
	case caller.Is4() != service.Is4():
		return fault.New(fault.Invalid, "flow %v to %v: addresses must be of the same family", key.Caller, key.Service)
	case caller.Is4In6() || service.Is4In6() || caller.Zone() != "" || service.Zone() != "":
		return fault.New(fault.Invalid, "flow %v to %v: addresses must be unmapped and without a zone", key.Caller, key.Service)
	}
	return nil
}

// canonical converts an IPv4-mapped IPv6 address to IPv4, the form that keys use.
func canonical(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
