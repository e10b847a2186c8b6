// This file finds the holder of a flow by probes of the back ends, for flows that no agent reports
// to hold. It selects the flow's coordinator, the agent that limits the probes of all balancers. A
// coordinator permits no probes after its start or a stall, or for too many flows at once.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Back ends that may hold a flow are probed with one of its datagrams. A back end that does not
// hold the flow returns the datagram. Too many datagrams at wrong back ends would make the flow
// fail, so the number of its probes in any flowProbeWindow is limited over all balancers. One
// agent, the flow's coordinator, counts them. It is selected by rendezvous hashing of the flow's
// key among the agents that are reachable or became unreachable recently. A process that may
// disagree with others about the coordinator, or that may have lost the history of probes, waits
// for flowProbeSettleTime.

// Limits of probes.
const (
	// maxFlowProbes is the maximum number of probes for one flow in any flowProbeWindow. A flow
	// fails if three of its datagrams reach wrong back ends within two seconds and none reaches its
	// holder.
	maxFlowProbes = 2
	// flowProbeWindow is the time span to which maxFlowProbes applies. It includes a margin for
	// differences in network delay.
	flowProbeWindow = 2*time.Second + MaxOfferTimeout
	// flowProbeSettleTime is how long a process neither requests nor permits probes after its
	// start, a stall or a change of the coordinator: until all processes agree on the coordinator
	// (StartupTime) and all earlier probes are older than flowProbeWindow.
	flowProbeSettleTime = flowProbeWindow + StartupTime
	// stallThreshold is the time since an agent's last tick beyond which the agent counts as
	// stalled. Datagrams that it receives then may have waited in its socket buffer.
	stallThreshold = 500 * time.Millisecond
	// probeHistoryTTL is how long a flow's probe history is kept after the latest request for the
	// flow. It must exceed the interval between two datagrams of a waiting caller.
	probeHistoryTTL = 10 * time.Second
	// maxNamedHolders is the maximum number of possible holders in one request to a coordinator.
	maxNamedHolders = 16
	// maxProbeHistories is the maximum number of flows for which a coordinator keeps a probe
	// history. It permits no probes for other flows.
	maxProbeHistories = 1024
)

// probeHistory records which agents a coordinator has probed for one flow, when, and which of them
// do not hold the flow.
type probeHistory struct {
	confirms    uint32                   // number that the latest request's datagram acknowledges
	requestedAt time.Time                // when the latest request of a balancer arrived
	probedAt    [maxFlowProbes]time.Time // times of the latest probes, oldest first
	probed      []netip.AddrPort         // agents in the order of their latest probes
	denied      []netip.AddrPort         // agents whose back ends certainly do not hold the flow
}

// remainingProbes returns how many probes for the flow are permitted now.
func (h *probeHistory) remainingProbes(now time.Time) int {
	permitted := 0
	for _, sentAt := range h.probedAt {
		if sentAt.IsZero() || now.Sub(sentAt) > flowProbeWindow {
			permitted++
		}
	}
	return permitted
}

// record adds a probe of the agent to the history.
func (h *probeHistory) record(now time.Time, agent netip.AddrPort) {
	copy(h.probedAt[:], h.probedAt[1:])
	h.probedAt[maxFlowProbes-1] = now
	h.probed = append(slices.DeleteFunc(h.probed, func(other netip.AddrPort) bool {
		return other == agent
	}), agent)
}

// probeOrder returns the agents that have not denied the flow: first those that were not probed
// yet, then the others in the order of their latest probes.
func (h *probeHistory) probeOrder(agents []netip.AddrPort) []netip.AddrPort {
	remaining := slices.DeleteFunc(slices.Clone(agents), func(agent netip.AddrPort) bool {
		return slices.Contains(h.denied, agent)
	})
	slices.SortStableFunc(remaining, func(x, y netip.AddrPort) int {
		return cmp.Compare(slices.Index(h.probed, x), slices.Index(h.probed, y))
	})
	return remaining
}

// probeHistoryOf returns the probe history of the request's flow. It creates the history if there
// is none, and returns nil if there are too many others.
func (a *Agent) probeHistoryOf(now time.Time, request Search) *probeHistory {
	history := a.probeHistories[request.Key]
	if history == nil {
		if len(a.probeHistories) >= maxProbeHistories {
			return nil
		}
		history = &probeHistory{}
		a.probeHistories[request.Key] = history
	}
	if !sameFlowConfirms(history.confirms, request.Confirms) {
		history.probed, history.denied = nil, nil // they are of an earlier flow from the same caller port
	}
	history.confirms = request.Confirms
	history.requestedAt = now
	return history
}

// selectProbes selects the agents that are probed with the request's datagram now, and records the
// probes. It also returns the remaining possible holders. Agents that have denied the flow are in
// neither list. During a stall, before probesAllowedAt, or if the flow has no probe history and
// maxProbeHistories is reached, it selects none and returns all agents of the request as remaining.
func (a *Agent) selectProbes(now time.Time, request Search) (selected, remaining []netip.AddrPort) {
	if a.stalled(now) || now.Before(a.probesAllowedAt) {
		return nil, request.Agents
	}
	history := a.probeHistoryOf(now, request)
	if history == nil {
		return nil, request.Agents
	}
	remaining = history.probeOrder(request.Agents)
	count := min(history.remainingProbes(now), len(remaining))
	for _, agent := range remaining[:count] {
		history.record(now, agent)
	}
	if count == len(remaining) {
		return remaining, nil
	}
	return remaining[:count], remaining[count:]
}

// recordDenial records that the agent's back end returned a probe for the flow.
func (a *Agent) recordDenial(key flow.Key, agent netip.AddrPort) {
	history := a.probeHistories[key]
	if history == nil || slices.Contains(history.denied, agent) {
		return
	}
	history.denied = append(history.denied, agent)
}

// stalled reports whether the agent's last tick is more than stallThreshold ago. The datagrams that
// it receives now may then have waited in its socket buffer.
func (a *Agent) stalled(now time.Time) bool {
	return !a.lastTickAt.IsZero() && now.Sub(a.lastTickAt) > stallThreshold
}

// detectStall suspends probes for flowProbeSettleTime after a stall.
func (a *Agent) detectStall(now time.Time) {
	if a.stalled(now) {
		a.probesAllowedAt = now.Add(flowProbeSettleTime)
	}
	a.lastTickAt = now
}

// expireProbeHistories removes probe histories without a recent request.
func (a *Agent) expireProbeHistories(now time.Time) {
	for key, history := range a.probeHistories {
		if now.Sub(history.requestedAt) > probeHistoryTTL {
			delete(a.probeHistories, key)
		}
	}
}

// requestProbes requests that the flow's coordinator probe the back ends that may hold the flow
// with the first buffered datagram. Without a coordinator the holder counts as not found.
func (b *Balancer) requestProbes(now time.Time, entry *flowEntry) {
	lookup := entry.lookup
	b.releaseLookupSlot(entry) // probes need no slot
	coordinator := b.probeCoordinator(now, entry.key)
	if coordinator == nil {
		b.handleHolderNotFound(now, entry)
		return
	}
	lookup.probing, lookup.probed = true, true
	agents := b.rankPossibleHolders(now, entry)
	lookup.unprobed = agents[min(len(agents), maxNamedHolders):]
	b.emit(Decision{Event: EventProbed, Key: entry.key, Peer: coordinator.address,
		Attempts: len(agents)})
	b.sendSearch(now, entry, coordinator, agents[:len(agents)-len(lookup.unprobed)], entry.buffered[0])
}

// handleProbeResult handles the coordinator's answer, which names the possible holders that remain.
// If it names some of the requested agents but not all, the next probes wait for flowProbeWindow.
func (b *Balancer) handleProbeResult(now time.Time, entry *flowEntry, answer SearchAnswer) {
	lookup := entry.lookup
	if len(answer.PossibleHolders) > 0 && len(answer.PossibleHolders) < len(lookup.pendingAgents) {
		entry.nextProbeAt = now.Add(flowProbeWindow)
	}
	lookup.pendingAgents = nil
	lookup.possibleHolders = slices.Concat(answer.PossibleHolders, lookup.unprobed)
	b.continueLookup(now, entry) // queries agents discovered in the meantime
}

// probeCoordinator returns the flow's coordinator, nil if the balancer has not run for long enough
// to agree with others about it, or if the agent table knows none.
func (b *Balancer) probeCoordinator(now time.Time, key flow.Key) *agentState {
	if now.Sub(b.startedAt) < flowProbeSettleTime {
		return nil
	}
	return b.agentTable.probeCoordinator(now, key)
}

// probeCoordinator returns the flow's coordinator. It ranks the reachable agents and those that
// became unreachable recently. It returns nil if there are none, or if other balancers may select a
// different one: because the agent with the highest rank became reachable less than
// flowProbeSettleTime ago, or was neither seen nor reported by gossip within its status timeout.
func (t *AgentTable) probeCoordinator(now time.Time, key flow.Key) *agentState {
	var best *agentState
	bestRank := uint64(0)
	for _, agent := range t.sortedAgents {
		if now.Sub(agent.lastReachableAt(now)) >
			flowProbeWindow+max(QueryableTime, announcedTimeout(agent.status)) {
			continue // unreachable for so long that its last probes are older than flowProbeWindow
		}
		if rank := rankOf(key, agent.address); best == nil || rank > bestRank {
			best, bestRank = agent, rank
		}
	}
	if best == nil || now.Sub(best.reachableSince) < flowProbeSettleTime ||
		now.Sub(best.lastReachableAt(now)) > best.statusTimeout() {
		return nil
	}
	return best
}

// rankPossibleHolders returns the agents that may hold the flow, without duplicates: its candidates
// first, then the others, both sorted by distance.
func (b *Balancer) rankPossibleHolders(now time.Time, entry *flowEntry) []netip.AddrPort {
	candidates := b.routeCandidates(now, entry)
	holders := slices.Clone(entry.lookup.possibleHolders)
	slices.SortFunc(holders, func(x, y netip.AddrPort) int {
		return cmp.Or(compareBools(slices.Contains(candidates, y), slices.Contains(candidates, x)),
			cmp.Compare(b.agentTable.distance(x), b.agentTable.distance(y)), x.Compare(y))
	})
	return slices.Compact(holders)
}

// distance returns 0 for an agent in the balancer's zone, 1 in its region, 2 elsewhere, and 3 for
// an unknown agent.
func (t *AgentTable) distance(address netip.AddrPort) int {
	agent := t.agents[address]
	switch {
	case agent == nil:
		return 3
	case agent.status.Region != t.region:
		return 2
	case agent.status.Zone != t.zone:
		return 1
	default:
		return 0
	}
}
