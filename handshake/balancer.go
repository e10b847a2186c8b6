// This file contains the state of a balancer and of its flows, the limits of openings, the dispatch
// of datagrams and messages to their handlers, and the periodic tick. It applies configurations and
// evacuations, reports readiness and placements of flows, and removes expired state.

package handshake

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// Timeouts, intervals and limits of a balancer.
const (
	MinOfferTimeout = 40 * time.Millisecond  // minimum timeout of an offer
	MaxOfferTimeout = 250 * time.Millisecond // maximum timeout of an offer
	// MaxOffers is the number of offers of one opening in a round after which a timeout causes no
	// further offer. A refusal still does. A new round starts when a queued opening is placed, or
	// when an opening is retransmitted after its rejection or with no further agent to offer it to.
	MaxOffers      = 4
	OpeningTimeout = 3 * time.Second        // maximum idle time of a flow whose agent is not known
	IdleTimeout    = 20 * time.Second       // maximum idle time of a flow whose agent is known
	QueueTimeout   = 700 * time.Millisecond // maximum time that an opening is queued
	MaxQueued      = 4096                   // maximum number of queued openings
	StartupTime    = time.Second            // after the start, while some agents may be unknown
	// RetransmitTime is the time after a caller's opening datagram from which another balancer may
	// have received a retransmission of it. It must be shorter than a caller's first retransmission
	// interval. A longer interval between two ticks counts as a stall.
	RetransmitTime = 180 * time.Millisecond
	sweepInterval  = 250 * time.Millisecond // between two removals of expired state
)

// BalancerOptions configures a Balancer.
type BalancerOptions struct {
	Zone   catalog.ZoneName
	Region string
	Random *rand.Rand
	// ColdOvershoot and ColdSlack limit the new flows that a cold back end gets in any window of
	// one second: to the configured rate times ColdOvershoot (at least 1), plus ColdSlack.
	ColdOvershoot, ColdSlack float64
}

// Balancer is the state machine of a balancer process. It places new flows on agents and looks up
// the agents of flows that other balancers have opened.
type Balancer struct {
	options        BalancerOptions
	agentTable     *AgentTable
	neighbors      *neighbors
	table          *routing.Table
	splitter       *routing.Splitter
	flows          map[flow.Key]*flowEntry
	pending        map[flow.Key]*flowEntry // flows with a deadline
	queued         []*flowEntry            // openings; those with queued unset are skipped
	lookupQueue    []*flowEntry            // flows queued for a lookup; some may not need it any more
	activeLookups  int                     // running lookups, at most maxLookups
	recordedAgents []netip.AddrPort        // agents that have a record in the store
	recordsReadAt  time.Time               // when these records were read; zero: not yet
	plannedStops   bool                    // an agent among them was recently stopped as planned
	// recordsFirstWantedAt is when the records were first needed for a conclusion; zero: not yet.
	recordsFirstWantedAt time.Time
	// recordsWanted is set by a lookup that needs a current list of recorded agents to prove that
	// its flow is closed. SetRecords clears it.
	recordsWanted          bool
	nextRecordsRead        time.Time                         // earliest time of the next read
	recordsBackoff         time.Duration                     // until the next read; 0: none
	nextReservationRequest map[catalog.ServiceName]time.Time // earliest time of the next requests
	agentsChangedAt        time.Time                         // last change of agents, or records read
	startedAt              time.Time
	lastTickAt             time.Time
	stallEndedAt           time.Time // end of the last stall that was longer than RetransmitTime
	nextSweepAt            time.Time
	unreplicated           []unreplicatedFlow // a repair waits for those before it
	nextReplicationAt      time.Time
	probedAgents           []*agentProbe // probes for reachability, at most maxProbedAgents
	disturbance            disturbance   // whether shutdown notices may have been missed
	actions                []Action
}

// flowEntry is a balancer's state of one flow.
type flowEntry struct {
	key        flow.Key
	service    catalog.ServiceName
	lastSeenAt time.Time
	deadline   time.Time // of the pending offer or lookup; zero: none

	// State of the opening. sentAt also applies to searches for the holder of an open flow.
	openingNumber   uint32
	opening         []byte           // the latest copy of the datagram; nil: none received
	offeredTo       []netip.AddrPort // agents to which it was offered in the current round
	refusals        int              // of these offers
	accepts         []accept         // accepting answers so far
	sentAt          time.Time        // when the last offer or search was sent
	queued          bool             // waits in Balancer.queued
	queuedAt        time.Time        // when it was first queued; zero: not yet
	version         routing.Version  // of the last offer; 0: not offered by this balancer
	priority        uint             // of its route at the last placement; 0 is the highest
	latencyTarget   time.Duration    // of its route at the last placement; 0: none
	startedAt       time.Time        // estimated time of the caller's first opening datagram
	retransmits     uint32           // highest Datagram.Retransmits received
	retransmittedAt time.Time        // when that datagram was received
	// possiblyOpen is set if the flow may be open without this balancer's knowledge: through
	// another balancer, or by an offer whose answer was lost. Such a flow is not reset for lack of
	// an agent.
	possiblyOpen bool

	// State of a flow that is open or closed, or whose lookup is queued or running.
	agent            netip.AddrPort   // zero: not known
	agentSetAt       time.Time        // when agent was set
	replicas         []netip.AddrPort // agents to which the location was last replicated
	buffered         [][]byte         // datagrams that await the end of the lookup
	bufferedConfirms uint32           // number that the first buffered datagram acknowledges
	lastConfirms     uint32           // number that the caller's latest datagram acknowledges
	lookup           *flowLookup      // nil: no lookup is queued or running
	nextLookupAt     time.Time        // earliest time of the next lookup
	requestNumber    uint32           // Search.RequestNumber of the current or next search
	firstRequest     uint32           // of the first search for this flow; earlier ones were for others
	nextProbeAt      time.Time        // earliest time of the next probe of back ends
	lookupFailedAt   time.Time        // last failed lookup; a later change of agents ends the backoff
	lookupBackoff    time.Duration    // backoff after the last failed lookup
	closed           bool             // the flow is closed, or resetByRestart is set
	resetByRestart   bool             // no process knew the flow after a fleet-wide restart
	resetAt          time.Time        // when the caller was last reset

	// What the caller has sent through this balancer.
	content  contentProgress
	finished bool // the caller has nothing more to send, or has given up
}

// accept is a back end's acceptance of an opening.
type accept struct {
	agent  netip.AddrPort
	number uint32 // Datagram.Number of the Accept
}

// NewBalancer returns a Balancer without configuration, agents or flows.
func NewBalancer(now time.Time, options BalancerOptions) *Balancer {
	return &Balancer{
		options:                options,
		agentTable:             NewAgentTable(options.Zone, options.Region, options.Random),
		neighbors:              newNeighbors(options.Zone),
		splitter:               routing.NewSplitter(),
		flows:                  map[flow.Key]*flowEntry{},
		nextReservationRequest: map[catalog.ServiceName]time.Time{},
		pending:                map[flow.Key]*flowEntry{},
		startedAt:              now,
		lastTickAt:             now,
	}
}

// AgentTable returns the table of known agents. It is not a copy.
func (b *Balancer) AgentTable() *AgentTable { return b.agentTable }

// Table returns the configuration in force, nil if there is none.
func (b *Balancer) Table() *routing.Table { return b.table }

// Placement is the service and agent of a flow, as known to a balancer.
type Placement struct {
	Service catalog.ServiceName // "": opened by another balancer or not placed yet
	Agent   netip.AddrPort      // that holds the flow, or got the last offer; zero: not known
	Version routing.Version     // of the configuration at the offer; 0: not offered here
}

// Placement returns the placement of a flow, the zero value if the flow is not known.
func (b *Balancer) Placement(key flow.Key) Placement {
	entry := b.flows[key]
	if entry == nil {
		return Placement{}
	}
	placement := Placement{Service: entry.service, Agent: entry.agent, Version: entry.version}
	if !placement.Agent.IsValid() && len(entry.offeredTo) > 0 {
		// The caller's data may have arrived before the agent's answer.
		placement.Agent = entry.offeredTo[len(entry.offeredTo)-1]
	}
	return placement
}

// Flows returns the number of flows with an entry, also those that are opening or closed.
func (b *Balancer) Flows() int { return len(b.flows) }

// Configure applies a table if it is newer than the one in force. It reports whether it was
// applied.
func (b *Balancer) Configure(table *routing.Table) bool {
	if table.Version() <= b.table.Version() {
		return false
	}
	b.table = table
	return true
}

// SetEvacuations sets the evacuated zones, whose back ends get no new flows. The next tick places
// queued openings in other zones, or rejects them if no agent is left.
func (b *Balancer) SetEvacuations(set evacuation.Set) { b.agentTable.evacuations = set }

// Ready reports whether the balancer can serve: it has a configuration, and an agent is reachable.
func (b *Balancer) Ready(now time.Time) bool {
	return b.table != nil && b.agentTable.AnyReachable(now)
}

// drain returns the emitted actions and clears them.
func (b *Balancer) drain() []Action {
	actions := b.actions
	b.actions = nil
	return actions
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// HandleCallerDatagram handles a caller's datagram: it places a new flow, or forwards the datagram
// to the flow's agent, which it looks up if it is not known.
func (b *Balancer) HandleCallerDatagram(now time.Time, datagram *Datagram) []Action {
	entry := b.flows[datagram.Key]
	if datagram.Kind == Opening {
		b.handleOpening(now, entry, datagram)
		return b.drain()
	}
	if entry == nil {
		entry = b.addFlow(now, datagram.Key)
	}
	entry.lastSeenAt = now
	if !entry.matches(datagram) {
		// The datagram belongs to a later flow with the same key, opened by another balancer.
		b.endLookup(entry)
		entry.firstRequest = entry.requestNumber
		entry.agent, entry.closed, entry.resetByRestart = netip.AddrPort{}, false, false
		entry.content, entry.finished = contentProgress{}, false
	}
	entry.recordConfirms(datagram)
	b.forwardDatagram(now, entry, datagram)
	return b.drain()
}

// recordConfirms records the number that a caller's datagram acknowledges if its kind is Data. It
// ignores other datagrams.
func (f *flowEntry) recordConfirms(datagram *Datagram) {
	if datagram.Kind == Data {
		f.lastConfirms = datagram.Confirms
	}
}

func (b *Balancer) addFlow(now time.Time, key flow.Key) *flowEntry {
	entry := &flowEntry{key: key, lastSeenAt: now}
	b.flows[key] = entry
	return entry
}

func (b *Balancer) removeFlow(entry *flowEntry) {
	b.markDequeued(entry)
	b.endLookup(entry)
	delete(b.flows, entry.key)
	delete(b.pending, entry.key)
}

func (b *Balancer) setDeadline(entry *flowEntry, deadline time.Time) {
	entry.deadline = deadline
	b.pending[entry.key] = entry
}

func (b *Balancer) clearDeadline(entry *flowEntry) {
	entry.deadline = time.Time{}
	delete(b.pending, entry.key)
}

// HandleMessage handles a message from an agent or another balancer, except Status (HandleStatus)
// and NotHeld (HandleReturned).
func (b *Balancer) HandleMessage(now time.Time, from netip.AddrPort, message Message) []Action {
	b.recordAgentMessage(now, from)
	switch message := message.(type) {
	case Accepted:
		b.handleAccepted(now, from, message)
	case Refused:
		b.handleRefused(now, from, message)
	case FlowQueryAnswer:
		b.handleWitnessAnswer(from, message)
		if message.Holding == HoldsNoLonger {
			b.handleClosedNotice(now, from, message.Key)
			break
		}
		b.handleQueryAnswer(now, from, message)
	case ReservationGranted:
		b.handleReservationGranted(now, from, message)
	case SearchAnswer:
		b.handleSearchAnswer(now, from, message)
	case FlowQuery:
		b.handleQuery(from, message)
	case Hint:
		b.handleHint(message)
	}
	return b.drain()
}

// HandleStatus handles the status of an agent or another balancer.
func (b *Balancer) HandleStatus(now time.Time, from netip.AddrPort, status Status) {
	switch status.Role {
	case presence.RoleAgent:
		b.handleAgentStatus(now, from, status)
	case presence.RoleBalancer:
		b.neighbors.updateFromStatus(now, from, status)
	}
}

// HandleRecord handles a changed record of another process, from gossip or from this balancer's own
// monitoring.
func (b *Balancer) HandleRecord(now time.Time, record presence.Record) {
	switch record.Role {
	case presence.RoleAgent:
		b.agentTable.UpdateFromRecord(now, record)
	case presence.RoleBalancer:
		b.neighbors.updateFromRecord(now, record)
	}
}

// handleAgentStatus handles an agent's status. An agent that has announced its shutdown stays
// marked as shutting down until it restarts, even if an older status arrives late.
func (b *Balancer) handleAgentStatus(now time.Time, from netip.AddrPort, status Status) {
	if agent := b.agentTable.agents[from]; agent != nil && agent.status.ShuttingDown &&
		agent.status.Incarnation == status.Incarnation {
		status.ShuttingDown = true
	}
	b.agentTable.UpdateFromStatus(now, from, status)
	b.recordAgentMessage(now, from)
}

// Tick places queued openings, handles passed deadlines, retries waiting lookups, starts queued
// ones, checks the agent probes, replicates locations and removes expired state. The process must
// call it at intervals of at most RetransmitTime; a longer interval counts as a stall.
func (b *Balancer) Tick(now time.Time) []Action {
	b.detectStall(now)
	b.lastTickAt = now
	b.placeQueued(now)
	for _, entry := range b.overdue(now) {
		b.clearDeadline(entry)
		if entry.lookup != nil {
			b.handleLookupDeadline(now, entry)
			continue
		}
		b.handleOfferTimeout(now, entry)
	}
	b.retryWaitingLookups(now)
	b.startLookups(now)
	b.checkAgentProbes(now)
	b.replicateLocations(now)
	b.sweep(now)
	return b.drain()
}

// overdue returns the flows whose deadline is not after now, ordered by deadline and key.
func (b *Balancer) overdue(now time.Time) []*flowEntry {
	return b.pendingWhere(func(entry *flowEntry) bool { return !now.Before(entry.deadline) })
}

// pendingWhere returns the flows with a deadline for which match is true, ordered by deadline and
// key.
func (b *Balancer) pendingWhere(match func(*flowEntry) bool) []*flowEntry {
	var matching []*flowEntry
	for _, entry := range b.pending {
		if match(entry) {
			matching = append(matching, entry)
		}
	}
	slices.SortFunc(matching, func(x, y *flowEntry) int {
		return cmp.Or(x.deadline.Compare(y.deadline), x.key.Caller.Compare(y.key.Caller),
			x.key.Service.Compare(y.key.Service))
	})
	return matching
}

// sweep removes expired agents, balancers and flows.
func (b *Balancer) sweep(now time.Time) {
	if now.Before(b.nextSweepAt) {
		return
	}
	b.nextSweepAt = now.Add(sweepInterval)
	b.agentTable.Expire(now)
	b.neighbors.expire(now)
	for _, entry := range b.flows {
		limit := IdleTimeout
		if !entry.agent.IsValid() {
			limit = OpeningTimeout
		}
		if now.Sub(entry.lastSeenAt) > limit {
			b.removeFlow(entry)
		}
	}
}
