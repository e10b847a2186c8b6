package instance

import "time"

// Bounds of claims.
const (
	// claimReports of a life that is not believed to be there have to come. (A guess: two may be an old one
	// and its copy; of three with time in between, reports that were held up would have to come spaced as they were sent.)
	claimReports = 3
	claimPaces   = 2 // parts of the interval between reports; one of them has to lie between two reports that count, since what was held up comes together
)

// claim is what a life that is not believed to be there shows of itself: it tells no birth, its clock
// was set back, or it was taken for one that has left. The zero value: there is none.
type claim struct {
	life    Life
	latest  Report
	since   time.Time // first report
	counted time.Time // latest report that counted
	heard   time.Time // latest report
	reports int       // that count
}

// claimPace is the time that has to lie between two reports of a life that count.
func (t *Tracker) claimPace() time.Duration { return t.interval / claimPaces }

// claimed takes in a report of a life that is not believed to be there.
func (t *Tracker) claimed(now time.Time, report Report) {
	c := &t.claim
	life := report.Life()
	if report.Leaving {
		t.dropClaim(life)
		return
	}
	if t.past.leftForGood(life) || t.latest.Leaving && !life.Born.IsZero() && life == t.Life() {
		return
	}
	rises := report.Sequence > c.latest.Sequence || report.Sequence == 0
	if c.life != life || !rises || now.Sub(c.heard) > missedReports*t.interval {
		t.claim = claim{life: life, latest: report, since: now, counted: now, heard: now, reports: 1}
		return
	}
	c.latest, c.heard = report, now
	if now.Sub(c.counted) >= t.claimPace() {
		c.reports++
		c.counted = now
	}
}

// doubted takes in a report that can be of the present life but is late then, or comes after its removal: it may
// be of a further life of the id.
func (t *Tracker) doubted(now time.Time, report Report, certain bool) (bool, error) {
	switch {
	case certain && report.Leaving:
		t.latest.Leaving = true
		t.past.markLeft(t.Life())
		t.leave(now)
		return true, nil
	case report.Leaving && t.state != Leaving:
		t.doubtedLeaving = true
		return false, t.stale("leaving", report.Life()) // the order of what it says is not known
	}
	t.claimed(now, report)
	if t.removed && !report.Leaving {
		return false, t.stale("report", report.Life())
	}
	return false, nil
}

// late takes in a report of a life that is not the present one. Its leaving is not acknowledged either: it may run
// all the same at the address where the present one is believed to be.
func (t *Tracker) late(now time.Time, report Report) error {
	if report.Leaving {
		t.noteLeft(report.Life())
		t.doubtedLeaving = report.ID == t.latest.ID
	}
	t.claimed(now, report)
	return t.stale("report", report.Life())
}

// noteLeft notes that the life, which is not the present one, says that it leaves, or is said to be gone.
func (t *Tracker) noteLeft(life Life) {
	if life.ID != t.latest.ID || !life.Born.IsZero() { // else births order the lives of the id
		t.past.add(life, true)
	}
	t.forgetDisplaced(life)
	t.dropClaim(life)
}

// dropClaim ends the claim if it may be this life's.
func (t *Tracker) dropClaim(life Life) {
	if t.claim.life.ID == life.ID && mayBeSame(t.claim.life, life) {
		t.claim = claim{}
	}
}

// granted says whether a health check that began then is the last proof that a claim wants.
func (t *Tracker) granted(check Check, began time.Time) bool {
	return t.claim.reports >= claimReports && check.Well && check.ID == t.claim.life.ID && !began.Before(t.claim.since)
}

// grant takes the life that claims to be there for the present one.
func (t *Tracker) grant(now time.Time) {
	c := t.claim
	if c.life.Born.IsZero() || c.life != t.Life() {
		t.succeed(now)
	}
	t.retire()
	t.present = present{latest: c.latest, cause: CauseClaim, state: Ready, reported: true, verified: true, reportedTwice: true,
		heard: now, since: c.since, coldUntil: c.heard.Add(c.latest.Cold), outcomes: t.outcomes}
	t.displaced = nil
	t.noteChange(now)
}
