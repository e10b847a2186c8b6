package handshake

import (
	"time"

	"github.com/burlmill/burlmill/instance"
)

// The records of the test world's agents, and how agents end.

// check returns the answer to a health check.
func (b *worldBackend) check() instance.Check {
	if !b.alive {
		return instance.Check{Refused: true}
	}
	return instance.Check{Well: !b.leaving, ID: b.id}
}

// keepRecord withdraws the record of an agent beside nobody, and writes that of one whose back end has given a sign.
func (w *world) keepRecord(agent *worldAgent) {
	tracker := agent.decider.Tracker()
	switch {
	case agent.decider.leaving: // stopAgent decides
	case tracker.NobodyThere():
		agent.unrecorded = true
	case tracker.State() != instance.Absent:
		agent.unrecorded = false
	}
}

// readRecords reads the records for a balancer that wants to know them.
func (w *world) readRecords(balancer *worldBalancer) {
	if balancer.decider.RecordsDue(w.now) {
		balancer.decider.Record(w.now, w.now, w.recorded())
	}
}

// stopAgent lets an agent end as it is told to: where its back end's address is closed or it holds nothing, it
// withdraws its record.
func (w *world) stopAgent(agent *worldAgent) {
	if !agent.up {
		return
	}
	agent.decider.Leave()
	if agent.backend.check().Refused {
		agent.decider.EndWithoutBackend()
	}
	if agent.decider.HoldsNothing(w.now) {
		agent.unrecorded = true // and its statuses say so
	}
	w.pass(10 * time.Millisecond)
	agent.up = false
}

// losePower ends everything, back ends too. Balancers and agents start again; back ends do so much later, beside those agents that
// are to have one, and have reported twice by then.
func (w *world) losePower(later time.Duration, beside func(*worldAgent) bool) {
	for _, agent := range w.agents {
		agent.backend.alive, agent.up = false, false
	}
	for _, balancer := range w.balancers {
		balancer.up = false
	}
	w.pass(50 * time.Millisecond)
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
	for _, agent := range w.agents {
		w.startAgent(agent)
	}
	w.pass(later)
	for _, agent := range w.agents {
		if beside(agent) {
			w.startBackend(agent)
			agent.backend.sequence = 2
		}
	}
	if w.meanwhile != nil {
		w.pass(100 * time.Millisecond)
		w.meanwhile()
	}
	for range 2 {
		w.pass(150 * time.Millisecond)
		for _, agent := range w.agents {
			w.report(agent)
		}
	}
}
