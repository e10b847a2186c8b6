package quicserver

import (
	"sync"
	"time"
)

// readDeadline ends waits at a time that may be changed while they last.
type readDeadline struct {
	mutex   sync.Mutex
	expired chan struct{} // closed when the deadline has passed
	timer   *time.Timer   // closes expired; nil if there is no deadline to come
}

func newReadDeadline() *readDeadline {
	return &readDeadline{expired: make(chan struct{})}
}

// set changes the deadline; a zero time means never.
func (r *readDeadline) set(deadline time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timer != nil && !r.timer.Stop() {
		<-r.expired // the timer has fired: let it close the channel
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

// reopen makes waits last again. Waits that have begun before the deadline has
// passed stay on the same channel, so that a new deadline ends them too.
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

// wait returns the channel that is closed when the deadline has passed.
func (r *readDeadline) wait() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.expired
}
