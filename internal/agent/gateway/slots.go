package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/admission"
)

// slotPool admits requests to the slots of a back end, frees slots, changes their number, and
// publishes the back end's load. While the back end drains, it refuses requests that arrive through
// other agents; after close, it refuses all requests. One goroutine manages the slots; acquire,
// release, finish, configure and close are safe for concurrent use.
type slotPool struct {
	acquires  chan acquireCall
	finishes  chan time.Duration
	releases  chan struct{}
	changes   chan slotChange
	observe   func(busy int)
	load      atomic.Pointer[Load]
	closing   chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// acquireCall holds the arguments of a call of acquire.
type acquireCall struct {
	now      time.Time
	deadline time.Time
	fromPeer bool // the request arrived through another agent
	reply    chan<- decisionWithLoad
}

// decisionWithLoad is a decision with the resulting load of the back end.
type decisionWithLoad struct {
	admission.Decision
	load Load
}

// slotChange is a change of the slot configuration.
type slotChange struct {
	total    uint32
	draining bool // refuses requests that arrive through other agents
}

// startSlots starts the goroutine that manages the slots. observe is called with the number of busy
// slots after each event and must not block.
func startSlots(total uint32, observe func(busy int)) *slotPool {
	pool := &slotPool{
		acquires: make(chan acquireCall),
		finishes: make(chan time.Duration),
		releases: make(chan struct{}),
		changes:  make(chan slotChange),
		observe:  observe,
		closing:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	pool.load.Store(&Load{Slots: total, Sequence: uint64(time.Now().UnixNano())})
	go pool.run(admission.NewSlots(total))
	return pool
}

// run handles events until the pool is closed.
func (s *slotPool) run(slots *admission.Slots) {
	defer close(s.closed)
	for {
		select {
		case call := <-s.acquires:
			decision := s.admit(slots, call)
			s.update(slots, s.load.Load().Draining)
			call.reply <- decisionWithLoad{decision, *s.load.Load()}
		case duration := <-s.finishes:
			slots.Finish(duration)
			s.update(slots, s.load.Load().Draining)
		case <-s.releases:
			slots.Release()
			s.update(slots, s.load.Load().Draining)
		case change := <-s.changes:
			slots.Resize(change.total)
			s.update(slots, change.draining)
		case <-s.closing:
			return
		}
		s.observe(slots.Busy())
	}
}

// admit admits or refuses a request. A draining back end refuses requests that arrive through other
// agents.
func (s *slotPool) admit(slots *admission.Slots, call acquireCall) admission.Decision {
	if call.fromPeer && s.load.Load().Draining {
		return drainingRefusal
	}
	return slots.Admit(call.now, call.deadline)
}

// update publishes the load of the back end if it has changed.
func (s *slotPool) update(slots *admission.Slots, draining bool) {
	previous := s.load.Load()
	next := Load{uint32(slots.Busy()), uint32(slots.Total()), draining, previous.Sequence}
	if next == *previous {
		return
	}
	next.Sequence++
	s.load.Store(&next)
}

// drainingRefusal is the refusal of a draining back end and of a closed pool.
var drainingRefusal = admission.Decision{Reason: admission.ReasonDraining, RetryAfter: admission.MinRetryAfter}

// acquire admits a request to a slot, or refuses it. fromPeer states that the request arrived
// through another agent. A zero deadline means no deadline. After close, acquire refuses every
// request and returns a draining load.
func (s *slotPool) acquire(now, deadline time.Time, fromPeer bool) decisionWithLoad {
	reply := make(chan decisionWithLoad, 1)
	select {
	case s.acquires <- acquireCall{now, deadline, fromPeer, reply}:
		return <-reply
	case <-s.closed:
		load := *s.load.Load()
		load.Draining = true
		return decisionWithLoad{drainingRefusal, load}
	}
}

// release frees the slot of an admitted request that was not run.
func (s *slotPool) release() {
	select {
	case s.releases <- struct{}{}:
	case <-s.closed:
	}
}

// finish frees the slot of a request that ran for the given duration. The duration counts toward
// the mean run time, from which the retry delays of refusals are estimated.
func (s *slotPool) finish(duration time.Duration) {
	select {
	case s.finishes <- duration:
	case <-s.closed:
	}
}

// configure changes the number of slots and whether the back end is draining. Admitted requests
// keep their slots.
func (s *slotPool) configure(change slotChange) {
	select {
	case s.changes <- change:
	case <-s.closed:
	}
}

// close makes the pool refuse all further requests. It may be called more than once.
func (s *slotPool) close() {
	s.closeOnce.Do(func() { close(s.closing) })
	<-s.closed
}
