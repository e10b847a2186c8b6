// This file defines the messages that balancers and agents send to each other and among themselves,
// and the load and the limit of a back end. The messages that contain process records or compare
// them are defined in gossip.go and record_comparison.go.

package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// Load is the load of a back end.
type Load struct {
	Accepts  bool   // it takes new flows, unless it is full
	InFlight uint32 // requests in progress, as seen by its agent, and reservations
	Slots    uint32 // requests it can run at once; 0: not known
	// Cold is the remaining time for which the back end is slow after its start.
	Cold time.Duration
	// Suspect is set if the back end has recently failed flows or crashed (instance.Outcomes).
	// Others are preferred for new flows.
	Suspect bool
	// RateLimited is set if the back end may be cold and has reached its limit of new flows.
	RateLimited bool
}

// Parameters of Limit. A back end gets more requests than it has slots and queues the rest, so that
// no slot is idle while the next request is in transit.
const (
	minBacklog   = 4 // minimum number of requests that may be queued
	defaultLimit = 8 // limit while the slots are not known
)

// Limit returns the maximum number of requests in progress or queued at the back end: its slots,
// and a backlog of as many requests, but at least minBacklog.
func (l Load) Limit() uint32 {
	if l.Slots == 0 {
		return defaultLimit
	}
	return l.Slots + max(l.Slots, minBacklog)
}

// Full reports whether the back end has reached Limit, or is RateLimited.
func (l Load) Full() bool { return l.RateLimited || l.InFlight >= l.Limit() }

// Status is the state of a process that it sends to others.
type Status struct {
	ID           string
	Role         presence.Role
	Zone         catalog.ZoneName
	Region       string
	Incarnation  uint64              // differs after each start of the process
	Service      catalog.ServiceName // of the back end; agents only
	Backend      string              // ID of the back end, empty if none is known; agents only
	Load         Load                // agents only
	Version      routing.Version     // of the configuration in force; 0: none
	ShuttingDown bool                // the process is shutting down
	Interval     time.Duration       // until the next status to the same receiver
	Subscribe    bool                // requests frequent statuses from the receiver; balancers only
	Uptime       time.Duration       // since the sender's start; 0: not set, as in brief statuses
	// Drained is set if the sender is shutting down and its back end certainly holds no flow;
	// agents only.
	Drained bool
	Peers   []netip.AddrPort // some balancers that are reachable from the sender
	// Confirmations are the latest confirmations of the store watchers that the sender knows of;
	// balancers only.
	Confirmations []Confirmation
	Records       RecordsDigest  // of the sender's records; between balancers only
	Evacuations   evacuation.Set // zero: no evacuation, and no end of one, is known
}

// Brief returns the status without Uptime and without the fields that are constant for the lifetime
// of the process. Receivers restore the constant fields from an earlier full status
// (Peers.Complete).
func (s Status) Brief() Status {
	s.ID, s.Role, s.Zone, s.Region, s.Service, s.Uptime = "", 0, "", "", "", 0
	return s
}

// IsBrief reports whether the status lacks the constant fields.
func (s Status) IsBrief() bool { return s.Role == 0 }

// Message is a message from one process to another. Each of them is a balancer or an agent.
type Message interface{ message() }

// Offer offers a new flow to an agent.
type Offer struct {
	Service    catalog.ServiceName // of the flow
	Version    routing.Version     // of the configuration that selected the service
	MoreQueued bool                // the balancer has queued further openings of the service
	// ColdLimit limits the new flows that a cold back end gets in any window of one second; 0 means
	// no limit. An agent may not have the configuration yet when the first offers arrive.
	ColdLimit uint32
	Bytes     []byte // the opening datagram
}

// ReservationRequest requests a reservation from an agent, to be granted as soon as its back end
// has capacity. The balancer has queued openings of the service.
type ReservationRequest struct{ Service catalog.ServiceName }

// ReservationGranted grants a balancer capacity for one queued opening, for ReservationTime. The
// load includes the reservations of other balancers.
type ReservationGranted struct{ Load Load }

// ReservationReleased returns a reservation that the balancer does not need.
type ReservationReleased struct{}

// Accepted reports to the offering balancer that the back end has accepted the flow.
type Accepted struct {
	Key    flow.Key
	Number uint32 // Datagram.Number of the Accept
	Load   Load
}

// RefusalReason is why an agent refused a flow.
type RefusalReason uint8

// Reasons for refusing a flow.
const (
	RefusedNoBackend    RefusalReason = iota + 1 // no healthy back end is known
	RefusedDraining                              // the back end or the agent is shutting down
	RefusedWrongService                          // the back end belongs to another service
	RefusedFull                                  // the back end returned the datagram
	RefusedBusy                                  // the back end is full (Load.Full)
	RefusedEvacuated                             // the zone is evacuated
)

// String returns the reason's name in logs and metrics.
func (r RefusalReason) String() string {
	switch r {
	case RefusedNoBackend:
		return "no-backend"
	case RefusedDraining:
		return "leaving"
	case RefusedWrongService:
		return "wrong-service"
	case RefusedFull:
		return "full"
	case RefusedBusy:
		return "busy"
	case RefusedEvacuated:
		return "evacuated"
	default:
		return "unknown"
	}
}

// Refused reports to the offering balancer that the agent or its back end does not take the flow.
type Refused struct {
	Key    flow.Key
	Reason RefusalReason
	Load   Load
}

// Forward forwards a datagram of a flow that the agent's back end holds or may hold. If the agent
// does not know the flow, it delivers the datagram, and the back end returns it if it does not hold
// the flow.
type Forward struct{ Bytes []byte }

// NotHeld returns a forwarded datagram of a flow that this agent's back end does not hold.
type NotHeld struct {
	ByBackend bool // the back end returned the datagram, and the agent did not know the flow
	Closed    bool // the back end returned the datagram, and the flow was open there
	Bytes     []byte
}

// FlowQuery queries an agent for whether its back end holds a flow, or another balancer for the
// agent that holds it.
type FlowQuery struct {
	Key      flow.Key
	Confirms uint32 // Datagram.Confirms of the flow; distinguishes it from others with the same key
}

// Holding is whether a back end holds a flow.
type Holding uint8

// Values of Holding.
const (
	HoldsNot Holding = iota + 1
	HoldsPossibly
	Holds
	HoldsNoLonger // sent unrequested: the back end has restarted since it accepted the flow
)

// String returns the name in logs.
func (h Holding) String() string {
	switch h {
	case HoldsNot:
		return "no"
	case HoldsPossibly:
		return "perhaps"
	case Holds:
		return "yes"
	case HoldsNoLonger:
		return "no-more"
	default:
		return "unknown"
	}
}

// FlowQueryAnswer is an agent's answer to FlowQuery. It is also sent unrequested to the sender of a
// flow's latest datagram, to report the result of a probe or that the flow is closed.
type FlowQueryAnswer struct {
	Key     flow.Key
	Holding Holding
	// Location is the agent that holds the flow according to a location that the sender stores;
	// zero: it stores none.
	Location netip.AddrPort
}

// Search requests that an agent determine which of Agents holds a flow. The agent queries them or,
// if Datagram is set, probes their back ends with it. The agent itself may be one of Agents.
type Search struct {
	Key           flow.Key
	Confirms      uint32           // as in FlowQuery
	Agents        []netip.AddrPort // at most MaxSearchedAgents
	Datagram      []byte           // for probing the back ends; nil: the agents are queried
	RequestNumber uint32           // sequence number of the balancer's searches for the flow
}

// SearchAnswer is the answer to Search.
type SearchAnswer struct {
	Key             flow.Key
	Agent           netip.AddrPort   // that holds the flow; zero: none of those that answered
	PossibleHolders []netip.AddrPort // agents that may hold it
	Unanswered      uint32           // number of agents that did not answer
	RequestNumber   uint32           // Search.RequestNumber
}

// SummaryRequest requests a flow filter of the flows that an agent knows.
type SummaryRequest struct {
	Round uint32 // number of the summary round, returned in the answer
}

// FlowSummary is an agent's answer to SummaryRequest.
type FlowSummary struct {
	Round   uint32 // SummaryRequest.Round
	Filter  []byte // Bloom filter of the known flows, at most MaxFilterBytes long; empty: none
	MayHold bool   // the back end may hold flows that the agent does not know
}

// Hint is a balancer's answer to another balancer's FlowQuery.
type Hint struct {
	Key   flow.Key
	Agent netip.AddrPort // that holds the flow, as far as the balancer knows; zero: not known
}

func (Status) message()              {}
func (Offer) message()               {}
func (ReservationRequest) message()  {}
func (ReservationGranted) message()  {}
func (ReservationReleased) message() {}
func (Accepted) message()            {}
func (Refused) message()             {}
func (Forward) message()             {}
func (NotHeld) message()             {}
func (FlowQuery) message()           {}
func (FlowQueryAnswer) message()     {}
func (Hint) message()                {}
func (Search) message()              {}
func (SearchAnswer) message()        {}
func (SummaryRequest) message()      {}
func (FlowSummary) message()         {}
func (StoreLocations) message()      {}
