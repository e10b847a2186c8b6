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
// by any balancer query them first. Short flows end before they are replicated.

// Parameters of the replication of locations.
const (
	locationReplicas = 2 // agents that store a flow's location
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
	dueAt time.Time
}

// scheduleReplication schedules the replication of the flow's location.
func (b *Balancer) scheduleReplication(now time.Time, entry *flowEntry) {
	b.unreplicated = append(b.unreplicated,
		unreplicatedFlow{entry, entry.agent, now.Add(replicationDelay)})
}

// replicateLocations sends the locations that are due to the agents that store them, except those
// of flows that have ended.
func (b *Balancer) replicateLocations(now time.Time) {
	if now.Before(b.nextReplicationAt) {
		return
	}
	b.nextReplicationAt = now.Add(replicationInterval)
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
	location := FlowLocation{Key: entry.key, Confirms: entry.lastConfirms, Agent: entry.agent}
	for _, agent := range b.locationReplicas(now, entry) {
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
