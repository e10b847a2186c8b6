package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/instance"
)

// Times and bounds of an agent's flows.
const (
	HalfOpenTime = 3 * time.Second // after which a flow that was not confirmed is forgotten
	BusyTime     = 5 * time.Second // after which a request without an answer no longer counts as work
	EndedTime    = 5 * time.Second // for which a flow that has ended is remembered
	tentativeTTL = 2 * time.Second // for which a datagram tried at the back end may be answered
)

// A flow that its caller has not confirmed counts as work for confirmPatience times as
// long as callers take to confirm, within these bounds: it may have opened at another
// back end, or not at all.
const (
	leastUnconfirmedTime = 40 * time.Millisecond
	mostUnconfirmedTime  = 300 * time.Millisecond
	confirmPatience      = 4
	confirmDecay         = 16 // that time follows a longer one at once, a shorter one by this part
)

// AgentOptions are what an agent's decider is made of.
type AgentOptions struct {
	Zone    catalog.ZoneName    // of the agent and its back end
	Service catalog.ServiceName // of the back end
	// FlowLifetime is how long a flow may last. For that time after its start an
	// agent may stand beside a back end that holds flows the agent does not know.
	FlowLifetime time.Duration
	// ReportInterval is the time between two reports of the back end.
	ReportInterval time.Duration
}

// Agent decides for the process beside one back end. What it knows of the back
// end decides whether a new flow reaches it, whatever balancers believe.
type Agent struct {
	options      AgentOptions
	tracker      *instance.Tracker
	flows        map[flow.Key]*heldFlow
	owing        map[*heldFlow]bool // flows whose back end owes an answer: its work
	leaving      bool
	gone         bool          // nothing runs beside it any more, and it is about to end
	evacuated    bool          // its zone is evacuated
	confirm      time.Duration // that callers take to confirm a back end's number; 0: not known yet
	reservations reservations
	pace         pace
	searches     []*search           // for balancers, in the order in which they began
	census       uint32              // number of the latest census
	nextCensus   time.Time           // no census begins before
	tried        map[flow.Key]*tried // flows whose trier this agent is
	triesFrom    time.Time           // before it, datagrams are tried for no balancer
	lastTick     time.Time           // zero: none yet
	proof        *heldFlow           // given back by a back end that would hold it had it lived on; nil: none
	provedAt     time.Time           // when
	over         []*heldFlow         // of an earlier life of the back end; their balancers are yet to be told
	lives        uint64              // changes of the back end's life whose work was forgotten
	refusals     uint64
	started      time.Time
	nextSweep    time.Time
	actions      []Action
}

// flowState says how far a flow has come at one back end.
type flowState uint8

const (
	stateOffered   flowState = iota // the back end has the opening datagram
	stateHalfOpen                   // it has answered
	stateOpen                       // the caller has confirmed its answer
	stateTentative                  // a datagram of a flow not known here was tried
	stateEnded
)

// heldFlow is what an agent knows about one flow.
type heldFlow struct {
	key        flow.Key
	state      flowState
	balancer   netip.AddrPort // that sent the latest datagram
	opening    uint32         // number of the opening datagram
	number     uint32         // of the back end
	begun      time.Time      // when it became known here
	seen       time.Time
	spokeFirst time.Time // when the back end took it, or first spoke on it here; zero: it has not
	spokeLast  time.Time // and last
	owedAt     time.Time // since when the back end owes an answer, if it does
	acceptedAt time.Time // when the back end's number came; zero: unknown
	finished   uint8     // ends that have finished, as bits
	latest     uint32    // what the caller's latest datagram confirmed; 0: none is known
	// content is the caller's that has passed. What the caller sends once more is no further work: the back end may
	// have answered it already, and then would seem busy with it for BusyTime.
	content contentMark
	// unsure says that the agent has not known the flow from its opening on, and has seen no
	// answer on it: what is owed may have been answered before the agent's start.
	unsure bool
}

// Bits of heldFlow.finished.
const (
	callerFinished  = 1
	backendFinished = 2
	bothFinished    = callerFinished | backendFinished
)

// NewAgent returns a decider that knows no back end yet.
func NewAgent(now time.Time, options AgentOptions) *Agent {
	return &Agent{
		options:      options,
		tracker:      instance.NewTracker(options.Service, options.ReportInterval),
		flows:        map[flow.Key]*heldFlow{},
		owing:        map[*heldFlow]bool{},
		reservations: newReservations(),
		started:      now,
		census:       uint32(now.UnixNano()), // answers to an agent's earlier life count for none of its censuses
		tried:        map[flow.Key]*tried{},
		triesFrom:    now.Add(trySettleTime),
	}
}

// Tracker returns what is known about the back end.
func (a *Agent) Tracker() *instance.Tracker { return a.tracker }

// Flows returns the number of flows known.
func (a *Agent) Flows() int { return len(a.flows) }

// Refusals returns how many offers were refused since the start.
func (a *Agent) Refusals() uint64 { return a.refusals }

// OpenFlow is one open flow, for operators.
type OpenFlow struct {
	Key   flow.Key
	Begun time.Time
	Seen  time.Time // latest datagram
}

// Open returns the open flows, in no order.
func (a *Agent) Open() []OpenFlow {
	var open []OpenFlow
	for _, held := range a.flows {
		if held.state == stateOpen {
			open = append(open, OpenFlow{Key: held.key, Begun: held.begun, Seen: held.seen})
		}
	}
	return open
}

// Unfinished returns the number of flows that are open.
func (a *Agent) Unfinished() int {
	open := 0
	for _, held := range a.flows {
		if held.state == stateOpen || held.state == stateHalfOpen {
			open++
		}
	}
	return open
}

// HoldsNothing says whether the back end has left, is gone, or was never there, and holds no flow for certain.
func (a *Agent) HoldsNothing(now time.Time) bool {
	if a.gone || a.tracker.NobodyThere() {
		return true
	}
	return a.tracker.State() == instance.Leaving && !a.expectsDatagrams() && a.unknownHolding(now) == HoldsNot
}

// expectsDatagrams says whether the back end may speak on a flow that is known.
func (a *Agent) expectsDatagrams() bool {
	for _, held := range a.flows {
		if held.state != stateEnded {
			return true
		}
	}
	return false
}

// EndWithoutBackend notes, of an agent that is about to end, that nothing runs at the back end's address any more: whatever was
// held there is gone.
func (a *Agent) EndWithoutBackend() {
	a.leaving = true
	a.gone = true
}

// IsBesideNobody says whether the back end has given no sign since the agent started, and nothing was found at its address. Such
// an agent has nothing to tell: its machine may be about to be taken away, and balancers that had heard it
// could not tell that from a machine that is cut off.
func (a *Agent) IsBesideNobody() bool { return a.tracker.Unseen() }

// Leave makes the agent refuse new flows because it is about to stop.
func (a *Agent) Leave() { a.leaving = true }

// Evacuate takes in which zones are evacuated. An agent of one of them refuses new flows, whatever
// balancers believe; open flows stay.
func (a *Agent) Evacuate(set evacuation.Set) {
	before := a.evacuated
	a.evacuated = set.Has(a.options.Zone)
	if before && !a.evacuated {
		a.tracker.ExpectCold() // back ends may turn cold before their zone is taken back
	}
}

// Load returns how busy the back end is. Reservations count as work.
func (a *Agent) Load(now time.Time) Load {
	return Load{
		Accepts: a.accepts() == 0,
		Busy:    uint32(len(a.owing) + len(a.reservations.until)),
		Slots:   a.tracker.Latest().Slots,
		Cold:    a.tracker.Cold(now),
		Suspect: a.tracker.Outcomes().Suspect(now),
		Paced:   a.paced(now),
	}
}

// accepts returns why the back end gets no new flows, 0 if it does.
func (a *Agent) accepts() RefusalReason {
	switch {
	case a.leaving || a.tracker.State() == instance.Leaving:
		return RefusedLeaving
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

func (a *Agent) take() []Action {
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *Agent) act(action Action) { a.actions = append(a.actions, action) }

// Offered handles a balancer's offer of a new flow.
func (a *Agent) Offered(now time.Time, from netip.AddrPort, offer Offer, datagram *Datagram) []Action {
	held := a.flows[datagram.Key]
	a.reservations.end(from)
	a.pace.configure(offer)
	if offer.Waiting && offer.Service == a.options.Service {
		a.reservations.join(from)
	}
	if reason := a.refusal(now, held, offer, datagram); reason != 0 {
		a.refuse(now, from, datagram.Key, reason)
		a.reserve(now)
		return a.take()
	}
	if held != nil && held.opening == datagram.Number && held.state == stateOpen {
		return a.take() // a late copy
	}
	if held.isOther(datagram) {
		a.drop(held)
		a.pace.note(now)
		held = a.hold(now, datagram.Key, stateOffered)
		held.opening = datagram.Number
		a.owe(now, held)
	}
	held.balancer = from
	held.seen = now
	a.act(Decision{Event: EventAdmitted, Key: held.key, Service: offer.Service, Peer: from, Version: offer.Version, Load: a.Load(now)})
	a.act(Deliver{Bytes: datagram.Bytes})
	a.reserve(now)
	return a.take()
}

// refusal returns why an offer is refused, 0 if it is not.
func (a *Agent) refusal(now time.Time, held *heldFlow, offer Offer, datagram *Datagram) RefusalReason {
	if reason := a.accepts(); reason != 0 {
		return reason
	}
	if offer.Service != a.options.Service {
		return RefusedWrongService
	}
	if held == nil && a.Load(now).Full() || held.isOther(datagram) && a.paced(now) {
		return RefusedBusy
	}
	return 0
}

// isOther says whether the opening datagram is of another flow than the one that is held, which may be none.
func (f *heldFlow) isOther(datagram *Datagram) bool {
	return f == nil || f.opening != datagram.Number || f.state > stateHalfOpen
}

// paced says whether the back end is cold, or may be, and gets no new flow before the latest second has
// passed. Reservations count as flows.
func (a *Agent) paced(now time.Time) bool {
	return a.pace.bound > 0 && a.tracker.MayBeCold(now) && a.pace.reached(now, len(a.reservations.until))
}

func (a *Agent) refuse(now time.Time, to netip.AddrPort, key flow.Key, reason RefusalReason) {
	if reason == RefusedBusy || reason == RefusedFull {
		a.reservations.join(to)
	}
	a.refusals++
	a.act(Send{To: to, Message: Refused{Key: key, Reason: reason, Load: a.Load(now)}})
	a.act(Decision{Event: EventRefused, Key: key, Service: a.options.Service, Peer: to, Reason: reason.String()})
}

func (a *Agent) hold(now time.Time, key flow.Key, state flowState) *heldFlow {
	held := &heldFlow{key: key, state: state, begun: now, seen: now}
	a.flows[key] = held
	return held
}

func (a *Agent) drop(held *heldFlow) {
	if held == nil {
		return
	}
	a.settle(held)
	delete(a.flows, held.key)
}

// owe notes that the back end owes an answer on the flow.
func (a *Agent) owe(now time.Time, held *heldFlow) {
	held.owedAt = now
	a.owing[held] = true
}

// settle notes that the back end owes nothing on the flow.
func (a *Agent) settle(held *heldFlow) { delete(a.owing, held) }
