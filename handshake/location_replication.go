// This file replicates the locations of a balancer's flows to agents other than their holders.

package handshake

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// The agents that store a flow's location are those that rank highest for its key, so that lookups
// by any balancer query them first. Short flows end before they are replicated. An agent that
// restarts loses what it stores; the balancers that know the flows send it again (repair).

// Parameters of the replication of locations.
const (
	locationReplicas = 3 // agents that store a flow's location
	// replicationDelay is the time after which a flow that has not ended is replicated.
	replicationDelay    = 250 * time.Millisecond
	replicationInterval = 50 * time.Millisecond // between two messages to one agent
	// maxReplicationBatch is the maximum number of flows that are replicated per
	// replicationInterval. Further ones wait.
	maxReplicationBatch = 500
)

// unreplicatedFlow is a flow whose location is due for replication.
type unreplicatedFlow struct {
	entry *flowEntry
	agent netip.AddrPort // that holds the flow
	to    netip.AddrPort // that has restarted and is to store the location; zero: all replicas
	dueAt time.Time
}

// scheduleReplication schedules the replication of the flow's location.
func (b *Balancer) scheduleReplication(now time.Time, entry *flowEntry) {
	b.unreplicated = append(b.unreplicated,
		unreplicatedFlow{entry: entry, agent: entry.agent, dueAt: now.Add(replicationDelay)})
}

// scheduleRepairs schedules that agents that have restarted get the locations again that they have
// lost: those that they stored, and those of the flows of their own back ends.
func (b *Balancer) scheduleRepairs(now time.Time) {
	restarted := b.agentTable.takeRestarted()
	if len(restarted) == 0 {
		return
	}
	var repairs []unreplicatedFlow
	repair := func(entry *flowEntry, agent netip.AddrPort) {
		if restarted[agent] {
			repairs = append(repairs,
				unreplicatedFlow{entry: entry, agent: entry.agent, to: agent, dueAt: now})
		}
	}
	for _, entry := range b.flows {
		repair(entry, entry.agent)
		for _, agent := range entry.replicas {
			repair(entry, agent)
		}
	}
	slices.SortFunc(repairs, func(x, y unreplicatedFlow) int { // decisions are deterministic
		return cmp.Or(x.entry.key.Caller.Compare(y.entry.key.Caller),
			x.entry.key.Service.Compare(y.entry.key.Service), x.to.Compare(y.to))
	})
	b.unreplicated = append(b.unreplicated, repairs...)
}

// replicateLocations sends the locations that are due to the agents that store them, except those
// of flows that have ended.
func (b *Balancer) replicateLocations(now time.Time) {
	if now.Before(b.nextReplicationAt) {
		return
	}
	b.nextReplicationAt = now.Add(replicationInterval)
	b.scheduleRepairs(now)
	batches := map[netip.AddrPort][]FlowLocation{}
	due := 0
	for due < min(len(b.unreplicated), maxReplicationBatch) && !now.Before(b.unreplicated[due].dueAt) {
		b.addToBatches(now, batches, b.unreplicated[due])
		due++
	}
	b.unreplicated = slices.Delete(b.unreplicated, 0, due)
	for _, agent := range slices.SortedFunc(maps.Keys(batches), netip.AddrPort.Compare) {
		for batch := range slices.Chunk(batches[agent], MaxLocationsPerMessage) {
			b.emit(Send{To: agent, Message: StoreLocations{Locations: batch}})
		}
	}
}

// addToBatches adds the flow's location to the batches of the agents that store it, unless the flow
// has ended or has been assigned to another agent since.
func (b *Balancer) addToBatches(
	now time.Time, batches map[netip.AddrPort][]FlowLocation, due unreplicatedFlow,
) {
	entry := due.entry
	if b.flows[entry.key] != entry || entry.agent != due.agent || entry.finished {
		return
	}
	receivers := []netip.AddrPort{due.to}
	if !due.to.IsValid() {
		entry.replicas = b.locationReplicas(now, entry)
		receivers = entry.replicas
	}
	location := FlowLocation{Key: entry.key, Confirms: entry.lastConfirms, Agent: entry.agent}
	for _, agent := range receivers {
		batches[agent] = append(batches[agent], location)
	}
}

// locationReplicas returns the agents that store the flow's location: those that rank highest for
// its key among its candidates, except its holder.
func (b *Balancer) locationReplicas(now time.Time, entry *flowEntry) []netip.AddrPort {
	agents := slices.DeleteFunc(b.routeCandidates(now, entry), func(agent netip.AddrPort) bool {
		return agent == entry.agent
	})
	slices.SortFunc(agents, func(x, y netip.AddrPort) int {
		return cmp.Compare(rankOf(entry.key, y), rankOf(entry.key, x))
	})
	return agents[:min(len(agents), locationReplicas)]
}
