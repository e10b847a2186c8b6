package handshake

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
)

// The evacuations of the test world: the store holds them, two balancers read them, and they ride on
// all statuses.

// storeReaders is how many balancers read the store.
const storeReaders = 2

// evacuate lets the operators begin or end the evacuation of a zone.
func (w *world) evacuate(zone catalog.ZoneName, ended bool) {
	changes := evacuation.Changes{At: w.evacuated.Revision() + 1, List: []evacuation.Change{{Zone: zone, Ended: ended}}}
	next, err := w.evacuated.With(changes)
	if err != nil {
		panic(err)
	}
	w.evacuated = next
}

// readEvacuations lets a balancer that reads the store do so.
func (w *world) readEvacuations(i int, balancer *worldBalancer) {
	if i < storeReaders && !w.storeDown {
		w.tellBalancer(balancer, w.evacuated)
	}
}

func (w *world) tellBalancer(balancer *worldBalancer, set evacuation.Set) {
	if balancer.view.Take(w.now, set) {
		balancer.decider.Evacuate(balancer.view.Set())
	}
}

// tellAgents sends what a balancer believes to all agents.
func (w *world) tellAgents(from *worldBalancer) {
	told := from.view.Told()
	if told.Revision() == 0 {
		return
	}
	for _, agent := range w.agents {
		w.later(func() {
			if agent.up && agent.view.Take(w.now, told) {
				agent.decider.Evacuate(agent.view.Set())
			}
		})
	}
}

// inZones puts the agents into zones by turns. The balancers, in zone a, prefer none of the others.
func (w *world) inZones(zones ...catalog.ZoneName) {
	for i, agent := range w.agents {
		agent.zone = zones[i%len(zones)]
		w.startAgent(agent)
	}
	w.pass(50 * time.Millisecond)
	for _, agent := range w.agents {
		w.report(agent)
	}
	w.pass(worldCalm)
}

// offeredIn returns how many opening datagrams the back ends of a zone have got.
func (w *world) offeredIn(zone catalog.ZoneName) int {
	count := 0
	for _, agent := range w.agents {
		if agent.zone == zone {
			count += agent.backend.offered
		}
	}
	return count
}
