// This file defines the reports and states of a back end, and its Tracker. A Tracker applies
// reports, counts an incarnation that ends without draining as a crash, and states
// what is known, such as whether the current incarnation receives new flows, may be cold, certainly
// started after the tracker was created, or is absent, and whether earlier ones have ended.

// Package instance tracks the back end next to an agent. Each start of the back end is an
// incarnation. It has an id, which a later incarnation may reuse, and may report its start time. An
// instance is the running process of an incarnation.
//
// Instances send reports, which may be delayed and reordered, and the agent may start after the
// back end. Therefore an incarnation receives new flows only if it has answered a health check
// since the agent started and has not reported that it is draining. A newly started agent checks at
// once: the answer contains the id, and reports supply the rest. Drains that the agent has
// acknowledged are passed on to its next start. The package does no I/O and reads no clock: callers
// pass in reports, check results and the time.
package instance

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

const (
	// CheckInterval is the time from the end of a health check to the start of the next, while
	// checks are due.
	CheckInterval = 100 * time.Millisecond
	// CheckTimeout is the timeout of one health check.
	CheckTimeout = 800 * time.Millisecond
	// maxMissedReports is the number of missed reports after which a health check is due.
	maxMissedReports = 3
	// restoreWindow is how long health checks are due after an incarnation was displaced.
	restoreWindow = time.Second
	// warmConfirmReports is the number of reports that end the mark of ExpectCold. The first of
	// them may have been sent before the call.
	warmConfirmReports = 2
	// firstSequence is the sequence number of the first report of an incarnation.
	firstSequence = 1
)

// ID is the id that a back end reports. Several incarnations may have the same id.
type ID string

// Incarnation identifies one start of a back end.
type Incarnation struct {
	ID ID
	// StartedAt is the start time by the clock of the back end's machine, in whole milliseconds;
	// zero: unknown. That clock may jump, so start times only order incarnations with the same id.
	StartedAt time.Time
}

// Report is a status report of a back end.
type Report struct {
	ID            ID
	StartedAt     time.Time // start time of the incarnation; zero: unknown
	Service       catalog.ServiceName
	Address       netip.AddrPort // at which it accepts requests; invalid: unknown
	Zone          catalog.ZoneName
	Version       string        // software version
	Slots         uint32        // maximum number of concurrent requests
	Draining      bool          // it is draining and about to stop
	ColdRemaining time.Duration // remaining time of its warm-up
	Sequence      uint64        // increases with each report of an incarnation; 0: unknown
}

// Incarnation returns the incarnation that sent the report.
func (r Report) Incarnation() Incarnation { return Incarnation{ID: r.ID, StartedAt: r.StartedAt} }

// State is the state of a back end. Only a Ready one receives new flows.
type State uint8

const (
	Absent     State = iota // no incarnation is known
	Unverified              // it has to answer a health check
	Ready
	Draining
)

// String returns the state's name, as it appears in logs.
func (s State) String() string {
	switch s {
	case Absent:
		return "absent"
	case Unverified:
		return "unverified"
	case Ready:
		return "ready"
	case Draining:
		return "leaving"
	default:
		return "unknown"
	}
}

// Tracker tracks the incarnations of one back end. It is not safe for concurrent use.
type Tracker struct {
	service          catalog.ServiceName
	interval         time.Duration          // between reports
	incarnationState                        // the current incarnation
	displaced        *incarnationState      // replaced one that may become current again; nil: none
	restoreUntil     time.Time              // until when checks are due because of displaced
	past             pastIncarnations       // incarnations that have ended or were replaced
	unconfirmed      unconfirmedIncarnation // zero: none
	drain            drainState             // acknowledged drains
	// unconfirmedDrain is true after a draining report that has the current id but may come from
	// another incarnation. It makes the next health check due, which decides.
	unconfirmedDrain  bool
	checksValidFrom   time.Time // checks that started before it are ignored
	changes           uint64    // how often the current incarnation changed
	nextCheckAt       time.Time // earliest time of the next check
	checkInProgress   bool
	checkStartedAt    time.Time // of the check in progress
	warmReportsNeeded int       // reports still needed to end ExpectCold
	refusedSince      time.Time // first of the latest consecutive refused checks; zero: none
	// refusedOnce is true if a check was refused before any instance was seen: none was serving then.
	refusedOnce bool
	// absenceObserved is true if checks have shown that no instance ran at some time since the
	// tracker was created, before any was seen. An instance that runs now has therefore started
	// since.
	absenceObserved bool
}

// incarnationState is the state of one incarnation.
type incarnationState struct {
	latest        Report
	cause         Cause // why it became the current incarnation
	startObserved bool  // its first report followed a refused check, or it replaced a verified one
	reported      bool  // it has sent a report
	reportedTwice bool  // it has reported at least confirmSpacing after it was first seen
	verified      bool  // it has answered a health check with its id
	removed       bool  // its removal was received
	state         State
	lastSeenAt    time.Time // by a report, a health check or MarkSeen
	firstSeenAt   time.Time // by a report or a health check
	coldUntil     time.Time
	outcomes      Outcomes // of its flows, and crashes of earlier incarnations
}

// NewTracker returns a tracker for a back end of the service, with no incarnation known. A
// back end sends one report per interval.
func NewTracker(service catalog.ServiceName, interval time.Duration) *Tracker {
	return &Tracker{service: service, interval: interval}
}

// SetService sets the service of incarnations that are known from a health check only, from now on.
func (t *Tracker) SetService(service catalog.ServiceName) { t.service = service }

// State returns the state of the current incarnation.
func (t *Tracker) State() State { return t.state }

// Latest returns the latest report of the current incarnation.
func (t *Tracker) Latest() Report { return t.latest }

// Incarnation returns the current incarnation, the zero value if none is known.
func (t *Tracker) Incarnation() Incarnation { return t.latest.Incarnation() }

// FirstSeen returns when the current incarnation was first seen, by the agent's clock. It is zero
// if none is known.
func (t *Tracker) FirstSeen() time.Time { return t.firstSeenAt }

// Changes returns how often another incarnation became the current one, and the cause of the latest
// change.
func (t *Tracker) Changes() (uint64, Cause) { return t.changes, t.cause }

// ReplacedPrevious reports whether any previous incarnation has certainly ended: the current one
// has a later start time, or an id that was not current before and with which it answered a health
// check. It does not show that there was a previous one. The result is false while an unconfirmed
// incarnation reports. The current incarnation may have accepted flows before it was first seen.
func (t *Tracker) ReplacedPrevious() bool {
	if t.unconfirmed.countedReports > 0 {
		return false
	}
	return t.cause == CauseStartTime || t.cause == CauseID && t.verified
}

// ColdRemaining returns the remaining warm-up time of the current incarnation.
func (t *Tracker) ColdRemaining(now time.Time) time.Duration {
	return max(0, t.coldUntil.Sub(now))
}

// ExpectCold marks the back end as possibly cold although it has not restarted, for example after
// the evacuation of its zone. The mark ends after warmConfirmReports further reports.
func (t *Tracker) ExpectCold() { t.warmReportsNeeded = warmConfirmReports }

// MayBeCold reports whether the current incarnation is, or may be, warming up.
func (t *Tracker) MayBeCold(now time.Time) bool {
	return t.ColdRemaining(now) > 0 || t.latest.Sequence == 0 || t.warmReportsNeeded > 0
}

// SawStart reports whether the current incarnation certainly started after the tracker was
// created, so that it has no flows that the tracker's owner does not know. This holds if health
// checks have shown at any time that no instance ran. It also holds if a check was refused before the
// first report of the incarnation made it current, or it replaced a verified one, and it has answered
// a health check itself. The first report alone may have been sent before the tracker was created. An
// incarnation that differs from its predecessor only in the start time has to report twice, since its
// first report may be a delayed one and answers to checks contain only the id. The start time is not
// compared with any clock, since the back end's clock may have been set.
func (t *Tracker) SawStart() bool {
	return t.absenceObserved || t.startObserved && t.verified && (t.reportedTwice || t.cause != CauseStartTime)
}

// ConfirmedAbsent reports whether no instance has been seen since the tracker was created and
// health checks have shown that none runs.
func (t *Tracker) ConfirmedAbsent() bool {
	return t.absenceObserved && t.latest.ID == "" && t.lastSeenAt.IsZero()
}

// PossiblyAbsent reports whether no instance has been seen since the tracker was created and the
// latest health check was refused, so that possibly none runs.
func (t *Tracker) PossiblyAbsent() bool {
	return t.latest.ID == "" && t.lastSeenAt.IsZero() && !t.refusedSince.IsZero()
}

// LastSeen returns when the current incarnation was last seen.
func (t *Tracker) LastSeen() time.Time { return t.lastSeenAt }

// Outcomes returns the outlier detection state of the back end.
func (t *Tracker) Outcomes() *Outcomes { return &t.outcomes }

// MarkSeen records that the back end was seen otherwise than by a report or a health check.
func (t *Tracker) MarkSeen(now time.Time) { t.lastSeenAt = now }

// Report applies a report and reports whether it updated or replaced the current incarnation. The
// result is false without an error if the report is outdated. An error of kind fault.Stale means
// that the report does not come from the current incarnation, or possibly does not, and has not
// changed its state. The caller must not acknowledge such a report.
func (t *Tracker) Report(now time.Time, report Report) (bool, error) {
	report.StartedAt = canonicalTime(report.StartedAt)
	applied, err := t.applyReport(now, report)
	if err == nil && report.Draining {
		t.acknowledgeDrain(report.Incarnation(), true)
	}
	return applied, err
}

func (t *Tracker) applyReport(now time.Time, report Report) (bool, error) {
	order := t.compare(report.Incarnation())
	if order == orderSame && report.StartedAt.IsZero() && !t.latest.StartedAt.IsZero() {
		order = orderEarlier // the current incarnation reports a start time
	}
	if t.drain.awaited && !report.Draining && (order == orderLater || order == orderOtherID) {
		t.holdReport(now, report)
		return false, nil
	}
	switch order {
	case orderSame:
		return t.update(now, report)
	case orderLater:
		t.supersede(now, report)
		return true, nil
	case orderOtherID:
		t.supersedeOtherID(now, report)
		return true, nil
	default:
		return false, t.rejectStale(now, report)
	}
}

// supersede makes a later incarnation with the current id the current one.
func (t *Tracker) supersede(now time.Time, report Report) {
	startObserved := t.startsAfterRefusal(report) || t.reportedTwice && t.verified
	t.setCurrent(now, report, CauseStartTime)
	t.startObserved = startObserved
}

// supersedeOtherID makes an incarnation with another id the current one.
func (t *Tracker) supersedeOtherID(now time.Time, report Report) {
	startObserved := t.startsAfterRefusal(report) || t.verified
	t.displace(now)
	t.setCurrent(now, report, CauseID)
	t.startObserved = startObserved
}

// startsAfterRefusal reports whether the report is the first one of an instance that was not serving
// yet at some time since the tracker was created.
func (t *Tracker) startsAfterRefusal(report Report) bool {
	return report.Sequence == firstSequence && t.refusedOnce
}

// setCurrent makes the incarnation of the report the current one. Its state is Draining if the
// report is a draining one, otherwise Unverified.
func (t *Tracker) setCurrent(now time.Time, report Report, cause Cause) {
	t.rollOutcomes(now)
	t.retire()
	t.incarnationState = incarnationState{latest: report, cause: cause, reported: true, state: Unverified, lastSeenAt: now, firstSeenAt: now,
		coldUntil: now.Add(report.ColdRemaining), outcomes: t.outcomes}
	if report.Draining {
		t.state = Draining
	}
	t.afterChange(now)
}

// afterChange updates the tracker after a change of the current incarnation. A check in progress
// is discarded.
func (t *Tracker) afterChange(now time.Time) {
	t.changes++
	t.checksValidFrom = now
	t.nextCheckAt = now
	t.checkInProgress = false
	t.unconfirmed = unconfirmedIncarnation{}
	t.past.remove(t.Incarnation())
	t.dropReplacedDrains()
	if !t.latest.StartedAt.IsZero() {
		t.past.remove(Incarnation{ID: t.latest.ID}) // start times order its incarnations from now on
	}
}

// retire records the current incarnation as past, so that its later reports are rejected.
func (t *Tracker) retire() {
	if t.latest.ID != "" {
		t.past.add(t.Incarnation(), t.latest.Draining)
	}
}

// rollOutcomes prepares the outcomes for the next incarnation. The end of an incarnation that was
// not draining counts as a crash.
func (t *Tracker) rollOutcomes(now time.Time) {
	switch {
	case t.latest.ID == "":
	case t.state == Draining:
		t.outcomes = Outcomes{}
	default:
		t.outcomes.RecordCrash(now)
	}
}

// update applies a report that comes from the current incarnation as far as its id and start
// time show.
func (t *Tracker) update(now time.Time, report Report) (bool, error) {
	sameStart := !report.StartedAt.IsZero() && report.StartedAt.Equal(t.latest.StartedAt)
	newer := report.Sequence > t.latest.Sequence || t.latest.Sequence == 0
	if t.removed || !newer {
		return t.applyUncertain(now, report, sameStart)
	}
	if t.state == Draining && !report.Draining && !sameStart {
		t.observeUnconfirmed(now, report) // a draining incarnation sends only draining reports
	} else {
		t.unconfirmed = unconfirmedIncarnation{} // the current incarnation still reports
	}
	t.reported = true
	t.reportedTwice = t.reportedTwice || now.Sub(t.firstSeenAt) >= t.confirmSpacing()
	t.warmReportsNeeded = max(0, t.warmReportsNeeded-1)
	draining := t.latest.Draining || report.Draining
	report.StartedAt = startTimeOr(report.StartedAt, t.latest.StartedAt)
	t.latest = report
	t.latest.Draining = draining
	t.lastSeenAt = now
	t.coldUntil = now.Add(report.ColdRemaining)
	if report.Draining {
		t.markDraining(now)
	}
	return true, nil
}

// markDraining marks the current incarnation as draining. A check in progress is discarded.
func (t *Tracker) markDraining(now time.Time) {
	t.state = Draining
	t.unconfirmed = unconfirmedIncarnation{}
	t.checksValidFrom = now
	t.checkInProgress = false
}
