// This file computes the pauses between calls to the store: exponential backoff after failed calls,
// and after successful calls that return at once without a change. It also adds random jitter.

package relay

import (
	"math/rand/v2"
	"time"

	"github.com/burlmill/burlmill/handshake"
)

// Bounds of the backoff between calls to the store.
const (
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 700 * time.Millisecond
	// maxStaleReadBackoff is the maximum for calls that accept stale answers. It applies to
	// failed calls only if other balancers receive current data from the store, and equals
	// staleWatchTimeout.
	maxStaleReadBackoff = 4 * time.Second
)

// backoff computes the exponential backoff between attempts, with random jitter so that
// processes do not retry in step. The zero value starts with the shortest pause.
type backoff struct{ previous time.Duration }

// next returns the pause before the next attempt. The limit applies before the jitter.
func (b *backoff) next(limit time.Duration) time.Duration {
	b.previous = min(max(2*b.previous, minStoreBackoff), limit)
	return jitter(b.previous)
}

// reset makes the next pause the shortest again. It is called after a successful attempt.
func (b *backoff) reset() { b.previous = 0 }

// pauseAfter returns the pause after a successful call to the store. There is none if the call
// returned a change or took at least storeCheckInterval. If it returned sooner without a change,
// for example with a stale answer, the pause grows exponentially, which limits the rate of calls.
// The maximum is longer if calls of the mode accept stale answers.
func (b *backoff) pauseAfter(mode handshake.WatchMode, took time.Duration, changed bool) time.Duration {
	switch {
	case changed || took >= storeCheckInterval:
		b.reset()
		return 0
	case mode == handshake.WatchCurrent:
		return b.next(maxStoreBackoff)
	default:
		return b.next(maxStaleReadBackoff)
	}
}

// jitter returns a random duration between half and one and a half of the pause.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)))
}
