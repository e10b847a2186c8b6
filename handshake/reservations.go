// This file grants reservations: an agent whose back end is full queues the balancers that wait for
// capacity, and reserves each free slot for one of them. Unused reservations expire. The queue is
// cleared while the back end gets no new flows.

package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// ReservationTime is how long a reservation is valid after it was granted.
const ReservationTime = 40 * time.Millisecond

// reservations tracks the balancers that wait for capacity of a full back end (Load.Full), and
// those that have a reservation for one request. Reservations are granted in the order of arrival
// and only for free capacity: if all waiting balancers were notified at once, most of their offers
// would be refused, and the number of messages would grow with the number of balancers.
type reservations struct {
	queue     []netip.AddrPort             // waiting balancers, each once
	expiresAt map[netip.AddrPort]time.Time // expiry of the reservation of each balancer that has one
}

func newReservations() reservations {
	return reservations{expiresAt: map[netip.AddrPort]time.Time{}}
}

// enqueue adds a balancer to the queue unless it is queued already.
func (r *reservations) enqueue(balancer netip.AddrPort) {
	if !slices.Contains(r.queue, balancer) {
		r.queue = append(r.queue, balancer)
	}
}

// grantNext grants a reservation to the balancer that has waited longest and returns it. The queue
// must not be empty.
func (r *reservations) grantNext(now time.Time) netip.AddrPort {
	balancer := r.queue[0]
	r.queue = r.queue[1:]
	r.expiresAt[balancer] = now.Add(ReservationTime)
	return balancer
}

// remove removes the balancer's reservation, if it has one.
func (r *reservations) remove(balancer netip.AddrPort) { delete(r.expiresAt, balancer) }

// expire removes the reservations that have timed out.
func (r *reservations) expire(now time.Time) {
	for balancer, expiry := range r.expiresAt {
		if !now.Before(expiry) {
			r.remove(balancer)
		}
	}
}

// WaitingBalancers returns the number of balancers that wait for capacity.
func (a *Agent) WaitingBalancers() int { return len(a.reservations.queue) }

// Reservations returns the number of balancers that have a reservation.
func (a *Agent) Reservations() int { return len(a.reservations.expiresAt) }

// HandleReservationRequest handles a balancer's request for a reservation. A request for another
// service than the back end's is ignored.
func (a *Agent) HandleReservationRequest(
	now time.Time, from netip.AddrPort, message ReservationRequest,
) []Action {
	if message.Service == a.options.Service {
		a.reservations.enqueue(from)
	}
	a.grantReservations(now)
	return a.drain()
}

// HandleReservationReleased handles a balancer's return of an unused reservation.
func (a *Agent) HandleReservationReleased(now time.Time, from netip.AddrPort) []Action {
	a.reservations.remove(from)
	a.grantReservations(now)
	return a.drain()
}

// grantReservations grants free capacity to waiting balancers and notifies them. If the back end
// gets no new flows, it clears the queue.
func (a *Agent) grantReservations(now time.Time) {
	if a.blockedReason() != 0 {
		a.reservations.queue = nil // the agent's status reports this to the balancers
		return
	}
	var granted []netip.AddrPort
	for len(a.reservations.queue) > 0 && !a.Load(now).Full() {
		granted = append(granted, a.reservations.grantNext(now))
	}
	if len(granted) == 0 {
		return
	}
	load := a.Load(now)
	load.InFlight-- // excludes the receiver's own reservation
	for _, balancer := range granted {
		a.emit(Send{To: balancer, Message: ReservationGranted{Load: load}})
	}
}
