// Package instance decides what an agent believes of the back end beside it. A
// back end announces itself with reports; each start of it is an instance with an
// id of its own. Reports may come late and in any order, and the agent may have
// started after the back end: so an instance gets new flows only once it has
// itself answered a health check since the agent started, and never again after
// it has said that it leaves. An agent that has just started asks at once: the
// answer names the instance, and its reports say the rest. The package is pure: reports, check results and a
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
	CheckTimeout  = 800 * time.Millisecond // for one health check
	missedReports = 3                      // reports missed in a row after which the instance is checked
	rememberLimit = 64                     // ids of instances that are gone
	recallTime    = time.Second            // after a report of another instance, in which the one before it may prove that it is still there
	coldReports   = 2                      // that must come before a back end which may have turned cold unseen is taken for warm: one may have been sent before
	firstReports  = 1                      // sequence of the report with which an instance begins
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

// Tracker follows the instances of one back end. It is not safe for concurrent use.
type Tracker struct {
	service     catalog.ServiceName
	interval    time.Duration // between reports
	present                   // the instance that is believed to be there
	displaced   *present      // the one before it, while that may prove that it is still there
	recallEnd   time.Time     // of that time
	gone        map[ID]bool   // instances that have left or were replaced
	goneOrder   []ID
	nextCheck   time.Time
	checking    bool
	coldDoubt   int       // reports that are still wanted before it is believed that the back end is not cold
	refusedFrom time.Time // since when every health check was refused; zero: the latest was not
	// foundNobody says that no instance ran at some time since the tracker began, and none was
	// known before: whatever runs now has started since.
	foundNobody bool
	beginning   beginning
}

// present is what is believed of one instance.
type present struct {
	latest    Report
	began     bool // it has started since the tracker knows the back end
	verified  bool // it has answered a health check by its id
	state     State
	heard     time.Time // last sign of life
	coldUntil time.Time
	outcomes  Outcomes // of it, and crashes of those before it
}

// NewTracker returns a tracker of a back end of the service that knows no
// instance; reports come once an interval.
func NewTracker(service catalog.ServiceName, interval time.Duration) *Tracker {
	return &Tracker{service: service, interval: interval, gone: map[ID]bool{}}
}

// State returns what is believed of the present instance.
func (t *Tracker) State() State { return t.state }

// Latest returns the latest report of the present instance.
func (t *Tracker) Latest() Report { return t.latest }

// Cold returns how much longer the present instance is slow after its start.
func (t *Tracker) Cold(now time.Time) time.Duration {
	return max(0, t.coldUntil.Sub(now))
}

// ExpectCold notes that the back end may have turned cold without starting anew, as those of a zone
// that was evacuated do. Only its reports say so, and one may be on its way from before.
func (t *Tracker) ExpectCold() { t.coldDoubt = coldReports }

// MayBeCold says whether the present instance is slow after its start, or may be for all that is known.
func (t *Tracker) MayBeCold(now time.Time) bool {
	return t.Cold(now) > 0 || t.latest.Sequence == 0 || t.coldDoubt > 0
}

// SawBegin says whether the present instance is proved to have started after the tracker
// did, so that it holds nothing that the tracker's owner does not know: it was announced by
// its first report, or came after another that this tracker knew, and has answered itself;
// or there was none at all before it; or it had just started when it was first heard (beginning). It is true
// too while there is none for certain.
func (t *Tracker) SawBegin() bool {
	return t.foundNobody || t.verified && (t.began || t.beginning.proves(t.latest.Life()))
}

// NobodyThere says that no instance was there when it was last looked, and none was ever known.
func (t *Tracker) NobodyThere() bool { return t.foundNobody && t.latest.ID == "" && t.heard.IsZero() }

// Unseen says that the back end has given no sign since the tracker began, and refuses health checks: there may be none.
func (t *Tracker) Unseen() bool {
	return t.latest.ID == "" && t.heard.IsZero() && !t.refusedFrom.IsZero()
}

// Heard returns when the present instance last gave a sign of life.
func (t *Tracker) Heard() time.Time { return t.heard }

// Report takes in a report. It says whether the report was news.
func (t *Tracker) Report(now time.Time, report Report) bool {
	t.beginning.note(report)
	if t.gone[report.ID] {
		if report.Leaving {
			t.forgetDisplaced(report.ID)
		}
		return false
	}
	if report.ID == t.latest.ID {
		return t.update(now, report)
	}
	began := report.Sequence == firstReports || t.verified
	t.displace(now)
	t.succeed(now)
	t.retire(t.latest.ID)
	t.latest = report
	t.began = began
	t.verified = false
	t.state = Unverified
	t.heard = now
	t.coldUntil = now.Add(report.Cold)
	t.nextCheck = now
	if report.Leaving {
		t.state = Leaving
	}
	return true
}

// displace keeps what is believed of the present instance for a while: the report of
// another one may be an old one that comes late.
func (t *Tracker) displace(now time.Time) {
	t.displaced = nil
	if t.state != Ready && t.state != Unverified {
		return
	}
	before := t.present
	t.displaced = &before
	t.recallEnd = now.Add(recallTime)
}

// recall makes the displaced instance the present one again, since it has answered.
func (t *Tracker) recall(now time.Time) {
	t.retire(t.latest.ID)
	delete(t.gone, t.displaced.latest.ID)
	t.present = *t.displaced
	t.displaced = nil
	t.state = Ready
	t.heard = now
}

// forgetDisplaced lets the displaced instance not come back if it is this one: it leaves.
func (t *Tracker) forgetDisplaced(id ID) {
	if t.displaced != nil && t.displaced.latest.ID == id {
		t.displaced = nil
	}
}

// recallable says whether the instance that answered is the displaced one.
func (t *Tracker) recallable(check Check) bool {
	return t.displaced != nil && check.Well && check.ID != "" && check.ID == t.displaced.latest.ID
}

// succeed begins to judge another instance than the present one.
func (t *Tracker) succeed(now time.Time) {
	switch {
	case t.latest.ID == "":
	case t.state == Leaving:
		t.outcomes = Outcomes{}
	default:
		t.outcomes.Crashed(now)
	}
}

// Outcomes returns what judges the back end by its flows.
func (t *Tracker) Outcomes() *Outcomes { return &t.outcomes }

// update takes in a further report of the present instance.
func (t *Tracker) update(now time.Time, report Report) bool {
	if report.Sequence <= t.latest.Sequence && t.latest.Sequence > 0 {
		return false
	}
	t.coldDoubt = max(0, t.coldDoubt-1)
	leaving := t.latest.Leaving || report.Leaving
	t.latest = report
	t.latest.Leaving = leaving
	t.heard = now
	t.coldUntil = now.Add(report.Cold)
	if leaving {
		t.state = Leaving
	}
	return true
}

// Remove takes in that the instance has left for good.
func (t *Tracker) Remove(id ID) {
	t.retire(id)
	t.forgetDisplaced(id)
	if id == t.latest.ID {
		t.state = Leaving // it may serve on for a while
	}
}

// retire remembers that reports of the instance no longer count.
func (t *Tracker) retire(id ID) {
	if id == "" || t.gone[id] {
		return
	}
	t.gone[id] = true
	t.goneOrder = append(t.goneOrder, id)
	if len(t.goneOrder) > rememberLimit {
		delete(t.gone, t.goneOrder[0])
		t.goneOrder = t.goneOrder[1:]
	}
}

// Alive notes that the back end gave a sign of life other than a report.
func (t *Tracker) Alive(now time.Time) { t.heard = now }

// CheckDue says whether a health check is to begin now; the caller then begins
// one and gives its result to Checked.
func (t *Tracker) CheckDue(now time.Time) bool {
	if t.checking || now.Before(t.nextCheck) {
		return false
	}
	silent := t.state == Ready && now.Sub(t.heard) > missedReports*t.interval
	unheard := t.state == Absent && t.latest.ID == ""
	recalling := t.displaced != nil && now.Before(t.recallEnd)
	if t.state != Unverified && !silent && !unheard && !recalling {
		return false
	}
	t.checking = true
	return true
}

// Check is the result of a health check.
type Check struct {
	Well bool // the back end answered that it is well and not leaving
	ID   ID   // of the instance that answered, "" if it did not say
	// Refused says that nothing listens at the back end's address: no instance runs there.
	Refused bool
}

// noteRefusal looks whether nobody runs at the back end's address. One refused check does not
// say so (nobodyTime).
func (t *Tracker) noteRefusal(now time.Time, refused bool) {
	switch {
	case !refused || t.latest.ID != "" || !t.heard.IsZero():
		t.refusedFrom = time.Time{}
	case t.refusedFrom.IsZero():
		t.refusedFrom = now
	case refusedForLong(now, t.refusedFrom):
		t.foundNobody = true
	}
}

// Checked takes in the result of a health check. It says whether the state has changed.
func (t *Tracker) Checked(now time.Time, check Check) bool {
	t.checking = false
	t.nextCheck = now.Add(CheckInterval)
	t.noteRefusal(now, check.Refused)
	before := t.state
	if t.recallable(check) {
		t.recall(now)
		return true
	}
	if t.state == Absent && check.Well && check.ID != "" && !t.gone[check.ID] {
		t.latest = Report{ID: check.ID, Service: t.service} // its reports will say the rest
		t.state = Ready
		t.verified = true
		t.heard = now
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
