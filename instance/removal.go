// This file applies removals of incarnations. The removal of one that may be running in place of the
// current one is rejected until reports confirm that it is running.

package instance

import "time"

// Remove applies the removal of an incarnation. A removal without a start time applies to the
// current incarnation if the id matches. An error of kind fault.Stale means that the removal
// names an earlier incarnation, or one that may run in place of the current one; the current one is
// unchanged.
func (t *Tracker) Remove(now time.Time, incarnation Incarnation) error {
	incarnation.StartedAt = canonicalTime(incarnation.StartedAt)
	if t.mayRunInstead(incarnation) {
		if t.unconfirmed.countedReports == 0 || t.unconfirmed.incarnation != incarnation {
			t.recordEnd(incarnation)
			t.past.rejectRemoval(incarnation)
			return t.staleError("removal", incarnation)
		}
		t.setCurrent(now, t.unconfirmed.latest, CauseConfirmed) // it has reported last
		t.dropDisplaced(incarnation)
	}
	endConfirmed := !incarnation.StartedAt.IsZero()
	switch t.compare(incarnation) {
	case orderSame:
		t.latest.StartedAt = startTimeOr(t.latest.StartedAt, incarnation.StartedAt)
		endConfirmed = endConfirmed || t.latest.Draining
		t.past.add(t.Incarnation(), endConfirmed)
		t.removed = true
		t.markDraining(now) // it may still serve its open flows
	case orderLater:
		t.supersede(now, Report{ID: incarnation.ID, StartedAt: incarnation.StartedAt, Service: t.service, Draining: true})
		t.past.add(incarnation, true)
		t.removed = true
	case orderOtherID:
		t.recordEnd(incarnation)
	default:
		t.recordEnd(incarnation)
		if incarnation.ID == t.latest.ID && !t.removed {
			return t.staleError("removal", incarnation)
		}
	}
	t.acknowledgeDrain(incarnation, endConfirmed)
	return nil
}

// mayRunInstead reports whether the incarnation, which has another id than the current one, may be
// the one that runs: no health check was answered with the id of the current one, whose reports may
// have been delayed ones, and it is not known to have ended.
func (t *Tracker) mayRunInstead(incarnation Incarnation) bool {
	return (t.state == Ready || t.state == Unverified) && !t.verified && incarnation.ID != t.latest.ID && !t.past.coversEnded(incarnation)
}
