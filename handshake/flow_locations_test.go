// This file tests that locations of flows are replicated to the agents that lookups query first,
// that agents store them for the lifetime of a flow, and that searches use them.

package handshake

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/presence"
)

// replicated returns the agents to which the actions replicate locations.
func replicated(actions []Action) []netip.AddrPort { return receivers[StoreLocations](actions) }

// TestLocationsAreReplicated checks that the location of a flow that has not ended is sent to
// agents other than its holder, the same ones by balancers of different zones.
func TestLocationsAreReplicated(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	holder := testAddress(presence.RoleAgent, 9)
	replicasOf := func(zone catalog.ZoneName, ended bool) []netip.AddrPort {
		b := newTestBalancer(start)
		b.Configure(testTable(t, 1))
		b.agentTable = candidateAgentTable(start, zone, 30)
		b.HandleCallerDatagram(start, unknownFlowData(1))
		b.HandleMessage(start, holder, FlowQueryAnswer{Key: testKey(1), Holding: Holds})
		is.Equal(len(replicated(b.Tick(start.Add(replicationDelay-1)))), 0)
		if ended {
			finish := unknownFlowData(1)
			finish.Finish = true
			b.HandleCallerDatagram(start, finish)
		}
		actions := b.Tick(start.Add(replicationDelay + replicationInterval))
		for _, agent := range replicated(actions) {
			location := FlowLocation{Key: testKey(1), Confirms: 50, Agent: holder}
			is.Equal(sentTo(actions, agent), []Message{StoreLocations{Locations: []FlowLocation{location}}})
		}
		return replicated(actions)
	}
	first := replicasOf("a", false)
	is.Equal(len(first), locationReplicas)
	is.Equal(replicasOf("b", false), first)
	is.Equal(len(replicasOf("a", true)), 0)
	for _, agent := range first {
		is.True(agent != holder)
	}
}

// TestLocationsAreReplicatedInBatches checks that the locations of many flows are sent in messages
// of limited size, a limited number at a time.
func TestLocationsAreReplicatedInBatches(t *testing.T) {
	is := is.New(t)
	holder, other := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2)
	b, now := newSettledBalancer(t, holder, other)
	const flows = maxReplicationBatch + 1
	for port := range uint16(flows) {
		b.HandleCallerDatagram(now, unknownFlowData(1+port))
		b.HandleMessage(now, holder, FlowQueryAnswer{Key: testKey(1 + port), Holding: Holds})
	}
	now = now.Add(replicationDelay)
	for _, expected := range []int{maxReplicationBatch, 1, 0} {
		count := 0
		for _, message := range sentTo(b.Tick(now), other) {
			if message, ok := message.(StoreLocations); ok {
				is.True(len(message.Locations) <= MaxLocationsPerMessage)
				count += len(message.Locations)
			}
		}
		is.Equal(count, expected)
		now = now.Add(replicationInterval)
	}
}

// TestLocationsAreStoredForFlowLifetime checks that a location is stored for the lifetime of a
// flow, that a later one replaces it, that it is not used for another flow with the same key, and
// that the number of stored locations is limited.
func TestLocationsAreStoredForFlowLifetime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	holder, later := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2)
	store := newLocationStore(now, time.Minute)
	store.add(now, FlowLocation{Key: testKey(1), Confirms: 50, Agent: holder})
	for range 59 {
		now = now.Add(time.Second)
		store.expire(now)
		is.Equal(store.find(testKey(1), 60), holder)
	}
	is.Equal(store.find(testKey(1), 50+maxConfirmsDistance), netip.AddrPort{})
	is.Equal(store.find(testKey(2), 50), netip.AddrPort{})
	store.add(now, FlowLocation{Key: testKey(1), Confirms: 50, Agent: later})
	is.Equal(store.find(testKey(1), 50), later)
	store.expire(now.Add(time.Minute))
	store.expire(now.Add(3 * time.Minute))
	is.Equal(store.find(testKey(1), 50), netip.AddrPort{})
	for port := range uint16(40_000) {
		store.add(now, FlowLocation{Key: testKey(port), Agent: holder})
	}
	is.True(len(store.current)+len(store.previous) <= 2*maxStoredLocations)
	is.Equal(store.find(testKey(39_999), 0), holder)
}

// TestSearchUsesStoredLocation checks that a search names the agent of a stored location as the
// flow's holder if that agent may hold the flow, also if the balancer did not name it, and not if
// it denies the flow or does not answer.
func TestSearchUsesStoredLocation(t *testing.T) {
	replica, other, holder := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2), testAddress(presence.RoleAgent, 3)
	requester := testAddress(presence.RoleBalancer, 1)
	type answer struct {
		from    netip.AddrPort
		holding Holding
	}
	for name, test := range map[string]struct {
		agents   []netip.AddrPort
		answers  []answer
		found    netip.AddrPort
		possible []netip.AddrPort
	}{
		"holder answers first":         {[]netip.AddrPort{replica, holder}, []answer{{holder, HoldsPossibly}, {replica, HoldsNot}}, holder, []netip.AddrPort{holder}},
		"holder answers last":          {[]netip.AddrPort{replica, holder}, []answer{{replica, HoldsNot}, {holder, HoldsPossibly}}, holder, []netip.AddrPort{holder}},
		"holder answers before others": {[]netip.AddrPort{replica, other, holder}, []answer{{replica, HoldsPossibly}, {holder, HoldsPossibly}}, holder, []netip.AddrPort{replica, holder}},
		"holder was not named":         {[]netip.AddrPort{replica}, []answer{{replica, HoldsPossibly}, {holder, HoldsPossibly}}, holder, []netip.AddrPort{replica, holder}},
		"holder knows the flow":        {[]netip.AddrPort{replica}, []answer{{replica, HoldsPossibly}, {holder, Holds}}, holder, []netip.AddrPort{replica}},
		"holder denies the flow":       {[]netip.AddrPort{replica, other}, []answer{{replica, HoldsNot}, {other, HoldsPossibly}, {holder, HoldsNot}}, netip.AddrPort{}, []netip.AddrPort{other}},
		"holder does not answer":       {[]netip.AddrPort{replica, other}, []answer{{replica, HoldsNot}, {other, HoldsPossibly}}, netip.AddrPort{}, []netip.AddrPort{other}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			searcher := readyAgent(t, now)
			searcher.HandleSearch(now, requester, Search{Key: testKey(1), Confirms: 50, Agents: test.agents})
			var answers []Message
			for _, given := range test.answers {
				message := FlowQueryAnswer{Key: testKey(1), Holding: given.holding}
				if given.from == replica {
					message.Location = holder
				}
				answers = append(answers, sentTo(searcher.HandleQueryAnswer(given.from, message), requester)...)
			}
			answers = append(answers, sentTo(searcher.Tick(now.Add(FlowQueryTimeout)), requester)...)
			is.Equal(answers, []Message{SearchAnswer{Key: testKey(1), Agent: test.found, PossibleHolders: test.possible}})
		})
	}
}

// TestRestartedAgentGetsLocationsAgain checks that an agent that has restarted gets the locations
// again that it stored, and those of its own back end's flows, and that no other agent gets them.
func TestRestartedAgentGetsLocationsAgain(t *testing.T) {
	is := is.New(t)
	var agents []netip.AddrPort
	for i := range 9 {
		agents = append(agents, testAddress(presence.RoleAgent, i+1))
	}
	b, now := newSettledBalancer(t, agents...)
	b.HandleCallerDatagram(now, unknownFlowData(1))
	b.HandleMessage(now, agents[0], FlowQueryAnswer{Key: testKey(1), Holding: Holds})
	now = now.Add(replicationDelay)
	storing := append(replicated(b.Tick(now)), agents[0])
	is.Equal(len(storing), 1+locationReplicas)
	for _, agent := range agents {
		now = now.Add(replicationInterval)
		b.HandleStatus(now, agent, Status{Role: presence.RoleAgent, Zone: "a", Service: worldService, Incarnation: 2})
		var told []netip.AddrPort
		if slices.Contains(storing, agent) {
			told = []netip.AddrPort{agent}
		}
		is.Equal(replicated(b.Tick(now)), told)
	}
}

// TestFlowIsAnsweredAfterAllProcessesRestartInTurn checks that an idle flow is answered in time
// after all agents and then all balancers have restarted one after another, as in an upgrade.
func TestFlowIsAnsweredAfterAllProcessesRestartInTurn(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		w := startWorld(t, seed, 3, 8)
		is.True(w.openFlow(1000))
		w.advance(flowAge)
		for _, agent := range w.agents {
			w.startAgent(agent)
			w.report(agent)
			w.advance(time.Second)
		}
		for _, balancer := range w.balancers {
			w.startBalancer(balancer)
			w.advance(200 * time.Millisecond)
		}
		caller := w.callers[testKey(1000)]
		began := w.now
		is.True(w.exchange(caller))
		is.True(w.now.Sub(began) <= callerPatience)
		w.checkStrays()
		is.Equal(w.violation, "")
	}
}
