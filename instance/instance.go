// Package instance decides what an agent believes of the back end beside it. A
// back end announces itself with reports; each start of it is a life, which may
// have an id of its own or that of an earlier one, and may tell when it was born.
// Reports may come late and in any order, and the agent may have
// started after the back end: so a life gets new flows only once it has
// itself answered a health check since the agent started, and never again after
// it has said that it leaves. An agent that has just started asks at once: the
// answer names the id, and the reports say the rest. The package is pure: reports, check results and a
// clock go in, what to believe and what to check comes out.
package instance

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Times by which an instance is judged.
const (
	CheckInterval = 100 * time.Millisecond // between two health checks of an instance that has not answered yet
	CheckTimeout  = 800 * time.Millisecond // for one health check: above what a busy back end takes (a guess)
	missedReports = 3                      // reports missed in a row after which the instance is checked (a guess: one may be lost, and one late)
	recallTime    = time.Second            // after a report of another id, in which the life before it may prove that it is still there: a health check and more (a guess)
	coldReports   = 2                      // that must come before a back end which may have turned cold unseen is taken for warm: one may have been sent before
	firstReports  = 1                      // sequence of the report with which a life begins
)

// ID names a back end. A back end that starts anew may have the id of an earlier life.
type ID string

// Life is one start of a back end.
type Life struct {
	ID ID
	// Born is when the life began by the clock of the back end's machine, to the millisecond; zero:
	// not told. That clock may jump: births order the lives of one id and say nothing else.
	Born time.Time
}

// Report is what a back end says about itself.
type Report struct {
	ID       ID
	Born     time.Time // of its life (Life.Born)
	Service  catalog.ServiceName
	Address  netip.AddrPort // at which it takes requests; invalid: not told
	Zone     catalog.ZoneName
	Version  string        // of its software
	Slots    uint32        // requests it can run at once
	Leaving  bool          // it is about to stop
	Cold     time.Duration // how much longer it is slow after its start
	Sequence uint64        // grows with each report of the life; 0: not told
}

// Life returns the life that the report is of.
func (r Report) Life() Life { return Life{ID: r.ID, Born: r.Born} }

// State says whether the back end gets new flows.
type State uint8

// The states.
const (
	Absent     State = iota // no instance is known, or it is gone
	Unverified              // announced, but it has not answered a health check yet
	Ready
	Leaving
)

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case Absent:
		return "absent"
	case Unverified:
		return "unverified"
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Tracker follows the lives of one back end. It is not safe for concurrent use.
type Tracker struct {
	service   catalog.ServiceName
	interval  time.Duration // between reports
	present                 // the life that is believed to be there
	displaced *present      // the one before it, of another id, while that may prove that it is still there
	recallEnd time.Time     // of that time
	past      pastLives     // that have left or were replaced
	claim     claim         // of a life that is not believed to be there
	// doubtedLeaving says that a life of the present one's id has said that it leaves, and was not believed: the present one
	// has to answer another health check, which says so if it was it.
	doubtedLeaving bool
	newsAt         time.Time // when another life was last heard of; a check that began before says nothing of it
	changes        uint64    // of the present life
	nextCheck      time.Time
	checking       bool
	checkBegan     time.Time // of the check under way
	coldDoubt      int       // reports that are still wanted before it is believed that the back end is not cold
	refusedFrom    time.Time // since when every health check was refused; zero: the latest was not
	// foundNobody says that no instance ran at some time since the tracker began, and none was
	// known before: whatever runs now has started since.
	foundNobody bool
}

// present is what is believed of one life.
type present struct {
	latest        Report
	cause         Cause // of its being taken for the present one
	began         bool  // it has started since the tracker knows the back end
	reported      bool  // it has reported at all
	reportedTwice bool  // it has reported at least twice, with time in between
	verified      bool  // it has answered a health check by its id
	removed       bool  // somebody has said that it is gone
	state         State
	heard         time.Time // last sign of life
	since         time.Time // when it was first heard of
	coldUntil     time.Time
	outcomes      Outcomes // of it, and crashes of those before it
}

// NewTracker returns a tracker of a back end of the service that knows no
// instance; reports come once an interval.
func NewTracker(service catalog.ServiceName, interval time.Duration) *Tracker {
	return &Tracker{service: service, interval: interval}
}

// State returns what is believed of the present life.
func (t *Tracker) State() State { return t.state }

// Latest returns the latest report of the present life.
func (t *Tracker) Latest() Report { return t.latest }

// Life returns the present life; zero: none is known.
func (t *Tracker) Life() Life { return t.latest.Life() }

// Since returns when the present life was first heard of by the agent's clock; zero: none is known.
func (t *Tracker) Since() time.Time { return t.since }

// Changes returns how often another life has become the present one, and why the latest did.
func (t *Tracker) Changes() (uint64, Cause) { return t.changes, t.cause }

// Superseded says whether the present life has taken the place of another one: a later birth says so, or a health
// check that it has answered by another id. Nothing says so while a life that is not believed to be there reports. When the life
// began is not known: it may have taken flows before it was first heard of (Since).
func (t *Tracker) Superseded() bool {
	if t.claim.reports > 0 {
		return false
	}
	return t.cause == CauseBirth || t.cause == CauseID && t.verified
}

// Cold returns how much longer the present life is slow after its start.
func (t *Tracker) Cold(now time.Time) time.Duration {
	return max(0, t.coldUntil.Sub(now))
}

// ExpectCold notes that the back end may have turned cold without starting anew, as those of a zone
// that was evacuated do. Only its reports say so, and one may be on its way from before.
func (t *Tracker) ExpectCold() { t.coldDoubt = coldReports }

// MayBeCold says whether the present life is slow after its start, or may be for all that is known.
func (t *Tracker) MayBeCold(now time.Time) bool {
	return t.Cold(now) > 0 || t.latest.Sequence == 0 || t.coldDoubt > 0
}

// SawBegin says whether the present life is proved to have started after the tracker
// did, so that it holds nothing that the tracker's owner does not know: it was announced by
// its first report, or came after another that this tracker knew, and has answered itself;
// or there was none at all before it. It is true too while there is none for certain. A life that only its birth
// tells from the one before has to report twice: its first report may be an old one, and health checks name only the id.
// Its birth is not compared with any clock: the one that told it may have been set since.
func (t *Tracker) SawBegin() bool {
	return t.foundNobody || t.began && t.verified && (t.reportedTwice || t.cause != CauseBirth)
}

// NobodyThere says that no instance was there when it was last looked, and none was ever known.
func (t *Tracker) NobodyThere() bool { return t.foundNobody && t.latest.ID == "" && t.heard.IsZero() }

// Unseen says that the back end has given no sign since the tracker began, and refuses health checks: there may be none.
func (t *Tracker) Unseen() bool {
	return t.latest.ID == "" && t.heard.IsZero() && !t.refusedFrom.IsZero()
}

// Heard returns when the present life last gave a sign of life.
func (t *Tracker) Heard() time.Time { return t.heard }

// Outcomes returns what judges the back end by its flows.
func (t *Tracker) Outcomes() *Outcomes { return &t.outcomes }

// Alive notes that the back end gave a sign of life other than a report.
func (t *Tracker) Alive(now time.Time) { t.heard = now }

// Report takes in a report. It says whether the report was news of the present life. An
// error of kind fault.Stale says that it is not of the present life, or may not be, and has not
// changed what is believed; then it must not be acknowledged.
func (t *Tracker) Report(now time.Time, report Report) (bool, error) {
	report.Born = canonical(report.Born)
	order := t.order(report.Life())
	if order == lifeSame && report.Born.IsZero() && !t.latest.Born.IsZero() {
		order = lifeEarlier // the present life tells its birth
	}
	switch order {
	case lifeSame:
		return t.update(now, report)
	case lifeLater:
		t.supersede(now, report)
		return true, nil
	case lifeOther:
		t.succeedOther(now, report)
		return true, nil
	default:
		return false, t.late(now, report)
	}
}

// Remove takes in that the life has left for good. Without a birth it is taken for the
// present one of the id, since the back end may end now. An error of kind fault.Stale says that it is of
// an earlier life than the present one, which it does not touch.
func (t *Tracker) Remove(now time.Time, life Life) error {
	life.Born = canonical(life.Born)
	switch t.order(life) {
	case lifeSame:
		t.latest.Born = bornOr(t.latest.Born, life.Born)
		t.past.add(t.Life(), t.latest.Leaving || !life.Born.IsZero())
		t.removed = true
		t.leave(now) // it may serve on for a while
	case lifeLater:
		t.supersede(now, Report{ID: life.ID, Born: life.Born, Service: t.service, Leaving: true})
		t.past.add(life, true)
		t.removed = true
	case lifeOther:
		t.noteLeft(life)
	default:
		t.noteLeft(life)
		if life.ID == t.latest.ID && !t.removed {
			return t.stale("removal", life)
		}
	}
	return nil
}

// supersede begins to judge a later life of the present one's id.
func (t *Tracker) supersede(now time.Time, report Report) {
	began := report.Sequence == firstReports || t.reportedTwice && t.verified
	t.begin(now, report, CauseBirth)
	t.began = began
}

// succeedOther begins to judge a life of another id than the present one's.
func (t *Tracker) succeedOther(now time.Time, report Report) {
	began := report.Sequence == firstReports || t.verified
	t.displace(now)
	t.begin(now, report, CauseID)
	t.began = began
}

// begin takes the report's life for the present one, which has to answer a health check.
func (t *Tracker) begin(now time.Time, report Report, cause Cause) {
	t.succeed(now)
	t.retire()
	t.present = present{latest: report, cause: cause, reported: true, state: Unverified, heard: now, since: now,
		coldUntil: now.Add(report.Cold), outcomes: t.outcomes}
	if report.Leaving {
		t.state = Leaving
	}
	t.noteChange(now)
}

// noteChange notes that another life has become the present one. A check under way says nothing of it.
func (t *Tracker) noteChange(now time.Time) {
	t.changes++
	t.newsAt = now
	t.nextCheck = now
	t.checking = false
	t.claim = claim{}
	t.past.forget(t.Life())
	if !t.latest.Born.IsZero() {
		t.past.forget(Life{ID: t.latest.ID}) // births order its lives from now on
	}
}

// retire remembers that reports of the present life no longer count.
func (t *Tracker) retire() {
	if t.latest.ID != "" {
		t.past.add(t.Life(), t.latest.Leaving)
	}
}

// succeed begins to judge another life than the present one by its flows.
func (t *Tracker) succeed(now time.Time) {
	switch {
	case t.latest.ID == "":
	case t.state == Leaving:
		t.outcomes = Outcomes{}
	default:
		t.outcomes.Crashed(now)
	}
}

// update takes in a further report of the present life, as far as it can be told.
func (t *Tracker) update(now time.Time, report Report) (bool, error) {
	certain := !report.Born.IsZero() && report.Born.Equal(t.latest.Born)
	rises := report.Sequence > t.latest.Sequence || t.latest.Sequence == 0
	if t.removed || !rises {
		return t.doubted(now, report, certain)
	}
	if t.state == Leaving && !report.Leaving && !certain {
		t.claimed(now, report) // one that leaves says nothing else any more
	} else {
		t.claim = claim{} // the present life is there
	}
	t.reported = true
	t.reportedTwice = t.reportedTwice || now.Sub(t.since) >= t.claimPace()
	t.coldDoubt = max(0, t.coldDoubt-1)
	leaving := t.latest.Leaving || report.Leaving
	report.Born = bornOr(report.Born, t.latest.Born)
	t.latest = report
	t.latest.Leaving = leaving
	t.heard = now
	t.coldUntil = now.Add(report.Cold)
	if report.Leaving {
		t.leave(now)
	}
	return true, nil
}

// leave notes that the present life leaves. A check that began before says nothing any more.
func (t *Tracker) leave(now time.Time) {
	t.state = Leaving
	t.claim = claim{}
	t.newsAt = now
	t.checking = false
}
