package handshake

import (
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Openings wait at the balancer while every back end of their service has as much
// work as it gets, while the balancer does not know the configuration yet, and
// while it hears no agent. The youngest is served first, by when its caller began:
// that one may still be answered in time, while the oldest have missed that already.

// keep lets an opening wait for an agent.
func (b *Balancer) keep(now time.Time, known *balancedFlow) {
	b.settle(known)
	if known.held {
		return
	}
	if len(b.held) >= MaximumHeld {
		b.held = slices.Delete(b.held, 0, 1)
	}
	known.held = true
	b.held = append(b.held, known)
	if !known.heldAt.IsZero() {
		return // it has waited before
	}
	known.heldAt = now
	b.act(Decision{Event: EventHeld, Key: known.key, Service: known.service, Version: b.table.Version(), Attempts: len(known.tried)})
}

// release lets an opening wait no more.
func (b *Balancer) release(known *balancedFlow) { known.held = false }

// placeHeld offers openings that wait, the youngest first, and ends the wait of
// those that have waited for too long.
func (b *Balancer) placeHeld(now time.Time) {
	if len(b.held) == 0 {
		return
	}
	held := b.held
	b.held = nil
	slices.SortStableFunc(held, func(x, y *balancedFlow) int { return x.begun.Compare(y.begun) })
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

// young says whether the balancer has started so lately that it may not know all
// agents.
func (b *Balancer) young(now time.Time) bool { return now.Sub(b.started) < YoungTime }
