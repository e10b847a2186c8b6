// This file defines the fault switches of the store and applies outages. It also saves and restores
// snapshots of the objects.

package store

import (
	"context"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// Outage is a kind of failure of the whole store.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""       // the store is available
	OutageRefuse Outage = "refuse" // the port is closed and connections are refused
	OutageHang   Outage = "hang"   // requests are accepted but get no response
)

// Milliseconds is a duration as encoded in JSON.
type Milliseconds int64

func (m Milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Faults is the complete set of fault switches. The zero value is a store without faults.
type Faults struct {
	Outage Outage `json:"outage"`

	// Slow is the time added to each response, half of it before the request is processed and half
	// after. Only the first half applies to invalid requests, to requests that change a machine,
	// and to writes delayed by DelayWrites.
	Slow Milliseconds `json:"slow_milliseconds"`

	// LoseReplies is the number of subsequent valid writes that are processed, but whose connection
	// is closed without a response. Each such write decrements it.
	LoseReplies int `json:"lose_replies"`

	// DelayWrites is the number of subsequent valid writes whose connection is closed without a
	// response and that are applied only after WriteDelay. Each such write decrements it. It takes
	// precedence over LoseReplies.
	DelayWrites int          `json:"delay_writes"`
	WriteDelay  Milliseconds `json:"write_delay_milliseconds"`

	// MachineLag is the age of the machine list that is served.
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

// Faults returns the current switches.
func (s *Store) Faults() Faults {
	return fromState(s, func(state *state) Faults { return state.faults })
}

// SetFaults replaces all switches. It closes the port of the object API for OutageRefuse, and
// otherwise opens it. If the port cannot be opened, it returns an error without a fault kind and
// the new switches stay set. The error for invalid switches is of kind fault.Invalid, and changes
// nothing.
func (s *Store) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	s.portMutex.Lock()
	defer s.portMutex.Unlock()
	s.withState(func(state *state) {
		state.faults = faults
		state.notifyWaiters()
	})
	if faults.Outage == OutageRefuse {
		return s.closePort()
	}
	return s.openPort()
}

// Snapshot saves all objects and the version counter, and returns its number for Restore.
func (s *Store) Snapshot() int {
	return fromState(s, func(state *state) int {
		state.snapshots = append(state.snapshots, state.table.clone())
		return len(state.snapshots) - 1
	})
}

// Restore resets all objects and the version counter to a snapshot, as when an object store is
// restored from a backup. The error for an unknown snapshot is of kind fault.NotFound.
func (s *Store) Restore(snapshot int) error {
	return fromState(s, func(state *state) error {
		if snapshot < 0 || snapshot >= len(state.snapshots) {
			return fault.New(fault.NotFound, "snapshot %d does not exist", snapshot)
		}
		state.table = state.snapshots[snapshot].clone()
		state.notifyWaiters()
		return nil
	})
}

// awaitHangEnd waits until the outage is not OutageHang or ctx is done. It returns false if it had
// to wait: a request that arrived in an OutageHang must get no response.
func (s *Store) awaitHangEnd(ctx context.Context) bool {
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

// outage returns the current outage, and a channel that is closed at the next change of the state.
func (s *Store) outage() (outage Outage, changed <-chan struct{}) {
	s.withState(func(state *state) {
		outage = state.faults.Outage
		changed = state.changed
	})
	return outage, changed
}

// sleep waits for d, and returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
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
