package backend

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// FlowName returns a name for a flow that tells which service it is meant for.
func FlowName(service catalog.ServiceName, nonce uint64) string {
	return fmt.Sprintf("%s:%016x", service, nonce)
}

// intendedService returns the service that a flow is meant for, empty if its name does not tell.
func intendedService(flow string) catalog.ServiceName {
	service, _, found := strings.Cut(flow, ":")
	if !found {
		return ""
	}
	return catalog.ServiceName(service)
}

// Datagram is what a UDP flow of the lab sends: "flow|sequence|padding".
type Datagram struct {
	Flow     string // names the flow, see FlowName; without '|'
	Sequence uint64
}

// Append appends the datagram followed by padding bytes to the buffer.
func (d Datagram) Append(buffer []byte, padding int) []byte {
	buffer = append(buffer, d.Flow...)
	buffer = append(buffer, '|')
	buffer = strconv.AppendUint(buffer, d.Sequence, 10)
	buffer = append(buffer, '|')
	return append(buffer, bytes.Repeat([]byte{'.'}, padding)...)
}

// ParseDatagram reads what Append wrote. Errors are of kind fault.Invalid.
func ParseDatagram(payload []byte) (Datagram, error) {
	parts := strings.SplitN(string(payload), "|", 3)
	if len(parts) != 3 {
		return Datagram{}, fault.New(fault.Invalid, "%d bytes are not a datagram of a lab flow", len(payload))
	}
	sequence, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Datagram{}, fault.Wrap(fault.Invalid, err, "sequence of a lab flow's datagram")
	}
	return Datagram{Flow: parts[0], Sequence: sequence}, nil
}

// Echo is a back end's reply to a datagram: "service/backend|" and the payload.
type Echo struct {
	Service  catalog.ServiceName
	Backend  catalog.BackendID
	Datagram Datagram
}

// ParseEcho reads a reply. Errors are of kind fault.Invalid.
func ParseEcho(payload []byte) (Echo, error) {
	prefix, rest, found := bytes.Cut(payload, []byte{'|'})
	service, id, named := strings.Cut(string(prefix), "/")
	if !found || !named {
		return Echo{}, fault.New(fault.Invalid, "%d bytes are not an echo of a lab back end", len(payload))
	}
	datagram, err := ParseDatagram(rest)
	if err != nil {
		return Echo{}, err
	}
	return Echo{Service: catalog.ServiceName(service), Backend: catalog.BackendID(id), Datagram: datagram}, nil
}

// echoPrefix returns what a back end puts in front of each datagram it echoes.
func echoPrefix(service catalog.ServiceName, id catalog.BackendID) []byte {
	return fmt.Appendf(nil, "%s/%s|", service, id)
}
