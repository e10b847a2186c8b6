package flow

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/burlmill/burlmill/catalog"
)

// A hint tells the agent where searches for a flow begin which back end holds
// it, so that the datagrams of a flow that a change has moved pass two agents
// and not all of the service. Hints only shorten searches: a wrong or lost one
// costs hops, never a flow.

// Limits on hints.
const (
	// directHops is the number of processes passed before the holder when the
	// search needs no shortening: a balancer and one agent.
	directHops = 2
	// hintLifetime is how long an unused hint is kept.
	hintLifetime = 30 * time.Second
	// maximumHints bounds the hints that one agent keeps.
	maximumHints = 1 << 16
	// hintsPerSecond bounds the hints that one agent sends, about 2 KB a second.
	hintsPerSecond = 20
	hintBurst      = 200
)

// hints is what an agent knows about flows held elsewhere, and the budget for
// telling others about its own.
type hints struct {
	known  expiringMap[Key, backendIdentity]
	budget *rate.Limiter
}

func newHints() hints {
	return hints{
		known:  newExpiringMap[Key, backendIdentity](hintLifetime),
		budget: rate.NewLimiter(hintsPerSecond, hintBurst),
	}
}

// hintFor returns the hint to send after a delivery, the zero Hop for none.
func (d *Decider) hintFor(now time.Time, packet Packet, record *flowRecord) Hop {
	if packet.Route.Hops <= directHops {
		return Hop{}
	}
	service := d.snapshot.ServiceAt(packet.Key.Service)
	if service == nil || service.Revision != packet.Route.Revision {
		return Hop{}
	}
	holder := indexOf(service, identityOf(record.service, record.backend))
	first := nextUnvisited(service, d.row(service, packet.Key.Bucket()), d.liveness, 0)
	if holder == NoBackend || first == NoBackend || service.Backends[first].Agent == d.self {
		return Hop{}
	}
	if !d.hints.budget.AllowN(now, 1) {
		return Hop{}
	}
	route := Route{Revision: service.Revision, Step: StepHint, Hops: 1, Chosen: holder, Return: packet.Route.Return}
	return Hop{To: service.Backends[first].Agent, Route: route}
}

// takeHint remembers a hint made for the present service object.
func (d *Decider) takeHint(now time.Time, packet Packet, service *catalog.Service) {
	chosen := packet.Route.Chosen
	if packet.Route.Revision != service.Revision || chosen < 0 || chosen >= len(service.Backends) {
		return
	}
	if len(d.hints.known.entries) >= maximumHints {
		return
	}
	d.hints.known.put(now, packet.Key, identityOf(service, &service.Backends[chosen]))
}

// hinted returns the live back end that is said to hold the flow, NoBackend if
// there is none, and keeps the hint for longer.
func (s *search) hinted() int {
	identity, ok := s.decider.hints.known.get(s.now, s.key)
	if !ok {
		return NoBackend
	}
	index := indexOf(s.service, identity)
	if index == NoBackend || s.own.Has(index) || !s.decider.liveness.Alive(s.service.Backends[index].Agent) {
		return NoBackend
	}
	s.decider.hints.known.put(s.now, s.key, identity)
	return index
}
