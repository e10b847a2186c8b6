// This file handles reports that may not come from the current incarnation. Stale and out-of-order
// ones are ignored or rejected; a draining one is applied if it has the current start time, else it
// may make a health check due. An incarnation that cannot be ordered is unconfirmed until several
// reports and a health check confirm it. The file also records the end of other incarnations.

package instance

import "time"

const (
	// confirmReports is the number of counted reports of an unconfirmed incarnation after which a
	// health check can make it current.
	confirmReports = 3
	// confirmSpacingDivisor is the ratio of the report interval to the minimum time between two
	// counted reports. Because of that minimum, delayed reports that arrive together count once.
	confirmSpacingDivisor = 2
)

// unconfirmedIncarnation is an incarnation that reports although its id and start time do not show
// that it is later than the current one: it has no start time, its clock was set back, or it is
// recorded in Tracker.past. The zero value means that there is none.
type unconfirmedIncarnation struct {
	incarnation    Incarnation
	latest         Report
	firstSeenAt    time.Time // time of the first report
	lastCountedAt  time.Time // time of the latest counted report
	lastSeenAt     time.Time // time of the latest report
	countedReports int       // reports at least confirmSpacing apart
}

// confirmSpacing returns the minimum time between two counted reports.
func (t *Tracker) confirmSpacing() time.Duration { return t.interval / confirmSpacingDivisor }

// observeUnconfirmed counts a report of an unconfirmed incarnation. The count starts again if the
// incarnation differs, the sequence does not increase, or no report was received for more than
// maxMissedReports intervals. A draining report discards an unconfirmed incarnation that may be its
// sender. Reports of an incarnation that has certainly ended, or of the current one while it is
// draining, are ignored.
func (t *Tracker) observeUnconfirmed(now time.Time, report Report) {
	u := &t.unconfirmed
	incarnation := report.Incarnation()
	if report.Draining {
		t.dropUnconfirmed(incarnation)
		return
	}
	if t.past.hasConfirmedEnd(incarnation) || t.latest.Draining && !incarnation.StartedAt.IsZero() && incarnation == t.Incarnation() {
		return
	}
	newer := report.Sequence > u.latest.Sequence || report.Sequence == 0
	if u.incarnation != incarnation || !newer || now.Sub(u.lastSeenAt) > maxMissedReports*t.interval {
		t.unconfirmed = unconfirmedIncarnation{incarnation: incarnation, latest: report, firstSeenAt: now, lastCountedAt: now, lastSeenAt: now, countedReports: 1}
		return
	}
	u.latest, u.lastSeenAt = report, now
	if now.Sub(u.lastCountedAt) >= t.confirmSpacing() {
		u.countedReports++
		u.lastCountedAt = now
	}
}

// applyUncertain handles a report that arrives out of order or after the removal of the current
// incarnation, and may come from another incarnation with the same id. sameStart states whether it
// has the start time of the current one. The result is true if the report was applied to the
// current incarnation, and false without an error if it is outdated. An error of kind fault.Stale
// means that the report must not be acknowledged.
func (t *Tracker) applyUncertain(now time.Time, report Report, sameStart bool) (bool, error) {
	switch {
	case sameStart && report.Draining:
		t.latest.Draining = true
		t.past.confirmEnd(t.Incarnation())
		t.markDraining(now)
		return true, nil
	case report.Draining && t.state != Draining:
		t.unconfirmedDrain = true
		// The sender may be the current incarnation or another, so the next health check decides.
		return false, t.staleError("leaving", report.Incarnation())
	}
	t.observeUnconfirmed(now, report)
	if t.removed && !report.Draining {
		return false, t.staleError("report", report.Incarnation())
	}
	return false, nil
}

// rejectStale returns an error of kind fault.Stale for a report of an incarnation other than the
// current one. It counts the report for an unconfirmed incarnation. If the report is a draining
// one, it instead records the end of the sender, and makes a health check due if the id is the
// current one. Draining reports are rejected too, since the sender may be the one that runs.
func (t *Tracker) rejectStale(now time.Time, report Report) error {
	if report.Draining {
		t.recordEnd(report.Incarnation())
		t.unconfirmedDrain = report.ID == t.latest.ID
	}
	t.observeUnconfirmed(now, report)
	return t.staleError("report", report.Incarnation())
}

// recordEnd records that an incarnation other than the current one is draining or was removed. It
// discards the displaced and the unconfirmed incarnation if they may be that one.
func (t *Tracker) recordEnd(incarnation Incarnation) {
	// Without a start time, incarnations that share the current id cannot be distinguished.
	if incarnation.ID != t.latest.ID || !incarnation.StartedAt.IsZero() {
		t.past.add(incarnation, true)
	}
	t.dropDisplaced(incarnation)
	t.dropUnconfirmed(incarnation)
}

// dropUnconfirmed discards the unconfirmed incarnation if it may be the given one.
func (t *Tracker) dropUnconfirmed(incarnation Incarnation) {
	if t.unconfirmed.incarnation.ID == incarnation.ID && mayBeSame(t.unconfirmed.incarnation, incarnation) {
		t.unconfirmed = unconfirmedIncarnation{}
	}
}

// confirmedBy reports whether the health check, which started at startedAt, confirms the
// unconfirmed incarnation: enough reports were counted, and the check got a healthy answer with its
// id and did not start before the first report. An answer without an id suffices if no incarnation is
// known while drains are awaited, or if the current one is not draining and has answered no check with
// its id either.
func (t *Tracker) confirmedBy(check Check, startedAt time.Time) bool {
	nameless := t.drain.awaited && t.latest.ID == "" || (t.state == Ready || t.state == Unverified) && !t.verified && t.latest.ID != t.unconfirmed.incarnation.ID
	answered := check.ID == t.unconfirmed.incarnation.ID || check.ID == "" && nameless
	return t.unconfirmed.countedReports >= confirmReports && check.Healthy && answered && !startedAt.Before(t.unconfirmed.firstSeenAt)
}

// acceptUnconfirmed makes the unconfirmed incarnation, which a health check has confirmed, the
// current one, in state Ready.
func (t *Tracker) acceptUnconfirmed(now time.Time, check Check) {
	u := t.unconfirmed
	if u.incarnation.StartedAt.IsZero() || u.incarnation != t.Incarnation() {
		t.rollOutcomes(now)
	}
	t.retire()
	t.incarnationState = incarnationState{latest: u.latest, cause: CauseConfirmed, state: Ready, reported: true, verified: check.ID != "", reportedTwice: true,
		lastSeenAt: now, firstSeenAt: u.firstSeenAt, coldUntil: u.lastSeenAt.Add(u.latest.ColdRemaining), outcomes: t.outcomes}
	t.displaced = nil
	t.afterChange(now)
}
