// This file contains the state of an agent and of its flows. It admits the flows that balancers
// offer or refuses them, for reasons such as a full or unhealthy back end, a shutdown or an
// evacuation. It determines the load of the back end, whether it certainly holds no flow, and
// whether it may be absent. It also lists open flows for operators.

package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/instance"
)

// Timeouts of an agent's flows.
const (
	// HalfOpenTimeout is the idle time after which a flow that the caller has not confirmed is
	// removed.
	HalfOpenTimeout = 3 * time.Second
	// AnswerTimeout is the time after which a missing answer no longer counts as outstanding.
	AnswerTimeout    = 5 * time.Second
	EndedFlowTTL     = 5 * time.Second // idle time after which an ended flow is removed
	tentativeFlowTTL = 2 * time.Second // idle time after which a probed flow is removed
)

// Timeout of an outstanding answer on a flow that the caller has not confirmed by acknowledging the
// back end's Accept: the flow may have opened at another back end, or not at all. The timeout is
// confirmTimeoutFactor times the estimated time that callers take to confirm, within the bounds
// minUnconfirmedTime and maxUnconfirmedTime.
const (
	minUnconfirmedTime      = 40 * time.Millisecond
	maxUnconfirmedTime      = 300 * time.Millisecond
	confirmTimeoutFactor    = 4
	confirmTimeDecayDivisor = 16 // divides the decrease of the estimate towards a shorter sample
)

// AgentOptions configures an Agent.
type AgentOptions struct {
	Zone    catalog.ZoneName    // of the agent and its back end
	Service catalog.ServiceName // of the back end
	// FlowLifetime is the maximum duration of a flow. For that time after an agent's start, its
	// back end may hold flows that are unknown to the agent.
	FlowLifetime time.Duration
	// ReportInterval is the interval between the back end's reports.
	ReportInterval time.Duration
}

// Agent is the state machine of the process that runs beside one back end. It alone decides whether
// the back end gets a new flow, since balancers may have outdated information.
type Agent struct {
	options         AgentOptions
	tracker         *instance.Tracker
	flows           map[flow.Key]*trackedFlow
	outstanding     map[*trackedFlow]bool // flows on which the back end has to send an answer
	shuttingDown    bool
	backendStopped  bool          // the back end has stopped, and the agent is about to exit
	evacuated       bool          // its zone is evacuated
	confirmTime     time.Duration // estimated time that callers take to confirm; 0: none yet
	reservations    reservations
	coldLimiter     coldLimiter
	searches        []*search                  // run for balancers, in the order of their start
	summaryRound    uint32                     // number of the latest summary round
	nextSummaryAt   time.Time                  // earliest start of the next summary round
	locations       locationStore              // of flows that other agents hold
	probeHistories  map[flow.Key]*probeHistory // flows for which this agent is the coordinator
	probesAllowedAt time.Time                  // before this time the agent permits no probes
	lastTickAt      time.Time                  // zero: none yet

	// backendIdleTimeout is the time after which the back end may forget a flow without datagrams;
	// 0: not known.
	backendIdleTimeout time.Duration

	restartProof   *trackedFlow   // flow that proves a back end's restart; nil: none
	restartProofAt time.Time      // when the back end returned its datagram as unknown
	closedFlows    []*trackedFlow // closed by a restart, balancers not notified yet
	changesAtClear uint64         // Tracker.Changes at the latest clearStaleOutstanding
	refusals       uint64
	startedAt      time.Time
	nextSweepAt    time.Time
	actions        []Action
}

// flowState is the state of a flow at one back end.
type flowState uint8

const (
	stateOffered   flowState = iota // the opening datagram was delivered to the back end
	stateHalfOpen                   // the back end has answered it
	stateOpen                       // the caller has confirmed the answer
	stateTentative                  // known only from a probe of the back end
	stateEnded                      // both sides have finished, or one has reset the flow
)

// trackedFlow is an agent's record of one flow.
type trackedFlow struct {
	key                flow.Key
	state              flowState
	balancer           netip.AddrPort // that sent the latest datagram
	openingNumber      uint32         // number of the opening datagram
	backendNumber      uint32         // of the back end's Accept
	firstSeenAt        time.Time      // when the record was created
	lastSeenAt         time.Time
	backendFirstSentAt time.Time // when the back end accepted or first sent; zero: not yet
	backendLastSentAt  time.Time // when the back end last sent on the flow
	outstandingSince   time.Time // since when an answer is outstanding, if one is
	acceptedAt         time.Time // when the back end's Accept arrived; zero: unknown
	finished           uint8     // bits: callerFinished, backendFinished
	lastConfirms       uint32    // acknowledged by the caller's latest datagram; 0: unknown
	// content is the position up to which the caller has sent. A retransmission does not count as
	// outstanding: if the back end has answered already, it sends no second answer, and the request
	// would count as in progress until AnswerTimeout.
	content contentProgress
	// maybeAnswered is set if the agent did not see the flow's opening and has seen no answer on
	// it: the answer that counts as outstanding may have been sent before the agent started.
	maybeAnswered bool
}

// Bits of trackedFlow.finished.
const (
	callerFinished  = 1
	backendFinished = 2
	bothFinished    = callerFinished | backendFinished
)

// NewAgent returns an Agent that knows no back end and no flows.
func NewAgent(now time.Time, options AgentOptions) *Agent {
	return &Agent{
		options:         options,
		tracker:         instance.NewTracker(options.Service, options.ReportInterval),
		flows:           map[flow.Key]*trackedFlow{},
		outstanding:     map[*trackedFlow]bool{},
		reservations:    newReservations(),
		startedAt:       now,
		summaryRound:    uint32(now.UnixNano()), // differs from the rounds of earlier incarnations
		locations:       newLocationStore(now, options.FlowLifetime),
		probeHistories:  map[flow.Key]*probeHistory{},
		probesAllowedAt: now.Add(flowProbeSettleTime),

		backendIdleTimeout: DefaultIdleTimeout,
	}
}

// Tracker returns the tracker of the back end.
func (a *Agent) Tracker() *instance.Tracker { return a.tracker }

// Flows returns the number of recorded flows, in any state.
func (a *Agent) Flows() int { return len(a.flows) }

// Refusals returns how many offers the agent has refused since it started.
func (a *Agent) Refusals() uint64 { return a.refusals }

// OpenFlow describes one open flow to operators.
type OpenFlow struct {
	Key       flow.Key
	FirstSeen time.Time
	LastSeen  time.Time // time of the latest datagram
}

// OpenFlows returns the open flows in unspecified order.
func (a *Agent) OpenFlows() []OpenFlow {
	var open []OpenFlow
	for _, tracked := range a.flows {
		if tracked.state == stateOpen {
			open = append(open, OpenFlow{Key: tracked.key, FirstSeen: tracked.firstSeenAt,
				LastSeen: tracked.lastSeenAt})
		}
	}
	return open
}

// ActiveFlows returns the number of flows that are open or half open.
func (a *Agent) ActiveFlows() int {
	active := 0
	for _, tracked := range a.flows {
		if tracked.state == stateOpen || tracked.state == stateHalfOpen {
			active++
		}
	}
	return active
}

// HoldsNothing reports whether the back end certainly holds no flow: it has stopped, it has not
// been seen since the agent started and health checks have shown that it does not run, or it is
// draining and has no flow left, not even one that the agent does not know. For one flow,
// HandleQuery answers with a Holding.
func (a *Agent) HoldsNothing(now time.Time) bool {
	if a.backendStopped || a.tracker.ConfirmedAbsent() {
		return true
	}
	return a.tracker.State() == instance.Draining && !a.expectsDatagrams() &&
		a.unknownHolding(now) == HoldsNot
}

// expectsDatagrams reports whether the back end may still send on any recorded flow.
func (a *Agent) expectsDatagrams() bool {
	for _, tracked := range a.flows {
		if tracked.state != stateEnded {
			return true
		}
	}
	return false
}

// MarkBackendStopped records, for an agent that is about to exit, that the back end has stopped:
// all its flows are closed.
func (a *Agent) MarkBackendStopped() {
	a.shuttingDown = true
	a.backendStopped = true
}

// BackendPossiblyAbsent reports whether the back end has not been seen since the agent started, and
// its address refuses health checks. Such an agent sends no status: its machine may be about to be
// removed, which balancers that know the agent could not distinguish from a network partition.
func (a *Agent) BackendPossiblyAbsent() bool { return a.tracker.PossiblyAbsent() }

// BeginShutdown makes the agent refuse new flows because it is shutting down.
func (a *Agent) BeginShutdown() { a.shuttingDown = true }

// SetService sets the service of the back end. Until a back end of it has reported, the agent accepts
// no new flows.
func (a *Agent) SetService(service catalog.ServiceName) {
	a.options.Service = service
	a.tracker.SetService(service)
}

// SetEvacuations sets the evacuated zones. An agent in one of them refuses new flows; its open
// flows continue.
func (a *Agent) SetEvacuations(set evacuation.Set) {
	wasEvacuated := a.evacuated
	a.evacuated = set.Contains(a.options.Zone)
	if wasEvacuated && !a.evacuated {
		a.tracker.ExpectCold() // back ends may become cold while their zone is evacuated
	}
}

// Load returns the back end's load. Reservations count as requests in progress.
func (a *Agent) Load(now time.Time) Load {
	return Load{
		Accepts:     a.blockedReason() == 0,
		InFlight:    uint32(len(a.outstanding) + len(a.reservations.expiresAt)),
		Slots:       a.tracker.Latest().Slots,
		Cold:        a.tracker.ColdRemaining(now),
		Suspect:     a.tracker.Outcomes().IsSuspected(now),
		RateLimited: a.atColdLimit(now),
	}
}

// blockedReason returns the reason why the back end gets no new flows, or 0 if it gets them.
func (a *Agent) blockedReason() RefusalReason {
	switch {
	case a.shuttingDown || a.tracker.State() == instance.Draining:
		return RefusedDraining
	case a.evacuated:
		return RefusedEvacuated
	case a.tracker.State() != instance.Ready:
		return RefusedNoBackend
	case a.tracker.Latest().Service != a.options.Service:
		return RefusedWrongService
	default:
		return 0
	}
}

// drain returns the emitted actions and clears them. It does not drain the back end.
func (a *Agent) drain() []Action {
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *Agent) emit(action Action) { a.actions = append(a.actions, action) }

// HandleOffer handles a balancer's offer of a new flow. The offer uses up the balancer's
// reservation.
func (a *Agent) HandleOffer(
	now time.Time, from netip.AddrPort, offer Offer, datagram *Datagram,
) []Action {
	tracked := a.flows[datagram.Key]
	a.reservations.remove(from)
	a.coldLimiter.configure(offer)
	if offer.MoreQueued && offer.Service == a.options.Service {
		a.reservations.enqueue(from)
	}
	if reason := a.offerRefusalReason(now, tracked, offer, datagram); reason != 0 {
		a.refuse(now, from, datagram.Key, reason)
		a.grantReservations(now)
		return a.drain()
	}
	if tracked != nil && tracked.openingNumber == datagram.Number && tracked.state == stateOpen {
		return a.drain() // a late retransmission
	}
	if tracked.isDifferentFlow(datagram) {
		a.untrack(tracked)
		a.coldLimiter.record(now)
		tracked = a.track(now, datagram.Key, stateOffered)
		tracked.openingNumber = datagram.Number
		a.markOutstanding(now, tracked)
	}
	tracked.balancer = from
	tracked.lastSeenAt = now
	a.emit(Decision{Event: EventAdmitted, Key: tracked.key, Service: offer.Service, Peer: from,
		Version: offer.Version, Load: a.Load(now)})
	a.emit(Deliver{Bytes: datagram.Bytes})
	a.grantReservations(now)
	return a.drain()
}

// offerRefusalReason returns the reason to refuse the offer, or 0 to admit it.
func (a *Agent) offerRefusalReason(
	now time.Time, tracked *trackedFlow, offer Offer, datagram *Datagram,
) RefusalReason {
	if reason := a.blockedReason(); reason != 0 {
		return reason
	}
	if offer.Service != a.options.Service {
		return RefusedWrongService
	}
	if tracked == nil && a.Load(now).Full() ||
		tracked.isDifferentFlow(datagram) && a.atColdLimit(now) {
		return RefusedBusy
	}
	return 0
}

// isDifferentFlow reports whether the opening datagram starts another flow than f. That is so if f
// is nil, has another opening number, or is in a later state than stateHalfOpen.
func (f *trackedFlow) isDifferentFlow(datagram *Datagram) bool {
	return f == nil || f.openingNumber != datagram.Number || f.state > stateHalfOpen
}

// atColdLimit reports whether the back end may be cold and has reached its limit of new flows
// within coldWindow. Reservations count as new flows.
func (a *Agent) atColdLimit(now time.Time) bool {
	return a.coldLimiter.limit > 0 && a.tracker.MayBeCold(now) &&
		a.coldLimiter.atLimit(now, len(a.reservations.expiresAt))
}

// refuse sends a refusal of a flow to the balancer. If the reason is a lack of capacity, it queues
// the balancer for a reservation.
func (a *Agent) refuse(now time.Time, to netip.AddrPort, key flow.Key, reason RefusalReason) {
	if reason == RefusedBusy || reason == RefusedFull {
		a.reservations.enqueue(to)
	}
	a.refusals++
	a.emit(Send{To: to, Message: Refused{Key: key, Reason: reason, Load: a.Load(now)}})
	a.emit(Decision{Event: EventRefused, Key: key, Service: a.options.Service, Peer: to,
		Reason: reason.String()})
}

func (a *Agent) track(now time.Time, key flow.Key, state flowState) *trackedFlow {
	tracked := &trackedFlow{key: key, state: state, firstSeenAt: now, lastSeenAt: now}
	a.flows[key] = tracked
	return tracked
}

func (a *Agent) untrack(tracked *trackedFlow) {
	if tracked == nil {
		return
	}
	a.clearOutstanding(tracked)
	delete(a.flows, tracked.key)
}

// markOutstanding records that the back end has to send an answer on the flow.
func (a *Agent) markOutstanding(now time.Time, tracked *trackedFlow) {
	tracked.outstandingSince = now
	a.outstanding[tracked] = true
}

// clearOutstanding marks the flow as having no outstanding answer.
func (a *Agent) clearOutstanding(tracked *trackedFlow) { delete(a.outstanding, tracked) }
