package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// ReservationTime is how long capacity is reserved for a balancer that was told so.
const ReservationTime = 40 * time.Millisecond

// reservations says which balancers wait for capacity of a back end that has as much work
// as it gets, and for which of them capacity for one request is reserved. Capacity is reserved
// for as many balancers as it serves, in the order in which they came: if all were told,
// most of their offers would be refused, and the telling would grow with their number.
type reservations struct {
	queue []netip.AddrPort             // balancers that wait, each once
	until map[netip.AddrPort]time.Time // end of the reservation of each balancer that has one
}

func newReservations() reservations {
	return reservations{until: map[netip.AddrPort]time.Time{}}
}

// join lets a balancer wait.
func (r *reservations) join(balancer netip.AddrPort) {
	if !slices.Contains(r.queue, balancer) {
		r.queue = append(r.queue, balancer)
	}
}

// reserveNext reserves capacity for one request of the balancer that has waited longest.
func (r *reservations) reserveNext(now time.Time) netip.AddrPort {
	balancer := r.queue[0]
	r.queue = r.queue[1:]
	r.until[balancer] = now.Add(ReservationTime)
	return balancer
}

// end ends a balancer's reservation if it has one.
func (r *reservations) end(balancer netip.AddrPort) { delete(r.until, balancer) }

// expire ends the reservations that were not used in time.
func (r *reservations) expire(now time.Time) {
	for balancer, until := range r.until {
		if !now.Before(until) {
			r.end(balancer)
		}
	}
}

// BalancersWaiting returns how many balancers wait for capacity.
func (a *Agent) BalancersWaiting() int { return len(a.reservations.queue) }

// Reservations returns how many balancers have a reservation.
func (a *Agent) Reservations() int { return len(a.reservations.until) }

// Awaited handles a balancer's wish for a reservation.
func (a *Agent) Awaited(now time.Time, from netip.AddrPort, message Await) []Action {
	if message.Service == a.options.Service {
		a.reservations.join(from)
	}
	a.reserve(now)
	return a.take()
}

// ReservationDeclined handles that a balancer does not need its reservation any more.
func (a *Agent) ReservationDeclined(now time.Time, from netip.AddrPort) []Action {
	a.reservations.end(from)
	a.reserve(now)
	return a.take()
}

// reserve reserves what is free for balancers that wait, and tells them.
func (a *Agent) reserve(now time.Time) {
	if a.accepts() != 0 {
		a.reservations.queue = nil // they hear of it with the status
		return
	}
	var told []netip.AddrPort
	for len(a.reservations.queue) > 0 && !a.Load(now).Full() {
		told = append(told, a.reservations.reserveNext(now))
	}
	if len(told) == 0 {
		return
	}
	load := a.Load(now)
	load.Busy-- // the receiver's own reservation
	for _, balancer := range told {
		a.act(Send{To: balancer, Message: Reserved{Load: load}})
	}
}
