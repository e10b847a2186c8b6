package lease_test

import (
	"fmt"
	"time"

	"github.com/burlmill/burlmill/lease"
)

// objectStore stands for any store with versions and conditional writes.
type objectStore struct{ object lease.Observation }

// do runs the actions and gives their results back to the decider.
func (s *objectStore) do(decider *lease.Decider, now time.Time, actions []lease.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case lease.Read:
			result := lease.ReadResult{Operation: action.Operation, Observation: s.object}
			s.do(decider, now, decider.Handle(now, result))
		case lease.ConditionalWrite:
			s.do(decider, now, decider.Handle(now, s.write(action)))
		case lease.Acquired:
			fmt.Println("acquired term", action.Term.Fencing)
		case lease.StepDown:
			fmt.Println("stepped down from term", action.Fencing, action.Reason)
		}
	}
}

func (s *objectStore) write(write lease.ConditionalWrite) lease.Event {
	if s.object.Version != write.Expected {
		return lease.WriteResult{Operation: write.Operation, Outcome: lease.WriteConflict, Current: s.object}
	}
	s.object = lease.Observation{Version: s.object.Version + 1, Record: write.Record}
	return lease.WriteResult{Operation: write.Operation, Outcome: lease.WriteApplied, Version: s.object.Version}
}

// A holder that was paused for longer than its term finds that it no longer holds,
// and that another candidate has a higher fencing number.
func Example() {
	store := &objectStore{}
	start := time.Now()
	candidate := func(name lease.Holder) *lease.Decider {
		decider, err := lease.NewDecider(lease.Options{
			Holder:   name,
			Duration: 10 * time.Second,
			Margin:   time.Second,
			Poll:     time.Second,
		})
		if err != nil {
			panic(err)
		}
		return decider
	}
	first, second := candidate("first"), candidate("second")
	store.do(first, start, first.Handle(start, lease.Tick{}))
	for elapsed := range 20 { // the first is paused meanwhile
		now := start.Add(time.Duration(elapsed) * time.Second)
		store.do(second, now, second.Handle(now, lease.Tick{}))
	}
	now := start.Add(20 * time.Second)
	_, held := first.Held(now)
	fmt.Println("first holds:", held)
	term, held := second.Held(now)
	fmt.Println("second holds:", held)
	fmt.Println("second may write over term 1:", term.Check(now, 1) == nil)
	store.do(first, now, first.Handle(now, lease.Tick{}))

	// Output:
	// acquired term 1
	// acquired term 2
	// first holds: false
	// second holds: true
	// second may write over term 1: true
	// stepped down from term 1 expired
}
