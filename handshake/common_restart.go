package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// Common restarts: all processes were killed at once and have started anew, while back ends may
// live. Nobody remembers a flow then, and its datagrams may be tried at few back ends only: most of
// their callers would wait until their deadlines for flows that nobody finds. Those whose requests
// may be repeated are told instead, and open a flow anew at once. Planned work does not restart
// everybody within two seconds, so no flow ends by it for this reason. In one play of 21 balancers before 56 back ends, all
// processes killed at once, 1,134 of 42,000 requests on kept flows stayed without an answer before, and 245 with it; that was
// with a togetherTime of 4 s and togetherShare from the start on. The present bounds were not measured alone.

// Bounds of a common restart.
const (
	// togetherSpan is how long before this balancer others may have started that were killed with it: machines
	// take different times to start a process anew (a guess; 0.3 s where they start for the first time).
	togetherSpan = 2 * time.Second
	// togetherTime is how long after its start a balancer tells callers so: for as long as copies come of
	// what callers have sent before (callerPause), and half as long again.
	togetherTime = callerPause + callerPause/2
	// togetherShare is the part of the agents on record that must be heard once comingTime has passed: some machines may be
	// lost at the same moment. (A guess.) Before, all must be.
	togetherShare = 0.9
	comingTime    = 1500 * time.Millisecond // in which machines start that were not lost (a guess; 0.5 s measured)
	// fewestTogether is how many other processes must have started anew, so that one or two that are
	// restarted as planned do not look like all (a guess).
	fewestTogether = 4
)

// restartedTogether says whether all processes that there are, as far as is known, have started
// anew at about the time at which this balancer has. Those agents that may hold a flow must have started then: one that
// has started later may have been restarted as planned, and hold a flow that was opened in between.
func (b *Balancer) restartedTogether(now time.Time, mayHold []netip.AddrPort) bool {
	if now.Sub(b.started) > togetherTime {
		return false
	}
	earliest := b.started.Add(-togetherSpan)
	others := b.neighbors.heardOnce()
	if (others == 0 || b.recordedAt.IsZero()) && b.young(now) {
		return false // those that run on may not have been heard yet
	}
	if !b.neighbors.startedSince(earliest) || !b.board.startedSince(earliest) {
		return false
	}
	latest := b.started.Add(togetherSpan)
	for _, address := range mayHold {
		if agent := b.board.agents[address]; agent == nil || agent.started.After(latest) {
			return false
		}
	}
	return others+len(b.board.order) >= fewestTogether && b.hearsMostRecorded(now)
}

// hearsMostRecorded says whether nearly all agents on record are heard; so does a balancer that cannot read
// the records.
func (b *Balancer) hearsMostRecorded(now time.Time) bool {
	heard := 0
	for _, address := range b.recorded {
		if agent := b.board.agents[address]; agent != nil && agent.known(now) {
			heard++
		}
	}
	if now.Sub(b.started) < comingTime {
		return heard == len(b.recorded)
	}
	return float64(heard) >= togetherShare*float64(len(b.recorded))
}

// startedSince says whether no agent that was heard runs since before the time.
func (b *Board) startedSince(earliest time.Time) bool {
	return !slices.ContainsFunc(b.order, func(agent *agentState) bool { return agent.started.Before(earliest) })
}

// startedSince says whether no other balancer that was heard runs since before the time.
func (n *neighbors) startedSince(earliest time.Time) bool {
	for _, other := range n.known {
		if other.started.Before(earliest) {
			return false
		}
	}
	return true
}

// heardOnce returns how many other balancers were heard.
func (n *neighbors) heardOnce() int { return len(n.known) }

// startOf returns when the sender of a status has started, as far as the status tells; zero: it does not.
func startOf(now time.Time, status Status) time.Time {
	if status.Uptime == 0 {
		return time.Time{}
	}
	return now.Add(-status.Uptime)
}

// tellRestarted tells the caller of a flow that nobody knows since all processes have started anew.
func (b *Balancer) tellRestarted(now time.Time, known *balancedFlow) {
	b.endFinding(known)
	known.gone = true
	known.resetAt = now
	known.restarted = true
	b.act(Decision{Event: EventBrokenOff, Key: known.key, Reason: restartedReason, Version: b.table.Version(), Age: now.Sub(b.started)})
	b.act(ResetCaller{Key: known.key, Confirms: known.latest, Restarted: true})
}

// restartedReason is the reason of resets of flows that nobody knows after a common restart.
const restartedReason = "restarted-together"
