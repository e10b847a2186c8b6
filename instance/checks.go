package instance

import "time"

// Check is the result of a health check.
type Check struct {
	Well bool // the back end answered that it is well and not leaving
	ID   ID   // of the instance that answered, "" if it did not say
	// Refused says that nothing listens at the back end's address: no instance runs there.
	Refused bool
	// Began is when it began; zero: when CheckDue last said so. One that began before the news of another
	// life says nothing, as checks name only the id.
	Began time.Time
}

// CheckDue says whether a health check is to begin now; the caller then begins
// one and gives its result to Checked. Where news of another life comes meanwhile, the next one does not wait for it.
func (t *Tracker) CheckDue(now time.Time) bool {
	if t.checking || now.Before(t.nextCheck) {
		return false
	}
	silent := t.state == Ready && now.Sub(t.heard) > missedReports*t.interval
	unheard := t.state == Absent && t.latest.ID == ""
	recalling := t.displaced != nil && now.Before(t.recallEnd)
	claiming := t.claim.reports >= claimReports && now.Sub(t.claim.heard) <= missedReports*t.interval
	if t.state != Unverified && !silent && !unheard && !recalling && !claiming && !(t.state == Ready && t.doubtedLeaving) {
		return false
	}
	t.checking = true
	t.checkBegan = now
	return true
}

// beganAt returns when the check began.
func (t *Tracker) beganAt(now time.Time, check Check) time.Time {
	switch {
	case !check.Began.IsZero():
		return check.Began
	case t.checking:
		return t.checkBegan
	default:
		return now
	}
}

// Checked takes in the result of a health check. It says whether the state has changed.
func (t *Tracker) Checked(now time.Time, check Check) bool {
	began := t.beganAt(now, check)
	if began.Before(t.newsAt) {
		return false
	}
	t.checking = false
	t.doubtedLeaving = false
	t.nextCheck = now.Add(CheckInterval)
	t.noteRefusal(now, check.Refused)
	before := t.state
	switch {
	case t.granted(check, began):
		t.grant(now)
		return true
	case t.recallable(check):
		t.recall(now)
		return true
	case t.state == Absent && check.Well && check.ID != "" && !t.past.covers(Life{ID: check.ID}):
		t.find(now, check.ID)
		return true
	}
	sameInstance := check.ID == "" || check.ID == t.latest.ID
	switch {
	case t.state == Unverified && check.Well && sameInstance:
		t.state = Ready
		t.verified = check.ID != ""
		t.heard = now
		t.displaced = nil
	case t.state == Ready && check.Well && sameInstance:
		t.heard = now
	case t.state == Ready:
		t.state = Unverified
	}
	return t.state != before
}

// find takes the back end that has answered for the present one; its reports will say the rest.
func (t *Tracker) find(now time.Time, id ID) {
	t.present = present{latest: Report{ID: id, Service: t.service}, cause: CauseCheck, state: Ready, verified: true,
		heard: now, since: now, outcomes: t.outcomes}
	t.noteChange(now)
}

// nobodyTime is how long every health check must be refused before it is taken for proved that no instance runs: a
// back end that runs listens at its address, also while it leaves, fails, or says falsely that it is ill (seen in 2,500 checks of
// such ones). That is three checks; one or two could be of a moment in which it has not opened its address yet.
const nobodyTime = 2 * CheckInterval

// noteRefusal looks whether nobody runs at the back end's address. One refused check does not
// say so (nobodyTime).
func (t *Tracker) noteRefusal(now time.Time, refused bool) {
	switch {
	case !refused || t.latest.ID != "" || !t.heard.IsZero():
		t.refusedFrom = time.Time{}
	case t.refusedFrom.IsZero():
		t.refusedFrom = now
	case now.Sub(t.refusedFrom) >= nobodyTime:
		t.foundNobody = true
	}
}

// displace keeps what is believed of the present life for a while: the report of
// another id may be an old one that comes late.
func (t *Tracker) displace(now time.Time) {
	t.displaced = nil
	if t.state != Ready && t.state != Unverified {
		return
	}
	before := t.present
	t.displaced = &before
	t.recallEnd = now.Add(recallTime)
}

// recall makes the displaced life the present one again, since it has answered.
func (t *Tracker) recall(now time.Time) {
	t.retire()
	t.present = *t.displaced
	t.displaced = nil
	t.state = Ready
	t.cause = CauseRecall
	t.heard = now
	t.noteChange(now)
}

// forgetDisplaced lets the displaced life not come back if it may be this one: it leaves.
func (t *Tracker) forgetDisplaced(life Life) {
	if t.displaced != nil && t.displaced.latest.ID == life.ID && mayBeSame(t.displaced.latest.Life(), life) {
		t.displaced = nil
	}
}

// recallable says whether the instance that answered is the displaced one.
func (t *Tracker) recallable(check Check) bool {
	return t.displaced != nil && check.Well && check.ID != "" && check.ID == t.displaced.latest.ID
}
