package handshake

import (
	"net/netip"
	"time"
)

// PlaceTime is how long a place at a back end is kept for a balancer that was told of it.
const PlaceTime = 40 * time.Millisecond

// places says which balancers wait for room at a back end that has as much work as it
// gets, and for which of them a place is kept. Room is offered to as many balancers as
// there are places, in the order in which they came: if all were told, most of their
// offers would be refused, and the telling would grow with their number.
type places struct {
	queue []netip.AddrPort             // those that wait, each once
	kept  map[netip.AddrPort]time.Time // until when a place is kept
}

func newPlaces() places { return places{kept: map[netip.AddrPort]time.Time{}} }

// join lets a balancer wait.
func (p *places) join(balancer netip.AddrPort) {
	for _, waiting := range p.queue {
		if waiting == balancer {
			return
		}
	}
	p.queue = append(p.queue, balancer)
}

// next keeps a place for the balancer that has waited longest.
func (p *places) next(now time.Time) netip.AddrPort {
	balancer := p.queue[0]
	p.queue = p.queue[1:]
	p.kept[balancer] = now.Add(PlaceTime)
	return balancer
}

// use ends the keeping of a balancer's place. It says whether one was kept.
func (p *places) use(balancer netip.AddrPort) bool {
	_, kept := p.kept[balancer]
	delete(p.kept, balancer)
	return kept
}

// expire ends the keeping of places that were not used in time.
func (p *places) expire(now time.Time) {
	for balancer, until := range p.kept {
		if !now.Before(until) {
			delete(p.kept, balancer)
		}
	}
}

// BalancersWaiting returns how many balancers wait for room.
func (a *Agent) BalancersWaiting() int { return len(a.places.queue) }

// PlacesKept returns for how many balancers a place is kept.
func (a *Agent) PlacesKept() int { return len(a.places.kept) }

// Awaited handles a balancer's wish to be told of room.
func (a *Agent) Awaited(now time.Time, from netip.AddrPort, message Await) []Action {
	if message.Service == a.options.Service {
		a.places.join(from)
	}
	a.invite(now)
	return a.take()
}

// PlaceDeclined handles that a balancer does not need the place that is kept for it.
func (a *Agent) PlaceDeclined(now time.Time, from netip.AddrPort) []Action {
	a.places.use(from)
	a.invite(now)
	return a.take()
}

// invite tells balancers that wait of the places that are free.
func (a *Agent) invite(now time.Time) {
	if a.accepts() != 0 {
		a.places.queue = nil // they hear of it with the status
		return
	}
	var invited []netip.AddrPort
	for len(a.places.queue) > 0 && !a.Load(now).Full() {
		invited = append(invited, a.places.next(now))
	}
	if len(invited) == 0 {
		return
	}
	load := a.Load(now)
	load.Busy-- // the receiver's own place
	for _, balancer := range invited {
		a.act(Send{To: balancer, Message: Room{Load: load}})
	}
}
