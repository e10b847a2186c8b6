// This file guards against wrong states of a back end after delayed reports, removals, draining,
// health checks and restarts of the agent, against wrong conclusions that it has started or is
// absent, and against health checks that are missing or never end.

package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// readyTracker returns a tracker with instance a in state Ready.
func readyTracker(t *testing.T) *Tracker {
	t.Helper()
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	is.True(reportAccepted(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 2, Slots: 7, ColdRemaining: time.Second}))
	is.Equal(tracker.State(), Unverified)
	is.True(tracker.CheckDue(start))
	is.True(!tracker.CheckDue(start)) // a check is in progress
	is.True(tracker.Checked(start, Check{Healthy: true, ID: "a"}))
	is.Equal(tracker.State(), Ready)
	return tracker
}

func TestReportsInAnyOrder(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.True(!reportAccepted(tracker, start, Report{ID: "a", Sequence: 1, Slots: 9})) // delayed
	is.Equal(tracker.Latest().Slots, uint32(7))
	is.Equal(tracker.ColdRemaining(start.Add(300*time.Millisecond)), 700*time.Millisecond)
	is.True(reportAccepted(tracker, start, Report{ID: "a", Sequence: 5, Draining: true}))
	is.Equal(tracker.State(), Draining)
	is.True(reportAccepted(tracker, start, Report{ID: "a", Sequence: 6})) // draining is final
	is.Equal(tracker.State(), Draining)
}

func TestRemovedInstanceStaysDraining(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.NoErr(tracker.Remove(start, Incarnation{ID: "a"}))
	is.Equal(tracker.State(), Draining)
	is.True(!reportAccepted(tracker, start, Report{ID: "a", Sequence: 9}))
	is.Equal(tracker.State(), Draining)
	is.True(reportAccepted(tracker, start, Report{ID: "b", Sequence: 1}))
	is.Equal(tracker.State(), Unverified)
	is.True(!reportAccepted(tracker, start, Report{ID: "a", Sequence: 10})) // replaced
	is.Equal(tracker.Latest().ID, ID("b"))
}

// TestRemovedBeforeAnyReport guards against using a removed instance whose removal is the first
// message after a restart of the agent.
func TestRemovedBeforeAnyReport(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	is.NoErr(tracker.Remove(start, Incarnation{ID: "a"}))
	is.True(tracker.CheckDue(start))
	is.True(!tracker.Checked(start, Check{Healthy: true, ID: "a"}))
	is.True(!reportAccepted(tracker, start, Report{ID: "a", Sequence: 3}))
	is.Equal(tracker.State(), Absent)
}

// TestCheckDueBeforeFirstReport guards against a newly started agent that waits for a report
// before it checks its back end.
func TestCheckDueBeforeFirstReport(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	is.True(tracker.CheckDue(start))
	is.True(!tracker.Checked(start, Check{}))
	is.True(!tracker.CheckDue(start.Add(CheckInterval / 2)))
	is.True(tracker.CheckDue(start.Add(CheckInterval)))
	is.True(tracker.Checked(start.Add(CheckInterval), Check{Healthy: true, ID: "a"}))
	is.Equal(tracker.State(), Ready)
	is.Equal(tracker.Latest().Service, tracker.service)
	is.True(reportAccepted(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 1, Slots: 7}))
	is.Equal(tracker.Latest().Slots, uint32(7))
}

// TestCheckDueAfterMissedReports guards against an instance staying ready after its reports stop.
func TestCheckDueAfterMissedReports(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.True(!tracker.CheckDue(start.Add(time.Second)))
	late := start.Add(maxMissedReports*time.Second + time.Millisecond)
	is.True(tracker.CheckDue(late))
	is.True(tracker.Checked(late, Check{}))
	is.Equal(tracker.State(), Unverified)
	is.True(tracker.CheckDue(late.Add(CheckInterval)))
	is.True(!tracker.Checked(late, Check{Healthy: true, ID: "other"})) // answered by another instance
	is.Equal(tracker.State(), Unverified)
}

// TestSawStart guards against treating an instance as new that may have accepted flows before the
// tracker was created.
func TestSawStart(t *testing.T) {
	is := is.New(t)
	check := func(tracker *Tracker, now time.Time, id ID) {
		is.True(tracker.CheckDue(now))
		tracker.Checked(now, Check{Healthy: true, ID: id})
	}
	tracker := NewTracker("lessons", time.Second)
	is.True(!tracker.SawStart())
	check(tracker, start, "a")
	is.True(!tracker.SawStart()) // it may have started earlier
	tracker.Report(start, Report{ID: "a", Sequence: firstSequence})
	is.True(!tracker.SawStart()) // the report may be a delayed one
	later := start.Add(time.Second)
	tracker.Report(later, Report{ID: "b", Sequence: firstSequence + 5})
	is.True(!tracker.SawStart()) // it may be a delayed report of an earlier instance
	check(tracker, later, "b")
	is.True(tracker.SawStart()) // it follows a known instance

	refused := func(tracker *Tracker) {
		is.True(tracker.CheckDue(start))
		tracker.Checked(start, Check{Refused: true})
	}
	tracker = NewTracker("lessons", time.Second)
	refused(tracker)
	tracker.Report(later, Report{ID: "a", Sequence: firstSequence})
	is.True(!tracker.SawStart())
	check(tracker, later, "a")
	is.True(tracker.SawStart()) // no instance ran, and its first report was received

	tracker = NewTracker("lessons", time.Second)
	refused(tracker)
	tracker.Report(later, Report{ID: "a", Sequence: firstSequence + 1})
	check(tracker, later, "a")
	is.True(!tracker.SawStart())
}

// TestLateFirstReportShowsNoStart guards against treating an instance as new because its first report
// was received, which may have been sent long before.
func TestLateFirstReportShowsNoStart(t *testing.T) {
	well := Check{Healthy: true, ID: "a"}
	first := Report{ID: "a", Service: "lessons", Sequence: firstSequence}
	for name, events := range map[string]func(*Tracker){
		"before the first check": func(tracker *Tracker) {
			tracker.Report(start, first)
			tracker.Checked(start, well)
		},
		"while drains are awaited": func(tracker *Tracker) {
			tracker.AwaitDrains()
			tracker.Checked(start, well)
			tracker.Report(start, first)
			tracker.RestoreDrains(start, nil)
			tracker.Checked(start.Add(CheckInterval), well)
		},
		"after a check that was not answered": func(tracker *Tracker) {
			tracker.Checked(start, Check{})
			tracker.Report(start, first)
			tracker.Checked(start.Add(CheckInterval), well)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker("lessons", time.Second)
			events(tracker)
			tracker.Report(start.Add(time.Second), Report{ID: "a", Service: "lessons", Sequence: 4})
			is.Equal(tracker.State(), Ready)
			is.True(!tracker.SawStart())
		})
	}
}

// TestDrainingIsFinal guards against an incarnation with a start time becoming ready again after
// it has reported draining or was removed. TestIncarnationsModel covers missing start times.
func TestDrainingIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker("lessons", time.Second)
		now := start
		drained := map[Incarnation]bool{}
		incarnations := []Incarnation{{"a", nthStart(1)}, {"a", nthStart(2)}, {"b", nthStart(1)}, {"c", nthStart(3)}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			incarnation := rapid.SampledFrom(incarnations).Draw(t, "incarnation")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				report := Report{ID: incarnation.ID, StartedAt: incarnation.StartedAt, Service: "lessons", Sequence: rapid.Uint64Range(1, 20).Draw(t, "sequence"), Draining: rapid.Bool().Draw(t, "leaving")}
				if _, err := tracker.Report(now, report); err == nil && report.Draining {
					drained[incarnation] = true
				}
			case 1:
				_ = tracker.Remove(now, incarnation)
				drained[incarnation] = true
			case 2:
				if tracker.CheckDue(now) {
					tracker.Checked(now, Check{Healthy: rapid.Bool().Draw(t, "well"), ID: incarnation.ID})
				}
			}
			if tracker.State() == Ready && drained[tracker.Incarnation()] {
				t.Fatalf("incarnation %v is ready after draining or removal", tracker.Incarnation())
			}
		}
	})
}

// nthStart returns the start time of the n-th incarnation of a test.
func nthStart(n int) time.Time { return canonicalTime(start.Add(time.Duration(n) * time.Second)) }

// TestLateReportOfAnEarlierInstance guards against a delayed report of an earlier instance
// replacing the running one after a restart of the agent.
func TestLateReportOfAnEarlierInstance(t *testing.T) {
	for _, draining := range []bool{false, true} {
		is := is.New(t)
		tracker := NewTracker("lessons", time.Second)
		is.True(tracker.CheckDue(start))
		is.True(tracker.Checked(start, Check{Healthy: true, ID: "b"}))
		is.True(reportAccepted(tracker, start, Report{ID: "b", Service: "lessons", Sequence: 4, Slots: 7}))
		is.True(reportAccepted(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 9, Slots: 3, Draining: draining}))
		is.True(tracker.State() != Ready) // until a health check shows which one runs
		is.True(tracker.CheckDue(start))
		is.True(tracker.Checked(start, Check{Healthy: true, ID: "b"}))
		is.Equal(tracker.State(), Ready)
		is.Equal(tracker.Latest().Slots, uint32(7))
		is.True(reportAccepted(tracker, start, Report{ID: "b", Service: "lessons", Sequence: 5, Slots: 7}))
		is.True(!reportAccepted(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 10}))
		is.Equal(tracker.State(), Ready)
		is.True(!tracker.Outcomes().IsSuspected(start)) // no crash is recorded
	}
}

// TestChecksOfReplacedInstanceAreBounded guards against endless health checks for a replaced
// instance whose successor drains at once.
func TestChecksOfReplacedInstanceAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.True(reportAccepted(tracker, start, Report{ID: "b", Sequence: 2, Draining: true}))
	checks := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(CheckInterval) {
		if tracker.CheckDue(now) {
			checks++
			tracker.Checked(now, Check{})
		}
	}
	is.Equal(tracker.State(), Draining)
	is.True(checks > 0 && checks <= int(restoreWindow/CheckInterval))
}

// TestDrainingDisplacedInstanceIsNotRestored guards against a health check that started before the
// draining report making a displaced instance ready again.
func TestDrainingDisplacedInstanceIsNotRestored(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.True(reportAccepted(tracker, start, Report{ID: "old", Sequence: 9}))
	is.True(tracker.CheckDue(start))
	is.True(!reportAccepted(tracker, start, Report{ID: "a", Sequence: 3, Draining: true}))
	is.True(!tracker.Checked(start, Check{Healthy: true, ID: "a"}))
	is.True(tracker.State() != Ready)
}

// TestAbsenceConfirmedByRefusedChecks guards against concluding that no instance runs after a
// single refused check, or although the back end was seen or a check was not refused.
func TestAbsenceConfirmedByRefusedChecks(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	const reportTimeout = maxMissedReports*time.Second + 1
	refused := Check{Refused: true}
	tracker := NewTracker("lessons", time.Second)
	tracker.Checked(start, refused)
	is.True(!tracker.SawStart()) // one refused check does not suffice
	tracker.Checked(start.Add(reportTimeout), refused)
	is.True(tracker.SawStart())
	is.True(tracker.ConfirmedAbsent())
	// Its earlier reports were lost.
	tracker.Report(start.Add(reportTimeout), Report{ID: "i-1", Service: "lessons", Sequence: 9})
	is.True(tracker.SawStart())
	is.True(!tracker.ConfirmedAbsent())

	for name, event := range map[string]func(*Tracker){
		"check times out": func(tracker *Tracker) { tracker.Checked(start.Add(time.Second), Check{}) },
		"datagram":        func(tracker *Tracker) { tracker.MarkSeen(start.Add(time.Second)) },
		"report":          func(tracker *Tracker) { tracker.Report(start, Report{ID: "i-1", Service: "lessons", Sequence: 9}) },
		"check succeeds":  func(tracker *Tracker) { tracker.Checked(start.Add(time.Second), Check{Healthy: true, ID: "i-1"}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker("lessons", time.Second)
			tracker.Checked(start, refused)
			event(tracker)
			tracker.Checked(start.Add(reportTimeout), refused)
			is.True(!tracker.ConfirmedAbsent())
			is.True(!tracker.absenceObserved)
		})
	}
}

// reportAccepted passes a report to the tracker and returns whether it updated or replaced the
// current incarnation.
func reportAccepted(tracker *Tracker, now time.Time, report Report) bool {
	accepted, _ := tracker.Report(now, report)
	return accepted
}
