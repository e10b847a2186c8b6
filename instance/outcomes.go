// This file implements the passive outlier detection: it suspects a back end after failed flows or
// repeated crashes. A suspicion expires; until enough flows have succeeded since, a single failure
// starts a longer one, up to a limit.

package instance

import (
	"math/bits"
	"time"
)

const (
	recentOutcomes     = 8                // number of outcomes in Outcomes.recent
	suspicionThreshold = 3                // failures among them that start a suspicion
	trialOutcomes      = 8                // consecutive successes that end a trial
	SuspicionTime      = time.Second      // length of the first suspicion
	maxDoublings       = 3                // maximum number of doublings of SuspicionTime
	crashWindow        = 20 * time.Second // two crashes within it start a suspicion
)

// Outcomes is the passive outlier detection for a back end, based on the outcomes of its flows and
// on its crashes. It supplements health checks, which may succeed while flows fail. A suspected
// back end should receive new flows only if no other one can accept them. A suspicion expires,
// since a back end without flows has no outcomes that could end it. It is followed by a trial, in
// which a single failure starts another suspicion of twice the length, up to a limit, until
// trialOutcomes flows have succeeded.
//
// The zero value does not suspect the back end. Outcomes is not safe for concurrent use.
type Outcomes struct {
	recent         uint8     // latest outcomes as bits, the latest in the lowest bit; 1: failed
	suspectedUntil time.Time // end of the latest suspicion
	doublings      int       // of SuspicionTime for the next suspicion; at most maxDoublings
	trialRemaining int       // successes still needed to end the trial; 0: no trial
	crashedAt      time.Time // time of the latest crash; zero: none
}

// IsSuspected reports whether the back end is suspected.
func (o *Outcomes) IsSuspected(now time.Time) bool { return now.Before(o.suspectedUntil) }

// RecordSuccess records that the back end has answered a flow.
func (o *Outcomes) RecordSuccess() {
	o.recent <<= 1
	if o.trialRemaining == 0 {
		return
	}
	o.trialRemaining--
	if o.trialRemaining == 0 {
		o.doublings = 0
	}
}

// RecordFailure records that a flow of the back end has failed. It reports whether this failure
// starts a suspicion; failures during a suspicion are ignored.
func (o *Outcomes) RecordFailure(now time.Time) bool {
	if o.IsSuspected(now) {
		return false // the flow may have started before the suspicion
	}
	o.recent = o.recent<<1 | 1
	if o.trialRemaining == 0 && bits.OnesCount8(o.recent) < suspicionThreshold {
		return false
	}
	o.suspect(now)
	return true
}

// RecordCrash records that an incarnation has ended without draining. It discards the recent flow
// outcomes, which do not apply to the next incarnation, and reports whether a suspicion starts.
func (o *Outcomes) RecordCrash(now time.Time) bool {
	o.recent = 0
	repeated := !o.crashedAt.IsZero() && now.Sub(o.crashedAt) < crashWindow
	o.crashedAt = now
	if repeated {
		o.suspect(now)
	}
	return repeated
}

func (o *Outcomes) suspect(now time.Time) {
	o.suspectedUntil = now.Add(SuspicionTime << o.doublings)
	o.doublings = min(o.doublings+1, maxDoublings)
	o.recent = 0
	o.trialRemaining = trialOutcomes
}
