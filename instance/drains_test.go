// This file guards against new flows for an incarnation whose drain an earlier tracker has
// acknowledged, against drains that are kept without use, and against a back end that is not ready
// although nothing speaks against it.

package instance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// awaitingTracker returns a tracker of an agent that has restarted.
func awaitingTracker() *Tracker {
	tracker := NewTracker("lessons", time.Second)
	tracker.AwaitDrains()
	return tracker
}

func drainOf(id ID, startedAt time.Time) Drain {
	return Drain{Incarnation: Incarnation{ID: id, StartedAt: startedAt}, EndConfirmed: true}
}

// TestAwaitedDrainsHoldBackEnd guards against a back end that is ready on a health check or a report
// alone while drains are awaited, and against one that is not ready once they are known.
func TestAwaitedDrainsHoldBackEnd(t *testing.T) {
	well := Check{Healthy: true, ID: "a"}
	report := Report{ID: "a", Service: "lessons", Sequence: 4, Slots: 7}
	for name, test := range map[string]struct {
		signs  func(tracker *Tracker)
		drains []Drain
		want   State // after the drains are known
	}{
		"check":                     {func(tracker *Tracker) { tracker.Checked(start, well) }, nil, Ready},
		"check, drained":            {func(tracker *Tracker) { tracker.Checked(start, well) }, []Drain{drainOf("a", time.Time{})}, Absent},
		"check, other drained":      {func(tracker *Tracker) { tracker.Checked(start, well) }, []Drain{drainOf("b", time.Time{})}, Ready},
		"report":                    {func(tracker *Tracker) { tracker.Report(start, report) }, nil, Unverified},
		"report, drained":           {func(tracker *Tracker) { tracker.Report(start, report) }, []Drain{drainOf("a", time.Time{})}, Absent},
		"check and report, drained": {func(tracker *Tracker) { tracker.Checked(start, well); tracker.Report(start, report) }, []Drain{drainOf("a", time.Time{})}, Absent},
		"datagrams":                 {func(tracker *Tracker) { tracker.Checked(start, well); tracker.MarkSeen(start) }, []Drain{drainOf("a", time.Time{})}, Absent},
		"draining report of its own": {func(tracker *Tracker) { tracker.Report(start, Report{ID: "a", Sequence: 4, Draining: true}) },
			[]Drain{drainOf("a", time.Time{})}, Draining},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := awaitingTracker()
			test.signs(tracker)
			is.True(tracker.State() == Absent || tracker.State() == Draining)
			tracker.RestoreDrains(start.Add(CheckInterval), test.drains)
			is.Equal(tracker.State(), test.want)
			if test.want == Unverified {
				is.True(tracker.CheckDue(start.Add(CheckInterval)))
				is.True(tracker.Checked(start.Add(CheckInterval), well))
				is.Equal(tracker.State(), Ready)
			}
		})
	}
}

// TestOldCheckIsRepeated guards against the use of a health check that was answered long before the
// drains became known.
func TestOldCheckIsRepeated(t *testing.T) {
	is := is.New(t)
	tracker := awaitingTracker()
	is.True(tracker.CheckDue(start))
	tracker.Checked(start, Check{Healthy: true, ID: "a"})
	later := start.Add(CheckTimeout + time.Millisecond)
	is.True(!tracker.CheckDue(later)) // the answer would change nothing
	tracker.RestoreDrains(later, nil)
	is.Equal(tracker.State(), Absent)
	is.True(tracker.CheckDue(later))
	is.True(tracker.Checked(later, Check{Healthy: true, ID: "a"}))
	is.Equal(tracker.State(), Ready)
}

// TestReportsConfirmBackEndWhileDrainsAreAwaited guards against a back end that is never ready while
// the store does not answer, also if its health checks do not contain its id.
func TestReportsConfirmBackEndWhileDrainsAreAwaited(t *testing.T) {
	for _, check := range []Check{{Healthy: true, ID: "a"}, {Healthy: true}} {
		is := is.New(t)
		tracker := awaitingTracker()
		now := start
		for sequence := uint64(3); sequence < 3+confirmReports; sequence++ {
			is.True(tracker.State() != Ready)
			now = now.Add(time.Second)
			_, err := tracker.Report(now, Report{ID: "a", Service: "lessons", Sequence: sequence, Slots: 7})
			is.NoErr(err) // a report that is held back is acknowledged
		}
		is.True(tracker.CheckDue(now))
		is.True(tracker.Checked(now, check))
		is.Equal(tracker.State(), Ready)
		is.Equal(tracker.Latest().Slots, uint32(7))

		// Without a start time, a later incarnation may have the id. With one, the drain is certain.
		tracker.RestoreDrains(now, []Drain{drainOf("a", time.Time{})})
		is.Equal(tracker.State(), Ready)
		drains, changes := tracker.Drains()
		is.Equal(len(drains), 0)
		is.True(changes > 0) // the stored ones have to be cleared
	}
}

// TestLateReportsDoNotConfirmDrainedIncarnation guards against an incarnation with a start time that
// is ready after its drain has become known, however many reports it has sent before.
func TestLateReportsDoNotConfirmDrainedIncarnation(t *testing.T) {
	is := is.New(t)
	tracker := awaitingTracker()
	now := start
	for sequence := uint64(1); sequence <= confirmReports; sequence++ {
		now = now.Add(time.Second)
		tracker.Report(now, Report{ID: "a", StartedAt: nthStart(1), Sequence: sequence})
	}
	tracker.Checked(now, Check{Healthy: true, ID: "a"})
	tracker.RestoreDrains(now, []Drain{drainOf("a", nthStart(1))})
	is.Equal(tracker.State(), Draining)
	for sequence := uint64(10); sequence < 20; sequence++ {
		now = now.Add(time.Second)
		tracker.Report(now, Report{ID: "a", StartedAt: nthStart(1), Sequence: sequence})
		if tracker.CheckDue(now) {
			tracker.Checked(now, Check{Healthy: true, ID: "a"})
		}
		is.True(tracker.State() != Ready)
	}
}

// TestDrainsAreBounded guards against drains that accumulate, and against the loss of the drain of
// the current incarnation to later removals of others.
func TestDrainsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.NoErr(tracker.Remove(start, Incarnation{ID: "a"}))
	for n := range 3 * MaxDrains {
		is.NoErr(tracker.Remove(start, Incarnation{ID: ID(rune('b' + n))}))
	}
	drains, _ := tracker.Drains()
	is.Equal(len(drains), MaxDrains)
	is.True(slices.ContainsFunc(drains, func(drain Drain) bool { return drain.ID == "a" }))
}

// TestDrainsOfEndedIncarnationsAreDropped guards against drains that are kept after their
// incarnation has ended, and that keep a later one with the same id from being used.
func TestDrainsOfEndedIncarnationsAreDropped(t *testing.T) {
	is := is.New(t)
	tracker := readyTracker(t)
	is.NoErr(tracker.Remove(start, Incarnation{ID: "a"}))
	is.True(reportAccepted(tracker, start, Report{ID: "b", Service: "lessons", Sequence: 1}))
	is.True(tracker.Checked(start, Check{Healthy: true, ID: "b"}))
	tracker.ExpireDrains(start.Add(drainRetention - 1))
	drains, changes := tracker.Drains()
	is.Equal(len(drains), 1)
	tracker.ExpireDrains(start.Add(drainRetention))
	drains, later := tracker.Drains()
	is.Equal(len(drains), 0)
	is.True(later > changes)

	t.Log("the same id with a later start time")
	tracker = NewTracker("lessons", time.Second)
	tracker.Report(start, Report{ID: "a", StartedAt: nthStart(1), Sequence: 1, Draining: true})
	tracker.Report(start, Report{ID: "a", StartedAt: nthStart(2), Sequence: 1})
	drains, _ = tracker.Drains()
	is.Equal(len(drains), 0)

	t.Log("no instance runs")
	tracker = awaitingTracker()
	tracker.RestoreDrains(start, []Drain{drainOf("a", time.Time{})})
	for n := range 4 {
		tracker.Checked(start.Add(time.Duration(n)*CheckInterval), Check{Refused: true})
	}
	drains, _ = tracker.Drains()
	is.Equal(len(drains), 0)
	is.True(tracker.Checked(start.Add(time.Second), Check{Healthy: true, ID: "a"}))
	is.Equal(tracker.State(), Ready)
}

// TestDrainsOutliveTracker guards against an incarnation that is ready after the acknowledgment of
// its drain, with wrong health checks, late messages, restarts of the agent, and a store that fails
// at any of them. Drains count as acknowledged once they are stored.
func TestDrainsOutliveTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, sequence := start, uint64(0)
		incarnations := []Incarnation{{"a", nthStart(1)}, {"a", nthStart(2)}, {"b", nthStart(1)}, {"c", nthStart(3)}}
		tracker := NewTracker("lessons", time.Second)
		var stored []Drain
		acknowledged := map[Incarnation]bool{}
		// Late reports that arrive while drains are awaited; more of them may confirm a back end.
		lateReports := 0
		storeUp := func() bool { return rapid.IntRange(0, 3).Draw(t, "store") > 0 }
		store := func(drained Incarnation) {
			if !tracker.AwaitsDrains() && storeUp() {
				stored, _ = tracker.Drains()
				acknowledged[drained] = true
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			incarnation := rapid.SampledFrom(incarnations).Draw(t, "incarnation")
			switch rapid.SampledFrom([]string{"report", "drain", "remove", "check", "check", "restart", "restore"}).Draw(t, "step") {
			case "report":
				if tracker.AwaitsDrains() {
					if lateReports++; lateReports >= confirmReports {
						continue
					}
				}
				sequence++
				_, _ = tracker.Report(now, Report{ID: incarnation.ID, StartedAt: incarnation.StartedAt, Service: "lessons", Sequence: sequence})
			case "drain":
				sequence++
				if _, err := tracker.Report(now, Report{ID: incarnation.ID, StartedAt: incarnation.StartedAt, Service: "lessons", Sequence: sequence, Draining: true}); err == nil {
					store(incarnation)
				}
			case "remove":
				if tracker.Remove(now, incarnation) == nil {
					store(incarnation)
				}
			case "check":
				if tracker.CheckDue(now) {
					tracker.Checked(now, Check{Healthy: rapid.Bool().Draw(t, "well"), ID: incarnation.ID})
				}
			case "restart":
				tracker, lateReports = awaitingTracker(), 0
			case "restore":
				if tracker.AwaitsDrains() && storeUp() {
					tracker.RestoreDrains(now, stored)
				}
			}
			for drained := range acknowledged {
				if current := tracker.Incarnation(); current.ID == drained.ID && current.StartedAt.After(drained.StartedAt) {
					delete(acknowledged, drained) // it has ended: a later start has its id and address
				}
			}
			if tracker.State() == Ready && tracker.reported && acknowledged[tracker.Incarnation()] {
				t.Fatalf("incarnation %v is ready after the acknowledgment of its drain", tracker.Incarnation())
			}
			if tracker.State() == Ready && !tracker.reported && slices.ContainsFunc(stored, func(drain Drain) bool { return drain.ID == tracker.latest.ID }) {
				t.Fatalf("%v is ready by its health check although a drain of it is stored", tracker.latest.ID)
			}
			if drains, _ := tracker.Drains(); len(drains) > MaxDrains {
				t.Fatalf("%d drains are kept", len(drains))
			}
		}
	})
}
