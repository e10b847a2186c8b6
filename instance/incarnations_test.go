// This file guards against confusing successive incarnations of a back end when messages or health
// checks are late, ids are reused, clocks are set or start times are missing. It also guards
// against never accepting a restarted back end, carrying state over from an earlier incarnation,
// wrong conclusions about starts and ends, and unlimited records of past incarnations.

package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/fault"
)

const reportInterval = time.Second // report interval of the back ends in these tests

// reportOf returns a report of the incarnation. Its number of slots equals its sequence number.
func reportOf(incarnation Incarnation, sequence uint64) Report {
	return Report{ID: incarnation.ID, StartedAt: incarnation.StartedAt, Service: "lessons", Slots: uint32(sequence), Sequence: sequence}
}

// incarnationAt returns an incarnation with id a that started the given time after start.
func incarnationAt(after time.Duration) Incarnation {
	return Incarnation{"a", canonicalTime(start.Add(after))}
}

// trackerWithTwoReports returns a tracker whose current incarnation has reported twice and answered
// a health check.
func trackerWithTwoReports(t *testing.T, incarnation Incarnation) *Tracker {
	t.Helper()
	is := is.New(t)
	tracker := NewTracker("lessons", reportInterval)
	is.True(reportAccepted(tracker, start, reportOf(incarnation, 7)))
	answerCheck(tracker, start, incarnation.ID)
	is.True(reportAccepted(tracker, start.Add(reportInterval), reportOf(incarnation, 8)))
	is.Equal(tracker.State(), Ready)
	return tracker
}

// answerCheck answers a due health check with success and returns whether the state changed. It
// returns false if no check is due.
func answerCheck(tracker *Tracker, now time.Time, id ID) bool {
	return tracker.CheckDue(now) && tracker.Checked(now, Check{Healthy: true, ID: id, StartedAt: now})
}

// requireStale checks that the report is rejected as stale and leaves the current incarnation
// unchanged.
func requireStale(t *testing.T, tracker *Tracker, now time.Time, report Report) {
	t.Helper()
	is := is.New(t)
	before := tracker.incarnationState
	accepted, err := tracker.Report(now, report)
	is.True(!accepted)
	is.Equal(fault.KindOf(err), fault.Stale)
	is.Equal(tracker.incarnationState, before)
}

// reportUntilReady sends reports of the incarnation and answers health checks until it is ready. It
// returns the number of reports, 0 if limit reports did not suffice.
func reportUntilReady(tracker *Tracker, now time.Time, incarnation Incarnation, limit int) int {
	for i := range limit {
		now = now.Add(reportInterval)
		_, _ = tracker.Report(now, reportOf(incarnation, uint64(i+1)))
		answerCheck(tracker, now, incarnation.ID)
		if tracker.State() == Ready && tracker.Latest().Sequence == uint64(i+1) {
			return i + 1
		}
	}
	return 0
}

func TestLaterStartTimeSupersedes(t *testing.T) {
	is := is.New(t)
	first, second := incarnationAt(0), incarnationAt(time.Millisecond)
	tracker := trackerWithTwoReports(t, first)
	now := start.Add(2 * reportInterval)
	is.True(reportAccepted(tracker, now, reportOf(second, 1)))
	is.Equal(tracker.Incarnation(), second)
	is.Equal(tracker.State(), Unverified)
	requireStale(t, tracker, now, reportOf(first, 9))
	is.True(answerCheck(tracker, now, "a"))
	is.Equal(tracker.State(), Ready)
	// Its sequence does not continue that of the first incarnation.
	is.True(reportAccepted(tracker, now.Add(reportInterval), reportOf(second, 2)))
	requireStale(t, tracker, now.Add(reportInterval), reportOf(first, 10))
	changes, cause := tracker.Changes()
	is.Equal(changes, uint64(2))
	is.Equal(cause, CauseStartTime)
}

// TestLateDrainingOfEarlierIncarnation guards against a delayed draining report or removal of an
// earlier incarnation draining the current one, or being acknowledged.
func TestLateDrainingOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	tracker := trackerWithTwoReports(t, incarnationAt(time.Minute))
	draining := reportOf(incarnationAt(0), 30)
	draining.Draining = true
	requireStale(t, tracker, start, draining)
	is.Equal(fault.KindOf(tracker.Remove(start, incarnationAt(0))), fault.Stale)
	is.Equal(tracker.State(), Ready)
	is.NoErr(tracker.Remove(start, incarnationAt(time.Minute)))
	is.Equal(tracker.State(), Draining)
}

// TestLateReportOfDrainingIncarnation guards against an incarnation becoming ready again when
// reports arrive after its draining report.
func TestLateReportOfDrainingIncarnation(t *testing.T) {
	is := is.New(t)
	incarnation := incarnationAt(0)
	tracker := trackerWithTwoReports(t, incarnation)
	draining := reportOf(incarnation, 5)
	draining.Draining = true
	is.True(reportAccepted(tracker, start, draining))
	is.Equal(tracker.State(), Draining)
	is.Equal(reportUntilReady(tracker, start, incarnation, 10), 0) // later reports do not end draining
}

// TestCheckFromBeforeIncarnationChange guards against a health check that started before a change
// of the incarnation verifying the new one. Answers contain only the id.
func TestCheckFromBeforeIncarnationChange(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", reportInterval)
	is.True(tracker.CheckDue(start))
	later := start.Add(10 * time.Millisecond)
	is.True(reportAccepted(tracker, later, reportOf(incarnationAt(0), 1)))
	is.True(tracker.CheckDue(later)) // although the previous check is still in progress
	is.True(!tracker.Checked(later, Check{Healthy: true, ID: "a", StartedAt: start}))
	is.Equal(tracker.State(), Unverified)
	is.True(tracker.Checked(later, Check{Healthy: true, ID: "a", StartedAt: later}))
	is.Equal(tracker.State(), Ready)
}

// TestCheckFromBeforeDraining guards against a health check that started before a draining report
// making the displaced incarnation current again.
func TestCheckFromBeforeDraining(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.True(reportAccepted(tracker, start, Report{ID: "b", Service: "lessons", Sequence: 9}))
	is.True(tracker.CheckDue(start)) // whether a still runs
	later := start.Add(time.Millisecond)
	is.True(reportAccepted(tracker, later, Report{ID: "b", Service: "lessons", Sequence: 10, Draining: true}))
	is.True(!tracker.Checked(later, Check{Healthy: true, ID: "a", StartedAt: start}))
	is.Equal(tracker.State(), Draining)
}

// TestClockSetBackBetweenIncarnations guards against never accepting a restarted back end whose
// start time is earlier than that of its predecessor.
func TestClockSetBackBetweenIncarnations(t *testing.T) {
	for name, earlier := range map[string]Incarnation{"by a second": incarnationAt(time.Second), "by ten years": incarnationAt(10 * 365 * 24 * time.Hour)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := trackerWithTwoReports(t, earlier)
			later := incarnationAt(0)
			requireStale(t, tracker, start, reportOf(later, 1))
			is.Equal(reportUntilReady(tracker, start, later, 10), confirmReports)
			is.Equal(tracker.Incarnation(), later)
			is.True(!tracker.SawStart())
			// The start time of the earlier incarnation is later, but it has been replaced.
			requireStale(t, tracker, start.Add(time.Minute), reportOf(earlier, 40))
			is.Equal(tracker.Incarnation(), later)
		})
	}
}

// TestDelayedReportsConfirmNothing guards against delayed reports confirming an earlier incarnation
// when they arrive together or between those of the current one.
func TestDelayedReportsConfirmNothing(t *testing.T) {
	is := is.New(t)
	earlier, incarnation := incarnationAt(0), incarnationAt(time.Minute)
	tracker := trackerWithTwoReports(t, incarnation)
	for sequence := range uint64(20) {
		requireStale(t, tracker, start.Add(time.Duration(sequence)*time.Millisecond), reportOf(earlier, sequence))
	}
	is.True(!tracker.CheckDue(start))
	for i := range 20 {
		now := start.Add(time.Duration(i+1) * reportInterval)
		requireStale(t, tracker, now, reportOf(earlier, uint64(30+i)))
		is.True(reportAccepted(tracker, now, reportOf(incarnation, uint64(30+i))))
		answerCheck(tracker, now, "a")
		is.Equal(tracker.Incarnation(), incarnation)
	}
}

// TestEqualStartTimes guards against never accepting an incarnation that has the start time of its
// predecessor, so that only the sequence differs.
func TestEqualStartTimes(t *testing.T) {
	is := is.New(t)
	tracker := trackerWithTwoReports(t, incarnationAt(0))
	is.Equal(reportUntilReady(tracker, start.Add(reportInterval), incarnationAt(0), 10), confirmReports)
	is.Equal(tracker.State(), Ready)
}

// TestSecondIncarnationWithoutStartTime guards against never accepting a new incarnation with the
// same id from a platform that reports no start times.
func TestSecondIncarnationWithoutStartTime(t *testing.T) {
	for name, end := range map[string]func(*Tracker){
		"crash": func(*Tracker) {},
		"draining": func(tracker *Tracker) {
			_, _ = tracker.Report(start.Add(reportInterval), Report{ID: "a", Service: "lessons", Sequence: 9, Draining: true})
		},
		"removal": func(tracker *Tracker) { _ = tracker.Remove(start.Add(reportInterval), Incarnation{ID: "a"}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			incarnation := Incarnation{ID: "a"}
			tracker := trackerWithTwoReports(t, incarnation)
			end(tracker)
			is.Equal(reportUntilReady(tracker, start.Add(reportInterval), incarnation, 10), confirmReports)
			is.Equal(tracker.State(), Ready)
		})
	}
}

// TestRemovalWithoutStartTime guards against ignoring a removal without a start time, and against
// never accepting the incarnation again if it keeps running.
func TestRemovalWithoutStartTime(t *testing.T) {
	is := is.New(t)
	incarnation := incarnationAt(0)
	tracker := trackerWithTwoReports(t, incarnation)
	is.NoErr(tracker.Remove(start.Add(reportInterval), Incarnation{ID: "a"}))
	is.Equal(tracker.State(), Draining)
	requireStale(t, tracker, start.Add(2*reportInterval), reportOf(incarnation, 9))
	requireStale(t, tracker, start.Add(3*reportInterval), reportOf(incarnation, 10))
	is.Equal(tracker.State(), Draining)
	requireStale(t, tracker, start.Add(4*reportInterval), reportOf(incarnation, 11))
	is.True(answerCheck(tracker, start.Add(4*reportInterval), "a"))
	is.Equal(tracker.State(), Ready)
	is.True(!tracker.Outcomes().IsSuspected(start.Add(4 * reportInterval)))

	is.NoErr(tracker.Remove(start.Add(5*reportInterval), Incarnation{ID: "a"}))
	// A later start time needs no confirmation.
	is.True(reportAccepted(tracker, start.Add(6*reportInterval), reportOf(incarnationAt(time.Millisecond), 1)))
	is.True(answerCheck(tracker, start.Add(6*reportInterval), "a"))
	is.Equal(tracker.State(), Ready)
}

// TestRemovalOfLaterIncarnation guards against accepting an incarnation whose removal arrives
// before its first report, and against the earlier one becoming ready again.
func TestRemovalOfLaterIncarnation(t *testing.T) {
	is := is.New(t)
	tracker := trackerWithTwoReports(t, incarnationAt(0))
	is.NoErr(tracker.Remove(start.Add(reportInterval), incarnationAt(time.Second)))
	is.Equal(tracker.State(), Draining)
	requireStale(t, tracker, start.Add(2*reportInterval), reportOf(incarnationAt(0), 9))
	is.Equal(reportUntilReady(tracker, start.Add(reportInterval), incarnationAt(time.Second), 10), 0)
}

// TestSawStartOfIncarnation guards against taking a start time, or a single report with a later
// start time, as proof that the incarnation started after the tracker was created.
func TestSawStartOfIncarnation(t *testing.T) {
	is := is.New(t)
	// By the back end's clock, the incarnation started after the tracker was created.
	tracker := trackerWithTwoReports(t, incarnationAt(365*24*time.Hour))
	is.True(!tracker.SawStart())
	now := start.Add(2 * reportInterval)
	incarnation := incarnationAt(366 * 24 * time.Hour)
	is.True(reportAccepted(tracker, now, reportOf(incarnation, 1)))
	is.True(answerCheck(tracker, now, "a"))
	is.True(!tracker.SawStart())
	is.True(reportAccepted(tracker, now.Add(reportInterval), reportOf(incarnation, 2)))
	is.True(tracker.SawStart())
}

// TestStateIsResetForNewIncarnation guards against carrying the warm-up time and the flow outcomes
// of an earlier incarnation over to the current one.
func TestStateIsResetForNewIncarnation(t *testing.T) {
	is := is.New(t)
	tracker := trackerWithTwoReports(t, incarnationAt(0))
	now := start.Add(2 * reportInterval)
	cold := reportOf(incarnationAt(0), 9)
	cold.ColdRemaining = time.Minute
	is.True(reportAccepted(tracker, now, cold))
	for range suspicionThreshold - 1 {
		is.True(!tracker.Outcomes().RecordFailure(now))
	}
	is.True(reportAccepted(tracker, now, reportOf(incarnationAt(time.Second), 1)))
	is.Equal(tracker.ColdRemaining(now), time.Duration(0))
	is.True(!tracker.Outcomes().RecordFailure(now))
}

// TestReplacedPrevious guards against concluding that an earlier incarnation has ended from a
// report with another id alone, or while the earlier one still reports.
func TestReplacedPrevious(t *testing.T) {
	is := is.New(t)
	tracker := trackerWithTwoReports(t, incarnationAt(0))
	now := start.Add(2 * reportInterval)
	is.True(reportAccepted(tracker, now, reportOf(incarnationAt(time.Second), 1)))
	is.True(tracker.ReplacedPrevious())
	requireStale(t, tracker, now, reportOf(incarnationAt(0), 9))
	is.True(!tracker.ReplacedPrevious())

	tracker = trackerWithTwoReports(t, Incarnation{ID: "a"})
	is.True(reportAccepted(tracker, now, reportOf(Incarnation{ID: "b"}, 1)))
	is.True(!tracker.ReplacedPrevious()) // the report may be a delayed one
	is.True(answerCheck(tracker, now, "b"))
	is.True(tracker.ReplacedPrevious())
}

func TestPastIncarnationsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", reportInterval)
	for i := range 3 * maxPastIncarnations {
		is.True(reportAccepted(tracker, start, reportOf(incarnationAt(time.Duration(i)*time.Second), 1)))
	}
	is.Equal(len(tracker.past.entries), maxPastIncarnations)
}

// TestStartTimesAppearAndDisappear guards against mixing up incarnations when a new release of the
// platform starts or stops reporting start times.
func TestStartTimesAppearAndDisappear(t *testing.T) {
	is := is.New(t)
	withoutStart := Incarnation{ID: "a"}
	tracker := trackerWithTwoReports(t, withoutStart)
	now := start.Add(2 * reportInterval)
	is.True(reportAccepted(tracker, now, reportOf(incarnationAt(0), 1)))
	is.True(answerCheck(tracker, now, "a"))
	draining := reportOf(withoutStart, 40)
	draining.Draining = true
	requireStale(t, tracker, now, draining)
	// A later start time needs no confirmation.
	is.True(reportAccepted(tracker, now, reportOf(incarnationAt(time.Millisecond), 50)))
	is.Equal(tracker.Incarnation(), incarnationAt(time.Millisecond))
	// The earlier release, which reports no start times, runs again.
	is.Equal(reportUntilReady(tracker, now, withoutStart, 10), confirmReports)
	is.Equal(tracker.Incarnation(), withoutStart)
}

// TestUncertainDrainingTriggersCheck guards against a delayed draining report without a start time
// draining the current incarnation, and against ignoring it when the next health check fails.
func TestUncertainDrainingTriggersCheck(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	now := start
	send := func(report Report) error {
		_, err := tracker.Report(now, report)
		return err
	}
	is.NoErr(send(Report{ID: "a", Service: "lessons", Sequence: 9}))
	is.True(tracker.CheckDue(now))
	tracker.Checked(now, Check{Healthy: true, ID: "a"})
	now = now.Add(time.Second)
	is.True(!tracker.CheckDue(now))
	is.Equal(fault.KindOf(send(Report{ID: "a", Service: "lessons", Sequence: 3, Draining: true})), fault.Stale)
	is.Equal(tracker.State(), Ready)
	is.True(tracker.CheckDue(now))
	tracker.Checked(now, Check{ID: "a"})
	is.Equal(tracker.State(), Unverified)
}
