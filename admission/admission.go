// Package admission limits the number of requests that run concurrently at a back end. It refuses a
// request if all slots are in use, its deadline has passed or the back end is draining, and
// estimates when the caller should retry. It starts no goroutines and does not read the clock;
// callers pass in the time.
package admission

import "time"

// Reason is the reason why a request is refused.
type Reason uint8

// Reasons for a refusal. A refused request has not run.
const (
	ReasonNone     Reason = iota // the request is admitted
	ReasonNoSlot                 // all slots are in use
	ReasonDeadline               // the deadline has passed
	ReasonDraining               // the back end is draining
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "no-slot", "deadline", "leaving"}

// String returns the name used in logs and metrics. The names are stable.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Decision is the admission decision for one request.
type Decision struct {
	Admitted bool   // the request occupies a slot until Finish or Release is called
	Reason   Reason // ReasonNone if the request is admitted
	// RetryAfter is how long the caller should wait before it retries, between
	// MinRetryAfter and MaxRetryAfter. It is 0 if the request is admitted.
	RetryAfter time.Duration
}

// Bounds of RetryAfter.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
)

// Slots limits the concurrent requests at one back end. It is not safe for concurrent use.
type Slots struct {
	total       int
	busy        int
	draining    bool
	meanRunTime meanTime
}

// NewSlots returns the slots of a back end that runs up to total requests concurrently.
func NewSlots(total uint32) *Slots {
	return &Slots{total: int(total)}
}

// Resize sets the number of slots. Running requests keep their slots even if there are more of
// them than the new total.
func (s *Slots) Resize(total uint32) { s.total = int(total) }

// SetDraining sets whether the back end is draining. While it is, new requests are refused.
func (s *Slots) SetDraining(draining bool) { s.draining = draining }

// Busy returns the number of occupied slots.
func (s *Slots) Busy() int { return s.busy }

// Total returns the number of slots.
func (s *Slots) Total() int { return s.total }

// Admit decides whether a request with the given deadline is admitted. A zero deadline means that
// there is none. An admitted request occupies a slot until Finish or Release is called for it,
// exactly once.
func (s *Slots) Admit(now, deadline time.Time) Decision {
	switch {
	case s.draining:
		return refuse(ReasonDraining, MinRetryAfter)
	case !deadline.IsZero() && !now.Before(deadline):
		return refuse(ReasonDeadline, MinRetryAfter)
	case s.busy >= s.total:
		return refuse(ReasonNoSlot, s.expectedWait())
	}
	s.busy++
	return Decision{Admitted: true}
}

// Finish frees the slot of a request that ran for the given time.
func (s *Slots) Finish(elapsed time.Duration) {
	s.busy--
	s.meanRunTime.add(elapsed)
}

// Release frees the slot of a request that was admitted but did not run.
func (s *Slots) Release() { s.busy-- }

// expectedWait estimates the time until a slot becomes free. It assumes that all slots are in use
// and that their requests end at times spread evenly over the mean run time.
func (s *Slots) expectedWait() time.Duration {
	return s.meanRunTime.mean / time.Duration(max(s.total, 1))
}

func refuse(reason Reason, wait time.Duration) Decision {
	wait = min(max(wait, MinRetryAfter), MaxRetryAfter)
	return Decision{Reason: reason, RetryAfter: wait}
}

// meanTime is an exponentially weighted moving average of request run times.
type meanTime struct {
	mean      time.Duration
	hasSample bool
}

// meanTimeDivisor is the inverse of the weight of the latest sample.
const meanTimeDivisor = 8

func (m *meanTime) add(elapsed time.Duration) {
	if !m.hasSample {
		m.mean, m.hasSample = elapsed, true
		return
	}
	m.mean += (elapsed - m.mean) / meanTimeDivisor
}
