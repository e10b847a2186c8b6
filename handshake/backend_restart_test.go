// This file tests that, after a back end has restarted, the flows of its earlier incarnation are
// reset and no longer count as load, and that late reports, expired flows and answers for earlier
// flows close no other flow.

package handshake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/instance"
)

// openFlowsAt opens flows until count are open at the agent's back end, and returns the callers of
// all of them in order of port.
func openFlowsAt(t *testing.T, w *world, agent *worldAgent, count int) []*worldCaller {
	t.Helper()
	is := is.New(t)
	for port := uint16(1000 + len(w.callers)); len(w.callersOf(agent.backend)) < count; port++ {
		is.True(w.openFlow(port))
	}
	return w.callersOf(agent.backend)
}

// countReset counts the callers that were reset.
func countReset(callers []*worldCaller) int {
	count := 0
	for _, caller := range callers {
		if caller.reset {
			count++
		}
	}
	return count
}

// exchangeAll requires one exchange on each caller's flow.
func exchangeAll(t *testing.T, w *world, callers []*worldCaller) {
	t.Helper()
	is := is.New(t)
	for _, caller := range callers {
		is.True(w.exchange(caller))
	}
}

// startWorldWithStartTimes returns a world whose back ends report their start times and have
// reported twice.
func startWorldWithStartTimes(t *testing.T, seed uint64) *world {
	t.Helper()
	w := startWorld(t, seed, 2, 2)
	for _, agent := range w.agents {
		agent.backend.startedAt = w.now
		w.report(agent)
	}
	w.advance(convergenceTime)
	return w
}

// restartBackend crashes the back end, starts it again under the same ID, and delivers its first
// report.
func (w *world) restartBackend(agent *worldAgent, startedAt time.Time) {
	w.restartBackendUnreported(agent, startedAt)
	w.advance(resendInterval)
	w.report(agent)
	w.advance(resendInterval)
}

// TestCallersOfEarlierIncarnationAreReset checks that one datagram returned by a restarted back end
// proves that all flows of the earlier incarnation are closed, and that all their callers are
// reset, including those that send nothing.
func TestCallersOfEarlierIncarnationAreReset(t *testing.T) {
	is := is.New(t)
	w := startWorldWithStartTimes(t, 31)
	agent := w.agents[0]
	callers := openFlowsAt(t, w, agent, 70) // more than are reset in one tick
	exchangeAll(t, w, callers)
	w.advance(reorderTolerance)
	w.restartBackend(agent, w.now)
	is.Equal(countReset(callers), 0)  // the report alone proves nothing
	sender := callers[len(callers)-1] // the back end sent on this flow a short time ago
	w.sendFromCaller(Datagram{Key: sender.key, Kind: Data, Confirms: sender.backendNumber, PayloadLength: 1})
	w.advance(resendInterval)
	is.Equal(countReset(callers), len(callers))
	is.Equal(w.violation, "")
}

// TestFlowsOfNewIncarnationAreNotReset checks that flows that a new incarnation accepted before its
// first report was received are not reset with those of the earlier one.
func TestFlowsOfNewIncarnationAreNotReset(t *testing.T) {
	is := is.New(t)
	w := startWorldWithStartTimes(t, 32)
	agent := w.agents[0]
	callers := openFlowsAt(t, w, agent, 10)
	exchangeAll(t, w, callers)
	w.restartBackendUnreported(agent, w.now)
	for port := uint16(5000); len(w.callersOf(agent.backend)) < 5; port++ {
		is.True(w.openFlow(port))
	}
	w.report(agent)
	w.advance(reorderTolerance + resendInterval)
	for _, caller := range callers {
		w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
	}
	w.advance(resendInterval)
	is.Equal(countReset(callers), len(callers))
	is.Equal(countReset(w.callersOf(agent.backend)), 0)
	is.Equal(w.violation, "")
}

// TestLateReportClosesNoFlow checks that a restarted agent does not reset the flows of the current
// incarnation when an idle flow has expired, even if a late report of an earlier incarnation with a
// later start time has arrived.
func TestLateReportClosesNoFlow(t *testing.T) {
	is := is.New(t)
	w := startWorldWithStartTimes(t, 33)
	agent := w.agents[0]
	w.restartBackend(agent, w.now.Add(-time.Hour)) // the clock was set back
	w.startAgent(agent)
	for range 3 {
		w.report(agent)
		w.advance(time.Second)
	}
	callers := openFlowsAt(t, w, agent, 5)
	exchangeAll(t, w, callers)
	idle := callers[0]
	w.advance(certainHoldTime(DefaultIdleTimeout) - time.Second)
	exchangeAll(t, w, callers[1:])
	w.advance(2 * time.Second)
	w.sendPreviousReport(agent)
	is.Equal(agent.logic.Tracker().Incarnation(), instance.Incarnation{ID: agent.backend.id, StartedAt: agent.backend.previous.startedAt.UTC()})
	delete(agent.backend.open, idle.key)
	delete(agent.backend.halfOpen, idle.key)
	w.sendFromCaller(Datagram{Key: idle.key, Kind: Data, Confirms: idle.backendNumber, PayloadLength: 1})
	w.advance(resendInterval)
	is.True(idle.reset)
	is.Equal(countReset(callers), 1)
	for range 4 { // the running incarnation becomes current again
		w.report(agent)
		w.advance(time.Second)
	}
	is.Equal(agent.logic.Tracker().Incarnation().StartedAt, agent.backend.startedAt.UTC())
	is.Equal(agent.logic.Tracker().State(), instance.Ready)
	exchangeAll(t, w, callers[1:])
	is.Equal(w.violation, "")
}

// TestLoadOfEarlierIncarnationIsCleared checks that outstanding requests of an earlier incarnation
// do not count as load of the new one.
func TestLoadOfEarlierIncarnationIsCleared(t *testing.T) {
	is := is.New(t)
	w := startWorldWithStartTimes(t, 34)
	agent := w.agents[0]
	w.responseTime = time.Minute
	for port := uint16(1000); agent.logic.Load(w.now).InFlight < 3; port++ {
		w.sendOpening(port)
		w.advance(resendInterval)
	}
	w.restartBackend(agent, w.now)
	is.Equal(agent.logic.Tracker().State(), instance.Ready)
	is.Equal(agent.logic.Load(w.now).InFlight, uint32(0))
}

// TestClosedNoticeForEarlierFlowOfSamePort checks that a HoldsNoLonger answer for an earlier flow
// does not close a later flow of the same port. An answer closes the later flow only if it comes
// from the flow's agent and reorderTolerance has passed since that agent was set.
func TestClosedNoticeForEarlierFlowOfSamePort(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 35, 1, 1)
	is.True(w.openFlow(1000))
	balancer, agent := w.balancers[0], w.agents[0]
	closedNotice := FlowQueryAnswer{Key: testKey(1000), Holding: HoldsNoLonger}
	is.Equal(len(balancer.logic.HandleMessage(w.now, w.agents[0].address, closedNotice)), 0)
	w.advance(reorderTolerance)
	// The sender is not the flow's agent.
	is.Equal(len(balancer.logic.HandleMessage(w.now, balancer.address, closedNotice)), 0)
	is.True(len(balancer.logic.HandleMessage(w.now, agent.address, closedNotice)) > 0)
}

// TestExpiredFlowDoesNotProveRestart checks that a returned datagram of a flow that is older than
// the flow lifetime closes no other flow: the back end may have expired that flow without a
// restart.
func TestExpiredFlowDoesNotProveRestart(t *testing.T) {
	is := is.New(t)
	w := startWorldWithStartTimes(t, 36)
	agent := w.agents[0]
	old := openFlowsAt(t, w, agent, 1)[0]
	for range 7 {
		w.advance(9 * time.Second)
		is.True(w.exchange(old))
	}
	callers := openFlowsAt(t, w, agent, 6) // includes the old flow
	exchangeAll(t, w, callers)
	is.True(w.exchange(old))
	w.advance(reorderTolerance)
	w.restartBackend(agent, w.now)
	w.sendFromCaller(Datagram{Key: old.key, Kind: Data, Confirms: old.backendNumber, PayloadLength: 1})
	w.advance(resendInterval)
	is.True(old.reset)
	is.Equal(countReset(callers), 1)
}

// TestRestartProofBeforeFirstReport checks that flows of an earlier incarnation are reset even if
// the new one returns a datagram before its first report is received.
func TestRestartProofBeforeFirstReport(t *testing.T) {
	is := is.New(t)
	w := startWorldWithStartTimes(t, 37)
	agent := w.agents[0]
	callers := openFlowsAt(t, w, agent, 20)
	exchangeAll(t, w, callers)
	w.advance(reorderTolerance)
	w.restartBackendUnreported(agent, w.now)
	sender := callers[len(callers)-1]
	w.sendFromCaller(Datagram{Key: sender.key, Kind: Data, Confirms: sender.backendNumber, PayloadLength: 1})
	w.advance(resendInterval)
	is.Equal(countReset(callers), 1)
	w.report(agent)
	w.advance(resendInterval)
	is.Equal(countReset(callers), len(callers))
	is.Equal(w.violation, "")
}

// TestForgottenFlowDoesNotProveRestart checks that a returned datagram of a flow that has rested for
// longer than the idle timeout closes no other flow, even if the flow was accepted by an incarnation
// that reported only afterwards.
func TestForgottenFlowDoesNotProveRestart(t *testing.T) {
	for name, test := range map[string]struct {
		idleTimeout time.Duration
		others      bool // whether other flows are closed
	}{
		"shorter than the pause": {5 * time.Second, false},
		"longer than the pause":  {15 * time.Second, true},
		"unknown":                {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := startWorldWithStartTimes(t, 38)
			agent := w.agents[0]
			agent.logic.SetIdleTimeout(test.idleTimeout)
			w.restartBackendUnreported(agent, w.now)
			callers := openFlowsAt(t, w, agent, 6)
			exchangeAll(t, w, callers)
			idle := callers[0]
			w.advance(resendInterval)
			w.report(agent)
			for range 3 { // some 6.5 s
				w.advance(time.Second)
				exchangeAll(t, w, callers[1:])
			}
			delete(agent.backend.open, idle.key)
			delete(agent.backend.halfOpen, idle.key)
			w.sendFromCaller(Datagram{Key: idle.key, Kind: Data, Confirms: idle.backendNumber, PayloadLength: 1})
			w.advance(resendInterval)
			is.True(idle.reset)
			is.Equal(countReset(callers) > 1, test.others)
		})
	}
}
