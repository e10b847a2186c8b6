package gateway

import (
	"sync"
	"time"

	"github.com/burlmill/burlmill/admission"
)

// slotKeeper lets one goroutine own the slots of a back end.
type slotKeeper struct {
	arrivals chan arrival
	finishes chan time.Duration
	changes  chan slotChange
	observe  func(busy int)
	stop     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
}

// arrival is a request that asks for a slot.
type arrival struct {
	now      time.Time
	deadline time.Time
	verdict  chan<- admission.Verdict
}

// slotChange is what the configuration says about the slots.
type slotChange struct {
	total   uint32
	leaving bool
}

// startSlots starts the owner. observe is called with each new number of busy
// slots and must not block.
func startSlots(total uint32, observe func(busy int)) *slotKeeper {
	started := &slotKeeper{
		arrivals: make(chan arrival),
		finishes: make(chan time.Duration),
		changes:  make(chan slotChange),
		observe:  observe,
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	go started.own(admission.NewSlots(total))
	return started
}

func (s *slotKeeper) own(slots *admission.Slots) {
	defer close(s.stopped)
	for {
		select {
		case asked := <-s.arrivals:
			asked.verdict <- slots.Arrive(asked.now, asked.deadline)
		case took := <-s.finishes:
			slots.Finish(took)
		case change := <-s.changes:
			slots.Resize(change.total)
			slots.SetLeaving(change.leaving)
		case <-s.stop:
			return
		}
		s.observe(slots.Busy())
	}
}

// arrive asks for a slot. After close it refuses.
func (s *slotKeeper) arrive(now, deadline time.Time) admission.Verdict {
	verdict := make(chan admission.Verdict, 1)
	select {
	case s.arrivals <- arrival{now, deadline, verdict}:
		return <-verdict
	case <-s.stopped:
		return admission.Verdict{Reason: admission.ReasonLeaving, RetryAfter: admission.MinimumRetryAfter}
	}
}

// finish gives a slot back.
func (s *slotKeeper) finish(took time.Duration) {
	select {
	case s.finishes <- took:
	case <-s.stopped:
	}
}

func (s *slotKeeper) change(change slotChange) {
	select {
	case s.changes <- change:
	case <-s.stopped:
	}
}

func (s *slotKeeper) close() {
	s.stopOnce.Do(func() { close(s.stop) })
	<-s.stopped
}
