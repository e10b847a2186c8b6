// This file defines the actions that balancers and agents request from their processes, the events
// of their decisions, and why callers are reset.

package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/routing"
)

// Action is an effect that a Balancer or an Agent requests from its process, or a Decision, which
// the process only logs and counts.
type Action interface{ action() }

// Send requests the transmission of a message to the process at To.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Deliver delivers a datagram to the agent's back end.
type Deliver struct{ Bytes []byte }

// Reply sends a back end's datagram to the caller.
type Reply struct {
	Caller netip.AddrPort
	Bytes  []byte
}

// ResetCaller resets a caller whose flow has ended, could not be opened, or cannot be continued
// because its holder is unreachable or not known.
type ResetCaller struct {
	Key flow.Key
	// Confirms is the number that the caller's latest datagram acknowledges (Datagram.Confirms). On
	// an open flow, callers ignore a reset whose number is far from it. It is 0 if the flow has not
	// opened.
	Confirms uint32
	// AgentUnreachable is set if the flow may still be open at an unreachable agent.
	AgentUnreachable bool
	// FleetRestarted is set if no process knew the flow after a fleet-wide restart. The flow may
	// still be open at a back end.
	FleetRestarted bool
}

// Reason returns why the caller is reset, for logs and metrics.
func (r ResetCaller) Reason() string {
	switch {
	case r.AgentUnreachable:
		return unreachableReason
	case r.FleetRestarted:
		return fleetRestartReason
	case r.Confirms != 0:
		return closedReason
	default:
		return notOpenedReason
	}
}

// Reasons for resetting callers whose flow is not open anywhere. unreachableReason and
// fleetRestartReason are the others.
const (
	closedReason    = "gone"
	notOpenedReason = "not-opened"
)

// Decision describes a decision about a flow, for logs and metrics.
type Decision struct {
	Event    Event
	Key      flow.Key
	Service  catalog.ServiceName
	Peer     netip.AddrPort // the other process, if any
	Reason   string
	Version  routing.Version // of the configuration in force, or of the offer
	Attempts int             // offers, queried agents or missed probes so far
	Load     Load            // latest known load of the back end
	Age      time.Duration   // a duration whose meaning depends on Event, such as the age of Load
}

// Event is the kind of a decision. Its value is the event's name in logs and a label of metrics.
type Event string

// Events of balancers and agents. The values are labels of metrics and must not change; some use
// other terms than the names of their constants.
const (
	EventOffered          Event = "flow-offered"       // an opening was offered to an agent
	EventAccepted         Event = "flow-accepted"      // a back end accepted an opening
	EventRefused          Event = "flow-refused"       // an agent refused an opening
	EventQueued           Event = "flow-held"          // an opening was queued
	EventUnanswered       Event = "flow-unanswered"    // an offer timed out
	EventRejected         Event = "flow-rejected"      // no agent for opening; no reset if Reason set
	EventNoRoute          Event = "flow-no-route"      // no route for opening; no reset if Reason set
	EventOpened           Event = "flow-opened"        // the caller acknowledged a back end's number
	EventLookup           Event = "flow-locating"      // agents are queried for the flow's holder
	EventHolderFound      Event = "flow-located"       // the flow's holder was found
	EventLocationUsed     Event = "flow-location-used" // a stored location names the flow's holder
	EventSummaryRound     Event = "flow-census"        // agents are queried for a summary of their flows
	EventProbed           Event = "flow-tried"         // back ends that may hold the flow are probed
	EventLost             Event = "flow-lost"          // no agent holds the flow, or its lookup failed
	EventAgentUnreachable Event = "agent-away"         // an agent answers no probes, while witnesses do
	EventAgentReachable   Event = "agent-back"         // the agent no longer counts as unreachable
	EventAgentNotProbed   Event = "agent-unprobed"     // a shutdown notice of the agent may be lost
	EventFlowReset        Event = "flow-broken-off"    // the caller was reset; the flow may still be open
	EventAdmitted         Event = "flow-admitted"      // an opening was delivered to a back end
	EventNotHeld          Event = "flow-not-held"      // an agent does not confirm holding the flow
	EventSuspected        Event = "flow-failed"        // a back end that failed the flow is suspected
	EventEnded            Event = "flow-ended"         // the flow has ended
	EventRouteRemoved     Event = "flow-route-gone"    // the configuration no longer has the flow's route
)

func (Send) action()        {}
func (Deliver) action()     {}
func (Reply) action()       {}
func (ResetCaller) action() {}
func (Decision) action()    {}
