// This file contains the package comment, defines the datagrams of flows as decoded by a transport,
// and determines from their numbers whether two datagrams can belong to one flow.

// Package handshake routes flows whose transport opens with a handshake: the caller sends an
// opening datagram, each back end that accepts it answers with a number of its own, and the flow
// opens at the back end whose number the caller acknowledges. The handshake itself determines the
// holder of a flow, so an opening datagram may be offered to several back ends without agreement
// among burlmill's processes.
//
// Balancer is the state machine of a balancer, Agent that of the process beside a back end. They
// have no I/O and no clock: callers pass datagrams, messages and the current time, and perform the
// returned actions. They are not safe for concurrent use.
package handshake

import (
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Kind is the kind of a datagram by its effect on the flow.
type Kind uint8

// Kinds of datagrams.
const (
	Opening Kind = iota + 1 // from a caller: requests a new flow
	Accept                  // from a back end: accepts the flow
	Data                    // from either end: any other datagram of a flow
	Reset                   // from either end: ends the flow at once
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Opening:
		return "opening"
	case Accept:
		return "accept"
	case Data:
		return "data"
	case Reset:
		return "reset"
	default:
		return "unknown"
	}
}

// maxConfirmsDistance is the distance in bytes below which the numbers that two datagrams
// acknowledge are attributed to one flow. Back ends start their numbers at random, so those of
// another flow with the same key are as close once in 128 times.
const maxConfirmsDistance = 1 << 24

// sameFlowConfirms reports whether datagrams that acknowledge these numbers can belong to one flow.
// Numbers wrap around.
func sameFlowConfirms(x, y uint32) bool {
	distance := int32(x - y)
	return distance > -maxConfirmsDistance && distance < maxConfirmsDistance
}

// Datagram is a datagram as decoded by a transport. Its bytes are forwarded unchanged.
type Datagram struct {
	Key  flow.Key
	Kind Kind
	// Number is, in an opening datagram, the number that distinguishes it from later openings with
	// the same key; in an Accept, the back end's own number; in data, the position of its content
	// in the sender's byte stream.
	Number uint32
	// Confirms is, in data from a caller, the back end's number that it acknowledges. It equals the
	// Accept's Number while the caller has received nothing but the Accept.
	Confirms uint32
	// Retransmits is, in an opening datagram, the number of times that the caller has sent it
	// before. An earlier copy may have opened the flow through another balancer.
	Retransmits uint32
	// Age is, in an opening datagram, the time since the caller sent the first copy.
	Age           time.Duration
	PayloadLength int    // length of the content, in bytes
	FailedAnswer  bool   // from a back end: the content starts an answer that reports a failure
	Finish        bool   // the sender has nothing more to send
	Returned      bool   // returned by a back end that does not hold the flow
	Bytes         []byte // the whole datagram; valid only during the call
}
