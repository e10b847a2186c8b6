package quicserver

import (
	"sync"
	"time"
)

// readDeadline ends pending reads at a deadline that may change while they wait.
type readDeadline struct {
	mutex   sync.Mutex
	expired chan struct{} // closed when the deadline has passed
	timer   *time.Timer   // closes expired; nil if no deadline is pending
}

func newReadDeadline() *readDeadline {
	return &readDeadline{expired: make(chan struct{})}
}

// set changes the deadline; a zero time means never.
func (r *readDeadline) set(deadline time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timer != nil && !r.timer.Stop() {
		<-r.expired // the timer has fired and closes the channel
	}
	r.timer = nil
	wait := time.Until(deadline)
	if !deadline.IsZero() && wait <= 0 {
		r.expire()
		return
	}
	r.reopen()
	if !deadline.IsZero() {
		expired := r.expired
		r.timer = time.AfterFunc(wait, func() { close(expired) })
	}
}

func (r *readDeadline) expire() {
	if !r.hasExpired() {
		close(r.expired)
	}
}

// reopen replaces the channel if the deadline has passed. Otherwise the channel
// stays, so that a new deadline also ends the reads that already wait.
func (r *readDeadline) reopen() {
	if r.hasExpired() {
		r.expired = make(chan struct{})
	}
}

func (r *readDeadline) hasExpired() bool {
	select {
	case <-r.expired:
		return true
	default:
		return false
	}
}

// done returns the channel that is closed when the deadline has passed.
func (r *readDeadline) done() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.expired
}
