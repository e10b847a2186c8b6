package lease

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// renewalsPerTerm is how many times a holder can renew within one duration, so that
// a single failed renewal does not end the term.
const renewalsPerTerm = 3

// Decider is one candidate for one lease. It is not safe for concurrent use. The
// times it is given must come from one monotonic clock that does not go back.
type Decider struct {
	options Options

	term    *Term     // nil unless holding
	renewAt time.Time // when the term is to be renewed

	seen      Observation // the lease object as last known
	seenSince time.Time   // when seen.Version was first known
	mustRead  bool        // seen may have been overtaken by an own write

	pending  *pendingOperation // nil: none under way
	lastID   OperationID
	retryAt  time.Time     // after a failure, no operation begins before this time
	pollAt   time.Time     // a candidate's next read
	floor    FencingNumber // highest number found in a guarded object
	released bool
}

// pendingOperation is the one operation that waits for its result.
type pendingOperation struct {
	id     OperationID
	sentAt time.Time
	write  *ConditionalWrite // nil for a read
	inTerm bool              // it began during a term
}

// NewDecider returns a candidate that has not seen the lease object yet. Errors are
// of kind fault.Invalid.
func NewDecider(options Options) (*Decider, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Decider{options: options, mustRead: true}, nil
}

// Held returns the term in force at the time now. Ask right before each guarded
// write.
func (d *Decider) Held(now time.Time) (Term, bool) {
	if d.term == nil || !now.Before(d.term.Until) {
		return Term{}, false
	}
	return *d.term, true
}

// Handle takes one event in and returns what to do, in order.
func (d *Decider) Handle(now time.Time, event Event) []Action {
	var actions []Action
	if d.term != nil && !now.Before(d.term.Until) {
		actions = d.stepDown(actions, ReasonExpired)
	}
	switch event := event.(type) {
	case ReadResult:
		actions = d.handleRead(now, event, actions)
	case WriteResult:
		actions = d.handleWrite(now, event, actions)
	case Fenced:
		actions = d.handleFenced(event, actions)
	case Release:
		d.released = true
		actions = d.stepDown(actions, ReasonReleased)
	}
	return d.begin(now, actions)
}

// stepDown ends the term, if there is one.
func (d *Decider) stepDown(actions []Action, reason Reason) []Action {
	if d.term == nil {
		return actions
	}
	over := StepDown{Fencing: d.term.Fencing, Reason: reason}
	d.term = nil
	return append(actions, over)
}

func (d *Decider) handleFenced(event Fenced, actions []Action) []Action {
	d.floor = max(d.floor, event.Found)
	if d.term == nil || d.term.Fencing >= event.Found {
		return actions
	}
	d.mustRead = true
	return d.stepDown(actions, ReasonFenced)
}

func (d *Decider) handleRead(now time.Time, result ReadResult, actions []Action) []Action {
	if d.finish(result.Operation) == nil {
		return actions
	}
	if result.Failed {
		d.retryAt = now.Add(d.options.Poll)
		return actions
	}
	d.pollAt = now.Add(d.options.Poll)
	return d.observe(now, result.Observation, actions)
}

func (d *Decider) handleWrite(now time.Time, result WriteResult, actions []Action) []Action {
	operation := d.finish(result.Operation)
	if operation == nil || operation.write == nil {
		return actions
	}
	if result.Outcome == WriteApplied {
		return d.applied(now, operation, result.Version, actions)
	}
	d.retryAt = now.Add(d.options.Poll)
	switch result.Outcome {
	case WriteConflict:
		return d.observe(now, result.Current, actions)
	case WriteUnknown:
		d.mustRead = true
	}
	return actions
}

// finish takes the pending operation out if it has the id.
func (d *Decider) finish(id OperationID) *pendingOperation {
	operation := d.pending
	if operation == nil || operation.id != id {
		return nil
	}
	d.pending = nil
	return operation
}

// applied begins or prolongs a term. Only a write that is known to have been
// applied does so, and the term counts from when it was sent.
func (d *Decider) applied(now time.Time, operation *pendingOperation, version catalog.Revision, actions []Action) []Action {
	record := operation.write.Record
	actions = d.observe(now, Observation{Version: version, Record: record}, actions)
	until := operation.sentAt.Add(d.options.Duration - d.options.Margin)
	lapsed := operation.inTerm && d.term == nil // a term that ended does not go on
	if lapsed || d.released || record.Fencing < d.floor || !now.Before(until) {
		return actions
	}
	d.renewAt = operation.sentAt.Add(d.options.Duration / renewalsPerTerm)
	if d.term != nil {
		d.term.Until = until
		return actions
	}
	d.term = &Term{Fencing: record.Fencing, Until: until}
	return append(actions, Acquired{Term: *d.term})
}

// observe takes in the object as the store holds it.
func (d *Decider) observe(now time.Time, observation Observation, actions []Action) []Action {
	d.mustRead = false
	if observation.Version != d.seen.Version || d.seenSince.IsZero() {
		d.seenSince = now
	}
	d.seen = observation
	if d.term != nil && !(d.mine() && d.seen.Record.Fencing == d.term.Fencing) {
		return d.stepDown(actions, ReasonReplaced)
	}
	return actions
}

// mine says whether the object names this candidate.
func (d *Decider) mine() bool { return d.seen.Record.Holder == d.options.Holder }

// begin starts the operation that is due, if any.
func (d *Decider) begin(now time.Time, actions []Action) []Action {
	if d.pending != nil || now.Before(d.retryAt) {
		return actions
	}
	switch {
	case d.mustRead:
		return d.beginRead(now, actions)
	case d.released:
		return d.beginRelease(now, actions)
	case d.term != nil:
		return d.beginRenewal(now, actions)
	case d.mayAcquire(now):
		return d.beginWrite(now, d.nextTerm(), actions)
	case !now.Before(d.pollAt):
		return d.beginRead(now, actions)
	}
	return actions
}

func (d *Decider) beginRead(now time.Time, actions []Action) []Action {
	d.start(now, nil)
	return append(actions, Read{Operation: d.lastID})
}

// beginRelease writes the object as free for as long as it names this candidate.
func (d *Decider) beginRelease(now time.Time, actions []Action) []Action {
	if !d.mine() {
		return actions
	}
	record := d.seen.Record
	record.Holder = ""
	return d.beginWrite(now, record, actions)
}

func (d *Decider) beginRenewal(now time.Time, actions []Action) []Action {
	if now.Before(d.renewAt) {
		return actions
	}
	return d.beginWrite(now, d.seen.Record, actions)
}

// mayAcquire says whether the lease is free, an own one that lapsed, or another's
// that was not renewed for its whole duration.
func (d *Decider) mayAcquire(now time.Time) bool {
	record := d.seen.Record
	if record.Holder == "" || d.mine() {
		return true
	}
	return !now.Before(d.seenSince.Add(record.duration()))
}

// nextTerm returns the record that begins a term. Its number is above the version
// it replaces, hence above the numbers of all earlier terms even if the object was
// deleted in between.
func (d *Decider) nextTerm() Record {
	highest := max(FencingNumber(d.seen.Version), d.seen.Record.Fencing, d.floor)
	return Record{
		Holder:       d.options.Holder,
		Fencing:      highest + 1,
		Milliseconds: d.options.Duration.Milliseconds(),
	}
}

func (d *Decider) beginWrite(now time.Time, record Record, actions []Action) []Action {
	write := ConditionalWrite{Operation: d.lastID + 1, Expected: d.seen.Version, Record: record}
	d.start(now, &write)
	return append(actions, write)
}

func (d *Decider) start(now time.Time, write *ConditionalWrite) {
	d.lastID++
	d.pending = &pendingOperation{id: d.lastID, sentAt: now, write: write, inTerm: d.term != nil}
}
