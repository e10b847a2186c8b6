// This file tracks the other balancers that a balancer knows, selects those that it queries for the
// agent that holds a flow, and handles such queries and their answers.

package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/presence"
)

// A lookup queries other balancers if it has not found the holder of a flow, since the balancers
// from which routers have moved the flow know its agent. This helps balancers that have just
// started and may not know all agents yet.

// neighbors is the set of other balancers that a balancer knows.
type neighbors struct {
	zone      catalog.ZoneName // of this balancer
	balancers map[netip.AddrPort]*neighbor
}

// neighbor is another balancer.
type neighbor struct {
	address       netip.AddrPort
	zone          catalog.ZoneName
	lastSeenAt    time.Time
	startedAt     time.Time     // from its uptime or its record; zero: not known
	timeout       time.Duration // since lastSeenAt, after which it is unreachable
	knownByGossip bool          // it is running according to gossip, whenever it was last seen
}

func newNeighbors(zone catalog.ZoneName) *neighbors {
	return &neighbors{zone: zone, balancers: map[netip.AddrPort]*neighbor{}}
}

// updateFromStatus updates another balancer from its status.
func (n *neighbors) updateFromStatus(now time.Time, from netip.AddrPort, status Status) {
	started := startTimeOf(now, status)
	if previous := n.balancers[from]; previous != nil && started.IsZero() {
		// It is the same incarnation, since a process sends a full status first after a restart.
		started = previous.startedAt
	}
	knownByGossip := n.balancers[from] != nil && n.balancers[from].knownByGossip
	n.balancers[from] = &neighbor{address: from, zone: status.Zone, lastSeenAt: now,
		startedAt: started, timeout: max(QueryableTime, announcedTimeout(status)),
		knownByGossip: knownByGossip}
}

// updateFromRecord updates another balancer from a gossiped record, which may report it as failed.
func (n *neighbors) updateFromRecord(now time.Time, record presence.Record) {
	other := n.balancers[record.Address]
	switch {
	case other == nil && record.Failed:
		return
	case other == nil:
		other = &neighbor{address: record.Address, timeout: QueryableTime, lastSeenAt: now}
		n.balancers[record.Address] = other
	case record.Failed && record.StartedAt.Before(other.startedAt.Add(-fleetRestartSpan)):
		return // the record is of an earlier incarnation
	}
	other.zone = record.Zone
	if record.StartedAt.After(other.startedAt) {
		other.startedAt = record.StartedAt
	}
	if other.knownByGossip && record.Failed {
		other.lastSeenAt = now
	}
	other.knownByGossip = !record.Failed
}

// reachable reports whether the balancer was seen within its timeout or is running according to
// gossip.
func (n *neighbor) reachable(now time.Time) bool {
	return n.knownByGossip || now.Sub(n.lastSeenAt) <= n.timeout
}

// expire removes balancers that are no longer reachable.
func (n *neighbors) expire(now time.Time) {
	for address, other := range n.balancers {
		if !other.reachable(now) {
			delete(n.balancers, address)
		}
	}
}

// nearest returns the balancers to query for a flow, at most maxQueriedBalancers. Balancers of
// other zones are returned only if none in the own zone is reachable: routers move flows within a
// zone while it has balancers.
func (n *neighbors) nearest(now time.Time) []netip.AddrPort {
	var reachable []*neighbor
	closest := 1
	for _, other := range n.balancers {
		if other.reachable(now) {
			reachable = append(reachable, other)
			closest = min(closest, n.distance(other))
		}
	}
	reachable = slices.DeleteFunc(reachable, func(other *neighbor) bool {
		return n.distance(other) > closest
	})
	slices.SortFunc(reachable, func(a, b *neighbor) int { return a.address.Compare(b.address) })
	reachable = reachable[:min(len(reachable), maxQueriedBalancers)]
	addresses := make([]netip.AddrPort, 0, len(reachable))
	for _, other := range reachable {
		addresses = append(addresses, other.address)
	}
	return addresses
}

// distance returns 0 for a balancer in the own zone and 1 for any other.
func (n *neighbors) distance(other *neighbor) int {
	if other.zone == n.zone {
		return 0
	}
	return 1
}

// handleQuery answers another balancer's query for the agent that holds a flow.
func (b *Balancer) handleQuery(from netip.AddrPort, query FlowQuery) {
	hint := Hint{Key: query.Key}
	if entry := b.flows[query.Key]; entry != nil {
		hint.Agent = entry.knownHolder(query.Confirms)
	}
	b.emit(Send{To: from, Message: hint})
}

// knownHolder returns the agent that holds the flow as far as this balancer knows, zero if it does
// not know. That is the assigned agent, or else the one whose Accept has the number confirms. The
// assigned agent may hold an earlier flow with the same key, whose numbers differ.
func (f *flowEntry) knownHolder(confirms uint32) netip.AddrPort {
	if f.agent.IsValid() && sameFlowConfirms(f.lastConfirms, confirms) {
		return f.agent
	}
	agent, _ := f.acceptedBy(confirms)
	return agent
}

// handleHint handles another balancer's answer to a FlowQuery. It queries the named agent itself,
// because the agent may know that the flow has ended.
func (b *Balancer) handleHint(hint Hint) {
	entry := b.flows[hint.Key]
	if entry == nil || entry.lookup == nil || !hint.Agent.IsValid() {
		return
	}
	if b.agentTable.agents[hint.Agent] == nil {
		entry.lookup.inconclusive = true // an agent that is not known here may hold the flow
	}
	entry.lookup.named = hint.Agent
	b.emit(Send{To: hint.Agent, Message: FlowQuery{Key: entry.key, Confirms: entry.bufferedConfirms}})
}
