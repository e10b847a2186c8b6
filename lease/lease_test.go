package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

const (
	testDuration = 10 * time.Second
	testMargin   = time.Second
	testPoll     = time.Second
)

// repeats multiplies the number of steps of each run.
const repeats = 4

// world is a store with a lease object and one guarded object, the network to it,
// and candidates whose clocks run at slightly different rates.
type world struct {
	t          *rapid.T
	now        time.Duration // true time
	outage     bool
	lease      Observation
	guarded    Observation // Record.Fencing is the number the object carries
	version    catalog.Revision
	candidates []*candidate
	requests   []*request
	replies    []reply
	owners     map[FencingNumber]Holder // who acquired each number
	highest    FencingNumber            // latest number acquired
}

type candidate struct {
	name      Holder
	rate      float64       // of its clock against true time
	stalled   bool          // its clock stands still
	lost      time.Duration // true time during which its clock stood still
	decider   *Decider
	cutOff    bool // flush leaves its requests on their way
	paused    bool
	pausedAt  time.Time    // on its own clock
	unhandled []Event      // what arrived during a pause
	found     *Observation // guarded object, read for a guarded write not yet checked
}

// request is on its way to the store.
type request struct {
	from      *candidate
	action    Action      // Read or ConditionalWrite of the lease; nil: guarded write
	guarded   Observation // guarded write: version expected, number carried
	abandoned bool        // the sender was told that the outcome is unknown
}

// reply is on its way from the store.
type reply struct {
	to     *candidate
	result Event
}

func (c *candidate) clock(now time.Duration) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(now-c.lost) * c.rate))
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, owners: map[FencingNumber]Holder{}}
	for _, name := range []Holder{"a", "b", "c"} {
		decider, err := NewDecider(Options{Holder: name, Duration: testDuration, Margin: testMargin, Poll: testPoll})
		if err != nil {
			t.Fatal(err)
		}
		rate := rapid.Float64Range(0.96, 1.04).Draw(t, "rate")
		w.candidates = append(w.candidates, &candidate{name: name, rate: rate, decider: decider})
	}
	return w
}

// handle gives the candidate an event, or keeps it for the end of a pause.
func (w *world) handle(c *candidate, event Event) {
	if c.paused {
		c.unhandled = append(c.unhandled, event)
		return
	}
	for _, action := range c.decider.Handle(c.clock(w.now), event) {
		switch action := action.(type) {
		case Read, ConditionalWrite:
			w.requests = append(w.requests, &request{from: c, action: action})
		case Acquired:
			number := action.Term.Fencing
			if number <= w.highest {
				w.t.Fatalf("%s acquired number %d after %d", c.name, number, w.highest)
			}
			w.highest = number
			w.owners[number] = c.name
		}
	}
}

// serve lets the store handle a request, and returns the result for the sender.
func (w *world) serve(r *request) Event {
	switch action := r.action.(type) {
	case Read:
		return ReadResult{Operation: action.Operation, Failed: w.outage, Observation: w.lease}
	case ConditionalWrite:
		return w.serveLeaseWrite(action)
	}
	if w.outage || w.guarded.Version != r.guarded.Version {
		return nil
	}
	number := r.guarded.Record.Fencing
	if number < w.guarded.Record.Fencing {
		w.t.Fatalf("guarded write of term %d took effect after one of term %d", number, w.guarded.Record.Fencing)
	}
	if w.owners[number] != r.from.name {
		w.t.Fatalf("%s wrote with number %d of %s", r.from.name, number, w.owners[number])
	}
	w.version++
	w.guarded = Observation{Version: w.version, Record: Record{Fencing: number}}
	return nil
}

func (w *world) serveLeaseWrite(write ConditionalWrite) Event {
	if w.outage {
		return WriteResult{Operation: write.Operation, Outcome: WriteNotApplied}
	}
	if w.lease.Version != write.Expected {
		return WriteResult{Operation: write.Operation, Outcome: WriteConflict, Current: w.lease}
	}
	w.version++
	w.lease = Observation{Version: w.version, Record: write.Record}
	return WriteResult{Operation: write.Operation, Outcome: WriteApplied, Version: w.version}
}

// unknown is the result of a request without an answer.
func (r *request) unknown() Event {
	switch action := r.action.(type) {
	case Read:
		return ReadResult{Operation: action.Operation, Failed: true}
	case ConditionalWrite:
		return WriteResult{Operation: action.Operation, Outcome: WriteUnknown}
	}
	return nil
}

// deliver lets the request at index reach the store; its reply may be lost.
func (w *world) deliver(index int, lost bool) {
	r := w.requests[index]
	w.requests = slices.Delete(w.requests, index, index+1)
	result := w.serve(r)
	if lost {
		result = r.unknown()
	}
	if result != nil && !r.abandoned {
		w.replies = append(w.replies, reply{to: r.from, result: result})
	}
}

// answer lets the reply at index reach its candidate.
func (w *world) answer(index int) {
	reply := w.replies[index]
	w.replies = slices.Delete(w.replies, index, index+1)
	w.handle(reply.to, reply.result)
}

// flush delivers everything that is on its way, but for candidates cut off.
func (w *world) flush() {
	reachable := func(r *request) bool { return !r.from.cutOff }
	for {
		index := slices.IndexFunc(w.requests, reachable)
		if index < 0 && len(w.replies) == 0 {
			return
		}
		if index >= 0 {
			w.deliver(index, false)
		}
		for len(w.replies) > 0 {
			w.answer(0)
		}
	}
}

func (w *world) advance(d time.Duration) {
	w.now += d
	for _, c := range w.candidates {
		if c.stalled {
			c.lost += d
		}
		if !c.paused {
			w.handle(c, Tick{})
		}
	}
}

func (w *world) resume(c *candidate) {
	c.paused = false
	now := c.clock(w.now)
	if _, held := c.decider.Held(now); held && now.Sub(c.pausedAt) >= testDuration {
		w.t.Fatalf("%s holds after a pause of %s", c.name, now.Sub(c.pausedAt))
	}
	unhandled := c.unhandled
	c.unhandled = nil
	for _, event := range append(unhandled, Tick{}) {
		w.handle(c, event)
	}
}

// guard runs one step of a guarded write: the read, or the check and the sending.
func (w *world) guard(c *candidate) {
	if c.paused || w.outage {
		return
	}
	if c.found == nil {
		found := w.guarded
		c.found = &found
		return
	}
	found := *c.found
	c.found = nil
	term, held := c.decider.Held(c.clock(w.now))
	if !held {
		return
	}
	if err := term.Check(c.clock(w.now), found.Record.Fencing); err != nil {
		w.handle(c, Fenced{Found: found.Record.Fencing})
		return
	}
	write := Observation{Version: found.Version, Record: Record{Fencing: term.Fencing}}
	w.requests = append(w.requests, &request{from: c, guarded: write})
}

func (w *world) holders() int {
	count := 0
	for _, c := range w.candidates {
		if _, held := c.decider.Held(c.clock(w.now)); held {
			count++
		}
	}
	return count
}

// heal ends all faults and lets the candidates settle: one of them must hold, and
// be able to write the guarded object.
func (w *world) heal() {
	w.outage = false
	for _, c := range w.candidates {
		c.stalled = false
		c.cutOff = false
		if c.paused {
			w.resume(c)
		}
	}
	for range 40 {
		w.advance(testDuration / 10)
		w.flush()
	}
	if w.holders() != 1 {
		w.t.Fatalf("%d candidates hold after all faults ended", w.holders())
	}
	before := w.guarded.Version
	for range 2 { // the first attempt may find a higher number than the term's
		for _, c := range w.candidates {
			c.found = nil // what was read during the faults may be out of date
			w.guard(c)
			w.guard(c)
		}
		w.flush()
	}
	if w.guarded.Version == before {
		w.t.Fatal("the holder cannot write the guarded object")
	}
}

// run plays faults at random. With stalling clocks two candidates may hold at
// once, but still never both take effect.
func run(t *rapid.T, stalling bool) {
	w := newWorld(t)
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
