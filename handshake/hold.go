package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Openings wait at the balancer while every back end of their service has as much
// work as it gets, while the balancer does not know the configuration yet, and
// while it hears no agent. Those whose callers can still be answered within the aim of their route are served
// first, among them those of the route with the highest priority, among these the youngest, by when its caller
// began. An opening that is late already does not pass those that wait: after an outage most are late, and would take the
// capacity that is left from those who ask anew. Of the requests that begin after the return (TestLoadAfterAnOutage, 280 a second before
// 16 slots) 0.875 are answered in time if priority goes first, 0.910 so.

// keep lets an opening wait for an agent.
func (b *Balancer) keep(now time.Time, known *balancedFlow) {
	b.settle(known)
	if known.held {
		return
	}
	if len(b.held) >= MaximumHeld {
		b.endOldest(now)
	}
	known.held = true
	b.held = append(b.held, known)
	if !known.heldAt.IsZero() {
		return // it has waited before
	}
	known.heldAt = now
	b.act(Decision{Event: EventHeld, Key: known.key, Service: known.service, Version: b.table.Version(), Attempts: len(known.tried)})
}

// Held returns how many openings wait for an agent.
func (b *Balancer) Held() int {
	count := 0
	for _, known := range b.held {
		if known.held {
			count++
		}
	}
	return count
}

// Bounds of asking for reservations.
const (
	awaitInterval  = 100 * time.Millisecond // between two rounds of asking for one service
	maximumAwaited = 8                      // agents asked in one round
)

// awaitCapacity asks agents of a service whose back ends are all full for reservations.
func (b *Balancer) awaitCapacity(now time.Time, service catalog.ServiceName) {
	if now.Before(b.nextAwait[service]) {
		return
	}
	b.nextAwait[service] = now.Add(awaitInterval)
	for _, agent := range b.board.leastBusy(now, service, maximumAwaited) {
		b.act(Send{To: agent.address, Message: Await{Service: service}})
	}
}

// reserved offers the first of the openings that wait for the agent's service to the agent.
func (b *Balancer) reserved(now time.Time, from netip.AddrPort, message Reserved) {
	b.board.takeAnswer(now, from, message.Load)
	agent := b.board.agents[from]
	if agent == nil || b.table == nil {
		return
	}
	if b.board.evacuations.Has(agent.status.Zone) {
		b.act(Send{To: from, Message: Declined{}})
		return
	}
	for {
		known := b.takeFirst(now, agent.status.Service)
		if known == nil {
			b.act(Send{To: from, Message: Declined{}})
			return
		}
		known.tried, known.refused = nil, 0 // what was not answered is noted as uncertain
		if route := b.table.Route(known.key.Service); route != nil && route.Has(known.service) {
			b.offerTo(now, known, agent)
			return
		}
		b.place(now, known)
	}
}

// takeFirst takes the first of the openings that wait for a service, nil if none does.
func (b *Balancer) takeFirst(now time.Time, service catalog.ServiceName) *balancedFlow {
	var first *balancedFlow
	for _, known := range b.held {
		if known.held && known.service == service && (first == nil || known.turn(now, first) < 0) {
			first = known
		}
	}
	if first != nil {
		b.release(first)
		b.held = slices.DeleteFunc(b.held, func(known *balancedFlow) bool { return known == first })
	}
	return first
}

// timelyShare is the part of a route's aim within which an opening has to be placed so that its caller
// can still be answered within the aim: the rest is for the way and the work. With 0.5 and
// 0.9 0.907 and 0.905 of the requests of such a load are answered in time, with 0.7 0.911 (40 seeds).
const timelyShare = 0.7

// timely says whether the opening's caller can still be answered within the aim of its route, as far as is known.
func (f *balancedFlow) timely(now time.Time) bool {
	return f.aim == 0 || float64(now.Sub(f.begun)) <= timelyShare*float64(f.aim)
}

// turn compares two openings that wait by who is served first: negative if f is.
func (f *balancedFlow) turn(now time.Time, other *balancedFlow) int {
	if timely := f.timely(now); timely != other.timely(now) {
		if timely {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(f.priority, other.priority), other.begun.Compare(f.begun))
}

// waitsBefore says whether an opening for the same service waits that is served before this one.
func (b *Balancer) waitsBefore(now time.Time, known *balancedFlow) bool {
	if known.timely(now) || len(known.accepts) > 0 { // the latter may be open already
		return false
	}
	return slices.ContainsFunc(b.held, func(other *balancedFlow) bool {
		return other != known && other.held && other.service == known.service && other.turn(now, known) < 0
	})
}

// waits says whether any opening waits for the service.
func (b *Balancer) waits(service catalog.ServiceName) bool {
	return slices.ContainsFunc(b.held, func(known *balancedFlow) bool { return known.held && known.service == service })
}

// release lets an opening wait no more.
func (b *Balancer) release(known *balancedFlow) { known.held = false }

// placeHeld offers openings that wait, in the order of their turns, and ends the wait of
// those that have waited for too long.
func (b *Balancer) placeHeld(now time.Time) {
	if len(b.held) == 0 {
		return
	}
	held := b.held
	b.held = nil
	slices.SortStableFunc(held, func(x, y *balancedFlow) int { return y.turn(now, x) })
	full := map[catalog.ServiceName]bool{}
	var still []*balancedFlow
	for _, known := range slices.Backward(held) {
		switch {
		case !known.held:
		case now.Sub(known.heldAt) > HoldTime:
			b.endHold(now, known)
		case full[known.service]:
			still = append(still, known)
		default:
			known.held = false
			known.tried, known.refused = nil, 0 // what was not answered is noted as uncertain
			b.place(now, known)
			full[known.service] = known.held
		}
	}
	b.held = append(b.held, still...)
}

// endHold ends the wait of an opening that has found no agent. A balancer that
// hears nobody leaves the caller to its next copy.
func (b *Balancer) endHold(now time.Time, known *balancedFlow) {
	if b.table == nil || !b.board.Hears(now) {
		b.forget(known)
		return
	}
	b.reject(now, known)
}

// endOldest ends the wait of the opening that has been in the list for longest.
func (b *Balancer) endOldest(now time.Time) {
	oldest := b.held[0]
	b.held = slices.Delete(b.held, 0, 1)
	if oldest.held {
		b.endHold(now, oldest)
	}
}

// young says whether the balancer has started so lately that it may not know all
// agents.
func (b *Balancer) young(now time.Time) bool { return now.Sub(b.started) < YoungTime }
