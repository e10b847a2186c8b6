package store

import (
	"context"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// Outage says how the store fails as a whole.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""       // the store answers
	OutageRefuse Outage = "refuse" // the port is closed and connections are refused
	OutageHang   Outage = "hang"   // requests are taken and never answered
)

// Milliseconds is a duration as it travels in JSON.
type Milliseconds int64

func (m Milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Faults is the whole set of fault switches. The zero value is a healthy store.
type Faults struct {
	Outage Outage `json:"outage"`

	// Slow is the time added to each answer, half of it before the request takes
	// effect and half after.
	Slow Milliseconds `json:"slow_milliseconds"`

	// LoseReplies is how many of the next writes are applied and then have their
	// connection cut. It counts down.
	LoseReplies int `json:"lose_replies"`

	// DelayWrites is how many of the next writes have their connection cut at
	// once and are applied only after WriteDelay. It counts down, and comes before
	// LoseReplies.
	DelayWrites int          `json:"delay_writes"`
	WriteDelay  Milliseconds `json:"write_delay_milliseconds"`

	// MachineLag is how old the machine list is.
	MachineLag Milliseconds `json:"machine_lag_milliseconds"`
}

func (f Faults) validate() error {
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageHang:
	default:
		return fault.InvalidField("outage", f.Outage, `must be "", "refuse" or "hang"`)
	}
	if min(f.Slow, f.WriteDelay, f.MachineLag) < 0 {
		return fault.InvalidField("milliseconds", min(f.Slow, f.WriteDelay, f.MachineLag), "must not be negative")
	}
	return nil
}

// Faults returns the switches as they stand.
func (s *Store) Faults() Faults {
	return query(s, func(state *state) Faults { return state.faults })
}

// SetFaults replaces all switches. Ending an outage opens the port again.
func (s *Store) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	s.control.Lock()
	defer s.control.Unlock()
	s.do(func(state *state) {
		state.faults = faults
		state.notify()
	})
	if faults.Outage == OutageRefuse {
		return s.closePort()
	}
	return s.openPort()
}

// Snapshot keeps the state of all objects under a number for Restore.
func (s *Store) Snapshot() int {
	return query(s, func(state *state) int {
		state.snapshots = append(state.snapshots, state.table.clone())
		return len(state.snapshots) - 1
	})
}

// Restore sets all objects and the version counter back to a snapshot, as a
// platform does that recovers from a backup.
func (s *Store) Restore(snapshot int) error {
	return query(s, func(state *state) error {
		if snapshot < 0 || snapshot >= len(state.snapshots) {
			return fault.New(fault.NotFound, "snapshot %d does not exist", snapshot)
		}
		state.table = state.snapshots[snapshot].clone()
		state.notify()
		return nil
	})
}

// hang waits while a hanging outage lasts. It returns false if the request must
// not be served after that because it met an outage.
func (s *Store) hang(ctx context.Context) bool {
	for first := true; ; first = false {
		outage, changed := s.outage()
		if outage != OutageHang {
			return first
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Store) outage() (outage Outage, changed <-chan struct{}) {
	s.do(func(state *state) {
		outage = state.faults.Outage
		changed = state.changed
	})
	return outage, changed
}

// pause waits for d or until ctx is done; it says whether the wait was whole.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
