// This file repeats lookups that wait for a result soon after a balancer's start: when a datagram
// arrives, when agents are discovered or the records are read, and when probes may begin.

package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// repeatWaitingLookup queues a waiting lookup again when a datagram arrives, at increasing
// intervals: an agent may have learned of the flow since it was queried.
func (b *Balancer) repeatWaitingLookup(now time.Time, entry *flowEntry) {
	lookup := entry.lookup
	if !lookup.waiting || now.Before(lookup.nextRepeatAt) {
		return
	}
	lookup.repeatInterval = min(max(2*lookup.repeatInterval, minLookupBackoff), maxLookupBackoff)
	lookup.nextRepeatAt = now.Add(lookup.repeatInterval)
	lookup.discardUncertain()
	b.requeueLookup(now, entry)
	b.startLookups(now)
}

// requeueLookup queues a lookup that waits for its deadline.
func (b *Balancer) requeueLookup(now time.Time, entry *flowEntry) {
	entry.lookup.waiting = false
	b.clearDeadline(entry)
	b.queueLookup(now, entry)
}

// discardUncertain discards the answers that later ones may contradict, so that the agents that
// gave them, those that have not answered, and the other balancers are queried again.
func (l *flowLookup) discardUncertain() {
	if l.inconclusive {
		l.queriedAgents = nil
	}
	l.queriedAgents = slices.DeleteFunc(l.queriedAgents, func(agent netip.AddrPort) bool {
		return slices.Contains(l.possibleHolders, agent)
	})
	l.possibleHolders, l.unprobed = nil, nil
	l.inconclusive, l.probed, l.balancersQueried = false, false, false
}

// lookupRetryTime returns when a lookup without a result is retried soon after the balancer's
// start: when it may request probes, if agents may hold the flow, or else at the end of
// DiscoveryTime.
func (b *Balancer) lookupRetryTime(now time.Time, lookup *flowLookup) time.Time {
	if probingStarts := b.startedAt.Add(flowProbeSettleTime); len(lookup.possibleHolders) > 0 &&
		now.Before(probingStarts) {
		return probingStarts
	}
	return b.startedAt.Add(DiscoveryTime)
}

// discovering reports whether the balancer has started so recently that the agent that holds a flow
// may not be known yet.
func (b *Balancer) discovering(now time.Time) bool {
	return now.Sub(b.startedAt) < DiscoveryTime && !b.allAgentsQueryable(now)
}

// retryWaitingLookups records changes of agents, and retries the waiting lookups if agents were
// discovered or the records were read.
func (b *Balancer) retryWaitingLookups(now time.Time) {
	if b.agentTable.agentAdded || b.agentTable.agentChanged {
		b.agentsChangedAt = now
		b.agentTable.agentChanged = false
	}
	if !b.agentTable.agentAdded {
		return
	}
	b.agentTable.agentAdded = false
	for _, entry := range b.pendingWhere(func(entry *flowEntry) bool {
		return entry.lookup != nil && entry.lookup.pendingAgents == nil
	}) {
		b.requeueLookup(now, entry)
	}
}
