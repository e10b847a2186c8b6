// This file detects fleet-wide restarts. For a limited time after one, it resets callers whose
// requests may be retried and whose flows no process knows.

package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// In a fleet-wide restart, all processes were killed at once and have restarted, while back ends
// may have kept running. No process knows the flows then, and only few back ends may be probed for
// each, so most lookups would fail and callers would wait until their deadlines. A caller that is
// reset opens a new flow at once. Planned restarts may restart all processes within
// fleetRestartSpan too, but agents that are stopped as planned leave a mark in their records.

// Limits that define a fleet-wide restart.
const (
	// fleetRestartSpan is the maximum difference between the start times of this balancer and of a
	// process that was killed at the same moment: machines take different times to start a process.
	fleetRestartSpan = 2 * time.Second
	// fleetRestartResetPeriod is how long after its start a balancer resets callers because of a
	// fleet-wide restart. It covers the retransmissions of what callers sent before the restart
	// (callerTimeout).
	fleetRestartResetPeriod = callerTimeout + callerTimeout/2
	// minFleetRestartShare is the share of the recorded agents that must be reachable after
	// fleetRestartGracePeriod; before, all must be. Some machines may have been lost at the same
	// moment.
	minFleetRestartShare    = 0.9
	fleetRestartGracePeriod = 1500 * time.Millisecond // for all machines to restart their processes
	// minFleetRestartProcesses is the minimum number of other processes that have restarted, so
	// that a planned restart of a few processes does not count as fleet-wide.
	minFleetRestartProcesses = 4
	// recordsWait is how long the records of agents are waited for, which show planned stops. The
	// store may not answer.
	recordsWait = 500 * time.Millisecond
)

// fleetRestarted reports whether all known processes have restarted together with this balancer:
// none has started more than fleetRestartSpan before it. The possible holders of the flow must not
// have started more than fleetRestartSpan after it, either: such an agent may have been restarted
// as planned, and may hold a flow that was opened in between.
func (b *Balancer) fleetRestarted(now time.Time, possibleHolders []netip.AddrPort) bool {
	if now.Sub(b.startedAt) > fleetRestartResetPeriod {
		return false
	}
	earliest := b.startedAt.Add(-fleetRestartSpan)
	if b.plannedStops {
		return false
	}
	if b.awaitsRecords(now) {
		return false
	}
	others := b.neighbors.count()
	if (others == 0 || b.recordsReadAt.IsZero()) && b.starting(now) {
		return false // processes that have kept running may not be known yet
	}
	if !b.neighbors.allStartedSince(earliest) || !b.agentTable.allStartedSince(earliest) {
		return false
	}
	latest := b.startedAt.Add(fleetRestartSpan)
	for _, address := range possibleHolders {
		if agent := b.agentTable.agents[address]; agent == nil || agent.startedAt.After(latest) {
			return false
		}
	}
	return others+len(b.agentTable.sortedAgents) >= minFleetRestartProcesses &&
		b.mostRecordedReachable(now)
}

// awaitsRecords requests the records of agents if they have not been read, and reports whether they
// may still be read within recordsWait.
func (b *Balancer) awaitsRecords(now time.Time) bool {
	if !b.recordsReadAt.IsZero() {
		return false
	}
	b.recordsWanted = true
	if b.recordsFirstWantedAt.IsZero() {
		b.recordsFirstWantedAt = now
	}
	return now.Sub(b.recordsFirstWantedAt) < recordsWait
}

// mostRecordedReachable reports whether enough of the recorded agents are reachable: all of them
// during fleetRestartGracePeriod, minFleetRestartShare of them later. It is true if no records
// have been read.
func (b *Balancer) mostRecordedReachable(now time.Time) bool {
	reachable := 0
	for _, address := range b.recordedAgents {
		if agent := b.agentTable.agents[address]; agent != nil && agent.queryable(now) {
			reachable++
		}
	}
	if now.Sub(b.startedAt) < fleetRestartGracePeriod {
		return reachable == len(b.recordedAgents)
	}
	return float64(reachable) >= minFleetRestartShare*float64(len(b.recordedAgents))
}

// allStartedSince reports whether no known agent has started before the given time. It is false if
// the start time of an agent is not known.
func (t *AgentTable) allStartedSince(earliest time.Time) bool {
	return !slices.ContainsFunc(t.sortedAgents, func(agent *agentState) bool {
		return agent.startedAt.Before(earliest)
	})
}

// allStartedSince reports whether no other known balancer has started before the given time. It is
// false if the start time of a balancer is not known.
func (n *neighbors) allStartedSince(earliest time.Time) bool {
	for _, other := range n.balancers {
		if other.startedAt.Before(earliest) {
			return false
		}
	}
	return true
}

// count returns the number of known other balancers.
func (n *neighbors) count() int { return len(n.balancers) }

// startTimeOf returns the start time of the sender of a status; zero if the status has no uptime.
func startTimeOf(now time.Time, status Status) time.Time {
	if status.Uptime == 0 {
		return time.Time{}
	}
	return now.Add(-status.Uptime)
}

// resetAfterFleetRestart resets the caller of a flow that no process knows after a fleet-wide
// restart, and marks the flow as closed.
func (b *Balancer) resetAfterFleetRestart(now time.Time, entry *flowEntry) {
	b.endLookup(entry)
	entry.closed = true
	entry.resetAt = now
	entry.resetByRestart = true
	b.emit(Decision{Event: EventFlowReset, Key: entry.key, Reason: fleetRestartReason,
		Version: b.table.Version(), Age: now.Sub(b.startedAt)})
	b.emit(ResetCaller{Key: entry.key, Confirms: entry.lastConfirms, FleetRestarted: true})
}

// fleetRestartReason is the reason for resetting flows after a fleet-wide restart.
const fleetRestartReason = "restarted-together"
