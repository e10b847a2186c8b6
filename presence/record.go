// This file defines the record of a process, its role and shutdown stage, and decides which of two
// records is of the later incarnation and how two of the same incarnation are merged.

// Package presence keeps track of the processes of a fleet. Only a few balancers monitor each
// process. They turn what they observe (it is running, shutting down or failed) into a record,
// which balancers propagate by gossip.
//
// The package does no I/O and reads no clock. It provides the table of records and the ring that
// determines which balancers monitor a process. Package handshake decides what is sent and when.
package presence

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Role is the role of a process in the fleet.
type Role uint8

// Roles of processes.
const (
	RoleBalancer Role = iota + 1
	RoleAgent
)

// String returns the name used in logs.
func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	default:
		return "unknown"
	}
}

// Stage is the shutdown stage that a process reports. It never goes back within one incarnation.
type Stage uint8

// Shutdown stages, in the order in which a process goes through them.
const (
	Running Stage = iota
	ShuttingDown
	Drained // shutting down, and its back end certainly holds no flow; agents only
)

// String returns the name used in logs.
func (s Stage) String() string {
	switch s {
	case Running:
		return "running"
	case ShuttingDown:
		return "leaving"
	case Drained:
		return "empty"
	default:
		return "unknown"
	}
}

// Record describes one incarnation of a process.
type Record struct {
	Address     netip.AddrPort
	Incarnation uint64 // differs between starts of the process
	Role        Role
	Zone        catalog.ZoneName
	Region      string
	Service     catalog.ServiceName // of the back end; agents only
	StartedAt   time.Time           // as reported by the process, on the local clock
	Stage       Stage
	Failed      bool // a balancer that monitors the process no longer receives its statuses
	// ObservedAt is the time of the observation that the process is running or has failed. Statuses
	// that do not change the record do not advance it. It is on the local clock, and late by the
	// propagation delay.
	ObservedAt time.Time
}

// startTimeTolerance is the difference up to which two start times count as equal. Start times are
// sent as ages, which do not include the network delay.
const startTimeTolerance = 100 * time.Millisecond

// isLater reports whether the record is of a later incarnation of the process than the other.
func (r *Record) isLater(other *Record) bool {
	if r.Incarnation == other.Incarnation {
		return false
	}
	if gap := r.StartedAt.Sub(other.StartedAt); gap > startTimeTolerance || gap < -startTimeTolerance {
		return gap > 0
	}
	return r.Incarnation > other.Incarnation // arbitrary, but the same at all processes
}

// failureReportMargin is by how much the observation of a failure must be newer than the latest
// observation that the process is running. A balancer marks a process failed only if it has
// received no status for more than a second, so a failure that is newer by less than the margin was
// observed by a balancer that had not received the latest status. Records reach a fleet of a thousand
// processes within half a second.
const failureReportMargin = 500 * time.Millisecond

// merge merges another record of the same incarnation. It reports whether anything but ObservedAt
// has changed.
func (r *Record) merge(other *Record) (changed bool) {
	if other.Stage > r.Stage {
		r.Stage = other.Stage
		changed = true
	}
	switch {
	case other.Failed == r.Failed:
		if other.ObservedAt.After(r.ObservedAt) {
			r.ObservedAt = other.ObservedAt
		}
	case other.Failed && other.ObservedAt.Sub(r.ObservedAt) > failureReportMargin,
		r.Failed && r.ObservedAt.Sub(other.ObservedAt) < failureReportMargin:
		r.Failed = other.Failed
		r.ObservedAt = other.ObservedAt
		changed = true
	}
	return changed
}
