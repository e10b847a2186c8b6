// This file tests the probes of unreachable agents: callers whose requests may be repeated are
// reset in time to get an answer elsewhere, no other flow is reset, flows continue when their agent
// recovers, and the number of probes is bounded. It also tests that a stopping agent notifies the
// balancers that forward to it.

package handshake

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// requestResendTimes are the times, counted from the first transmission, at which a caller sends a
// request until it is answered.
var requestResendTimes = []time.Duration{
	0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond,
}

// sendUntilAnswered sends a request on an open flow at requestResendTimes until it is answered or a
// reset is sent, for at most two seconds. It returns the time that this took, zero if the caller
// has no open flow.
func (w *world) sendUntilAnswered(caller *worldCaller) (took time.Duration) {
	if caller == nil || caller.acceptedBy == nil {
		return 0
	}
	before, resets, startedAt := caller.answers, w.resets, w.now
	for i := 0; w.now.Sub(startedAt) < 2*time.Second && caller.answers == before && w.resets == resets; {
		if i < len(requestResendTimes) && w.now.Sub(startedAt) >= requestResendTimes[i] {
			w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber,
				Number: uint32(before), PayloadLength: 1})
			i++
		}
		w.advance(worldTickInterval)
	}
	return w.now.Sub(startedAt)
}

// startWorldWithFlow returns a world with one open flow, its caller, and the agent whose back end
// holds it.
func startWorldWithFlow(t *testing.T, requests routing.RequestKind, agents int) (*world, *worldCaller, *worldAgent) {
	t.Helper()
	w := startWorld(t, 30, 1, agents)
	w.setRequestKind(requests)
	if !w.openFlow(1000) {
		t.Fatal("the flow does not open")
	}
	caller := w.callers[testKey(1000)]
	w.advance(time.Second)
	for _, agent := range w.agents {
		if agent.backend == caller.acceptedBy {
			return w, caller, agent
		}
	}
	t.Fatal("no back end holds the flow")
	return nil, nil, nil
}

// TestCallerOfAnUnreachableAgentIsReset checks that the caller of an unreachable agent is reset
// early enough to get an answer elsewhere within a deadline of two seconds.
func TestCallerOfAnUnreachableAgentIsReset(t *testing.T) {
	for _, requests := range []routing.RequestKind{routing.Idempotent, routing.LongResponse} {
		t.Run(requests.String(), func(t *testing.T) {
			is := is.New(t)
			w, caller, agent := startWorldWithFlow(t, requests, 4)
			agent.up = false
			took := w.sendUntilAnswered(caller)
			t.Log(took)
			is.True(caller.reset)
			is.True(took <= 1200*time.Millisecond)
			is.Equal(w.violation, "")
		})
	}
}

// TestStalledBalancerResetsCallersOfAnUnreachableAgent guards against callers that wait for an
// unreachable agent because their balancer has stalled meanwhile, although its socket has kept all
// messages. The stall begins at any moment of the time that detecting the agent takes.
func TestStalledBalancerResetsCallersOfAnUnreachableAgent(t *testing.T) {
	for _, stall := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond} {
		for begin := time.Duration(0); begin <= UnreachableTimeout; begin += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("%v after %v", stall, begin), func(t *testing.T) {
				is := is.New(t)
				w, caller, agent := startWorldWithFlow(t, routing.Idempotent, 4)
				balancer := w.balancers[0]
				balancer.knowsDrops = true
				w.advance(worldTickInterval)
				agent.up = false
				failedAt := w.now
				w.schedule(func() {
					w.queue = append(w.queue,
						worldEvent{failedAt.Add(begin), func() { balancer.suspended = true }},
						worldEvent{failedAt.Add(begin + stall), func() { w.resumeBalancer(balancer) }})
				})
				w.sendUntilAnswered(caller)
				for !caller.reset && w.now.Sub(failedAt) < begin+stall+1200*time.Millisecond {
					w.advance(worldTickInterval)
				}
				is.True(caller.reset)
				is.Equal(w.violation, "")
			})
		}
	}
}

// TestFurtherCallersOfAnUnreachableAgentAreResetAtOnce checks that further callers of an
// unreachable agent are reset without another probe, and that a lost reset is repeated.
func TestFurtherCallersOfAnUnreachableAgentAreResetAtOnce(t *testing.T) {
	is := is.New(t)
	w, caller, agent := startWorldWithFlow(t, routing.Idempotent, 4)
	for port := uint16(1001); len(w.callersOf(agent.backend)) < 2; port++ {
		is.True(w.openFlow(port))
	}
	w.advance(time.Second)
	other := w.callersOf(agent.backend)[1]
	agent.up = false
	w.sendUntilAnswered(caller)
	is.True(caller.reset)
	is.True(!other.reset) // it has no outstanding request
	is.True(w.sendUntilAnswered(other) <= 3*worldTickInterval)
	is.True(other.reset)
	w.advance(resetInterval)
	other.reset = false // the reset was lost
	is.True(w.sendUntilAnswered(other) <= 3*worldTickInterval)
	is.True(other.reset)
	is.Equal(w.violation, "")
}

// TestFinishedFlowsOfAnUnreachableAgentAreNotReset checks that a flow of an unreachable agent is
// reset if it has an outstanding request, but not if its caller has finished.
func TestFinishedFlowsOfAnUnreachableAgentAreNotReset(t *testing.T) {
	for _, finish := range []bool{false, true} {
		t.Run(fmt.Sprint("finished ", finish), func(t *testing.T) {
			is := is.New(t)
			w, caller, agent := startWorldWithFlow(t, routing.Idempotent, 4)
			for port := uint16(1001); len(w.callersOf(agent.backend)) < 2; port++ {
				is.True(w.openFlow(port))
			}
			w.advance(time.Second)
			other := w.callersOf(agent.backend)[1]
			agent.up = false
			w.sendFromCaller(Datagram{Key: other.key, Kind: Data, Confirms: other.backendNumber, Finish: finish})
			w.sendUntilAnswered(caller)
			is.True(caller.reset)
			is.Equal(other.reset, !finish)
		})
	}
}

// moveToZone moves the agent and two others to the zone and returns the three.
func (w *world) moveToZone(zone catalog.ZoneName, agent *worldAgent) []*worldAgent {
	members := []*worldAgent{agent}
	for _, other := range w.agents {
		if other != agent && len(members) < 3 {
			members = append(members, other)
		}
	}
	for _, member := range members {
		member.zone = zone
	}
	w.advance(100 * time.Millisecond)
	return members
}

// TestFlowsThatAreNotReset checks that a flow is not reset if its request must not be repeated or
// may still be processed, if its agent was shut down, or if the network rather than the agent may
// have failed.
func TestFlowsThatAreNotReset(t *testing.T) {
	tests := map[string]struct {
		requests routing.RequestKind
		fault    func(*world, *worldAgent)
	}{
		"non-idempotent requests": {routing.NonIdempotent, func(_ *world, agent *worldAgent) { agent.up = false }},
		"unknown request kind":    {routing.RequestKindUnknown, func(_ *world, agent *worldAgent) { agent.up = false }},
		"agent shut down": {routing.Idempotent, func(w *world, agent *worldAgent) {
			w.beginShutdown(agent)
			w.advance(MinAgentShutdownTime)
			agent.up = false
		}},
		"slow agent, no statuses": {routing.Idempotent, func(_ *world, agent *worldAgent) {
			agent.statusesDisabled, agent.deliveryDelay = true, 600*time.Millisecond
		}},
		"back end hangs": {routing.Idempotent, func(_ *world, agent *worldAgent) { agent.backend.alive = false }},
		"back end hangs, no statuses": {routing.Idempotent, func(_ *world, agent *worldAgent) {
			agent.backend.alive, agent.statusesDisabled = false, true
		}},
		"all agents unreachable": {routing.Idempotent, func(w *world, _ *worldAgent) {
			for _, agent := range w.agents {
				agent.up = false
			}
		}},
		"only agent of its zone": {routing.Idempotent, func(w *world, agent *worldAgent) {
			agent.zone = "b"
			w.advance(100 * time.Millisecond)
			agent.up = false
		}},
		"three agents of its zone unreachable": {routing.Idempotent, func(w *world, agent *worldAgent) {
			for _, member := range w.moveToZone("b", agent) {
				member.up = false
			}
		}},
		"path to its zone failed": {routing.Idempotent, func(w *world, agent *worldAgent) {
			for _, member := range w.moveToZone("b", agent) {
				member.deliveryDelay = time.Hour // of messages to it; its statuses still arrive
			}
			agent.statusesDisabled = true
		}},
		"agent restarted, nothing forwarded to it since": {routing.Idempotent, func(w *world, agent *worldAgent) {
			w.startAgent(agent)
			w.advance(time.Second)
			agent.up = false
		}},
		"balancer stalled during shutdown of the agent": {routing.Idempotent, func(w *world, agent *worldAgent) {
			w.balancers[0].suspended = true
			w.beginShutdown(agent)
			w.advance(time.Second)
			agent.up = false
			w.advance(worldTickInterval)
			w.balancers[0].inbox = nil // messages received during the stall are lost
			w.resumeBalancer(w.balancers[0])
		}},
		"balancer stalled during shutdown of the agent, messages waiting": {routing.Idempotent, func(w *world, agent *worldAgent) {
			w.shutDownDuringStall(agent)
			w.advance(UnreachableTimeout)
			w.resumeBalancer(w.balancers[0])
		}},
		"balancer stalled during shutdown of the agent, messages dropped": {routing.Idempotent, func(w *world, agent *worldAgent) {
			w.shutDownDuringStall(agent)
			w.dropInbox(w.balancers[0])
			w.advance(worldTickInterval)
			w.resumeBalancer(w.balancers[0])
		}},
		"messages dropped without a stall during shutdown of the agent": {routing.Idempotent, func(w *world, agent *worldAgent) {
			w.balancers[0].knowsDrops = true
			w.advance(worldTickInterval)
			agent.up, agent.shutDown = false, true // no notice arrives
			w.advance(worldTickInterval)
			w.balancers[0].inboxDrops++
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, caller, agent := startWorldWithFlow(t, test.requests, 4)
			test.fault(w, agent)
			w.sendUntilAnswered(caller)
			is.True(!caller.reset)
			is.Equal(w.resets, 0)
			is.Equal(w.violation, "")
		})
	}
}

// shutDownDuringStall suspends the first balancer, which counts dropped messages, and shuts down the
// agent.
func (w *world) shutDownDuringStall(agent *worldAgent) {
	w.balancers[0].knowsDrops = true
	w.advance(worldTickInterval)
	w.balancers[0].suspended = true
	w.beginShutdown(agent)
	w.advance(MinAgentShutdownTime)
	agent.up = false
}

// TestContinuedSilenceIsReportedOnce guards against a log line for each datagram of the callers while
// a balancer receives no message from any agent.
func TestContinuedSilenceIsReportedOnce(t *testing.T) {
	is := is.New(t)
	w, caller, _ := startWorldWithFlow(t, routing.Idempotent, 4)
	for _, agent := range w.agents {
		agent.up = false
	}
	w.advance(2 * disturbanceTimeout)
	reported := 0
	for range 10 {
		datagram := Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1}
		datagram.Bytes = w.encodeDatagram(datagram)
		for _, action := range w.balancers[0].logic.HandleCallerDatagram(w.now, &datagram) {
			if decision, ok := action.(Decision); ok && decision.Event == EventAgentNotProbed {
				is.Equal(decision.Reason, reasonNoMessages)
				reported++
			}
		}
		w.advance(100 * time.Millisecond)
	}
	is.Equal(reported, 1)
}

// TestShortStallResetsNoFlow checks that a stall of an agent shorter than UnreachableTimeout resets
// no flow, however often the caller resends.
func TestShortStallResetsNoFlow(t *testing.T) {
	is := is.New(t)
	w, caller, agent := startWorldWithFlow(t, routing.Idempotent, 4)
	agent.up = false
	for range 10 {
		w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber,
			Number: uint32(caller.answers), PayloadLength: 1})
		w.advance(UnreachableTimeout / 11)
	}
	agent.up = true
	w.advance(time.Second)
	is.Equal(w.resets, 0)
	is.True(w.exchange(caller))
}

// TestFlowContinuesAfterItsAgentRecovers checks that a flow continues when its agent becomes
// reachable again and the reset to the caller was lost.
func TestFlowContinuesAfterItsAgentRecovers(t *testing.T) {
	is := is.New(t)
	w, caller, agent := startWorldWithFlow(t, routing.Idempotent, 4)
	agent.up = false
	w.sendUntilAnswered(caller)
	is.True(caller.reset)
	agent.up = true // it had only stalled
	w.advance(100 * time.Millisecond)
	caller.reset = false // the reset was lost
	resets := w.resets
	is.True(w.exchange(caller))
	is.Equal(w.resets, resets)
}

// TestAgentProbesAreBounded checks that the number of probes is bounded, however many agents are
// unreachable and however many callers wait for them, and that probes end when no caller waits.
func TestAgentProbesAreBounded(t *testing.T) {
	is := is.New(t)
	const flows, agents = 150, 60
	w := startWorld(t, 31, 1, agents)
	w.setRequestKind(routing.Idempotent)
	for port := range uint16(flows) {
		w.sendOpening(1000 + port)
		w.advance(worldTickInterval)
	}
	w.advance(time.Second)
	probes := 0
	w.onMessage = func(message Message) {
		if _, ok := message.(FlowQuery); ok {
			probes++
		}
	}
	for _, agent := range w.agents[:agents/2] {
		agent.up = false
	}
	startedAt := w.now
	for w.now.Sub(startedAt) < 2*time.Second {
		for _, agent := range w.agents[:agents/2] {
			for _, caller := range w.callersOf(agent.backend) {
				w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber,
					Number: uint32(caller.answers), PayloadLength: 1})
			}
		}
		w.advance(resendInterval)
	}
	t.Log(probes)
	is.True(probes > 0)
	is.True(probes <= 2*maxProbedAgents*int(2*time.Second/agentProbeInterval+1))
	is.Equal(w.violation, "")
	w.advance(probeIdleTimeout + time.Second)
	probes = 0
	w.advance(time.Second)
	is.Equal(probes, 0) // no caller waits any longer
}

// balancerAddress returns the address of the i-th balancer; i must be less than 256.
func balancerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 7000)
}

// TestStoppingAgentNotifiesForwardingBalancers checks that a stopping agent notifies a balancer
// that forwards datagrams to it, even if it sends that balancer statuses rarely.
func TestStoppingAgentNotifiesForwardingBalancers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	peers := NewPeers(testAgentAddress, presence.RoleAgent, catalog.ZoneName("a"))
	for i := range 30 { // with this many balancers, each receives statuses rarely
		peers.HandleStatus(now, balancerAddress(i), Status{Role: presence.RoleBalancer, Zone: "a",
			Incarnation: 1, Interval: time.Minute})
	}
	forwarding := balancerAddress(7)
	peers.RecordForward(now, forwarding)
	for range 3 {
		peers.DueStatuses(now, false)
		now = now.Add(5 * time.Second)
	}
	peers.DueStatuses(now, false)
	now = now.Add(20 * time.Millisecond)
	peers.BeginShutdown(now)
	notices := map[int]int{}
	for end := now.Add(MinAgentShutdownTime); now.Before(end); now = now.Add(20 * time.Millisecond) {
		for _, due := range peers.DueStatuses(now, false) {
			for i := range 30 {
				if due.Address == balancerAddress(i) {
					notices[i]++
				}
			}
		}
	}
	is.Equal(notices, map[int]int{7: 3})
}
