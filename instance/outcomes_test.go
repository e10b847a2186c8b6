package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFailuresMakeABackEndSuspected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var o Outcomes
	for range failuresSuspected - 1 {
		is.True(!o.Failed(now))
	}
	o.Succeeded()
	is.True(!o.Suspect(now))
	is.True(o.Failed(now))
	is.True(o.Suspect(now))
	is.True(!o.Failed(now)) // of a flow that began before
	is.True(!o.Suspect(now.Add(SuspicionTime)))
}

func TestRareFailuresAreForgiven(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var o Outcomes
	for range 100 {
		is.True(!o.Failed(now))
		for range outcomesKept / 2 {
			o.Succeeded()
		}
	}
}

// TestSuspicionIsRenewedForLonger: a single failure after a suspicion is enough, until
// the back end has answered well for a while.
func TestSuspicionIsRenewedForLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var o Outcomes
	for !o.Failed(now) {
	}
	length := SuspicionTime
	for range 6 {
		now = now.Add(length)
		is.True(!o.Suspect(now))
		o.Succeeded()
		is.True(o.Failed(now))
		length = min(2*length, SuspicionTime<<mostDoublings)
		is.True(o.Suspect(now.Add(length - 1)))
		is.True(!o.Suspect(now.Add(length)))
	}
	now = now.Add(length)
	for range trialOutcomes {
		o.Succeeded()
	}
	is.True(!o.Failed(now)) // trusted again
	for !o.Failed(now) {
	}
	is.True(!o.Suspect(now.Add(SuspicionTime)))
}

func TestCrashesInARow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var o Outcomes
	is.True(!o.Crashed(now))
	is.True(!o.Crashed(now.Add(crashWindow)))
	now = now.Add(crashWindow + time.Second)
	is.True(o.Crashed(now))
	is.True(o.Suspect(now))
}

// TestOutcomesOfInstances: an instance that ends without a word has crashed, one that
// has left makes room for one that is judged anew.
func TestOutcomesOfInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := NewTracker("lessons", time.Second)
	start := func(id ID) { tracker.Report(now, Report{ID: id, Service: "lessons", Sequence: 1}) }
	start("i-1")
	start("i-2")
	is.True(!tracker.Outcomes().Suspect(now)) // one crash
	start("i-3")
	is.True(tracker.Outcomes().Suspect(now))
	tracker.Report(now, Report{ID: "i-3", Service: "lessons", Leaving: true, Sequence: 2})
	start("i-4")
	is.True(!tracker.Outcomes().Suspect(now))
	is.NoErr(tracker.Remove(now, Life{ID: "i-4"}))
	start("i-5")
	start("i-6")
	is.True(!tracker.Outcomes().Suspect(now)) // the first crash of the new ones
}
