// This file looks up the agents of flows that the balancer does not know: it buffers datagrams, has
// agents searched, queries other balancers, and decides when to read the agent records. It resets
// the caller if the flow is closed, and drops the datagrams if the holder is not found or limits
// are reached.

package handshake

import (
	"bytes"
	"net/netip"
	"time"
)

// A lookup is needed if routers have moved the flow from another balancer, or if this balancer has
// just started. After an outage many datagrams belong to flows that no agent holds, so the load of
// lookups is bounded: a limited number runs at once, the others are queued, and a flow whose holder
// was not found is looked up again only after a backoff, which doubles with each failure. Since
// concurrent lookups are limited, slow answers lower the rate of lookups.

// Timeouts and limits of flow lookups.
const (
	FlowQueryTimeout = 60 * time.Millisecond // for agents to answer whether they hold a flow
	MaxBuffered      = 16                    // datagrams that are buffered per flow during its lookup
	maxLookups       = 16                    // lookups that run at once
	maxQueuedLookups = 4096                  // flows that are queued for a lookup
	// maxSearchTimeouts is the number of timeouts after which a lookup skips the agents of the
	// search.
	maxSearchTimeouts = 2
	// minLookupBackoff is the backoff after the first failed lookup of a flow.
	minLookupBackoff = 50 * time.Millisecond
	// maxLookupBackoff is shorter than a caller's longest retransmission interval.
	maxLookupBackoff = time.Second
	// resetInterval is the minimum time between two resets of one flow. It is shorter than a
	// caller's shortest retransmission interval.
	resetInterval = 100 * time.Millisecond
	// callerTimeout is the time without a datagram after which a caller has given up. It is longer
	// than a caller's longest retransmission interval.
	callerTimeout = 2 * time.Second
	// DiscoveryTime is the time after a balancer's start in which its lookups wait for agents that
	// it does not know yet.
	DiscoveryTime       = 4 * time.Second
	maxQueriedBalancers = 16 // other balancers that are queried for one flow
	// The agent records in the store are read at most once per minRecordsInterval, so that many
	// flows share one read. The interval doubles up to maxRecordsInterval while the records name an
	// agent that cannot be queried, such as one on a machine that was lost.
	minRecordsInterval = time.Second
	maxRecordsInterval = 30 * time.Second
	// startupRecordsInterval replaces minRecordsInterval, without doubling, within DiscoveryTime of
	// the balancer's start.
	startupRecordsInterval = 300 * time.Millisecond
	// recordsLifetime is the maximum age of the records in a proof that no agent holds a flow.
	recordsLifetime = 30 * time.Second
)

// flowLookup is the lookup of the agent that holds one flow.
type flowLookup struct {
	queued           bool             // waits for a free lookup slot
	running          bool             // counts towards maxLookups
	searcher         netip.AddrPort   // agent that got the latest Search; zero: none
	pendingAgents    []netip.AddrPort // agents named in the pending Search; nil: none is pending
	queriedAgents    []netip.AddrPort // agents of completed searches; not queried again
	possibleHolders  []netip.AddrPort // agents that may hold the flow
	unprobed         []netip.AddrPort // those of them beyond maxNamedHolders in the pending Search
	probing          bool             // the pending Search requests probes of back ends
	probed           bool             // probes were requested in this lookup
	inconclusive     bool             // some agents could not be queried or have not answered
	searchTimeouts   int              // searches that timed out
	balancersQueried bool             // other balancers were queried
	named            netip.AddrPort   // agent that another balancer named as the holder; zero: none
	waiting          bool             // waits for agents, records or the start of probes
	nextRepeatAt     time.Time        // earliest time at which a datagram repeats the waiting lookup
	repeatInterval   time.Duration    // between two repetitions; 0: not repeated yet
}

// lookUpFlow buffers a datagram of a flow whose agent is not known, and starts a lookup of the
// agent. If the flow is closed, it resets the caller instead. It drops the datagram if MaxBuffered
// datagrams are buffered already, and during the backoff after a failed lookup, unless agents have
// changed since.
func (b *Balancer) lookUpFlow(now time.Time, entry *flowEntry, datagram *Datagram) {
	if entry.resetByRestart && now.Sub(b.startedAt) > fleetRestartResetPeriod {
		entry.closed, entry.resetByRestart = false, false // the flow may be open and be found now
	}
	if entry.closed {
		b.resetAgain(now, entry)
		return
	}
	if datagram.Kind == Reset && entry.lookup == nil {
		return // the caller has reset the flow; the back end detects this by itself
	}
	if now.Before(entry.nextLookupAt) && !b.agentsChangedAt.After(entry.lookupFailedAt) {
		return
	}
	if len(entry.buffered) < MaxBuffered {
		entry.buffered = append(entry.buffered, bytes.Clone(datagram.Bytes))
	}
	if entry.lookup != nil {
		b.repeatWaitingLookup(now, entry)
		return
	}
	entry.bufferedConfirms = datagram.Confirms
	entry.lookup = &flowLookup{}
	b.queueLookup(now, entry)
	b.startLookups(now)
}

// resetAgain repeats the reset of a closed flow, as the earlier one may have been lost, but at most
// once per resetInterval.
func (b *Balancer) resetAgain(now time.Time, entry *flowEntry) {
	if now.Sub(entry.resetAt) < resetInterval {
		return
	}
	entry.resetAt = now
	b.emit(ResetCaller{Key: entry.key, Confirms: entry.lastConfirms,
		FleetRestarted: entry.resetByRestart})
}

// continueLookup takes the next step of a lookup: it has the agents searched that were not queried
// yet, or else requests probes of the back ends that may hold the flow, at most once per lookup.
func (b *Balancer) continueLookup(now time.Time, entry *flowEntry) {
	lookup := entry.lookup
	lookup.probing = false
	remaining := b.agentsToQuery(now, entry)
	switch {
	case len(remaining) > 0:
		b.startSearch(now, entry, remaining)
	case len(lookup.possibleHolders) > 0 && !lookup.probed && !now.Before(entry.nextProbeAt):
		b.requestProbes(now, entry)
	default:
		b.handleHolderNotFound(now, entry)
	}
}

// startSearch selects an agent and requests it to query the given agents for the flow.
func (b *Balancer) startSearch(now time.Time, entry *flowEntry, agents []netip.AddrPort) {
	lookup := entry.lookup
	searcher := b.selectSearcher(now, lookup, len(agents))
	if searcher == nil {
		lookup.inconclusive = true
		b.handleHolderNotFound(now, entry)
		return
	}
	b.emit(Decision{Event: EventLookup, Key: entry.key, Peer: searcher.address, Attempts: len(agents)})
	b.sendSearch(now, entry, searcher, agents, nil)
}

// sendSearch sends a Search for the flow to an agent and sets the deadline of the answer. With a
// datagram, it requests probes of the agents' back ends.
func (b *Balancer) sendSearch(
	now time.Time, entry *flowEntry, searcher *agentState, agents []netip.AddrPort, datagram []byte,
) {
	lookup := entry.lookup
	lookup.searcher = searcher.address
	lookup.pendingAgents = agents
	entry.sentAt = now
	b.setDeadline(entry, now.Add(2*FlowQueryTimeout+searcher.offerTimeout()))
	b.emit(Send{To: searcher.address, Message: Search{Key: entry.key, Confirms: entry.bufferedConfirms,
		Agents: agents, Datagram: datagram, RequestNumber: entry.requestNumber}})
}

// handleSearchAnswer handles the answer to a Search. A holder that it names is accepted even if the
// answer is late.
func (b *Balancer) handleSearchAnswer(now time.Time, from netip.AddrPort, answer SearchAnswer) {
	entry := b.flows[answer.Key]
	if entry == nil || entry.agent.IsValid() || entry.lookup == nil {
		return
	}
	if answer.Agent.IsValid() && entry.sentForThisFlow(answer.RequestNumber) {
		b.completeLookup(now, entry, answer.Agent)
		return
	}
	lookup := entry.lookup
	if lookup.searcher != from || lookup.pendingAgents == nil ||
		answer.RequestNumber != entry.requestNumber {
		return // a late answer, which does not cover the agents of the pending Search
	}
	entry.requestNumber++
	lookup.inconclusive = lookup.inconclusive || answer.Unanswered > 0
	if lookup.probing {
		b.handleProbeResult(now, entry, answer)
		b.startLookups(now)
		return
	}
	lookup.queriedAgents = append(lookup.queriedAgents, lookup.pendingAgents...)
	lookup.pendingAgents = nil
	lookup.possibleHolders = append(lookup.possibleHolders, answer.PossibleHolders...)
	b.continueLookup(now, entry)
	b.startLookups(now)
}

// sentForThisFlow reports whether the search with the number was for this flow, and not for an
// earlier one with the same key. Numbers wrap around.
func (f *flowEntry) sentForThisFlow(requestNumber uint32) bool {
	return int32(requestNumber-f.firstRequest) >= 0
}

// handleQueryAnswer handles an agent's answer to FlowQuery. If the flow's agent does not confirm
// that it holds the flow, the agent is cleared, and the caller's next datagram starts a lookup,
// unless the agent has been probed and has only restarted. If an agent that another balancer has
// named may hold the flow, the lookup succeeds.
func (b *Balancer) handleQueryAnswer(now time.Time, from netip.AddrPort, answer FlowQueryAnswer) {
	entry := b.flows[answer.Key]
	if entry != nil && entry.agent == from && answer.Holding != Holds &&
		!b.hasOnlyRestarted(from, answer) {
		entry.agent = netip.AddrPort{}
		b.emit(Decision{Event: EventNotHeld, Key: entry.key, Peer: from, Reason: reasonAnotherFlow})
		return
	}
	if entry == nil || entry.agent.IsValid() || entry.lookup == nil {
		return
	}
	named := from == entry.lookup.named && answer.Holding == HoldsPossibly
	if named || answer.Holding == Holds {
		b.completeLookup(now, entry, from)
	}
}

// hasOnlyRestarted reports whether the answer to an agent probe shows that the agent has restarted:
// it does not know the flow, which its back end may hold.
func (b *Balancer) hasOnlyRestarted(agent netip.AddrPort, answer FlowQueryAnswer) bool {
	probe := b.agentProbeOf(agent)
	return probe != nil && probe.key == answer.Key && answer.Holding == HoldsPossibly
}

// completeLookup ends a lookup that has found the flow's agent, and forwards the buffered datagrams
// to it.
func (b *Balancer) completeLookup(now time.Time, entry *flowEntry, agent netip.AddrPort) {
	b.assignAgent(now, entry, agent, EventHolderFound)
	b.startLookups(now)
}

// handleLookupDeadline handles the deadline of a lookup: of a Search that was not answered, or of a
// wait after which the lookup is retried.
func (b *Balancer) handleLookupDeadline(now time.Time, entry *flowEntry) {
	lookup := entry.lookup
	if lookup.pendingAgents == nil {
		if lookup.waiting {
			lookup.discardUncertain()
		}
		b.requeueLookup(now, entry)
		return
	}
	entry.requestNumber++
	if lookup.probing {
		lookup.pendingAgents = nil
		b.continueLookup(now, entry) // queries agents that were discovered in the meantime
		return
	}
	lookup.searchTimeouts++
	if lookup.searchTimeouts >= maxSearchTimeouts {
		lookup.inconclusive = true
		lookup.queriedAgents = append(lookup.queriedAgents, lookup.pendingAgents...)
	}
	lookup.pendingAgents = nil
	b.continueLookup(now, entry)
}

// handleHolderNotFound handles a lookup that can query or probe no further agent. The flow is
// closed if all agents are known and certainly do not hold it, and other balancers were queried:
// one of them may have opened the flow at a new agent that is not known here yet. After a
// fleet-wide restart a caller whose requests may be retried is reset. Soon after its start the
// balancer waits for more agents. Otherwise an unreachable agent may hold the flow, and the lookup
// is abandoned without a reset.
func (b *Balancer) handleHolderNotFound(now time.Time, entry *flowEntry) {
	lookup := entry.lookup
	b.releaseLookupSlot(entry)
	certain := !lookup.inconclusive && len(b.agentsToQuery(now, entry)) == 0 &&
		b.allAgentsQueryable(now)
	b.recordsWanted = b.recordsWanted || !lookup.inconclusive && !certain
	switch {
	case certain && len(lookup.possibleHolders) == 0 &&
		(lookup.balancersQueried || b.neighbors.count() == 0):
		b.closeFlow(now, entry, reasonNoHolder)
	case !lookup.inconclusive && len(b.agentsToQuery(now, entry)) == 0 && b.mayRetry(entry) &&
		b.fleetRestarted(now, lookup.possibleHolders):
		b.resetAfterFleetRestart(now, entry)
	case !lookup.balancersQueried:
		b.queryBalancers(now, entry)
		b.setDeadline(entry, now.Add(2*FlowQueryTimeout))
	case b.discovering(now):
		lookup.waiting = true
		b.setDeadline(entry, b.lookupRetryTime(now, lookup))
	default:
		b.abandonLookup(now, entry)
	}
}

// SetPlannedStops sets whether the records contain an agent that was recently stopped as planned.
func (b *Balancer) SetPlannedStops(found bool) { b.plannedStops = found }

// SetRecords sets the addresses of all agents that are recorded in the store, as read at readAt.
// Waiting lookups are retried at the next Tick.
func (b *Balancer) SetRecords(now, readAt time.Time, agents []netip.AddrPort) {
	b.recordedAgents = agents
	b.recordsReadAt = readAt
	b.agentTable.markRecorded(agents)
	b.recordsWanted = false
	b.recordsBackoff = min(max(2*b.recordsBackoff, minRecordsInterval), maxRecordsInterval)
	if b.allAgentsQueryable(now) {
		b.recordsBackoff = 0
	}
	b.nextRecordsRead = now.Add(b.recordsInterval(now))
	b.agentTable.agentAdded = true
}

// recordsInterval returns the minimum interval until the records are read again. It is short after
// a balancer's start, which may follow an outage: agents withdraw the records of back ends that
// have not restarted, and many callers wait.
func (b *Balancer) recordsInterval(now time.Time) time.Duration {
	if now.Sub(b.startedAt) < DiscoveryTime {
		return startupRecordsInterval
	}
	return max(b.recordsBackoff, minRecordsInterval)
}

// RecordsDue reports whether the records should be read now and passed to SetRecords, because a
// complete list of agents may prove that a flow is closed. The interval between reads grows while
// the records name an unreachable agent.
func (b *Balancer) RecordsDue(now time.Time) bool {
	return b.recordsWanted && !now.Before(b.nextRecordsRead)
}

// allAgentsQueryable reports whether every agent that may hold flows can be queried: those recorded
// in the store and those known to this balancer. It is false if the records are older than
// recordsLifetime. Agents that started while the store was unavailable announce themselves within
// DiscoveryTime.
func (b *Balancer) allAgentsQueryable(now time.Time) bool {
	fresh := !b.recordsReadAt.IsZero() && now.Sub(b.recordsReadAt) <= recordsLifetime
	return fresh && b.agentTable.allQueryable(now, b.recordedAgents, b.recordsReadAt)
}

// queryBalancers queries other balancers for the flow's agent, which may not be known here.
func (b *Balancer) queryBalancers(now time.Time, entry *flowEntry) {
	entry.lookup.balancersQueried = true
	for _, other := range b.neighbors.nearest(now) {
		b.emit(Send{To: other, Message: FlowQuery{Key: entry.key, Confirms: entry.bufferedConfirms}})
	}
}

// abandonLookup drops the buffered datagrams and delays the flow's next lookup.
func (b *Balancer) abandonLookup(now time.Time, entry *flowEntry) {
	entry.lookupBackoff = min(max(2*entry.lookupBackoff, minLookupBackoff), maxLookupBackoff)
	if lookup := entry.lookup; !lookup.inconclusive && len(lookup.possibleHolders) > 0 &&
		!b.starting(now) {
		// All agents have answered, and back ends can be probed again only later. A balancer that
		// has just started may soon discover further agents, so it keeps the shorter backoff.
		entry.lookupBackoff = maxLookupBackoff
	}
	entry.nextLookupAt = now.Add(entry.lookupBackoff)
	entry.lookupFailedAt = now
	b.emit(Decision{Event: EventLost, Key: entry.key, Attempts: len(entry.lookup.queriedAgents),
		Reason: reasonHolderNotFound, Age: entry.lookupBackoff})
	b.endLookup(entry)
}

// endLookup ends the flow's lookup, if there is one, and drops the buffered datagrams.
func (b *Balancer) endLookup(entry *flowEntry) {
	if entry.lookup == nil {
		return
	}
	b.releaseLookupSlot(entry)
	entry.requestNumber++ // an answer to a pending Search is late from now on
	entry.lookup = nil
	entry.buffered = nil
}

// closeFlow closes a flow that no agent holds. The caller is reset now, and again when it sends.
func (b *Balancer) closeFlow(now time.Time, entry *flowEntry, reason string) {
	attempts := 0
	if entry.lookup != nil {
		attempts = len(entry.lookup.queriedAgents)
	}
	b.endLookup(entry)
	entry.closed = true
	entry.resetAt = now
	b.emit(Decision{Event: EventLost, Key: entry.key, Attempts: attempts, Reason: reason})
	b.emit(ResetCaller{Key: entry.key, Confirms: entry.lastConfirms})
}
