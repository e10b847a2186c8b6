package flow

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Packet is one datagram as an agent sees it.
type Packet struct {
	Key     Key
	Route   Route
	Payload []byte // read only for a QUIC connection id

	// Arrived is the earliest time at which the datagram can have come to this
	// process, its wait in the socket included; zero: it comes now.
	Arrived time.Time
}

// ActionKind says what an agent does with a datagram.
type ActionKind uint8

// The kinds of action.
const (
	Drop    ActionKind = iota // count it under Reason
	Deliver                   // hand it to Backend
	Forward                   // send it to Hop
	Wait                      // hold it until the service object at Route.Revision is here
	Hold                      // hold it until the agent's peers confirm that it is alive
	Absorb                    // nothing: it was a hint for this agent
)

// DropReason says why a datagram goes nowhere.
type DropReason uint8

// The reasons for a drop.
const (
	DropLoop           DropReason = iota // passed through too many processes
	DropUnknownService                   // no service has that address
	DropNoCapacity                       // no back end may take the new flow
	DropReasonCount
)

// String returns the reason's stable name, used in logs and metrics.
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

// Action is what an agent must do with one datagram.
type Action struct {
	Kind    ActionKind
	Service *catalog.Service // set for Deliver
	Backend *catalog.Backend // set for Deliver
	New     bool             // Deliver: the flow was admitted by this datagram
	Hop     Hop              // set for Forward
	Hint    Hop              // Deliver: send an empty datagram there too, if Hint.To is valid
	Reason  DropReason       // set for Drop
}
