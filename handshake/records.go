package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// What the records of agents in the store say beside what was heard of them.

// noteRecords notes which agents are recorded.
func (b *Board) noteRecords(recorded []netip.AddrPort) {
	for _, address := range recorded {
		if agent := b.agents[address]; agent != nil {
			agent.recorded = true
		}
	}
}

// hearsAll says whether all agents that were ever heard, and all those that are recorded, can
// be asked for flows, but for those that hold none for certain.
func (b *Board) hearsAll(now time.Time, recorded []netip.AddrPort, recordedAt time.Time) bool {
	for _, address := range recorded {
		if b.agents[address] == nil {
			return false
		}
	}
	for _, agent := range b.order {
		if !agent.known(now) && !agent.status.HoldsNothing && !agent.withdrew(recorded, recordedAt) {
			return false
		}
	}
	return true
}

// withdrew says whether the agent has withdrawn its record since it was heard, which only one does whose back end
// holds nothing. One that has started so lately that its record was never seen counts only if it said that it leaves.
func (a *agentState) withdrew(recorded []netip.AddrPort, recordedAt time.Time) bool {
	if !recordedAt.After(a.heard) || slices.Contains(recorded, a.address) {
		return false
	}
	return a.recorded || a.status.Leaving
}
