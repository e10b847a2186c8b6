package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/fault"
)

// repeats multiplies the number of steps of each run.
const repeats = 4

// run plays faults at random. With stalling clocks two candidates may hold at
// once, but still never both take effect.
func run(t *rapid.T, stalling bool) {
	w := newWorld(t, stalling)
	draw := func(t *rapid.T) *candidate {
		return w.candidates[rapid.IntRange(0, len(w.candidates)-1).Draw(t, "candidate")]
	}
	index := func(t *rapid.T, length int) int {
		if length == 0 {
			t.Skip("nothing is on its way")
		}
		return rapid.IntRange(0, length-1).Draw(t, "index")
	}
	actions := map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if holders := w.holders(); holders > 1 && !stalling {
				t.Fatalf("%d candidates hold at once", holders)
			}
		},
		"deliver":   func(t *rapid.T) { w.deliver(index(t, len(w.requests)), false) },
		"loseReply": func(t *rapid.T) { w.deliver(index(t, len(w.requests)), true) },
		"answer":    func(t *rapid.T) { w.answer(index(t, len(w.replies))) },
		"flush":     func(*rapid.T) { w.flush() },
		"guard":     func(t *rapid.T) { w.guard(draw(t)) },
		"guardNow": func(t *rapid.T) { // all steps at once
			c := draw(t)
			c.found = nil
			sent := len(w.requests)
			w.guard(c)
			w.guard(c)
			if len(w.requests) > sent && w.requests[sent].action == nil {
				w.deliver(sent, false)
			}
		},
		"cutOff": func(t *rapid.T) {
			c := draw(t)
			c.cutOff = !c.cutOff
		},
		"outage": func(*rapid.T) { w.outage = !w.outage },
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
		},
		"delay": func(t *rapid.T) { // it stays on its way after the sender gave up
			r := w.requests[index(t, len(w.requests))]
			if result := r.unknown(); result != nil && !r.abandoned {
				r.abandoned = true
				w.handle(r.from, result)
			}
		},
		"pause": func(t *rapid.T) {
			c := draw(t)
			if c.paused {
				w.resume(c)
				return
			}
			c.paused = true
			c.pausedAt = c.clock(w.now)
		},
		"stall": func(t *rapid.T) {
			c := draw(t)
			c.stalled = stalling && !c.stalled
		},
	}
	for range repeats {
		t.Repeat(actions)
	}
	w.heal()
}

func TestAtMostOneCandidateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, false) })
}

func TestFencingHoldsWithoutClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, true) })
}

// script runs a decider by hand.
type script struct {
	is      *is.I
	decider *Decider
	now     time.Time
}

func newScript(t *testing.T) *script {
	is := is.New(t)
	decider, err := NewDecider(Options{Holder: "a", Duration: testDuration, Margin: testMargin, Poll: testPoll})
	is.NoErr(err)
	return &script{is: is, decider: decider, now: time.Unix(1000, 0)}
}

// after moves the clock and handles the event; it expects the actions.
func (s *script) after(d time.Duration, event Event, want ...Action) {
	s.is.Helper()
	s.now = s.now.Add(d)
	got := s.decider.Handle(s.now, event)
	s.is.Equal(got, want)
}

// acquire takes a lease that was never written.
func (s *script) acquire() Term {
	s.is.Helper()
	term := Term{Fencing: 1, Until: s.now.Add(testDuration - testMargin)} // from the sending on
	s.after(0, Tick{}, Read{Operation: 1})
	s.after(0, ReadResult{Operation: 1}, ConditionalWrite{Operation: 2, Record: s.record(1)})
	s.after(time.Second, WriteResult{Operation: 2, Outcome: WriteApplied, Version: 7}, Acquired{Term: term})
	return term
}

func (s *script) record(number FencingNumber) Record {
	return Record{Holder: "a", Fencing: number, Milliseconds: testDuration.Milliseconds()}
}

func TestPausedHolderBeginsNewTerm(t *testing.T) {
	s := newScript(t)
	term := s.acquire()
	s.after(3*time.Second, Tick{}, ConditionalWrite{Operation: 3, Expected: 7, Record: s.record(1)})
	s.now = s.now.Add(5 * time.Second) // the renewal was applied, but the holder was paused
	_, held := s.decider.Held(s.now)
	s.is.True(!held)
	s.is.Equal(fault.Of(term.Check(s.now, 0)), fault.Stale)
	s.after(0, WriteResult{Operation: 3, Outcome: WriteApplied, Version: 8},
		StepDown{Fencing: 1, Reason: ReasonExpired},
		ConditionalWrite{Operation: 4, Expected: 8, Record: s.record(9)})
}

func TestReleaseFreesLeaseAfterLostReply(t *testing.T) {
	s := newScript(t)
	s.acquire()
	free := s.record(1)
	free.Holder = ""
	s.after(time.Second, Release{},
		StepDown{Fencing: 1, Reason: ReasonReleased},
		ConditionalWrite{Operation: 3, Expected: 7, Record: free})
	s.after(time.Second, WriteResult{Operation: 3, Outcome: WriteUnknown})
	s.after(testPoll, Tick{}, Read{Operation: 4})
	s.after(0, ReadResult{Operation: 4, Observation: Observation{Version: 8, Record: free}})
	s.after(testDuration, Tick{})
}

func TestFencedHolderTakesHigherNumber(t *testing.T) {
	s := newScript(t)
	term := s.acquire()
	s.is.Equal(fault.Of(term.Check(s.now, 20)), fault.Stale)
	s.after(0, Fenced{Found: 20}, StepDown{Fencing: 1, Reason: ReasonFenced}, Read{Operation: 3})
	s.after(0, ReadResult{Operation: 3, Observation: Observation{Version: 7, Record: s.record(1)}},
		ConditionalWrite{Operation: 4, Expected: 7, Record: s.record(21)})
}
