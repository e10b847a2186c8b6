// This file queues openings and places them in queue order, also on agents that grant reservations.
// Openings expire after QueueTimeout, or if MaxQueued is exceeded. The caller is then reset, unless
// the flow may be open or the balancer has no configuration or no reachable agent.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Openings are queued at the balancer while every back end of their service is at its limit, while
// the balancer has no configuration, while no agent is reachable, and shortly after the start while
// no agent takes them. Queue order: timely openings, which can still be answered within the latency
// target of their route, come first; then those of the route with the highest priority (the lowest
// number); then those whose caller started last. A new opening that is not timely is queued if
// others of its service come before it: after an outage most openings are late and would take the
// capacity from new requests. While openings wait for capacity, the balancer requests reservations
// from full agents.

// enqueue queues an opening until an agent has capacity.
func (b *Balancer) enqueue(now time.Time, entry *flowEntry) {
	b.clearDeadline(entry)
	if entry.queued {
		return
	}
	if len(b.queued) >= MaxQueued {
		b.evictHead(now)
	}
	entry.queued = true
	b.queued = append(b.queued, entry)
	if !entry.queuedAt.IsZero() {
		return // it was queued before, and QueueTimeout counts from then
	}
	entry.queuedAt = now
	b.emit(Decision{Event: EventQueued, Key: entry.key, Service: entry.service,
		Version: b.table.Version(), Attempts: len(entry.offeredTo)})
}

// Queued returns the number of queued openings.
func (b *Balancer) Queued() int {
	count := 0
	for _, entry := range b.queued {
		if entry.queued {
			count++
		}
	}
	return count
}

// Limits of reservation requests.
const (
	reservationRequestInterval = 100 * time.Millisecond // between two rounds for one service
	maxReservationRequests     = 8                      // agents per round
)

// requestReservations requests reservations from the least busy agents of a service, at most once
// per reservationRequestInterval.
func (b *Balancer) requestReservations(now time.Time, service catalog.ServiceName) {
	if now.Before(b.nextReservationRequest[service]) {
		return
	}
	b.nextReservationRequest[service] = now.Add(reservationRequestInterval)
	for _, agent := range b.agentTable.usableByScore(now, service, maxReservationRequests) {
		b.emit(Send{To: agent.address, Message: ReservationRequest{Service: service}})
	}
}

// handleReservationGranted offers the first queued opening of the agent's service to the agent. If
// the opening's route no longer contains the service, it places the opening again and takes the
// next one. It releases the reservation if none is queued or the agent's zone is evacuated.
func (b *Balancer) handleReservationGranted(
	now time.Time, from netip.AddrPort, message ReservationGranted,
) {
	b.agentTable.recordAnswer(now, from, message.Load)
	agent := b.agentTable.agents[from]
	if agent == nil || b.table == nil {
		return
	}
	if b.agentTable.evacuations.Contains(agent.status.Zone) {
		b.emit(Send{To: from, Message: ReservationReleased{}})
		return
	}
	for {
		entry := b.dequeueNext(now, agent.status.Service)
		if entry == nil {
			b.emit(Send{To: from, Message: ReservationReleased{}})
			return
		}
		entry.offeredTo, entry.refusals = nil, 0 // new round; possiblyOpen stays set
		if route := b.table.Route(entry.key.Service); route != nil && route.Contains(entry.service) {
			b.offerTo(now, entry, agent)
			return
		}
		b.place(now, entry)
	}
}

// dequeueNext dequeues and returns the first opening of a service in queue order, nil if none is
// queued.
func (b *Balancer) dequeueNext(now time.Time, service catalog.ServiceName) *flowEntry {
	var first *flowEntry
	for _, entry := range b.queued {
		if entry.queued && entry.service == service &&
			(first == nil || entry.compareOrder(now, first) < 0) {
			first = entry
		}
	}
	if first != nil {
		b.markDequeued(first)
		b.queued = slices.DeleteFunc(b.queued, func(entry *flowEntry) bool { return entry == first })
	}
	return first
}

// timelyFraction is the fraction of a route's latency target within which an opening must be placed
// to be timely. The rest is left for the network and the back end.
const timelyFraction = 0.7

// timely reports whether the opening's caller can still be answered within the latency target of
// its route. It is true for a route without a target.
func (f *flowEntry) timely(now time.Time) bool {
	return f.latencyTarget == 0 ||
		float64(now.Sub(f.startedAt)) <= timelyFraction*float64(f.latencyTarget)
}

// compareOrder compares two openings by queue order. It is negative if f comes first.
func (f *flowEntry) compareOrder(now time.Time, other *flowEntry) int {
	if timely := f.timely(now); timely != other.timely(now) {
		if timely {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(f.priority, other.priority), other.startedAt.Compare(f.startedAt))
}

// queuedBefore reports whether a queued opening of the same service comes before this one. It is
// false if this one is timely or has been accepted.
func (b *Balancer) queuedBefore(now time.Time, entry *flowEntry) bool {
	if entry.timely(now) || len(entry.accepts) > 0 { // an accepted opening may be open already
		return false
	}
	return slices.ContainsFunc(b.queued, func(other *flowEntry) bool {
		return other != entry && other.queued && other.service == entry.service &&
			other.compareOrder(now, entry) < 0
	})
}

// hasQueued reports whether any opening of the service is queued.
func (b *Balancer) hasQueued(service catalog.ServiceName) bool {
	return slices.ContainsFunc(b.queued, func(entry *flowEntry) bool {
		return entry.queued && entry.service == service
	})
}

// markDequeued marks an opening as no longer queued. Its entry in Balancer.queued is skipped, and
// is removed by placeQueued at the latest.
func (b *Balancer) markDequeued(entry *flowEntry) { entry.queued = false }

// placeQueued places the queued openings in queue order, and expires those that have been queued
// for longer than QueueTimeout. Once an opening stays queued, those of its service that come after
// it stay queued, too.
func (b *Balancer) placeQueued(now time.Time) {
	if len(b.queued) == 0 {
		return
	}
	queued := b.queued
	b.queued = nil
	slices.SortStableFunc(queued, func(x, y *flowEntry) int { return y.compareOrder(now, x) })
	fullServices := map[catalog.ServiceName]bool{}
	var remaining []*flowEntry
	for _, entry := range slices.Backward(queued) {
		switch {
		case !entry.queued:
		case now.Sub(entry.queuedAt) > QueueTimeout:
			b.expireQueued(now, entry)
		case fullServices[entry.service]:
			remaining = append(remaining, entry)
		default:
			entry.queued = false
			entry.offeredTo, entry.refusals = nil, 0 // new round; possiblyOpen stays set
			b.place(now, entry)
			fullServices[entry.service] = entry.queued
		}
	}
	b.queued = append(b.queued, remaining...)
}

// expireQueued rejects a queued opening for which no agent had capacity. A balancer without
// configuration or reachable agents sends no reset: the caller's next retransmission may reach
// another balancer.
func (b *Balancer) expireQueued(now time.Time, entry *flowEntry) {
	if b.table == nil || !b.agentTable.AnyReachable(now) {
		b.removeFlow(entry)
		return
	}
	b.reject(now, entry)
}

// evictHead expires the opening at the head of Balancer.queued to make room.
func (b *Balancer) evictHead(now time.Time) {
	first := b.queued[0]
	b.queued = slices.Delete(b.queued, 0, 1)
	if first.queued {
		b.expireQueued(now, first)
	}
}

// starting reports whether the balancer started so recently that it may not know all agents.
func (b *Balancer) starting(now time.Time) bool { return now.Sub(b.startedAt) < StartupTime }
