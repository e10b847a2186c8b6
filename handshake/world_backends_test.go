package handshake

import (
	"strings"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/instance"
)

// What befalls the back ends of the test world.

func newWorldBackend(id instance.ID) *worldBackend {
	return &worldBackend{id: id, slots: 7, alive: true, sequence: 1, half: map[flow.Key]uint32{}, open: map[flow.Key]bool{}}
}

// replaceBackend starts another back end beside the agent.
func (w *world) replaceBackend(agent *worldAgent) {
	w.startBackend(agent)
	w.report(agent)
}

// startBackend starts another back end beside the agent, which has not reported yet.
func (w *world) startBackend(agent *worldAgent) {
	agent.backend.alive = false
	agent.backend = newWorldBackend(agent.backend.id + "+")
}

// loseSight starts all balancers anew while the agent does not run, and lets the callers of
// its back end's flows go on: nobody may tell them that their flows are gone.
func (w *world) loseSight(agent *worldAgent) {
	agent.up = false
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
	w.pass(worldCalm)
	for _, caller := range w.callersOf(agent.backend) {
		w.fromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.number, Payload: 1})
	}
	w.pass(worldCalm)
}

// reportLate delivers a report that the back end before the present one sent long ago.
func (w *world) reportLate(agent *worldAgent) {
	before, replaced := strings.CutSuffix(string(agent.backend.id), "+")
	if !agent.up || !replaced {
		return
	}
	agent.decider.Tracker().Report(w.now, instance.Report{ID: instance.ID(before), Service: worldService, Slots: 7, Sequence: 3})
}
