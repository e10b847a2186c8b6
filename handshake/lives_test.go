package handshake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/instance"
)

// openAt opens flows until so many are open at the agent's back end, and returns their callers in order of port.
func openAt(t *testing.T, w *world, agent *worldAgent, count int) []*worldCaller {
	t.Helper()
	is := is.New(t)
	for port := uint16(1000 + len(w.callers)); len(w.callersOf(agent.backend)) < count; port++ {
		is.True(w.call(port))
	}
	return w.callersOf(agent.backend)
}

// resetOf counts the callers that were reset.
func resetOf(callers []*worldCaller) int {
	count := 0
	for _, caller := range callers {
		if caller.reset {
			count++
		}
	}
	return count
}

// speak lets all callers' flows be spoken on.
func speak(t *testing.T, w *world, callers []*worldCaller) {
	t.Helper()
	is := is.New(t)
	for _, caller := range callers {
		is.True(w.exchange(caller))
	}
}

// bornWorld returns a world whose back ends tell their births, and have reported twice.
func bornWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := startWorld(t, seed, 2, 2)
	for _, agent := range w.agents {
		agent.backend.born = w.now
		w.report(agent)
	}
	w.pass(worldCalm)
	return w
}

// restart crashes the back end and starts it under its id; its first report is heard.
func (w *world) restart(agent *worldAgent, born time.Time) {
	w.rebirth(agent, born)
	w.pass(resendPause)
	w.report(agent)
	w.pass(resendPause)
}

// TestCallersOfAnEarlierLifeAreTold: one caller's datagram, which the new life gives back, proves that the flows of
// all others are over: they are told without sending anything.
func TestCallersOfAnEarlierLifeAreTold(t *testing.T) {
	is := is.New(t)
	w := bornWorld(t, 31)
	agent := w.agents[0]
	callers := openAt(t, w, agent, 70) // more than one tick tells of
	speak(t, w, callers)
	w.pass(overtaken)
	w.restart(agent, w.now)
	is.Equal(resetOf(callers), 0)     // the news alone proves nothing
	sender := callers[len(callers)-1] // the back end spoke on its flow a short time ago
	w.fromCaller(Datagram{Key: sender.key, Kind: Data, Confirms: sender.number, Payload: 1})
	w.pass(resendPause)
	is.Equal(resetOf(callers), len(callers))
	is.Equal(w.violation, "")
}

// TestFlowsOfTheNewLifeAreNotTold: it took flows before its first report was heard.
func TestFlowsOfTheNewLifeAreNotTold(t *testing.T) {
	is := is.New(t)
	w := bornWorld(t, 32)
	agent := w.agents[0]
	callers := openAt(t, w, agent, 10)
	speak(t, w, callers)
	w.rebirth(agent, w.now)
	for port := uint16(5000); len(w.callersOf(agent.backend)) < 5; port++ {
		is.True(w.call(port))
	}
	w.report(agent)
	w.pass(overtaken + resendPause)
	for _, caller := range callers {
		w.fromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.number, Payload: 1})
	}
	w.pass(resendPause)
	is.Equal(resetOf(callers), len(callers))
	is.Equal(resetOf(w.callersOf(agent.backend)), 0)
	is.Equal(w.violation, "")
}

// TestLateReportEndsNoFlow: a report of an earlier life whose clock was ahead reaches an agent that has started since
// and knows the present life only; the back end then gives back a flow that it has forgotten, as idle ones are.
func TestLateReportEndsNoFlow(t *testing.T) {
	is := is.New(t)
	w := bornWorld(t, 33)
	agent := w.agents[0]
	w.restart(agent, w.now.Add(-time.Hour)) // its clock was set back
	w.startAgent(agent)
	for range 3 {
		w.report(agent)
		w.pass(time.Second)
	}
	callers := openAt(t, w, agent, 5)
	speak(t, w, callers)
	idle := callers[0]
	w.pass(surelyHeldTime - time.Second)
	speak(t, w, callers[1:])
	w.pass(2 * time.Second)
	w.reportEarlier(agent)
	is.Equal(agent.decider.Tracker().Life(), instance.Life{ID: agent.backend.id, Born: agent.backend.before.born.UTC()})
	delete(agent.backend.open, idle.key)
	delete(agent.backend.half, idle.key)
	w.fromCaller(Datagram{Key: idle.key, Kind: Data, Confirms: idle.number, Payload: 1})
	w.pass(resendPause)
	is.True(idle.reset)
	is.Equal(resetOf(callers), 1)
	for range 4 { // the life at work takes its place back
		w.report(agent)
		w.pass(time.Second)
	}
	is.Equal(agent.decider.Tracker().Life().Born, agent.backend.born.UTC())
	is.Equal(agent.decider.Tracker().State(), instance.Ready)
	speak(t, w, callers[1:])
	is.Equal(w.violation, "")
}

// TestWorkOfAnEarlierLifeIsForgotten: what it owed nobody will answer.
func TestWorkOfAnEarlierLifeIsForgotten(t *testing.T) {
	is := is.New(t)
	w := bornWorld(t, 34)
	agent := w.agents[0]
	w.work = time.Minute
	for port := uint16(1000); agent.decider.Load(w.now).Busy < 3; port++ {
		w.begin(port)
		w.pass(resendPause)
	}
	w.restart(agent, w.now)
	is.Equal(agent.decider.Tracker().State(), instance.Ready)
	is.Equal(agent.decider.Load(w.now).Busy, uint32(0))
}

// TestEndedFlowOfTheSamePort: the message that a flow is over comes after the next flow of the caller's port was found.
func TestEndedFlowOfTheSamePort(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 35, 1, 1)
	is.True(w.call(1000))
	balancer, agent := w.balancers[0], w.agents[0]
	over := Located{Key: holdKey(1000), Holding: HoldsNoMore}
	is.Equal(len(balancer.decider.FromPeer(w.now, w.agents[0].address, over)), 0)
	w.pass(overtaken)
	is.Equal(len(balancer.decider.FromPeer(w.now, balancer.address, over)), 0) // another agent's word
	is.True(len(balancer.decider.FromPeer(w.now, agent.address, over)) > 0)
}

// TestOldFlowProvesNothing: a back end may forget a flow that has become older than flows may, however lately it spoke on it.
func TestOldFlowProvesNothing(t *testing.T) {
	is := is.New(t)
	w := bornWorld(t, 36)
	agent := w.agents[0]
	old := openAt(t, w, agent, 1)[0]
	for range 7 {
		w.pass(9 * time.Second)
		is.True(w.exchange(old))
	}
	callers := openAt(t, w, agent, 6) // the old one among them
	speak(t, w, callers)
	is.True(w.exchange(old))
	w.pass(overtaken)
	w.restart(agent, w.now)
	w.fromCaller(Datagram{Key: old.key, Kind: Data, Confirms: old.number, Payload: 1})
	w.pass(resendPause)
	is.True(old.reset)
	is.Equal(resetOf(callers), 1)
}

// TestProofBeforeTheNews: the new life gives a flow back before its first report is heard.
func TestProofBeforeTheNews(t *testing.T) {
	is := is.New(t)
	w := bornWorld(t, 37)
	agent := w.agents[0]
	callers := openAt(t, w, agent, 20)
	speak(t, w, callers)
	w.pass(overtaken)
	w.rebirth(agent, w.now)
	sender := callers[len(callers)-1]
	w.fromCaller(Datagram{Key: sender.key, Kind: Data, Confirms: sender.number, Payload: 1})
	w.pass(resendPause)
	is.Equal(resetOf(callers), 1)
	w.report(agent)
	w.pass(resendPause)
	is.Equal(resetOf(callers), len(callers))
	is.Equal(w.violation, "")
}
