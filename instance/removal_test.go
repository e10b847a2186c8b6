// This file guards against removals that are acknowledged without effect, and against removals of
// earlier incarnations that are rejected or end the current one.

package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateReportDoesNotHideRunningIncarnation guards against a removal that is acknowledged without
// effect: a delayed report of an earlier incarnation has replaced the running one, and health checks
// contain no id.
func TestLateReportDoesNotHideRunningIncarnation(t *testing.T) {
	well := Check{Healthy: true}
	lateReport := func(is *is.I) (tracker *Tracker, now time.Time) {
		tracker = NewTracker("lessons", time.Second)
		is.True(reportAccepted(tracker, start, Report{ID: "second", Service: "lessons", Sequence: 2, Slots: 7}))
		is.True(tracker.Checked(start, well))
		is.Equal(tracker.State(), Ready)
		is.True(reportAccepted(tracker, start.Add(time.Second), Report{ID: "first", Service: "lessons", Sequence: 1, Slots: 7}))
		tracker.Checked(start.Add(time.Second), well)
		return tracker, start.Add(time.Second)
	}

	t.Run("removal at once", func(t *testing.T) {
		is := is.New(t)
		tracker, now := lateReport(is)
		err := tracker.Remove(now, Incarnation{ID: "second"})
		is.True(err != nil || tracker.State() != Ready)
		is.NoErr(tracker.Remove(now, Incarnation{ID: "first"})) // the current one
		is.True(tracker.State() != Ready)
	})
	t.Run("removal after further reports", func(t *testing.T) {
		is := is.New(t)
		tracker, now := lateReport(is)
		for sequence := uint64(3); sequence < 3+confirmReports; sequence++ {
			now = now.Add(time.Second)
			tracker.Report(now, Report{ID: "second", Service: "lessons", Sequence: sequence, Slots: 7})
			if tracker.CheckDue(now) {
				tracker.Checked(now, well)
			}
		}
		is.Equal(tracker.Incarnation().ID, ID("second"))
		is.Equal(tracker.State(), Ready)
		is.NoErr(tracker.Remove(now, Incarnation{ID: "second"}))
		is.Equal(tracker.State(), Draining)
	})
	t.Run("current incarnation has answered a check itself", func(t *testing.T) {
		is := is.New(t)
		tracker := readyTracker(t)
		is.True(reportAccepted(tracker, start, Report{ID: "b", Sequence: 1}))
		is.True(tracker.Checked(start, Check{Healthy: true, ID: "b"}))
		is.NoErr(tracker.Remove(start, Incarnation{ID: "a"})) // it has ended
		is.Equal(tracker.State(), Ready)
	})
	t.Run("replaced incarnation had drained", func(t *testing.T) {
		is := is.New(t)
		tracker := readyTracker(t)
		is.True(reportAccepted(tracker, start, Report{ID: "a", Sequence: 3, Draining: true}))
		is.True(reportAccepted(tracker, start, Report{ID: "b", Sequence: 1}))
		tracker.Checked(start, well)
		is.NoErr(tracker.Remove(start, Incarnation{ID: "a"}))
		is.Equal(tracker.State(), Ready)
	})
}
