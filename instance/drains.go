// This file keeps the drains and removals that were acknowledged to the back end, which a restart of
// the agent must not undo. A tracker that continues the work of an earlier one learns that one's
// drains late: until then it makes no incarnation ready on a health check or a first report alone.

package instance

import (
	"slices"
	"time"
)

const (
	// MaxDrains is the maximum number of drains that a tracker keeps. The oldest one that is not
	// of the current incarnation is evicted.
	MaxDrains = 4
	// drainRetention is how long drains are kept after another incarnation was first seen. That one
	// holds the address, so the drained ones have ended.
	drainRetention = time.Minute
)

// Drain is the acknowledged drain or removal of an incarnation.
type Drain struct {
	Incarnation
	// EndConfirmed is true if later reports with this id and start time cannot come from an
	// incarnation that goes on: it reported draining itself, or its removal had its start time.
	EndConfirmed bool
}

// drainState is the tracker's knowledge of acknowledged drains. The zero value: there are none.
type drainState struct {
	drains  []Drain // oldest first, at most MaxDrains
	changes uint64  // how often drains changed
	// awaited is true until the drains acknowledged by earlier trackers are known.
	awaited bool
	// heldCheck is the latest healthy answer while drains are awaited; its ID is "" if none.
	heldCheck   Check
	heldCheckAt time.Time
}

// AwaitDrains states that earlier trackers of this back end may have acknowledged drains that are
// not known yet. Until RestoreDrains is called, another incarnation becomes ready only if
// confirmReports reports and a health check confirm it. It is called before any other method.
func (t *Tracker) AwaitDrains() { t.drain.awaited = true }

// AwaitsDrains reports whether RestoreDrains has still to be called.
func (t *Tracker) AwaitsDrains() bool { return t.drain.awaited }

// Drains returns a copy of the acknowledged drains that must outlive the tracker, oldest first, and
// how often they have changed.
func (t *Tracker) Drains() ([]Drain, uint64) {
	return slices.Clone(t.drain.drains), t.drain.changes
}

// RestoreDrains adds the drains that earlier trackers of this back end have acknowledged, oldest
// first, and applies what was held back until now. It ignores drains of incarnations that have ended
// or have been confirmed to go on.
func (t *Tracker) RestoreDrains(now time.Time, drains []Drain) {
	t.drain.awaited = false
	own := t.drain.drains
	t.drain.drains = nil
	drains = slices.Clone(drains)
	for i, drain := range drains {
		drain.StartedAt = canonicalTime(drain.StartedAt)
		drains[i] = drain
		if !t.absenceObserved && !t.outlived(drain) {
			t.restoreDrain(now, drain)
		}
	}
	for _, drain := range own {
		t.keepDrain(drain)
	}
	if !slices.Equal(t.drain.drains, drains) {
		t.drain.changes++
	}
	t.applyHeldReport(now)
	t.applyHeldCheck(now)
}

// outlived reports whether the current incarnation may be the drained one and has been confirmed
// since to go on.
func (t *Tracker) outlived(drain Drain) bool {
	certain := drain.EndConfirmed && !drain.StartedAt.IsZero()
	return t.state == Ready && t.isCurrent(drain.Incarnation) && !certain
}

// isCurrent reports whether the incarnation may be the current one.
func (t *Tracker) isCurrent(incarnation Incarnation) bool {
	return incarnation.ID == t.latest.ID && mayBeSame(incarnation, t.Incarnation())
}

func (t *Tracker) restoreDrain(now time.Time, drain Drain) {
	t.past.add(drain.Incarnation, drain.EndConfirmed)
	t.keepDrain(drain)
	if t.isCurrent(drain.Incarnation) && !t.removed {
		t.latest.Draining = t.latest.Draining || drain.EndConfirmed
		t.removed = true
		t.markDraining(now)
	}
}

// applyHeldReport applies the latest report that was held back while drains were awaited, unless its
// sender has drained.
func (t *Tracker) applyHeldReport(now time.Time) {
	held := t.unconfirmed
	if held.countedReports == 0 {
		return
	}
	switch t.compare(held.incarnation) {
	case orderLater:
		t.supersede(now, held.latest)
	case orderOtherID:
		t.supersedeOtherID(now, held.latest)
	default: // it remains unconfirmed
	}
}

// applyHeldCheck makes the incarnation of the held health check the current one, unless it has
// drained, the check is older than CheckTimeout, or a report has shown an incarnation.
func (t *Tracker) applyHeldCheck(now time.Time) {
	held := t.drain.heldCheck
	t.drain.heldCheck = Check{}
	if held.ID == "" || t.state != Absent || now.Sub(t.drain.heldCheckAt) > CheckTimeout || t.past.covers(Incarnation{ID: held.ID}) {
		return
	}
	t.adoptChecked(now, held.ID)
}

// holdCheck keeps a healthy answer until the drains are known.
func (t *Tracker) holdCheck(now time.Time, check Check) {
	t.drain.heldCheck, t.drain.heldCheckAt = check, now
}

// holdReport keeps a report until the drains are known, and counts it towards confirmReports.
func (t *Tracker) holdReport(now time.Time, report Report) {
	t.lastSeenAt = now
	t.observeUnconfirmed(now, report)
}

// acknowledgeDrain records that the drain or the removal of the incarnation is acknowledged.
func (t *Tracker) acknowledgeDrain(incarnation Incarnation, endConfirmed bool) {
	if incarnation.ID == t.latest.ID {
		incarnation.StartedAt = startTimeOr(incarnation.StartedAt, t.latest.StartedAt)
	}
	if t.keepDrain(Drain{incarnation, endConfirmed}) {
		t.drain.changes++
	}
}

// keepDrain adds a drain and reports whether the drains have changed.
func (t *Tracker) keepDrain(drain Drain) bool {
	drains := t.drain.drains
	for i, known := range drains {
		if known.Incarnation == drain.Incarnation {
			drains[i].EndConfirmed = known.EndConfirmed || drain.EndConfirmed
			return drains[i] != known
		}
	}
	drains = append(drains, drain)
	if len(drains) > MaxDrains {
		evicted := slices.IndexFunc(drains, func(known Drain) bool { return !t.isCurrent(known.Incarnation) })
		drains = slices.Delete(drains, max(evicted, 0), max(evicted, 0)+1)
	}
	t.drain.drains = drains
	return true
}

// dropReplacedDrains drops the drains of incarnations with the id of the current one that may be the
// current one or have started before it.
func (t *Tracker) dropReplacedDrains() {
	current := t.Incarnation()
	kept := slices.DeleteFunc(slices.Clone(t.drain.drains), func(drain Drain) bool {
		return drain.ID == current.ID && (mayBeSame(drain.Incarnation, current) || drain.StartedAt.Before(current.StartedAt))
	})
	t.replaceDrains(kept)
}

// ExpireDrains drops the drains that have no further use: another incarnation has answered health
// checks or reported for drainRetention.
func (t *Tracker) ExpireDrains(now time.Time) {
	if len(t.drain.drains) == 0 || t.state != Ready || !t.verified && !t.reportedTwice || now.Sub(t.firstSeenAt) < drainRetention {
		return
	}
	t.replaceDrains(nil)
}

// forgetDrains drops all drains, awaits none, and accepts their incarnations' ids again, since no
// instance runs.
func (t *Tracker) forgetDrains(now time.Time) {
	if t.drain.awaited {
		t.RestoreDrains(now, nil)
	}
	for _, drain := range t.drain.drains {
		t.past.remove(drain.Incarnation)
	}
	t.replaceDrains(nil)
}

func (t *Tracker) replaceDrains(drains []Drain) {
	if len(drains) != len(t.drain.drains) {
		t.drain.changes++
	}
	t.drain.drains = drains
}
