// This file detects unreachable agents: it probes an agent and another one of its zone, the
// witness, and resets callers whose requests may be retried if only the witness answers. It resets
// none if the balancer may have missed the agent's shutdown notice, and logs the reason.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// The caller of a flow at a machine that has lost power, has stalled or is cut off retransmits its
// request until its deadline. A reset lets it be answered elsewhere in time. A flow whose agent is
// running, however slowly, or is shutting down is never reset for this reason.
// docs/design/callers.md describes what proves that an agent is unreachable.

// Timeouts and limits of probes of agents.
const (
	// UnreachableTimeout is the minimum time since an agent's last message after which it counts as
	// unreachable. It is longer than the delay of answers on a congested link.
	UnreachableTimeout = 800 * time.Millisecond
	// unreachableProbes is the number of consecutive missed probes after which an agent counts as
	// unreachable.
	unreachableProbes  = 4
	agentProbeInterval = 150 * time.Millisecond // between two probes of an agent
	// unreachableAgentProbeInterval is the interval of probes while the agent is unreachable. They
	// detect that the witness does not answer either, as the path to the zone has failed.
	unreachableAgentProbeInterval = 300 * time.Millisecond
	// witnessTimeout is the time for the witness to answer before another witness is selected.
	witnessTimeout = 500 * time.Millisecond
	// probeIdleTimeout is the time without a caller that waits for the agent after which it is no
	// longer probed.
	probeIdleTimeout = 5 * time.Second
	maxProbedAgents  = 24 // agents that are probed at once
	// forwardIdleTimeout is the time without a forwarded datagram after which an agent may no
	// longer send shutdown notices to this balancer. It is shorter than ForwarderTTL.
	forwardIdleTimeout = 30 * time.Second
	// unansweredWindow is how long before an agent's last message a caller may have sent a request
	// that the agent has not answered.
	unansweredWindow = 300 * time.Millisecond
)

// agentProbe is the state of the probes of an agent that may be unreachable. A probe is a FlowQuery
// that is sent to the agent and to a witness: if only the witness answers, the path to the agent's
// zone works, and the agent itself has missed the probe.
type agentProbe struct {
	address         netip.AddrPort
	key             flow.Key       // of a flow that the agent holds, for the FlowQuery
	confirms        uint32         // acknowledged by the flow's caller, for the FlowQuery
	startedAt       time.Time      // when probing of the agent started
	sentAt          time.Time      // when the pending probe was sent, or when no witness was found
	witness         netip.AddrPort // another agent that was sent the pending probe; zero: none
	witnessAnswered bool           // the witness has answered the pending probe
	missedProbes    int            // consecutive probes that only the witness has answered
	lastWantedAt    time.Time      // when a caller last waited for the agent
	unreachable     bool           // the agent counts as unreachable
}

// unreachableReason is the reason for resetting flows whose agent is unreachable.
const unreachableReason = "agent-away"

// startAgentProbe starts to probe the flow's agent, whose caller has retransmitted, if no message
// of the agent has arrived recently.
func (b *Balancer) startAgentProbe(now time.Time, entry *flowEntry) {
	agent := b.agentTable.agents[entry.agent]
	if agent == nil || now.Sub(agent.lastMessageAt) < agentProbeInterval {
		return
	}
	if !b.shutdownNoticeExpected(agent) {
		b.emitNotProbed(now, entry, agent)
		return
	}
	if probe := b.agentProbeOf(entry.agent); probe != nil {
		probe.lastWantedAt = now
		return
	}
	if len(b.probedAgents) >= maxProbedAgents {
		return
	}
	probe := &agentProbe{address: entry.agent, key: entry.key, confirms: entry.lastConfirms,
		startedAt: now, lastWantedAt: now}
	b.probedAgents = append(b.probedAgents, probe)
	b.sendAgentProbe(now, probe)
}

// agentProbeOf returns the probe of the agent, nil if the agent is not probed.
func (b *Balancer) agentProbeOf(address netip.AddrPort) *agentProbe {
	for _, probe := range b.probedAgents {
		if probe.address == address {
			return probe
		}
	}
	return nil
}

// sendAgentProbe sends the next probe to the agent and to a witness. If there is no witness, it
// sends none, and checkAgentProbe tries again after witnessTimeout.
func (b *Balancer) sendAgentProbe(now time.Time, probe *agentProbe) {
	witness := b.selectWitness(now, probe)
	if witness == nil {
		b.resetAgentProbe(now, probe)
		probe.sentAt = now
		return
	}
	probe.sentAt, probe.witness, probe.witnessAnswered = now, witness.address, false
	query := FlowQuery{Key: probe.key, Confirms: probe.confirms}
	b.emit(Send{To: probe.address, Message: query})
	b.emit(Send{To: witness.address, Message: query})
}

// resetAgentProbe discards the results of earlier probes: the agent does not count as unreachable.
func (b *Balancer) resetAgentProbe(now time.Time, probe *agentProbe) {
	b.emitReachable(now, probe)
	probe.missedProbes, probe.unreachable = 0, false
	probe.witnessAnswered, probe.witness = false, netip.AddrPort{}
}

// emitReachable emits EventAgentReachable if the agent was unreachable.
func (b *Balancer) emitReachable(now time.Time, probe *agentProbe) {
	if probe.unreachable {
		b.emit(Decision{Event: EventAgentReachable, Key: probe.key, Peer: probe.address,
			Attempts: probe.missedProbes, Age: now.Sub(probe.startedAt)})
	}
}

// selectWitness returns the agent of the probed agent's zone whose last message is the most recent,
// nil if no agent has sent one recently. A witness that has answered is kept; one that has not is
// replaced.
func (b *Balancer) selectWitness(now time.Time, probe *agentProbe) *agentState {
	agent := b.agentTable.agents[probe.address]
	if agent == nil {
		return nil
	}
	if previous := b.agentTable.agents[probe.witness]; previous != nil && probe.witnessAnswered &&
		!previous.status.ShuttingDown {
		return previous
	}
	var best *agentState
	for _, other := range b.agentTable.sortedAgents {
		eligible := other.status.Zone == agent.status.Zone && !other.status.ShuttingDown &&
			other.address != probe.address && other.address != probe.witness &&
			b.agentProbeOf(other.address) == nil
		if eligible && now.Sub(other.lastMessageAt) <= other.statusTimeout() &&
			(best == nil || other.lastMessageAt.After(best.lastMessageAt)) {
			best = other
		}
	}
	return best
}

// handleWitnessAnswer records the answer to a pending probe if the sender is its witness.
func (b *Balancer) handleWitnessAnswer(from netip.AddrPort, answer FlowQueryAnswer) {
	for _, probe := range b.probedAgents {
		if probe.witness == from && probe.key == answer.Key {
			probe.witnessAnswered = true
		}
	}
}

// checkAgentProbes ends the probes of agents that no longer have to be probed, and continues the
// others.
func (b *Balancer) checkAgentProbes(now time.Time) {
	b.updateDisturbance(now)
	b.probedAgents = slices.DeleteFunc(b.probedAgents, func(probe *agentProbe) bool {
		done := !b.needsAgentProbe(now, probe)
		if done {
			b.emitReachable(now, probe)
		}
		return done
	})
	for _, probe := range b.probedAgents {
		b.checkAgentProbe(now, probe)
	}
}

// needsAgentProbe reports whether the agent still has to be probed: it has sent no message since
// probing started, callers wait for it, and it is not shutting down.
func (b *Balancer) needsAgentProbe(now time.Time, probe *agentProbe) bool {
	agent := b.agentTable.agents[probe.address]
	switch {
	case agent == nil || !b.shutdownNoticeExpected(agent) ||
		now.Sub(probe.lastWantedAt) > probeIdleTimeout:
		return false
	default:
		return !agent.lastMessageAt.After(probe.startedAt)
	}
}

// shutdownNoticeExpected reports whether this balancer would know if the agent were shutting down,
// and no shutdown notice (Peers.BeginShutdown) has arrived. The balancer would know because it had
// forwarded datagrams to the agent before the agent's last message, so that the agent sends it
// notices, and because nothing has kept it from receiving one since.
func (b *Balancer) shutdownNoticeExpected(agent *agentState) bool {
	used := !agent.firstForwardAt.IsZero() && agent.lastMessageAt.After(agent.firstForwardAt)
	return used && !agent.status.ShuttingDown && !b.disturbance.since(agent.lastMessageAt)
}

// emitNotProbed emits EventAgentNotProbed, once for each agent and disturbance.
func (b *Balancer) emitNotProbed(now time.Time, entry *flowEntry, agent *agentState) {
	d := &b.disturbance
	if !d.since(agent.lastMessageAt) || agent.notProbedSince.Equal(d.startedAt) {
		return
	}
	agent.notProbedSince = d.startedAt
	b.emit(Decision{Event: EventAgentNotProbed, Key: entry.key, Service: agent.status.Service,
		Peer: agent.address, Reason: d.reason, Age: now.Sub(d.startedAt)})
}

// recordForwarded records that a caller's datagram is sent to the agent.
func (a *agentState) recordForwarded(now time.Time) {
	if now.Sub(a.lastForwardAt) > forwardIdleTimeout {
		a.firstForwardAt = now
	}
	a.lastForwardAt = now
}

// recordAgentMessage records that a message has arrived, if the sender is a known agent.
func (b *Balancer) recordAgentMessage(now time.Time, from netip.AddrPort) {
	if agent := b.agentTable.agents[from]; agent != nil {
		agent.lastMessageAt = now
		b.disturbance.agentSeenAt = now
	}
}

// checkAgentProbe evaluates the pending probe and sends the next one when it is due.
func (b *Balancer) checkAgentProbe(now time.Time, probe *agentProbe) {
	interval := agentProbeInterval
	if probe.unreachable {
		interval = unreachableAgentProbeInterval
	}
	switch {
	case probe.witnessAnswered && now.Sub(probe.sentAt) >= interval:
		probe.missedProbes++
		b.checkUnreachable(now, probe)
		b.sendAgentProbe(now, probe)
	case now.Sub(probe.sentAt) >= witnessTimeout:
		witness := probe.witness
		b.resetAgentProbe(now, probe)
		probe.witness = witness // so that a different witness is selected
		b.sendAgentProbe(now, probe)
	}
}

// checkUnreachable marks the agent as unreachable after unreachableProbes missed probes and
// UnreachableTimeout without a message, and resets the flows whose callers wait for it.
func (b *Balancer) checkUnreachable(now time.Time, probe *agentProbe) {
	agent := b.agentTable.agents[probe.address]
	unseen := now.Sub(agent.lastMessageAt)
	if probe.unreachable || probe.missedProbes < unreachableProbes || unseen < UnreachableTimeout {
		return
	}
	probe.unreachable = true
	b.emit(Decision{Event: EventAgentUnreachable, Key: probe.key, Service: agent.status.Service,
		Peer: probe.address, Attempts: probe.missedProbes, Age: unseen})
	for _, entry := range b.flowsAwaiting(agent) {
		b.resetFlow(now, entry, probe)
	}
}

// flowsAwaiting returns the agent's flows whose callers may wait for an answer and whose requests
// may be retried, sorted by key.
func (b *Balancer) flowsAwaiting(agent *agentState) []*flowEntry {
	since := agent.lastMessageAt.Add(-unansweredWindow)
	var waiting []*flowEntry
	for _, entry := range b.flows {
		if entry.agent == agent.address && !entry.finished && entry.lastSeenAt.After(since) &&
			b.mayRetry(entry) {
			waiting = append(waiting, entry)
		}
	}
	slices.SortFunc(waiting, func(x, y *flowEntry) int {
		return cmp.Or(x.key.Caller.Compare(y.key.Caller), x.key.Service.Compare(y.key.Service))
	})
	return waiting
}

// mayRetry reports whether the flow's requests may be retried elsewhere.
func (b *Balancer) mayRetry(entry *flowEntry) bool {
	route := b.route(entry)
	return route != nil && route.RequestKind.MayRetry()
}

// resetIfUnreachable resets the caller of a datagram if the flow's agent is unreachable and the
// flow's requests may be retried. It reports whether that is so; the datagram is then not
// forwarded. A retransmitted datagram starts probes of an agent that is not probed yet.
func (b *Balancer) resetIfUnreachable(
	now time.Time, entry *flowEntry, datagram *Datagram, retransmitted bool,
) bool {
	if datagram.Finish || datagram.Kind == Reset {
		entry.finished = true
	}
	if entry.finished || !b.mayRetry(entry) {
		return false
	}
	probe := b.agentProbeOf(entry.agent)
	stalled := now.Sub(b.lastTickAt) > RetransmitTime // the next Tick updates the disturbance
	switch {
	case probe != nil && probe.unreachable && !stalled && b.needsAgentProbe(now, probe):
		probe.lastWantedAt = now
		b.resetFlow(now, entry, probe)
		return true
	case retransmitted:
		b.startAgentProbe(now, entry)
	}
	return false
}

// resetFlow resets the flow's caller unless it was reset within resetInterval. The flow keeps its
// agent: when the agent is reachable again, the caller's datagrams are forwarded to it.
func (b *Balancer) resetFlow(now time.Time, entry *flowEntry, probe *agentProbe) {
	if now.Sub(entry.resetAt) < resetInterval {
		return
	}
	entry.resetAt = now
	agent := b.agentTable.agents[probe.address]
	b.emit(Decision{Event: EventFlowReset, Key: entry.key, Service: agent.status.Service,
		Peer: probe.address, Reason: unreachableReason, Version: b.table.Version(),
		Attempts: probe.missedProbes, Age: now.Sub(agent.lastMessageAt)})
	b.emit(ResetCaller{Key: entry.key, Confirms: entry.lastConfirms, AgentUnreachable: true})
}
