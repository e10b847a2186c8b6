// Package handshake steers flows whose transport opens with a handshake: the
// caller sends an opening datagram, each back end that takes it answers with a
// number of its own, and the flow opens at the back end whose number the caller
// acknowledges. The handshake itself settles who holds a flow, so an opening
// datagram may be offered to several back ends and no agreement among burlmill's
// processes is needed.
//
// Balancer decides for a balancer, Agent for the process beside a back end. Both
// are pure: datagrams, messages and a clock go in, actions come out. They are not
// safe for concurrent use.
package handshake

import (
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Kind says what a datagram does to its flow.
type Kind uint8

// The kinds of datagrams.
const (
	Opening Kind = iota + 1 // from a caller: asks for a new flow
	Accept                  // from a back end: takes the flow
	Data                    // from either end: anything else on a flow
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

// mostProgress is how far apart, in bytes, what two datagrams of one flow confirm can lie.
// Back ends begin their numbers anywhere, so another flow of the same caller's port is
// nearer by chance once in 128 times. (A guess: far more than a flow carries at once.)
const mostProgress = 1 << 24

// near says whether two datagrams that confirm these numbers can be of one flow.
func near(x, y uint32) bool {
	distance := int32(x - y)
	return distance > -mostProgress && distance < mostProgress
}

// Datagram is what the deciders know of one datagram. A transport fills it in;
// the bytes pass through unchanged.
type Datagram struct {
	Key  flow.Key
	Kind Kind
	// Number is, in an opening datagram, what tells one opening of the caller
	// from the next with the same key; in an Accept, the back end's own number; in
	// data, where its content stands in all that its sender sends.
	Number uint32
	// Confirms is, in data from a caller, the back end's number as it stands when
	// the caller has received nothing but the Accept: equal to the Accept's
	// Number in the datagrams that open the flow.
	Confirms uint32
	// Copies is, in an opening datagram, how many copies the caller has sent
	// before: an earlier one may have opened the flow elsewhere.
	Copies uint32
	// Age is, in an opening datagram, how long ago the caller sent the first copy.
	Age      time.Duration
	Payload  int    // bytes of the flow's content
	Failed   bool   // from a back end: its content begins an answer by which the back end says that it failed
	Finish   bool   // the sender has nothing more to send
	Returned bool   // given back by a back end that does not hold the flow
	Bytes    []byte // the whole datagram; valid only during the call
}
