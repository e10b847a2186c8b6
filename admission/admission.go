// Package admission decides whether a back end takes a request now. It is pure:
// events and a clock go in, verdicts come out. It starts no goroutine and reads
// no clock of its own.
package admission

import "time"

// Reason says why a request is refused.
type Reason uint8

// The reasons for a refusal. A refused request has not been run.
const (
	ReasonNone     Reason = iota // the request runs
	ReasonNoSlot                 // every slot is taken
	ReasonDeadline               // the request cannot finish before its deadline
	ReasonLeaving                // the back end takes no new work
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "no-slot", "deadline", "leaving"}

// String returns the reason's stable name, used in logs and metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Verdict is the answer to one request.
type Verdict struct {
	Run    bool   // the request holds a slot until Finish is called for it
	Reason Reason // why it does not run
	// RetryAfter is how long the caller should wait before it tries again, at
	// least MinimumRetryAfter. It is 0 if the request runs.
	RetryAfter time.Duration
}

// Limits on the advice to callers.
const (
	MinimumRetryAfter = time.Second
	MaximumRetryAfter = 30 * time.Second
)

// Slots admits requests to one back end for as long as it has free slots. It is
// not safe for concurrent use.
type Slots struct {
	total   int
	busy    int
	leaving bool
	runs    runTime
}

// NewSlots returns the slots of a back end that can run total requests at once.
func NewSlots(total uint32) *Slots {
	return &Slots{total: int(total)}
}

// Resize sets the number of slots. Requests that run keep theirs, also above
// the new number.
func (s *Slots) Resize(total uint32) { s.total = int(total) }

// SetLeaving says whether the back end takes no new work.
func (s *Slots) SetLeaving(leaving bool) { s.leaving = leaving }

// Busy returns the number of requests that hold a slot.
func (s *Slots) Busy() int { return s.busy }

// Total returns the number of slots.
func (s *Slots) Total() int { return s.total }

// Arrive decides on a request that must be over by the deadline; a zero
// deadline means that there is none.
func (s *Slots) Arrive(now, deadline time.Time) Verdict {
	switch {
	case s.leaving:
		return refuse(ReasonLeaving, MinimumRetryAfter)
	case !deadline.IsZero() && !now.Before(deadline):
		return refuse(ReasonDeadline, MinimumRetryAfter)
	case s.busy >= s.total:
		return refuse(ReasonNoSlot, s.expectedWait())
	}
	s.busy++
	return Verdict{Run: true}
}

// Finish gives the slot back of a request that took that long. It must be
// called once for each request that was let in.
func (s *Slots) Finish(took time.Duration) {
	s.busy--
	s.runs.add(took)
}

// Release gives the slot back of a request that was let in and did not run.
func (s *Slots) Release() { s.busy-- }

// expectedWait estimates when the next slot becomes free: runs end one by one,
// evenly spread over the mean time of a run.
func (s *Slots) expectedWait() time.Duration {
	return s.runs.mean / time.Duration(max(s.total, 1))
}

func refuse(reason Reason, wait time.Duration) Verdict {
	wait = min(max(wait, MinimumRetryAfter), MaximumRetryAfter)
	return Verdict{Reason: reason, RetryAfter: wait}
}

// runTime is an exponentially weighted mean of how long requests run.
type runTime struct {
	mean  time.Duration
	known bool
}

// runTimeWeight is the inverse of the weight that the latest run has.
const runTimeWeight = 8

func (r *runTime) add(took time.Duration) {
	if !r.known {
		r.mean, r.known = took, true
		return
	}
	r.mean += (took - r.mean) / runTimeWeight
}
