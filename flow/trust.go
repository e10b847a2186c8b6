package flow

import "time"

// Times of trust.
const (
	// pauseLimit is the longest time between two observations in which nothing
	// was missed. It is far below the time after which peers hold an agent for dead.
	pauseLimit = time.Second
	// backlogWindow is the time in which an agent that was paused reads the
	// datagrams that waited in its socket.
	backlogWindow = 500 * time.Millisecond
)

// trust tells which datagrams may carry marks of a search that is out of date.
// While an agent is paused or cut off, its peers may hold it for dead and admit
// flows without it. A datagram that waited here meanwhile says that it has been
// searched for everywhere, which no longer holds, so its search starts again.
type trust struct {
	observed time.Time // latest observation
	since    time.Time // datagrams that may have arrived before are out of date
	drained  time.Time // what arrived before has been read
}

func (t *trust) observe(now time.Time, confirmed bool) {
	if !t.observed.IsZero() && now.Sub(t.observed) > pauseLimit {
		t.since = now.Add(backlogWindow)
	}
	if !confirmed && t.since.Before(now) {
		t.since = now
	}
	t.observed = now
}

// isStale says whether the marks of a datagram may be out of date, given the
// earliest time at which it can have arrived.
func (t *trust) isStale(now, arrived time.Time) bool {
	if arrived.IsZero() {
		return now.Before(t.since)
	}
	return !arrived.After(t.since)
}

// noteArrival notes that all datagrams have been read that came before this one
// can have arrived.
func (t *trust) noteArrival(now, arrived time.Time) {
	if arrived.IsZero() {
		arrived = now
	}
	if arrived.After(t.drained) {
		t.drained = arrived
	}
}

// isPending says whether datagrams of before may still wait to be read.
func (t *trust) isPending(now time.Time) bool {
	return now.Before(t.since) || !t.drained.After(t.since)
}
