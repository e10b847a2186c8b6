// This file decides when health checks are due and applies their results. A result verifies the
// current incarnation or shows that it does not answer, makes another one current (the first known,
// an unconfirmed or a displaced one), or shows that no instance runs. A result from before the
// current incarnation changed or started draining is ignored.

package instance

import "time"

// Check is the result of a health check.
type Check struct {
	Healthy bool // the back end answered that it is healthy and not draining
	ID      ID   // of the instance that answered; "" if the answer had none
	// Refused is true if the connection was refused: nothing listens at the back end's address.
	Refused bool
	// StartedAt is when the check started; zero: when CheckDue last returned true. A check that
	// started before the current incarnation changed or started draining is ignored, since answers
	// contain only the id.
	StartedAt time.Time
}

// CheckDue reports whether a health check has to start now. If it returns true, the caller starts
// one and passes the result to Checked. Only one check is in progress at a time, but a change of
// the current incarnation or its draining allows the next check to start without waiting for it.
func (t *Tracker) CheckDue(now time.Time) bool {
	if t.checkInProgress || now.Before(t.nextCheckAt) {
		return false
	}
	overdue := t.state == Ready && now.Sub(t.lastSeenAt) > maxMissedReports*t.interval
	unknown := t.state == Absent && t.latest.ID == "" && t.drain.heldCheck.ID == ""
	restoring := t.displaced != nil && now.Before(t.restoreUntil)
	confirming := t.unconfirmed.countedReports >= confirmReports && now.Sub(t.unconfirmed.lastSeenAt) <= maxMissedReports*t.interval
	if t.state != Unverified && !overdue && !unknown && !restoring && !confirming && !(t.state == Ready && t.unconfirmedDrain) {
		return false
	}
	t.checkInProgress = true
	t.checkStartedAt = now
	return true
}

// checkStart returns the start time of the check, by default that of the check in progress.
func (t *Tracker) checkStart(now time.Time, check Check) time.Time {
	switch {
	case !check.StartedAt.IsZero():
		return check.StartedAt
	case t.checkInProgress:
		return t.checkStartedAt
	default:
		return now
	}
}

// Checked applies the result of a health check and reports whether it changed the state or the
// current incarnation.
func (t *Tracker) Checked(now time.Time, check Check) bool {
	startedAt := t.checkStart(now, check)
	if startedAt.Before(t.checksValidFrom) {
		return false
	}
	t.checkInProgress = false
	t.unconfirmedDrain = false
	t.nextCheckAt = now.Add(CheckInterval)
	t.recordRefusal(now, check.Refused)
	before := t.state
	switch {
	case t.confirmedBy(check, startedAt):
		t.acceptUnconfirmed(now, check)
		return true
	case t.fromDisplaced(check):
		t.restoreDisplaced(now)
		return true
	case t.state == Absent && check.Healthy && check.ID != "" && !t.past.covers(Incarnation{ID: check.ID}):
		if t.drain.awaited {
			t.holdCheck(now, check)
			return false
		}
		t.adoptChecked(now, check.ID)
		return true
	}
	sameInstance := check.ID == "" || check.ID == t.latest.ID
	switch {
	case t.state == Unverified && check.Healthy && sameInstance:
		t.state = Ready
		t.verified = check.ID != ""
		t.lastSeenAt = now
		t.displaced = nil
	case t.state == Ready && check.Healthy && sameInstance:
		t.lastSeenAt = now
	case t.state == Ready:
		t.state = Unverified
	}
	return t.state != before
}

// adoptChecked makes the incarnation that answered a health check the current one. Its reports
// supply the fields that the answer lacks.
func (t *Tracker) adoptChecked(now time.Time, id ID) {
	t.incarnationState = incarnationState{latest: Report{ID: id, Service: t.service}, cause: CauseCheck, state: Ready, verified: true,
		lastSeenAt: now, firstSeenAt: now, outcomes: t.outcomes}
	t.afterChange(now)
}

// absenceConfirmTime is how long health checks have to be refused before the tracker concludes that
// no instance runs. A running back end listens at its address, also while it is draining or
// unhealthy, but a starting one may refuse a check before it listens. It is the time of three checks.
const absenceConfirmTime = 2 * CheckInterval

// recordRefusal records whether a check was refused. Once all checks were refused for
// absenceConfirmTime without another sign of the back end, drained incarnations have ended, and if
// the back end has never been seen, absenceObserved is set.
func (t *Tracker) recordRefusal(now time.Time, refused bool) {
	t.refusedOnce = t.refusedOnce || refused && t.latest.ID == "" && t.lastSeenAt.IsZero()
	switch {
	case !refused || t.latest.ID != "":
		t.refusedSince = time.Time{}
	case t.refusedSince.IsZero() || t.lastSeenAt.After(t.refusedSince):
		t.refusedSince = now
	case now.Sub(t.refusedSince) >= absenceConfirmTime:
		t.absenceObserved = t.absenceObserved || t.lastSeenAt.IsZero()
		t.forgetDrains(now)
	}
}

// displace keeps the state of the current incarnation, unless it is draining, since the report with
// another id that replaces it may be a delayed one. Health checks are due for restoreWindow, and
// show which of the two runs.
func (t *Tracker) displace(now time.Time) {
	t.displaced = nil
	if t.state != Ready && t.state != Unverified {
		return
	}
	previous := t.incarnationState
	t.displaced = &previous
	t.restoreUntil = now.Add(restoreWindow)
}

// restoreDisplaced makes the displaced incarnation, which has answered a health check, current
// again.
func (t *Tracker) restoreDisplaced(now time.Time) {
	t.retire()
	t.incarnationState = *t.displaced
	t.displaced = nil
	t.state = Ready
	t.cause = CauseRestored
	t.lastSeenAt = now
	t.afterChange(now)
}

// dropDisplaced drops the displaced incarnation if it may be the given one, which has ended.
func (t *Tracker) dropDisplaced(incarnation Incarnation) {
	if t.displaced != nil && t.displaced.latest.ID == incarnation.ID && mayBeSame(t.displaced.latest.Incarnation(), incarnation) {
		t.displaced = nil
	}
}

// fromDisplaced reports whether the displaced incarnation answered that it is healthy.
func (t *Tracker) fromDisplaced(check Check) bool {
	return t.displaced != nil && check.Healthy && check.ID != "" && check.ID == t.displaced.latest.ID
}
