// This file defines the names of flows, and encodes and decodes the datagrams of lab flows and
// their echo replies.

package backend

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// FlowName returns the name of a flow: the intended service and a nonce that distinguishes the
// flows of a service.
func FlowName(service catalog.ServiceName, nonce uint64) string {
	return fmt.Sprintf("%s:%016x", service, nonce)
}

// intendedService returns the service that a flow is intended for, empty if its name contains none.
func intendedService(flow string) catalog.ServiceName {
	service, _, found := strings.Cut(flow, ":")
	if !found {
		return ""
	}
	return catalog.ServiceName(service)
}

// Datagram is the payload that a lab flow sends over UDP: "flow|sequence|padding".
type Datagram struct {
	Flow     string // name of the flow, see FlowName; must not contain '|'
	Sequence uint64
}

// Append appends the encoded datagram and the given number of padding bytes to the buffer.
func (d Datagram) Append(buffer []byte, padding int) []byte {
	buffer = append(buffer, d.Flow...)
	buffer = append(buffer, '|')
	buffer = strconv.AppendUint(buffer, d.Sequence, 10)
	buffer = append(buffer, '|')
	return append(buffer, bytes.Repeat([]byte{'.'}, padding)...)
}

// ParseDatagram decodes a datagram encoded by Append and ignores the padding. Errors are of kind
// fault.Invalid.
func ParseDatagram(payload []byte) (Datagram, error) {
	parts := strings.SplitN(string(payload), "|", 3)
	if len(parts) != 3 {
		return Datagram{}, fault.New(fault.Invalid, "payload of %d bytes is not a lab flow datagram", len(payload))
	}
	sequence, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Datagram{}, fault.Wrap(fault.Invalid, err, "parse sequence number of lab flow datagram")
	}
	return Datagram{Flow: parts[0], Sequence: sequence}, nil
}

// Echo is a back end's reply to a datagram: "service/backend|" followed by the datagram's payload.
type Echo struct {
	Service  catalog.ServiceName
	Backend  catalog.BackendID
	Datagram Datagram
}

// ParseEcho decodes an echo reply. Errors are of kind fault.Invalid.
func ParseEcho(payload []byte) (Echo, error) {
	prefix, rest, found := bytes.Cut(payload, []byte{'|'})
	service, id, hasID := strings.Cut(string(prefix), "/")
	if !found || !hasID {
		return Echo{}, fault.New(fault.Invalid, "payload of %d bytes is not an echo reply of a lab back end", len(payload))
	}
	datagram, err := ParseDatagram(rest)
	if err != nil {
		return Echo{}, err
	}
	return Echo{Service: catalog.ServiceName(service), Backend: catalog.BackendID(id), Datagram: datagram}, nil
}

// echoPrefix returns the prefix that a back end adds to each datagram it echoes.
func echoPrefix(service catalog.ServiceName, id catalog.BackendID) []byte {
	return fmt.Appendf(nil, "%s/%s|", service, id)
}
