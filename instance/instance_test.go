package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// ready returns a tracker whose instance a is ready.
func ready(t *testing.T) *Tracker {
	t.Helper()
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	is.True(news(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 2, Slots: 7, Cold: time.Second}))
	is.Equal(tracker.State(), Unverified)
	is.True(tracker.CheckDue(start))
	is.True(!tracker.CheckDue(start)) // one at a time
	is.True(tracker.Checked(start, Check{Well: true, ID: "a"}))
	is.Equal(tracker.State(), Ready)
	return tracker
}

func TestReportsInAnyOrder(t *testing.T) {
	is := is.New(t)
	tracker := ready(t)
	is.True(!news(tracker, start, Report{ID: "a", Sequence: 1, Slots: 9})) // late
	is.Equal(tracker.Latest().Slots, uint32(7))
	is.Equal(tracker.Cold(start.Add(300*time.Millisecond)), 700*time.Millisecond)
	is.True(news(tracker, start, Report{ID: "a", Sequence: 5, Leaving: true}))
	is.Equal(tracker.State(), Leaving)
	is.True(news(tracker, start, Report{ID: "a", Sequence: 6})) // a leaving back end stays so
	is.Equal(tracker.State(), Leaving)
}

func TestRemovedInstanceStaysGone(t *testing.T) {
	is := is.New(t)
	tracker := ready(t)
	is.NoErr(tracker.Remove(start, Life{ID: "a"}))
	is.Equal(tracker.State(), Leaving)
	is.True(!news(tracker, start, Report{ID: "a", Sequence: 9}))
	is.Equal(tracker.State(), Leaving)
	is.True(news(tracker, start, Report{ID: "b", Sequence: 1}))
	is.Equal(tracker.State(), Unverified)
	is.True(!news(tracker, start, Report{ID: "a", Sequence: 10})) // replaced
	is.Equal(tracker.Latest().ID, ID("b"))
}

// TestRemovedBeforeAnyReport: the agent has restarted and hears the removal first.
func TestRemovedBeforeAnyReport(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	is.NoErr(tracker.Remove(start, Life{ID: "a"}))
	is.True(tracker.CheckDue(start))
	is.True(!tracker.Checked(start, Check{Well: true, ID: "a"}))
	is.True(!news(tracker, start, Report{ID: "a", Sequence: 3}))
	is.Equal(tracker.State(), Absent)
}

// TestAgentAsksBeforeTheFirstReport: an agent that has just started does not wait
// for the next report.
func TestAgentAsksBeforeTheFirstReport(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	is.True(tracker.CheckDue(start))
	is.True(!tracker.Checked(start, Check{}))
	is.True(!tracker.CheckDue(start.Add(CheckInterval / 2)))
	is.True(tracker.CheckDue(start.Add(CheckInterval)))
	is.True(tracker.Checked(start.Add(CheckInterval), Check{Well: true, ID: "a"}))
	is.Equal(tracker.State(), Ready)
	is.Equal(tracker.Latest().Service, tracker.service)
	is.True(news(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 1, Slots: 7}))
	is.Equal(tracker.Latest().Slots, uint32(7))
}

// TestSilentInstanceIsAsked: reports stop without a word.
func TestSilentInstanceIsAsked(t *testing.T) {
	is := is.New(t)
	tracker := ready(t)
	is.True(!tracker.CheckDue(start.Add(time.Second)))
	late := start.Add(missedReports*time.Second + time.Millisecond)
	is.True(tracker.CheckDue(late))
	is.True(tracker.Checked(late, Check{}))
	is.Equal(tracker.State(), Unverified)
	is.True(tracker.CheckDue(late.Add(CheckInterval)))
	is.True(!tracker.Checked(late, Check{Well: true, ID: "other"})) // another instance has answered
	is.Equal(tracker.State(), Unverified)
}

// TestSawBegin: only an instance that has started since the tracker did, and has answered
// itself, has surely not been at work before.
func TestSawBegin(t *testing.T) {
	is := is.New(t)
	check := func(tracker *Tracker, now time.Time, id ID) {
		is.True(tracker.CheckDue(now))
		tracker.Checked(now, Check{Well: true, ID: id})
	}
	tracker := NewTracker("lessons", time.Second)
	is.True(!tracker.SawBegin())
	check(tracker, start, "a")
	is.True(!tracker.SawBegin()) // nothing is known of its past
	tracker.Report(start, Report{ID: "a", Sequence: firstReports})
	is.True(!tracker.SawBegin()) // the report may have been late
	later := start.Add(time.Second)
	tracker.Report(later, Report{ID: "b", Sequence: firstReports + 5})
	is.True(!tracker.SawBegin()) // it may be an old report of an earlier instance
	check(tracker, later, "b")
	is.True(tracker.SawBegin()) // it has come after one that was known

	tracker = NewTracker("lessons", time.Second)
	tracker.Report(start, Report{ID: "a", Sequence: firstReports})
	is.True(!tracker.SawBegin())
	check(tracker, start, "a")
	is.True(tracker.SawBegin()) // it has just started

	tracker = NewTracker("lessons", time.Second)
	tracker.Report(start, Report{ID: "a", Sequence: firstReports + 1})
	check(tracker, start, "a")
	is.True(!tracker.SawBegin())
}

// TestLeavingIsForGood: whatever comes in whatever order, and whatever health checks answer, a life that has
// told its birth and said that it leaves, or has left, is never ready again. (Where births are not told the id may
// come again: TestLivesOfABackEnd.)
func TestLeavingIsForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker("lessons", time.Second)
		now := start
		left := map[Life]bool{}
		lives := []Life{{"a", born(1)}, {"a", born(2)}, {"b", born(1)}, {"c", born(3)}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			life := rapid.SampledFrom(lives).Draw(t, "life")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				report := Report{ID: life.ID, Born: life.Born, Service: "lessons", Sequence: rapid.Uint64Range(1, 20).Draw(t, "sequence"), Leaving: rapid.Bool().Draw(t, "leaving")}
				if _, err := tracker.Report(now, report); err == nil && report.Leaving {
					left[life] = true
				}
			case 1:
				_ = tracker.Remove(now, life)
				left[life] = true
			case 2:
				if tracker.CheckDue(now) {
					tracker.Checked(now, Check{Well: rapid.Bool().Draw(t, "well"), ID: life.ID})
				}
			}
			if tracker.State() == Ready && left[tracker.Life()] {
				t.Fatalf("life %v is ready although it has left", tracker.Life())
			}
		}
	})
}

// born returns the birth of a test's n-th life.
func born(n int) time.Time { return canonical(start.Add(time.Duration(n) * time.Second)) }

// TestLateReportOfAnEarlierInstance: the agent has restarted, has found instance b at
// work, and then gets a report that an earlier instance sent long ago.
func TestLateReportOfAnEarlierInstance(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		is := is.New(t)
		tracker := NewTracker("lessons", time.Second)
		is.True(tracker.CheckDue(start))
		is.True(tracker.Checked(start, Check{Well: true, ID: "b"}))
		is.True(news(tracker, start, Report{ID: "b", Service: "lessons", Sequence: 4, Slots: 7}))
		is.True(news(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 9, Slots: 3, Leaving: leaving}))
		is.True(tracker.State() != Ready) // until it is known who is there
		is.True(tracker.CheckDue(start))
		is.True(tracker.Checked(start, Check{Well: true, ID: "b"}))
		is.Equal(tracker.State(), Ready)
		is.Equal(tracker.Latest().Slots, uint32(7))
		is.True(news(tracker, start, Report{ID: "b", Service: "lessons", Sequence: 5, Slots: 7}))
		is.True(!news(tracker, start, Report{ID: "a", Service: "lessons", Sequence: 10}))
		is.Equal(tracker.State(), Ready)
		is.True(!tracker.Outcomes().Suspect(start)) // nothing has crashed
	}
}

// TestReplacedInstanceIsNotAskedForLong: its successor leaves at once and answers no check.
func TestReplacedInstanceIsNotAskedForLong(t *testing.T) {
	is := is.New(t)
	tracker := ready(t)
	is.True(news(tracker, start, Report{ID: "b", Sequence: 2, Leaving: true}))
	checks := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(CheckInterval) {
		if tracker.CheckDue(now) {
			checks++
			tracker.Checked(now, Check{})
		}
	}
	is.Equal(tracker.State(), Leaving)
	is.True(checks > 0 && checks <= int(recallTime/CheckInterval))
}

// TestDisplacedInstanceThatLeavesIsNotRecalled: it says so while another is believed to
// be there, and a check that began before is answered after.
func TestDisplacedInstanceThatLeavesIsNotRecalled(t *testing.T) {
	is := is.New(t)
	tracker := ready(t)
	is.True(news(tracker, start, Report{ID: "old", Sequence: 9}))
	is.True(tracker.CheckDue(start))
	is.True(!news(tracker, start, Report{ID: "a", Sequence: 3, Leaving: true}))
	is.True(!tracker.Checked(start, Check{Well: true, ID: "a"}))
	is.True(tracker.State() != Ready)
}

// TestNobodyRunsThere: an agent that finds nobody at its back end's address for as long as a
// living one would take to report knows all that comes after; one that has heard the back end
// before, or gets no answer, knows nothing.
func TestNobodyRunsThere(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	const reported = missedReports*time.Second + 1
	refused := Check{Refused: true}
	tracker := NewTracker("lessons", time.Second)
	tracker.Checked(start, refused)
	is.True(!tracker.SawBegin()) // its listener may be gone, or its health check lie
	tracker.Checked(start.Add(reported), refused)
	is.True(tracker.SawBegin())
	is.True(tracker.NobodyThere())
	tracker.Report(start.Add(reported), Report{ID: "i-1", Service: "lessons", Sequence: 9}) // its first ones were lost
	is.True(tracker.SawBegin())
	is.True(!tracker.NobodyThere())

	for name, between := range map[string]func(*Tracker){
		"no answer":   func(tracker *Tracker) { tracker.Checked(start.Add(time.Second), Check{}) }, // it may be frozen
		"a datagram":  func(tracker *Tracker) { tracker.Alive(start.Add(time.Second)) },
		"a report":    func(tracker *Tracker) { tracker.Report(start, Report{ID: "i-1", Service: "lessons", Sequence: 9}) },
		"it is there": func(tracker *Tracker) { tracker.Checked(start.Add(time.Second), Check{Well: true, ID: "i-1"}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker("lessons", time.Second)
			tracker.Checked(start, refused)
			between(tracker)
			tracker.Checked(start.Add(reported), refused)
			is.True(!tracker.NobodyThere())
			is.True(!tracker.foundNobody)
		})
	}
}

// news gives the tracker a report and says whether it was news.
func news(tracker *Tracker, now time.Time, report Report) bool {
	taken, _ := tracker.Report(now, report)
	return taken
}
