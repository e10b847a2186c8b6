// Package lease decides how one of several candidates holds a lease that is kept
// in a single object of a store with versions and conditional writes. It is pure:
// clock ticks and the results of reads and writes go in, reads, conditional writes
// and the news that the lease was acquired or lost come out.
//
// # What the clock gives
//
// A holder counts its term from the moment it sent the write that acquired or
// renewed it, and ends it a margin early. A candidate takes the lease over only
// after it has seen the same version of the object for the whole duration on its
// own monotonic clock. So two candidates do not hold at once as long as their
// clocks run at the same rate to within Margin ÷ Duration. A holder that was
// paused finds at its next look at the clock that its term is over.
//
// # What the fencing number gives
//
// The clock does not help against a holder that is paused between its look at the
// clock and the moment its write takes effect, nor against a clock that stood
// still, nor against a write that the network delivers late. Every term therefore
// has a FencingNumber that is higher than those of all earlier terms, and every
// object that the holder writes, a guarded object, carries the number of the term
// that wrote it. A guarded write has three steps:
//
//  1. read the guarded object: its version and the number it carries;
//  2. Term.Check the number: it must not be above the term's own;
//  3. write the object with the term's own number, on condition that it is still
//     at the version read (HTTP If-Match).
//
// The condition makes the check and the write one atomic step: if the write takes
// effect, the number it replaces is the one that was checked. So the numbers in
// the history of a guarded object never go down, and once a later holder has
// written the object, no write of an earlier holder can take effect, however late
// it arrives. A holder that must shut out its predecessors before its first change
// writes the object unchanged, with its own number. This needs no clock at all; it
// needs a store that never uses a version of an object twice. A store that was
// restored to an older state breaks that rule; a holder then finds numbers above
// its own in the guarded objects and takes a higher one, see Fenced, but writes
// that were under way across the restoration are not fenced.
package lease

import (
	"encoding/json"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Holder names one candidate. A process that starts again must use a new name: a
// candidate takes a lease over at once if the object says that it is its own.
type Holder string

// FencingNumber numbers the terms of one lease. Later terms have higher numbers;
// 0 is below all of them.
type FencingNumber uint64

// Record is the body of the lease object. It is encoded as JSON.
type Record struct {
	Holder  Holder        `json:"holder"`  // empty: the lease is free
	Fencing FencingNumber `json:"fencing"` // number of the latest term

	// Milliseconds is how long the holder keeps the lease after each write.
	Milliseconds int64 `json:"duration_milliseconds"`
}

// MaximumDuration is the longest duration of a lease.
const MaximumDuration = time.Hour

// ParseRecord reads the body of a lease object. Errors are of kind fault.Invalid.
func ParseRecord(body []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(body, &record); err != nil {
		return Record{}, fault.Wrap(fault.Invalid, err, "lease record")
	}
	if record.Milliseconds < 0 || record.Milliseconds > MaximumDuration.Milliseconds() {
		return Record{}, fault.InvalidField("duration_milliseconds", record.Milliseconds, "must be 0 to "+MaximumDuration.String())
	}
	return record, nil
}

// duration returns how long the holder keeps the lease after each write.
func (r Record) duration() time.Duration { return time.Duration(r.Milliseconds) * time.Millisecond }

// Observation is the lease object as the store holds it. The zero value is an
// object that was never written; a deleted one has a version and no record.
type Observation struct {
	Version catalog.Revision
	Record  Record
}

// Term is one unbroken time of holding the lease.
type Term struct {
	Fencing FencingNumber
	Until   time.Time // on the holder's clock; the term is over at this time
}

// Check says whether, at the time now, the holder of this term may write a guarded
// object that carries the number found. Errors are of kind fault.Stale. If found
// is above the term's number, hand a Fenced event to the Decider as well.
func (t Term) Check(now time.Time, found FencingNumber) error {
	if !now.Before(t.Until) {
		return fault.New(fault.Stale, "lease term %d is over", t.Fencing)
	}
	if found > t.Fencing {
		return fault.New(fault.Stale, "guarded object carries fencing number %d, above %d of the lease term", found, t.Fencing)
	}
	return nil
}

// Options describe one candidate.
type Options struct {
	Holder   Holder
	Duration time.Duration // how long a term lasts after a write, in whole milliseconds
	Margin   time.Duration // how much earlier the holder ends its term than others may take over
	Poll     time.Duration // time between a candidate's reads, and before a failed step is repeated
}

// Validate checks the options. Errors are of kind fault.Invalid.
func (o Options) Validate() error {
	switch {
	case o.Holder == "":
		return fault.InvalidField("holder", o.Holder, "must not be empty")
	case o.Duration < time.Millisecond || o.Duration > MaximumDuration || o.Duration%time.Millisecond != 0:
		return fault.InvalidField("duration", o.Duration, "must be whole milliseconds up to "+MaximumDuration.String())
	case o.Margin <= 0 || o.Margin > o.Duration/2:
		return fault.InvalidField("margin", o.Margin, "must be above 0 and at most half of the duration")
	case o.Poll <= 0 || o.Poll > o.Duration/renewalsPerTerm:
		return fault.InvalidField("poll", o.Poll, "must be above 0 and at most a third of the duration")
	}
	return nil
}
