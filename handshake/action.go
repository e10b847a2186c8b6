package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/routing"
)

// Action is what a decider asks its process to do.
type Action interface{ action() }

// Send sends a message to another process.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Deliver hands a datagram to the agent's back end.
type Deliver struct{ Bytes []byte }

// Reply sends a back end's datagram on to the caller.
type Reply struct {
	Caller netip.AddrPort
	Bytes  []byte
}

// ResetCaller tells the caller that its flow has ended or has not opened.
type ResetCaller struct {
	Key flow.Key
	// Confirms is what the caller's latest datagram confirmed (Datagram.Confirms). On an
	// open flow callers ignore a reset that is far from it. 0 where the flow has not opened.
	Confirms uint32
	// Away says that the flow may still be open at an agent that is away.
	Away bool
	// Restarted says that the flow may still be open at a back end whose agent has started anew, as all others have.
	Restarted bool
}

// Reason returns why the caller is reset, for logs and metrics.
func (r ResetCaller) Reason() string {
	switch {
	case r.Away:
		return awayReason
	case r.Restarted:
		return restartedReason
	case r.Confirms != 0:
		return goneReason
	default:
		return unopenedReason
	}
}

// Reasons of resets that need no doubt: the flow is gone for certain, or it has not opened.
const (
	goneReason     = "gone"
	unopenedReason = "not-opened"
)

// Decision is something that a decider did to a flow, for the log.
type Decision struct {
	Event    Event
	Key      flow.Key
	Service  catalog.ServiceName
	Peer     netip.AddrPort // the process it concerns, if any
	Reason   string
	Version  routing.Version // of the configuration that decided it
	Attempts int             // offers or questions so far
	Load     Load            // as last heard of the chosen back end
	Age      time.Duration   // of that load, or of what else decided it
}

// Event names a decision.
type Event string

// The decisions.
const (
	EventOffered    Event = "flow-offered"    // an opening datagram was sent to an agent
	EventAccepted   Event = "flow-accepted"   // an agent's back end answered it
	EventRefused    Event = "flow-refused"    // an agent refused it
	EventHeld       Event = "flow-held"       // an opening waits for an agent
	EventUnanswered Event = "flow-unanswered" // an agent did not answer an offer in time
	EventRejected   Event = "flow-rejected"   // no agent takes the flow: the caller was reset, or the reason says why not
	EventNoRoute    Event = "flow-no-route"   // no route has the address: the same
	EventOpened     Event = "flow-opened"     // the caller confirmed a back end's number
	EventLocating   Event = "flow-locating"   // agents are asked who holds the flow
	EventLocated    Event = "flow-located"    // one of them said so
	EventCensus     Event = "flow-census"     // all agents are asked what flows they know
	EventTried      Event = "flow-tried"      // nobody was sure: a back end is asked itself
	EventLost       Event = "flow-lost"       // nobody holds the flow
	EventAway       Event = "agent-away"      // an agent neither says anything nor answers, while others near it do
	EventBack       Event = "agent-back"      // an agent is held for away no more: it has said something, its witness has not, or nobody waits for it
	EventBrokenOff  Event = "flow-broken-off" // the flow's agent is away and its requests may be repeated: the caller was reset
	EventAdmitted   Event = "flow-admitted"   // an agent passed an opening datagram to its back end
	EventNotHeld    Event = "flow-not-held"   // an agent gave a datagram back
	EventSuspected  Event = "flow-failed"     // the back end failed the flow, and others of late: it is suspected
	EventEnded      Event = "flow-ended"      // a flow has ended
	EventRouteGone  Event = "flow-route-gone" // the configuration no longer has the flow's route
)

func (Send) action()        {}
func (Deliver) action()     {}
func (Reply) action()       {}
func (ResetCaller) action() {}
func (Decision) action()    {}
