package relay

import (
	"math/rand/v2"
	"time"

	"github.com/burlmill/burlmill/handshake"
)

// Pauses between calls to a store that does not answer or refuses. The longest is short:
// a change of the configuration may be accepted in the moment at which the store is back,
// and is to be in force everywhere soon after. Only a few processes read the store. One that
// the store refuses while it serves others has time: they read in its place.
const (
	storeRetryFirst  = 100 * time.Millisecond
	storeRetryMost   = 700 * time.Millisecond
	storeRetryServed = 4 * time.Second // the most while others are served: as long as a watch, so that it is called no more often than by one that is served
)

// backoff is how long to wait before the next try: each time twice as long, up to a most,
// spread at random so that processes do not try in step. The zero value begins anew.
type backoff struct{ latest time.Duration }

// next returns the pause before the next try, about the most given at most.
func (b *backoff) next(most time.Duration) time.Duration {
	b.latest = min(max(2*b.latest, storeRetryFirst), most)
	return jitter(b.latest)
}

// reset notes that a try has succeeded.
func (b *backoff) reset() { b.latest = 0 }

// pauseAfter returns the pause after a call that the store has answered. What it has let wait, or what brought news,
// costs no more than it is worth. An answer that came at once and says nothing new, as of a store whose
// old answers lag behind its history, is a reason to ask less and less often.
func (b *backoff) pauseAfter(reading handshake.Reading, took time.Duration, news bool) time.Duration {
	switch {
	case news || took >= readerLook:
		b.reset()
		return 0
	case reading == handshake.ReadsCurrent:
		return b.next(storeRetryMost)
	default:
		return b.next(storeRetryServed)
	}
}

// jitter spreads a pause over half to one and a half of it.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)))
}
