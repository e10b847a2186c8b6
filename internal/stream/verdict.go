// This file defines an agent's verdicts on streams and their names in logs and metrics, sends them,
// closes refused streams, requests admission from agents and reads their verdicts within
// verdictTimeout.

package stream

import (
	"bufio"
	"bytes"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
)

// Verdict is an agent's response to the header of a stream. Unless it is
// VerdictAdmitted, no byte of the stream has been sent to a back end.
type Verdict uint8

// Verdicts, as encoded in burlmill.v1.StreamVerdict.
const (
	verdictNone               Verdict = iota // not a verdict
	VerdictAdmitted                          // the stream is connected to a back end
	VerdictDraining                          // the agent or its back ends accept no new streams
	VerdictFull                              // the last back end tried is at its connection limit
	VerdictUnreachable                       // the last back end tried does not accept a connection
	VerdictUnknownService                    // no TCP service has the address
	VerdictStaleConfiguration                // the agent's configuration is older than the balancer's
	VerdictInvalid                           // the header is invalid or has no route
	verdictCount
)

var verdictNames = [verdictCount]string{
	"none", "admitted", "leaving", "full", "unreachable", "unknown-service", "behind", "invalid-header",
}

// String returns the verdict's stable name, used in logs and metrics.
func (v Verdict) String() string {
	if v >= verdictCount {
		return "invalid"
	}
	return verdictNames[v]
}

// SendVerdict sends the verdict. Errors are of kind fault.Unavailable, or
// fault.Internal if the verdict cannot be encoded.
func (c *Connection) SendVerdict(verdict Verdict) error {
	var encoded bytes.Buffer
	if _, err := protodelim.MarshalTo(&encoded, &burlmillv1.StreamVerdict{Verdict: uint32(verdict)}); err != nil {
		return fault.Wrap(fault.Internal, err, "encode verdict")
	}
	return c.writePreamble(encoded.Bytes())
}

// Refuse sends a verdict other than VerdictAdmitted and closes the connection.
func (c *Connection) Refuse(verdict Verdict) error {
	if err := c.SendVerdict(verdict); err != nil {
		c.Abort()
		return err
	}
	return fault.Wrap(fault.Unavailable, c.closeGracefully(), "close refused stream")
}

// ReadVerdict waits for the peer's verdict. Errors are of kind fault.Unavailable: the
// peer closed the connection, timed out or sent an invalid message.
func (c *Connection) ReadVerdict() (Verdict, error) {
	var message burlmillv1.StreamVerdict
	err := c.readPreamble(verdictTimeout, func(reader *bufio.Reader) error {
		return protodelim.UnmarshalOptions{MaxSize: MaxHeader}.UnmarshalFrom(reader, &message)
	})
	if err != nil {
		return verdictNone, fault.Wrap(fault.Unavailable, err, "read verdict from %s", c.RemoteAddress())
	}
	verdict := message.GetVerdict()
	if verdict == uint32(verdictNone) || verdict >= uint32(verdictCount) {
		return verdictNone, fault.New(fault.Unavailable, "unknown verdict %d from %s", verdict, c.RemoteAddress())
	}
	return Verdict(verdict), nil
}

// Refusals returns all verdicts except VerdictAdmitted.
func Refusals() []Verdict {
	var refusals []Verdict
	for verdict := VerdictAdmitted + 1; verdict < verdictCount; verdict++ {
		refusals = append(refusals, verdict)
	}
	return refusals
}

// RequestAdmission sends the header to an agent and returns its verdict. Errors are of
// kind fault.Invalid or fault.Internal if the header cannot be encoded,
// fault.Unavailable otherwise.
func (c *Connection) RequestAdmission(header Header) (Verdict, error) {
	if err := c.SendHeader(header); err != nil {
		return verdictNone, err
	}
	return c.ReadVerdict()
}
