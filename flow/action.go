// This file defines the input and the result of Decider.Handle: a received datagram, and what the
// agent does with it, including the reasons for which it drops a datagram and their names in logs
// and metrics.

package flow

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Packet is a datagram received by an agent.
type Packet struct {
	Key     Key
	Route   Route
	Payload []byte // read only to parse the QUIC header

	// EarliestArrival is the earliest time at which the datagram can have reached the socket of
	// this process. Zero means the time at which the datagram is handled.
	EarliestArrival time.Time

	// ReadUntil is a time such that every datagram that reached the socket before it has been read
	// before this one. Zero means EarliestArrival.
	ReadUntil time.Time
}

// ActionKind is what an agent does with a datagram.
type ActionKind uint8

// Kinds of action.
const (
	Drop              ActionKind = iota // discard it and count it under Reason
	Deliver                             // deliver it to Backend
	Forward                             // send it to Hop.To with Hop.Route
	AwaitRevision                       // queue it until the service object at Route.Revision is received
	AwaitConfirmation                   // queue it until the agent is confirmed and current and its backlog read
	Consume                             // do nothing: it was a hint for this agent
)

// DropReason is the reason for which a datagram is dropped.
type DropReason uint8

// Reasons for a drop.
const (
	DropLoop           DropReason = iota // the datagram has exceeded MaxHops
	DropUnknownService                   // no service has the destination address
	DropNoCapacity                       // no live back end can admit the new flow
	DropReasonCount
)

// String returns the name used in logs and metrics. The names are stable.
func (r DropReason) String() string {
	switch r {
	case DropLoop:
		return "loop"
	case DropUnknownService:
		return "unknown-service"
	case DropNoCapacity:
		return "no-capacity"
	}
	return "invalid"
}

// Action is the decision on one datagram.
type Action struct {
	Kind    ActionKind
	Service *catalog.Service // set for Deliver
	Backend *catalog.Backend // set for Deliver
	NewFlow bool             // Deliver: this datagram opened the flow
	// Admitted is set for Deliver if this datagram opened the flow on the choice of its arbiter,
	// which is valid only while the agent is confirmed alive (see Decider.ConfirmAdmission).
	Admitted bool
	Hop      Hop        // set for Forward
	Hint     Hop        // Deliver: if To is valid, also send it an empty datagram with Route
	Reason   DropReason // set for Drop
}
