package lease

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
)

const (
	testDuration = 10 * time.Second
	testMargin   = time.Second
	testPoll     = time.Second
)

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
	owners     map[FencingNumber]Holder // whose term has each number, by what the store applied
	highest    FencingNumber            // of all terms that the store applied
	terms      []FencingNumber          // in the order in which candidates heard of them
	stalling   bool                     // clocks may stand still
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

func newWorld(t *rapid.T, stalling bool) *world {
	w := &world{t: t, stalling: stalling, owners: map[FencingNumber]Holder{}}
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
			w.acquired(c, action.Term.Fencing)
		}
	}
}

// acquired checks that the term is the candidate's own and new. Terms begin in the
// order of their numbers as well, unless a clock stood still: then a candidate may
// hear of its term when the next one has begun.
func (w *world) acquired(c *candidate, number FencingNumber) {
	if w.owners[number] != c.name || slices.Contains(w.terms, number) {
		w.t.Fatalf("%s acquired number %d of %s again", c.name, number, w.owners[number])
	}
	if !w.stalling && len(w.terms) > 0 && number < slices.Max(w.terms) {
		w.t.Fatalf("%s acquired number %d after %d", c.name, number, slices.Max(w.terms))
	}
	w.terms = append(w.terms, number)
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
	w.checkTerm(write.Record)
	w.version++
	w.lease = Observation{Version: w.version, Record: write.Record}
	return WriteResult{Operation: write.Operation, Outcome: WriteApplied, Version: w.version}
}

// checkTerm checks that a write of the lease object goes on with its term or
// begins one with a higher number than all before.
func (w *world) checkTerm(next Record) {
	current := w.lease.Record
	if next.Fencing == current.Fencing && next.Holder == current.Holder {
		return
	}
	if next.Fencing <= w.highest {
		w.t.Fatalf("%s began term %d after %d", next.Holder, next.Fencing, w.highest)
	}
	w.highest = next.Fencing
	w.owners[next.Fencing] = next.Holder
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
