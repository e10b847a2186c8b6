// This file tests balancers and agents together in the test world: flows are opened, spread, found
// and kept or reset correctly under failures, restarts and lost messages. It also tests which data
// an agent delivers, which flows it denies or reports closed, and when it suspects its back end.

package handshake

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/routing"
)

// startWorld returns a world in which all balancers have received the statuses of all agents.
func startWorld(t fataler, seed uint64, balancers, agents int) *world {
	return convergeWorld(t, newWorld(seed, balancers, agents))
}

// startObservedWorld returns a world whose agents have observed the start of their back ends. Until
// an agent restarts, it knows all flows of its back end.
func startObservedWorld(t fataler, seed uint64, balancers, agents int) *world {
	w := newWorld(seed, balancers, agents)
	w.sequenceStep = 0 // the reports contain the first sequence number
	convergeWorld(t, w)
	w.sequenceStep = reportSequenceStep
	return w
}

// fataler is implemented by testing.T and rapid.T.
type fataler interface{ Fatalf(string, ...any) }

// convergeWorld delivers a report of each back end and lets all processes receive each other's
// statuses.
func convergeWorld(t fataler, w *world) *world {
	w.advance(50 * time.Millisecond)
	for _, agent := range w.agents {
		w.report(agent)
	}
	w.advance(convergenceTime)
	if w.violation != "" {
		t.Fatalf("%s", w.violation)
	}
	return w
}

// TestFlowOpensAndIsFoundFromAnyBalancer checks that a flow continues when its datagrams reach
// different balancers.
func TestFlowOpensAndIsFoundFromAnyBalancer(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 1, 4, 5)
	for port := uint16(1000); port < 1050; port++ {
		is.True(w.openFlow(port)) // the flow opens and its data is answered
	}
	for _, caller := range w.callers {
		is.True(w.exchange(caller)) // a random balancer finds the flow
	}
	is.Equal(w.violation, "")
	is.Equal(w.resets, 0)
}

// TestFlowsAreSpread checks that new flows are distributed over idle back ends.
func TestFlowsAreSpread(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 2, 1, 5)
	for port := uint16(1000); port < 1100; port++ {
		is.True(w.openFlow(port))
	}
	for _, agent := range w.agents {
		t.Logf("%s: %d", agent.backend.id, agent.backend.openingsReceived)
		is.True(agent.backend.openingsReceived >= 10) // half of an even share
	}
}

// TestOpenFlowsSurviveAgentRestart checks that open flows survive a restart of their agent.
func TestOpenFlowsSurviveAgentRestart(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 3, 2, 3)
	for port := uint16(1000); port < 1020; port++ {
		is.True(w.openFlow(port))
	}
	for _, agent := range w.agents {
		w.startAgent(agent)
	}
	w.advance(time.Second)
	for _, caller := range w.callers {
		is.True(w.exchange(caller))
	}
	is.Equal(w.violation, "")
	is.Equal(w.resets, 0)
}

// TestRestartedAgentDoesNotReopenADrainingBackEnd checks that a delayed report of a draining back
// end does not make it ready again after its agent restarts.
func TestRestartedAgentDoesNotReopenADrainingBackEnd(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 4, 1, 1)
	agent := w.agents[0]
	agent.backend.draining = true
	w.report(agent)
	w.startAgent(agent)
	agent.backend.draining = false // the delayed report
	w.report(agent)
	agent.backend.draining = true
	w.advance(time.Second)
	is.True(!w.openFlow(1000))
	is.Equal(w.violation, "")
	is.Equal(agent.backend.openingsReceived, 0)
}

// TestCallerIsResetAtOnceWhenNoBackEndAcceptsItsFlow checks that an opening is reset at once if
// every back end is draining.
func TestCallerIsResetAtOnceWhenNoBackEndAcceptsItsFlow(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 5, 1, 2)
	for _, agent := range w.agents {
		agent.backend.draining = true
		w.report(agent)
	}
	w.advance(100 * time.Millisecond)
	w.openFlow(1000)
	is.Equal(w.resets, 1)
}

// TestIsolatedBalancerSendsNoResets checks that a balancer that reaches no agent sends no resets,
// because another balancer may still open the flow.
func TestIsolatedBalancerSendsNoResets(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 6, 1, 5)
	is.True(w.balancers[0].logic.Ready(w.now))
	for _, agent := range w.agents {
		agent.up = false
	}
	w.advance(IsolationTimeout + 50*time.Millisecond)
	is.True(!w.balancers[0].logic.Ready(w.now))
	w.openFlow(1000)
	is.Equal(w.resets, 0)
}

// TestFailedAgentDelaysAnOpeningByOneOffer checks that flows open at other agents if an agent that
// has just failed does not answer their offers.
func TestFailedAgentDelaysAnOpeningByOneOffer(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 7, 1, 4)
	w.agents[0].up = false
	for port := uint16(1000); port < 1008; port++ {
		is.True(w.openFlow(port))
	}
	is.Equal(w.resets, 0)
}

// TestFlowOfAReplacedBackEndIsReset checks that a flow is reset when its back end has failed and
// was replaced.
func TestFlowOfAReplacedBackEndIsReset(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 8, 1, 2)
	w.advance(time.Minute) // flows from before the agents' start have expired
	is.True(w.openFlow(1000))
	var caller *worldCaller
	for _, caller = range w.callers {
	}
	for _, agent := range w.agents {
		if agent.backend != caller.acceptedBy {
			continue
		}
		caller.acceptedBy.alive = false
		w.replaceBackend(agent)
	}
	w.advance(time.Second)
	is.True(!w.exchange(caller))
	is.True(caller.reset)
	is.Equal(w.violation, "")
}

// TestInvariantsUnderAnyOrderOfEvents injects faults in random order and checks that
//   - no open flow is reset, unless its requests may be repeated and either its agent is
//     unreachable without having been shut down or the whole fleet has restarted,
//   - no back end receives a new flow after its agent acknowledged that it is draining,
//   - no caller receives data from a back end that does not hold its flow,
//   - at most maxFlowProbes datagrams of an open flow reach other back ends within strayWindow, and
//   - every open flow of a running back end is found after the faults have ended.
func TestInvariantsUnderAnyOrderOfEvents(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.SampledFrom([]int{4, 4, 24}).Draw(t, "agents")
		start := startWorld
		if agents > maxSingleQueries { // summary rounds; probing all back ends would take too long
			start = startObservedWorld
		}
		w := start(t, rapid.Uint64().Draw(t, "seed"), 3, agents)
		for _, balancer := range w.balancers[1:] {
			balancer.knowsDrops = true
		}
		port := uint16(1000)
		w.setRequestKind(rapid.SampledFrom([]routing.RequestKind{
			routing.Idempotent, routing.NonIdempotent,
		}).Draw(t, "requests"))
		w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			agent := w.agents[rapid.IntRange(0, agents-1).Draw(t, "agent")]
			balancer := w.balancers[rapid.IntRange(0, 2).Draw(t, "balancer")]
			switch rapid.SampledFrom([]string{"open flow", "open flow", "restart agent",
				"restart balancer", "stop agent", "shut down agent", "drain back end", "stop back end",
				"replace back end", "replace back end unreported", "restart back end unreported",
				"restart back end unreported", "report", "report of replaced back end",
				"report of previous incarnation", "send data", "send data",
				"restart balancers without agent", "freeze balancer", "resume balancer", "freeze agent",
				"resume agent", "advance time", "send until answered",
			}).Draw(t, "step") {
			case "open flow":
				w.openFlow(port)
				port++
			case "restart agent":
				w.startAgent(agent)
				w.report(agent)
			case "restart balancer":
				w.startBalancer(balancer)
			case "stop agent":
				agent.up = false
			case "shut down agent":
				if !agent.suspended {
					w.beginShutdown(agent) // its back end continues to run
					w.advance(resendInterval)
				}
				agent.up = false
			case "drain back end":
				if !agent.backend.draining && agent.up && !agent.suspended {
					agent.backend.draining = true
					w.report(agent)
				}
			case "stop back end":
				agent.backend.alive = false
			case "replace back end":
				if !agent.backend.alive {
					w.replaceBackend(agent)
				}
			case "replace back end unreported":
				if !agent.backend.alive {
					w.replaceBackendUnreported(agent) // flows may reach it before its first report
				}
			case "restart back end unreported":
				if !agent.backend.alive {
					ahead := time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "clock ahead")) * time.Millisecond
					w.restartBackendUnreported(agent, w.now.Add(ahead))
				}
			case "report":
				w.report(agent)
			case "report of replaced back end":
				w.sendReplacedReport(agent)
			case "report of previous incarnation":
				w.sendPreviousReport(agent)
			case "send data":
				if caller := w.callers[testKey(port-1)]; caller != nil && caller.acceptedBy != nil {
					w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
				}
			case "send until answered":
				w.sendUntilAnswered(w.callers[testKey(port-1)])
			case "restart balancers without agent":
				w.restartBalancersWithoutAgent(agent)
			case "freeze balancer":
				balancer.suspended = true
			case "resume balancer":
				w.resumeBalancer(balancer)
			case "freeze agent":
				agent.suspended = agent.up
			case "resume agent":
				if agent.up {
					w.resumeAgent(agent)
				}
			case "advance time":
				w.advance(300 * time.Millisecond)
			}
		}
		w.loss = 0
		for _, balancer := range w.balancers {
			w.resumeBalancer(balancer)
		}
		for _, agent := range w.agents {
			if agent.up {
				w.resumeAgent(agent)
			}
			if !agent.backend.alive {
				w.replaceBackend(agent)
			}
			if !agent.up {
				w.startAgent(agent)
			}
			w.report(agent)
		}
		w.advance(convergenceTime)
		for _, caller := range w.callers {
			if caller.acceptedBy != nil && caller.acceptedBy.alive && caller.acceptedBy.open[caller.key] && !w.exchange(caller) {
				t.Fatalf("flow %v at back end %s is not found", caller.key, caller.acceptedBy.id)
			}
		}
		w.checkStrays()
		if w.violation != "" {
			t.Fatalf("%s", w.violation)
		}
	})
}

// TestFlowOfAnUnreachableAgentIsNotReset checks that a flow is not reset while no balancer can
// query the agent that may hold it.
func TestFlowOfAnUnreachableAgentIsNotReset(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 9, 2, 3)
	w.advance(time.Minute) // flows from before the agents' start have expired
	is.True(w.openFlow(1000))
	var caller *worldCaller
	for _, caller = range w.callers {
	}
	for _, agent := range w.agents {
		agent.up = agent.backend != caller.acceptedBy
	}
	w.advance(QueryableTime + time.Second)
	w.startBalancer(w.balancers[0])
	w.advance(convergenceTime + time.Second)
	is.True(!w.exchange(caller))
	w.advance(maxLookupBackoff)
	is.Equal(w.resets, 0)
	is.Equal(w.violation, "")
}

// TestAgentDeliversOnlyDataThatConfirmsItsBackEnd checks that an agent rejects data of a half-open
// flow that the caller opened at another back end.
func TestAgentDeliversOnlyDataThatConfirmsItsBackEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	balancer := netip.MustParseAddrPort("10.0.0.1:7000")
	agent := readyAgent(t, now)
	key := flow.Key{Caller: netip.MustParseAddrPort("100.64.0.1:1000"), Service: worldAddress}

	actions := agent.HandleOffer(now, balancer, Offer{Service: worldService},
		&Datagram{Key: key, Kind: Opening, Number: 7})
	is.True(delivers(actions))
	actions = agent.HandleBackendDatagram(now, &Datagram{Key: key, Kind: Accept, Number: 99})
	is.Equal(actions[0], Send{To: balancer,
		Message: Accepted{Key: key, Number: 99, Load: Load{Accepts: true, InFlight: 1, Slots: 3}}})

	actions = agent.HandleForward(now, balancer, &Datagram{Key: key, Kind: Data, Confirms: 50})
	is.True(!delivers(actions))
	is.Equal(actions[0], Send{To: balancer, Message: NotHeld{}})
	is.True(delivers(agent.HandleForward(now, balancer,
		&Datagram{Key: key, Kind: Data, Confirms: 99, PayloadLength: 10})))
	is.True(delivers(agent.HandleForward(now, balancer,
		&Datagram{Key: key, Kind: Data, Confirms: 5000}))) // the flow is open

	other := Offer{Service: "sheets"}
	actions = agent.HandleOffer(now, balancer, other,
		&Datagram{Key: flow.Key{Caller: balancer, Service: worldAddress}, Kind: Opening})
	is.True(!delivers(actions)) // the offer is for another service than the agent's
}

// readyAgent returns an agent whose back end started after it, is ready and has 3 slots.
func readyAgent(t *testing.T, now time.Time) *Agent {
	t.Helper()
	is := is.New(t)
	agent := NewAgent(now, AgentOptions{Service: worldService, FlowLifetime: time.Minute,
		ReportInterval: time.Second})
	agent.Tracker().Checked(now, instance.Check{Refused: true})
	agent.Tracker().Report(now, instance.Report{ID: "i", Service: worldService, Slots: 3, Sequence: 1})
	is.True(agent.Tracker().CheckDue(now))
	agent.Tracker().Checked(now, instance.Check{Healthy: true, ID: "i"})
	return agent
}

func delivers(actions []Action) bool {
	for _, action := range actions {
		if _, ok := action.(Deliver); ok {
			return true
		}
	}
	return false
}

// TestAgentRestartBeforeSecondReport checks that flows that opened after a health check alone
// survive a restart of the agent before the back end's second report.
func TestAgentRestartBeforeSecondReport(t *testing.T) {
	is := is.New(t)
	w := newWorld(10, 1, 1)
	w.advance(convergenceTime) // the back end has answered a health check and has not reported
	is.True(w.openFlow(1000))
	agent := w.agents[0]
	w.startAgent(agent)
	agent.backend.sequence, w.sequenceStep = 1, 1
	w.report(agent)
	is.Equal(agent.logic.Tracker().Latest().Sequence, uint64(2))
	w.advance(convergenceTime)
	for _, caller := range w.callers {
		is.True(w.exchange(caller))
	}
}

// TestOnlyAFlowThatWasOpenIsReportedClosed checks that an agent whose back end was replaced does
// not report a flow as closed that was never open there: the flow may be open at another back end.
func TestOnlyAFlowThatWasOpenIsReportedClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	key := flow.Key{Caller: netip.MustParseAddrPort("100.64.0.1:1000"), Service: worldAddress}
	data := &Datagram{Key: key, Kind: Data, Confirms: 99, PayloadLength: 1}
	for name, setUp := range map[string]func(*Agent){
		"offered": func(agent *Agent) {
			agent.HandleOffer(now, testAgentAddress, Offer{Service: worldService},
				&Datagram{Key: key, Kind: Opening, Number: 7})
		},
		"half open": func(agent *Agent) {
			agent.HandleOffer(now, testAgentAddress, Offer{Service: worldService},
				&Datagram{Key: key, Kind: Opening, Number: 7})
			agent.HandleBackendDatagram(now, &Datagram{Key: key, Kind: Accept, Number: 50})
		},
		"accepted before the agent's start": func(agent *Agent) {
			agent.HandleBackendDatagram(now, &Datagram{Key: key, Kind: Accept, Number: 50})
		},
		"probed": func(agent *Agent) {
			agent.HandleForward(now, testAgentAddress, data)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			agent := readyAgent(t, now)
			setUp(agent)
			agent.Tracker().Report(now, instance.Report{ID: "i-2", Service: worldService, Slots: 3, Sequence: 1})
			answer := agent.HandleQuery(now, testAgentAddress, FlowQuery{Key: key, Confirms: 99})[0].(Send).Message.(FlowQueryAnswer)
			is.True(answer.Holding != Holds)
			for _, action := range agent.HandleForward(now, testAgentAddress, data) {
				if send, ok := action.(Send); ok {
					is.True(!send.Message.(NotHeld).Closed)
				}
			}
			for _, action := range agent.HandleBackendDatagram(now, &Datagram{Key: key, Kind: Data, Returned: true}) {
				if send, ok := action.(Send); ok {
					is.True(!send.Message.(NotHeld).Closed)
				}
			}
		})
	}
}

// TestBackEndThatFailsFlowsIsSuspected checks that a back end that fails flows quickly, and so has
// few flows in flight, does not receive more flows than the others.
func TestBackEndThatFailsFlowsIsSuspected(t *testing.T) {
	for name, answer := range map[string]Datagram{
		"answers marked as failed": {Kind: Data, PayloadLength: 100, FailedAnswer: true},
		"resets":                   {Kind: Reset},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			agent := readyAgent(t, now)
			fail := func(port uint16) {
				key := testKey(port)
				agent.HandleOffer(now, testAgentAddress, Offer{Service: worldService},
					&Datagram{Key: key, Kind: Opening, Number: 7})
				agent.HandleBackendDatagram(now, &Datagram{Key: key, Kind: Accept, Number: 50})
				agent.HandleForward(now, testAgentAddress, &Datagram{Key: key, Kind: Data, Confirms: 50, PayloadLength: 10})
				failed := answer
				failed.Key = key
				agent.HandleBackendDatagram(now, &failed)
			}
			fail(1)
			fail(2)
			is.True(!agent.Load(now).Suspect)
			fail(3)
			is.True(agent.Load(now).Suspect)
			is.True(agent.Load(now).Accepts) // used only if no other back end can accept the flow
			is.True(!agent.Load(now.Add(instance.SuspicionTime)).Suspect)
		})
	}
}

// TestAgentWithoutBackEndDeniesFlows checks that an agent without a running back end denies all
// flows, also those from before its start, so that lookups need not wait for them to expire.
func TestAgentWithoutBackEndDeniesFlows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := NewAgent(now, AgentOptions{Service: worldService, FlowLifetime: time.Minute,
		ReportInterval: time.Second})
	query := FlowQuery{Key: testKey(1), Confirms: 50}
	is.Equal(sentTo(agent.HandleQuery(now, testAgentAddress, query), testAgentAddress),
		[]Message{FlowQueryAnswer{Key: testKey(1), Holding: HoldsPossibly}})
	for range 10 { // for longer than the report interval of a running back end
		agent.Tracker().Checked(now, instance.Check{Refused: true})
		now = now.Add(time.Second)
	}
	is.Equal(sentTo(agent.HandleQuery(now, testAgentAddress, query), testAgentAddress),
		[]Message{FlowQueryAnswer{Key: testKey(1), Holding: HoldsNot}})
	is.True(agent.HoldsNothing(now)) // it may withdraw its record when it stops
	agent.Tracker().Report(now, instance.Report{ID: "i-1", Service: worldService, Slots: 3})
	is.True(!agent.HoldsNothing(now))
}
