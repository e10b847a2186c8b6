package instance

import (
	"math/bits"
	"time"
)

// Bounds by which the outcomes of a back end's flows judge it.
const (
	outcomesKept      = 8                // latest outcomes that count
	failuresSuspected = 3                // of them, from which on the back end is suspected
	trialOutcomes     = 8                // good ones in a row after a suspicion before the back end is trusted again
	SuspicionTime     = time.Second      // of a first suspicion; each further one is twice as long
	mostDoublings     = 3                // of it
	crashWindow       = 20 * time.Second // two crashes within this time are cause for suspicion
)

// Outcomes judges a back end by what becomes of its flows, since its health check may
// be good while it fails them, and the reverse. A back end that is suspected should
// get new flows only where no other one can take them. Suspicion ends by itself, as a
// back end without flows can prove nothing; after it a single failure renews it, for
// twice as long, until the back end has answered well for a while.
//
// The zero value trusts the back end. It is not safe for concurrent use.
type Outcomes struct {
	recent    uint8     // latest outcomes as bits, the latest lowest; 1: failed
	until     time.Time // end of the latest suspicion
	doublings int       // of the next suspicion's time; at most mostDoublings
	trial     int       // good outcomes that are still wanted; 0: the back end is trusted
	crashed   time.Time // latest crash; zero: none
}

// Suspect says whether the back end is suspected now.
func (o *Outcomes) Suspect(now time.Time) bool { return now.Before(o.until) }

// Succeeded notes that the back end has answered a flow.
func (o *Outcomes) Succeeded() {
	o.recent <<= 1
	if o.trial == 0 {
		return
	}
	o.trial--
	if o.trial == 0 {
		o.doublings = 0
	}
}

// Failed notes that the back end has failed a flow. It says whether that makes it
// suspected.
func (o *Outcomes) Failed(now time.Time) bool {
	if o.Suspect(now) {
		return false // of flows that began before
	}
	o.recent = o.recent<<1 | 1
	if o.trial == 0 && bits.OnesCount8(o.recent) < failuresSuspected {
		return false
	}
	o.suspect(now)
	return true
}

// Crashed notes that a life has ended without a word. It says whether that makes
// the back end suspected. What became of its flows says nothing of the next life.
func (o *Outcomes) Crashed(now time.Time) bool {
	o.recent = 0
	again := !o.crashed.IsZero() && now.Sub(o.crashed) < crashWindow
	o.crashed = now
	if again {
		o.suspect(now)
	}
	return again
}

func (o *Outcomes) suspect(now time.Time) {
	o.until = now.Add(SuspicionTime << o.doublings)
	o.doublings = min(o.doublings+1, mostDoublings)
	o.recent = 0
	o.trial = trialOutcomes
}
