package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/fault"
)

const pace = time.Second // between the reports of these tests' back ends

// of returns a report of the life.
func of(life Life, sequence uint64) Report {
	return Report{ID: life.ID, Born: life.Born, Service: "lessons", Slots: uint32(sequence), Sequence: sequence}
}

// bornAt returns a life of back end a that was born so long after the tests' start.
func bornAt(after time.Duration) Life { return Life{"a", canonical(start.Add(after))} }

// serving returns a tracker whose present life has reported twice and answered a health check.
func serving(t *testing.T, life Life) *Tracker {
	t.Helper()
	is := is.New(t)
	tracker := NewTracker("lessons", pace)
	is.True(news(tracker, start, of(life, 7)))
	answers(tracker, start, life.ID)
	is.True(news(tracker, start.Add(pace), of(life, 8)))
	is.Equal(tracker.State(), Ready)
	return tracker
}

// answers lets the back end answer the health check that is due.
func answers(tracker *Tracker, now time.Time, id ID) bool {
	return tracker.CheckDue(now) && tracker.Checked(now, Check{Well: true, ID: id, Began: now})
}

// isStale checks that the report is refused and changes nothing.
func isStale(t *testing.T, tracker *Tracker, now time.Time, report Report) {
	t.Helper()
	is := is.New(t)
	before := tracker.present
	taken, err := tracker.Report(now, report)
	is.True(!taken)
	is.Equal(fault.Of(err), fault.Stale)
	is.Equal(tracker.present, before)
}

// goesOn lets the life report until it is believed, at most so often, and returns how often it has.
func goesOn(tracker *Tracker, now time.Time, life Life, most int) int {
	for i := range most {
		now = now.Add(pace)
		_, _ = tracker.Report(now, of(life, uint64(i+1)))
		answers(tracker, now, life.ID)
		if tracker.State() == Ready && tracker.Latest().Sequence == uint64(i+1) {
			return i + 1
		}
	}
	return 0
}

func TestLaterBirthSupersedes(t *testing.T) {
	is := is.New(t)
	first, second := bornAt(0), bornAt(time.Millisecond)
	tracker := serving(t, first)
	now := start.Add(2 * pace)
	is.True(news(tracker, now, of(second, 1)))
	is.Equal(tracker.Life(), second)
	is.Equal(tracker.State(), Unverified)
	isStale(t, tracker, now, of(first, 9))
	is.True(answers(tracker, now, "a"))
	is.Equal(tracker.State(), Ready)
	is.True(news(tracker, now.Add(pace), of(second, 2))) // its count begins anew
	isStale(t, tracker, now.Add(pace), of(first, 10))
	changes, cause := tracker.Changes()
	is.Equal(changes, uint64(2))
	is.Equal(cause, CauseBirth)
}

// TestLateLeavingOfAnEarlierLife: what an earlier life says of its end does not touch the present one, and is
// not acknowledged.
func TestLateLeavingOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	tracker := serving(t, bornAt(time.Minute))
	leaving := of(bornAt(0), 30)
	leaving.Leaving = true
	isStale(t, tracker, start, leaving)
	is.Equal(fault.Of(tracker.Remove(start, bornAt(0))), fault.Stale)
	is.Equal(tracker.State(), Ready)
	is.NoErr(tracker.Remove(start, bornAt(time.Minute)))
	is.Equal(tracker.State(), Leaving)
}

// TestLateReportOfALifeThatLeaves: the two reports have changed places.
func TestLateReportOfALifeThatLeaves(t *testing.T) {
	is := is.New(t)
	life := bornAt(0)
	tracker := serving(t, life)
	leaving := of(life, 5)
	leaving.Leaving = true
	is.True(news(tracker, start, leaving))
	is.Equal(tracker.State(), Leaving)
	is.Equal(goesOn(tracker, start, life, 10), 0) // whatever comes after it
}

// TestCheckFromBeforeTheNews: it names the id only, and the life that answered it may have ended since.
func TestCheckFromBeforeTheNews(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", pace)
	is.True(tracker.CheckDue(start))
	later := start.Add(10 * time.Millisecond)
	is.True(news(tracker, later, of(bornAt(0), 1)))
	is.True(tracker.CheckDue(later)) // does not wait for the one before
	is.True(!tracker.Checked(later, Check{Well: true, ID: "a", Began: start}))
	is.Equal(tracker.State(), Unverified)
	is.True(tracker.Checked(later, Check{Well: true, ID: "a", Began: later}))
	is.Equal(tracker.State(), Ready)
}

// TestCheckFromBeforeTheLeaving: an answer that was given before does not bring a life back that has left since.
func TestCheckFromBeforeTheLeaving(t *testing.T) {
	is := is.New(t)
	tracker := ready(t)
	is.True(news(tracker, start, Report{ID: "b", Service: "lessons", Sequence: 9}))
	is.True(tracker.CheckDue(start)) // whether a is still there
	later := start.Add(time.Millisecond)
	is.True(news(tracker, later, Report{ID: "b", Service: "lessons", Sequence: 10, Leaving: true}))
	is.True(!tracker.Checked(later, Check{Well: true, ID: "a", Began: start}))
	is.Equal(tracker.State(), Leaving)
}

// TestClockSetBackBetweenLives: the later life tells the earlier birth. It is served once it has proved
// that it is there.
func TestClockSetBackBetweenLives(t *testing.T) {
	for name, earlier := range map[string]Life{"by a second": bornAt(time.Second), "born in the future": bornAt(10 * 365 * 24 * time.Hour)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := serving(t, earlier)
			later := bornAt(0)
			isStale(t, tracker, start, of(later, 1))
			is.Equal(goesOn(tracker, start, later, 10), claimReports)
			is.Equal(tracker.Life(), later)
			is.True(!tracker.SawBegin())
			isStale(t, tracker, start.Add(time.Minute), of(earlier, 40)) // though it was born later
			is.Equal(tracker.Life(), later)
		})
	}
}

// TestReportsHeldUpClaimNothing: they come together, or beside those of the present life.
func TestReportsHeldUpClaimNothing(t *testing.T) {
	is := is.New(t)
	earlier, life := bornAt(0), bornAt(time.Minute)
	tracker := serving(t, life)
	for sequence := range uint64(20) {
		isStale(t, tracker, start.Add(time.Duration(sequence)*time.Millisecond), of(earlier, sequence))
	}
	is.True(!tracker.CheckDue(start))
	for i := range 20 {
		now := start.Add(time.Duration(i+1) * pace)
		isStale(t, tracker, now, of(earlier, uint64(30+i)))
		is.True(news(tracker, now, of(life, uint64(30+i))))
		answers(tracker, now, "a")
		is.Equal(tracker.Life(), life)
	}
}

// TestEqualBirths: nothing but the count tells the lives apart.
func TestEqualBirths(t *testing.T) {
	is := is.New(t)
	tracker := serving(t, bornAt(0))
	is.Equal(goesOn(tracker, start.Add(pace), bornAt(0), 10), claimReports)
	is.Equal(tracker.State(), Ready)
}

// TestSecondLifeWithoutBirth: the writer tells no births; a life follows under the id after a crash, after one that
// left, and after a removal.
func TestSecondLifeWithoutBirth(t *testing.T) {
	for name, end := range map[string]func(*Tracker){
		"crash": func(*Tracker) {},
		"leaving": func(tracker *Tracker) {
			_, _ = tracker.Report(start.Add(pace), Report{ID: "a", Service: "lessons", Sequence: 9, Leaving: true})
		},
		"removal": func(tracker *Tracker) { _ = tracker.Remove(start.Add(pace), Life{ID: "a"}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			life := Life{ID: "a"}
			tracker := serving(t, life)
			end(tracker)
			is.Equal(goesOn(tracker, start.Add(pace), life, 10), claimReports)
			is.Equal(tracker.State(), Ready)
		})
	}
}

// TestRemovalWithoutBirth holds for the present life, which may end now; where it does not, it proves so.
func TestRemovalWithoutBirth(t *testing.T) {
	is := is.New(t)
	life := bornAt(0)
	tracker := serving(t, life)
	is.NoErr(tracker.Remove(start.Add(pace), Life{ID: "a"}))
	is.Equal(tracker.State(), Leaving)
	isStale(t, tracker, start.Add(2*pace), of(life, 9))
	isStale(t, tracker, start.Add(3*pace), of(life, 10))
	is.Equal(tracker.State(), Leaving)
	isStale(t, tracker, start.Add(4*pace), of(life, 11))
	is.True(answers(tracker, start.Add(4*pace), "a"))
	is.Equal(tracker.State(), Ready)
	is.True(!tracker.Outcomes().Suspect(start.Add(4 * pace)))

	is.NoErr(tracker.Remove(start.Add(5*pace), Life{ID: "a"}))
	is.True(news(tracker, start.Add(6*pace), of(bornAt(time.Millisecond), 1))) // a later life needs no such proof
	is.True(answers(tracker, start.Add(6*pace), "a"))
	is.Equal(tracker.State(), Ready)
}

// TestRemovalOfALaterLife: it has left before any of its reports was heard.
func TestRemovalOfALaterLife(t *testing.T) {
	is := is.New(t)
	tracker := serving(t, bornAt(0))
	is.NoErr(tracker.Remove(start.Add(pace), bornAt(time.Second)))
	is.Equal(tracker.State(), Leaving)
	isStale(t, tracker, start.Add(2*pace), of(bornAt(0), 9))
	is.Equal(goesOn(tracker, start.Add(pace), bornAt(time.Second), 10), 0)
}

// TestSawBeginOfALife: a birth alone proves no begin, as its clock may have been set, and the first report of a
// later birth may be an old one, as health checks name only the id.
func TestSawBeginOfALife(t *testing.T) {
	is := is.New(t)
	tracker := serving(t, bornAt(365*24*time.Hour)) // "after" the agent's start
	is.True(!tracker.SawBegin())
	now := start.Add(2 * pace)
	life := bornAt(366 * 24 * time.Hour)
	is.True(news(tracker, now, of(life, 1)))
	is.True(answers(tracker, now, "a"))
	is.True(!tracker.SawBegin())
	is.True(news(tracker, now.Add(pace), of(life, 2)))
	is.True(tracker.SawBegin())
}

// TestNothingOfAnEarlierLifeStays: cold time and outcomes are of the present life.
func TestNothingOfAnEarlierLifeStays(t *testing.T) {
	is := is.New(t)
	tracker := serving(t, bornAt(0))
	now := start.Add(2 * pace)
	cold := of(bornAt(0), 9)
	cold.Cold = time.Minute
	is.True(news(tracker, now, cold))
	for range failuresSuspected - 1 {
		is.True(!tracker.Outcomes().Failed(now))
	}
	is.True(news(tracker, now, of(bornAt(time.Second), 1)))
	is.Equal(tracker.Cold(now), time.Duration(0))
	is.True(!tracker.Outcomes().Failed(now))
}

// TestSuperseded: a later birth, or an answer by another id, says that another life has ended; not while one reports.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	tracker := serving(t, bornAt(0))
	now := start.Add(2 * pace)
	is.True(news(tracker, now, of(bornAt(time.Second), 1)))
	is.True(tracker.Superseded())
	isStale(t, tracker, now, of(bornAt(0), 9))
	is.True(!tracker.Superseded())

	tracker = serving(t, Life{ID: "a"})
	is.True(news(tracker, now, of(Life{ID: "b"}, 1)))
	is.True(!tracker.Superseded()) // it may be an old report
	is.True(answers(tracker, now, "b"))
	is.True(tracker.Superseded())
}

func TestPastLivesAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", pace)
	for i := range 3 * rememberLimit {
		is.True(news(tracker, start, of(bornAt(time.Duration(i)*time.Second), 1)))
	}
	is.Equal(len(tracker.past.lives), rememberLimit)
}

// TestWriterThatBeginsToTellBirths, or ceases to: a life does either always. What a life that tells none says late does not
// touch one that tells its own.
func TestWriterThatBeginsToTellBirths(t *testing.T) {
	is := is.New(t)
	untold := Life{ID: "a"}
	tracker := serving(t, untold)
	now := start.Add(2 * pace)
	is.True(news(tracker, now, of(bornAt(0), 1)))
	is.True(answers(tracker, now, "a"))
	leaving := of(untold, 40)
	leaving.Leaving = true
	isStale(t, tracker, now, leaving)
	is.True(news(tracker, now, of(bornAt(time.Millisecond), 50))) // no claim is wanted of the next one
	is.Equal(tracker.Life(), bornAt(time.Millisecond))
	is.Equal(goesOn(tracker, now, untold, 10), claimReports) // an earlier release of its software runs again
	is.Equal(tracker.Life(), untold)
}

// TestLeavingThatIsNotBelievedIsLookedInto: a word that may be of an earlier life does not end the present one, but if its
// next health check is not well either, it gets no new flows.
func TestLeavingThatIsNotBelievedIsLookedInto(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	now := start
	take := func(report Report) error {
		_, err := tracker.Report(now, report)
		return err
	}
	is.NoErr(take(Report{ID: "a", Service: "lessons", Sequence: 9}))
	is.True(tracker.CheckDue(now))
	tracker.Checked(now, Check{Well: true, ID: "a"})
	now = now.Add(time.Second)
	is.True(!tracker.CheckDue(now))
	is.Equal(fault.Of(take(Report{ID: "a", Service: "lessons", Sequence: 3, Leaving: true})), fault.Stale)
	is.Equal(tracker.State(), Ready)
	is.True(tracker.CheckDue(now))
	tracker.Checked(now, Check{ID: "a"})
	is.Equal(tracker.State(), Unverified)
}
