// This file compares the agents that are recorded in the store with the agent table, to determine
// whether all agents that may hold flows can be queried. Only then may a flow that none of them
// holds count as closed.

package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// markRecorded marks the known agents that are recorded in the store. The mark stays when an agent
// withdraws its record.
func (t *AgentTable) markRecorded(recorded []netip.AddrPort) {
	for _, address := range recorded {
		if agent := t.agents[address]; agent != nil {
			agent.recordSeen = true
		}
	}
}

// allQueryable reports whether all agents that may hold flows can be queried: those in the table
// and those recorded in the store, as read at recordedAt, except agents that hold no flow because
// they are drained or have withdrawn their records.
func (t *AgentTable) allQueryable(
	now time.Time, recorded []netip.AddrPort, recordedAt time.Time,
) bool {
	for _, address := range recorded {
		if t.agents[address] == nil {
			return false
		}
	}
	for _, agent := range t.sortedAgents {
		if !agent.queryable(now) && !agent.status.Drained &&
			!agent.recordWithdrawn(recorded, recordedAt) {
			return false
		}
	}
	return true
}

// recordWithdrawn reports whether the agent has withdrawn its record since it was last seen. An
// agent does so only when its back end holds no flow. A missing record that was never read may not
// have been published yet; it counts as withdrawn only if the agent has announced its shutdown.
func (a *agentState) recordWithdrawn(recorded []netip.AddrPort, recordedAt time.Time) bool {
	if !recordedAt.After(a.lastSeenAt) || slices.Contains(recorded, a.address) {
		return false
	}
	return a.recordSeen || a.status.ShuttingDown
}
