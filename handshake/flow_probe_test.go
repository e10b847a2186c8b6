// This file tests that flow probes are bounded over all balancers and sent to the most likely
// holders first, by one coordinator, and not soon after its start or stall. It also tests that
// callers are reset only when no back end can hold the flow, and that a later flow of the same port
// is looked up.

package handshake

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/presence"
)

// TestProbesPerFlowAreBounded checks that at most maxFlowProbes datagrams of a flow reach other
// back ends within strayWindow, over all balancers together, whatever the order of restarts, stalls
// and failures of agents and balancers.
func TestProbesPerFlowAreBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const balancers, agents, flows = 4, 12, 5
		w := startWorld(t, rapid.Uint64().Draw(t, "seed"), balancers, agents)
		for port := range uint16(flows) {
			w.openFlow(1000 + port)
		}
		w.loss = rapid.SampledFrom([]float64{0, 0, 0.02, 0.1}).Draw(t, "loss")
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			agent := w.agents[rapid.IntRange(0, agents-1).Draw(t, "agent")]
			balancer := w.balancers[rapid.IntRange(0, balancers-1).Draw(t, "balancer")]
			switch rapid.SampledFrom([]string{"pass", "pass", "pass", "restart agent", "stop agent", "restart agents", "restart balancer", "freeze balancer", "freeze agent", "run on"}).Draw(t, "step") {
			case "restart agent":
				w.startAgent(agent)
			case "stop agent":
				agent.up = false
			case "restart agents":
				for _, agent := range w.agents {
					w.startAgent(agent)
					w.report(agent)
				}
			case "restart balancer":
				w.startBalancer(balancer)
			case "freeze balancer":
				balancer.suspended = true
			case "freeze agent":
				agent.suspended = true
			case "run on":
				w.resumeBalancer(balancer)
				w.resumeAgent(agent)
			}
			for range rapid.IntRange(0, 10).Draw(t, "copies") {
				w.sendOnOpenFlows()
				w.advance(resendInterval)
			}
		}
		w.checkStrays()
		if w.violation != "" {
			t.Fatalf("%s", w.violation)
		}
	})
}

// sendOnOpenFlows sends a datagram from the caller of each open flow.
func (w *world) sendOnOpenFlows() {
	for port := range uint16(len(w.callers)) {
		if caller := w.callers[testKey(1000+port)]; caller != nil && caller.acceptedBy != nil {
			w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
		}
	}
}

// probeSearch returns a search that names the given number of agents and contains a datagram.
func probeSearch(agents int) Search {
	request := Search{Key: testKey(1), Confirms: 50, Datagram: []byte{9}}
	for i := range agents {
		request.Agents = append(request.Agents, testAddress(presence.RoleAgent, i+1))
	}
	return request
}

// TestProbesPerWindowAreBounded checks that an agent probes at most maxFlowProbes back ends in any
// flowProbeWindow, and does not probe a back end again that has returned the datagram. When all
// have returned it, the agent's answer names no possible holder.
func TestProbesPerWindowAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	requester := testAddress(presence.RoleBalancer, 1)
	agent := readyAgent(t, now)
	request := probeSearch(5)
	now = now.Add(flowProbeSettleTime)
	for _, remaining := range []int{3, 1, 0} {
		actions := agent.HandleSearch(now, requester, request)
		sent := receivers[Forward](actions)
		is.Equal(len(sent), min(maxFlowProbes, remaining+1))
		for _, probed := range sent {
			actions = agent.HandleReturnedProbe(probed, request.Key)
		}
		answer := sentTo(actions, requester)[0].(SearchAnswer)
		is.Equal(len(answer.PossibleHolders), remaining)
		is.Equal(answer.Unanswered, uint32(0))
		if remaining > 0 { // no further probes within flowProbeWindow
			repeated := sentTo(agent.HandleSearch(now.Add(flowProbeWindow), requester, request), requester)
			is.Equal(repeated, []Message{SearchAnswer{Key: request.Key, PossibleHolders: answer.PossibleHolders}})
		}
		now = now.Add(flowProbeWindow + time.Millisecond)
	}
}

// TestNoProbesAfterStartOrStall checks that an agent sends no probes until flowProbeSettleTime
// after its start or after a stall, because it may not know of earlier probes.
func TestNoProbesAfterStartOrStall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	requester := testAddress(presence.RoleBalancer, 1)
	agent := readyAgent(t, now)
	probes := func() int { return len(receivers[Forward](agent.HandleSearch(now, requester, probeSearch(1)))) }
	now = now.Add(flowProbeSettleTime - 1)
	is.Equal(probes(), 0)
	agent.Tick(now)
	now = now.Add(time.Minute) // a stall; the search waited in the socket buffer
	is.Equal(probes(), 0)
	// A forwarded datagram that waited in the socket buffer is not delivered either, only logged.
	is.Equal(len(agent.HandleForward(now, requester, unknownFlowData(3))), 1)
	agent.Tick(now)
	is.Equal(probes(), 0)
	for end := now.Add(flowProbeSettleTime); now.Before(end); now = now.Add(stallThreshold) {
		is.Equal(probes(), 0)
		agent.Tick(now)
	}
	is.Equal(probes(), 1)
}

// TestProbedFlowsAreBounded checks that an agent keeps the probe histories of at most
// maxProbeHistories flows and probes for no others, and that histories expire.
func TestProbedFlowsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := readyAgent(t, now)
	now = now.Add(flowProbeSettleTime)
	agent.Tick(now)
	for port := range uint16(maxProbeHistories) {
		request := probeSearch(1)
		request.Key = testKey(2 + port)
		agent.selectProbes(now, request)
	}
	selected, remaining := agent.selectProbes(now, probeSearch(1))
	is.Equal(len(selected), 0)
	is.Equal(len(remaining), 1)
	for range int(probeHistoryTTL/stallThreshold) + 1 {
		now = now.Add(stallThreshold)
		agent.Tick(now)
	}
	selected, _ = agent.selectProbes(now, probeSearch(1))
	is.Equal(len(selected), 1)
}

// TestBalancersSelectSameProbeCoordinator checks that balancers select the same probe coordinator
// for a flow, or none while their views of the agents may differ.
func TestBalancersSelectSameProbeCoordinator(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var agents []netip.AddrPort
	for i := range 9 {
		agents = append(agents, testAddress(presence.RoleAgent, i+1))
	}
	first, second := newTestBalancer(start), newTestBalancer(start)
	now := start
	receive := func(span time.Duration, reachable []netip.AddrPort) {
		for end := now.Add(span); now.Before(end); now = now.Add(AgentStatusInterval) {
			deliverAgentStatuses(first, now, worldService, reachable...)
			deliverAgentStatuses(second, now, worldService, reachable...)
		}
	}
	receive(flowProbeSettleTime, agents[:8])
	is.Equal(first.probeCoordinator(now, testKey(1)).address, second.probeCoordinator(now, testKey(1)).address)
	unreachable := first.probeCoordinator(now, testKey(1)).address
	var remaining []netip.AddrPort
	for _, agent := range agents {
		if agent != unreachable {
			remaining = append(remaining, agent)
		}
	}
	receive(StatusTimeout+AgentStatusInterval, remaining)
	// Another balancer may still consider the unreachable agent reachable.
	is.True(first.probeCoordinator(now, testKey(1)) == nil)
	receive(flowProbeWindow+QueryableTime, remaining)
	is.True(first.probeCoordinator(now, testKey(1)).address != unreachable)
	deliverAgentStatuses(first, now, worldService, unreachable) // reachable again
	is.True(first.probeCoordinator(now, testKey(1)) == nil)
	is.True(newTestBalancer(now).probeCoordinator(now, testKey(1)) == nil)
}

// TestNearestBackEndsAreProbedFirst checks that back ends of the balancer's zone are probed first,
// then those of its region.
func TestNearestBackEndsAreProbedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newTestBalancer(now)
	b.options.Zone, b.agentTable = "a", NewAgentTable("a", "saigon", nil)
	var agents, want []netip.AddrPort
	for i, place := range []struct{ zone, region string }{{"z", "hue"}, {"b", "saigon"}, {"a", "saigon"}} {
		address := testAddress(presence.RoleAgent, i+1)
		b.agentTable.UpdateFromStatus(now, address, Status{Role: presence.RoleAgent, Zone: catalog.ZoneName(place.zone), Region: place.region})
		agents = append(agents, address)
		want = append([]netip.AddrPort{address}, want...)
	}
	unknown := testAddress(presence.RoleAgent, 9)
	entry := &flowEntry{key: testKey(1), lookup: &flowLookup{possibleHolders: append([]netip.AddrPort{unknown}, agents...)}}
	is.Equal(b.rankPossibleHolders(now, entry), append(want, unknown))
}

// TestCallerIsResetAfterAllBackEndsReturnDatagram checks that, after a fleet-wide restart in which
// no agent saw its back end start, a caller is reset when all back ends have returned its datagram.
func TestCallerIsResetAfterAllBackEndsReturnDatagram(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 5, 2, 6)
	is.True(w.openFlow(1000))
	w.restartFleet(false)
	caller := w.callers[testKey(1000)]
	for end := w.now.Add(flowProbeSettleTime + 3*flowProbeWindow + time.Second); w.now.Before(end) && !caller.reset; {
		w.sendOnOpenFlows()
		w.advance(resendInterval)
	}
	is.True(caller.reset)
	w.checkStrays()
	is.Equal(w.violation, "")
}

// TestLaterFlowOfSamePortIsLookedUp checks that a flow that was opened through another balancer,
// from the same port as an earlier flow, is neither forwarded to the earlier flow's agent nor
// reset.
func TestLaterFlowOfSamePortIsLookedUp(t *testing.T) {
	is := is.New(t)
	agent := testAddress(presence.RoleAgent, 1)
	later := unknownFlowData(1)
	later.Confirms += 2 * maxConfirmsDistance
	for name, before := range map[string]func(*Balancer, time.Time){
		"held by the agent": func(b *Balancer, now time.Time) {
			b.HandleMessage(now, agent, FlowQueryAnswer{Key: testKey(1), Holding: Holds})
		},
		"closed": func(b *Balancer, now time.Time) { b.closeFlow(now, b.flows[testKey(1)], reasonNoHolder) },
	} {
		t.Run(name, func(t *testing.T) {
			b, now := newSettledBalancer(t, agent, testAddress(presence.RoleAgent, 2))
			b.HandleCallerDatagram(now, unknownFlowData(1))
			before(b, now)
			b.drain()
			now = now.Add(resetInterval)
			actions := b.HandleCallerDatagram(now, later)
			is.True(!hasReset(actions))
			is.Equal(len(receivers[Forward](actions)), 0)
			_, search := onlySearch(t, actions)
			is.Equal(search.Confirms, later.Confirms)
		})
	}
}

// TestCandidatesAreProbedFirst checks that the back ends in the flow's candidate order, which most
// likely hold it, are probed first.
func TestCandidatesAreProbedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newTestBalancer(now)
	b.Configure(testTable(t, 1))
	b.agentTable = candidateAgentTable(now, "a", 30)
	entry := &flowEntry{key: testKey(1), lookup: &flowLookup{}}
	for _, agent := range b.agentTable.queryableAgents(now) {
		entry.lookup.possibleHolders = append(entry.lookup.possibleHolders, agent.address)
	}
	is.Equal(len(b.routeCandidates(now, entry)), maxCandidatesInZone+maxCandidatesElsewhere)
	first := b.rankPossibleHolders(now, entry)[:maxCandidatesInZone+maxCandidatesElsewhere]
	for i, agent := range first {
		is.True(slices.Contains(b.routeCandidates(now, entry), agent))
		is.Equal(b.agentTable.agents[agent].status.Zone == "a", i < maxCandidatesInZone)
	}
}

// TestProbesAreNotRequestedTooEarly checks that a request for probes names at most maxNamedHolders
// agents, and is not repeated before further probes are permitted.
func TestProbesAreNotRequestedTooEarly(t *testing.T) {
	is := is.New(t)
	var agents []netip.AddrPort
	for i := range maxNamedHolders + 1 {
		agents = append(agents, testAddress(presence.RoleAgent, i+1))
	}
	b, now := newSettledBalancer(t, agents...)
	now = deliverAgentStatusesFor(b, now, flowProbeSettleTime, agents...)
	searchUntilProbe := func(now time.Time) (netip.AddrPort, Search) {
		to, search := onlySearch(t, b.HandleCallerDatagram(now, unknownFlowData(1)))
		for search.Datagram == nil {
			actions := b.HandleMessage(now, to, SearchAnswer{Key: search.Key, PossibleHolders: search.Agents, RequestNumber: search.RequestNumber})
			if len(receivers[Search](actions)) == 0 {
				return to, Search{}
			}
			to, search = onlySearch(t, actions)
		}
		return to, search
	}
	prober, search := searchUntilProbe(now)
	is.Equal(len(search.Agents), maxNamedHolders)
	actions := b.HandleMessage(now, prober, SearchAnswer{Key: testKey(1), PossibleHolders: search.Agents[maxFlowProbes:], RequestNumber: search.RequestNumber})
	is.True(!hasReset(actions)) // agents that were not named may still hold the flow
	b.Tick(now.Add(2 * FlowQueryTimeout))
	later := deliverAgentStatusesFor(b, now, maxLookupBackoff+2*FlowQueryTimeout, agents...)
	_, search = searchUntilProbe(later)
	is.Equal(len(search.Agents), 0)
	b.Tick(later.Add(2 * FlowQueryTimeout))
	later = deliverAgentStatusesFor(b, later, flowProbeWindow, agents...)
	_, search = searchUntilProbe(later)
	is.Equal(len(search.Agents), maxNamedHolders)
}

// TestRestartedAgentsAreQueriedBeforeReset checks that no caller is reset before the agents that
// were discovered during the lookup have been queried.
func TestRestartedAgentsAreQueriedBeforeReset(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 0, 3, 4)
	w.openFlow(1000)
	w.openFlow(1001)
	w.agents[0].up = false
	w.restartBalancersWithoutAgent(w.agents[1])
	w.openFlow(1002)
	w.openFlow(1003)
	w.restartBalancersWithoutAgent(w.agents[0])
	for _, agent := range w.agents {
		if !agent.up {
			w.startAgent(agent)
		}
		w.report(agent)
	}
	w.advance(convergenceTime)
	for _, port := range []uint16{1000, 1001, 1002, 1003} {
		if caller := w.callers[testKey(port)]; caller.acceptedBy != nil {
			is.True(w.exchange(caller))
		}
	}
	is.Equal(w.violation, "")
}
