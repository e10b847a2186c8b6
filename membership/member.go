// This file defines the record of a member with its role and status, which of two records of the
// same member supersedes the other, and the hash of a record's version.

// Package membership implements gossip-based membership and failure detection for
// burlmill processes. Each member monitors a few others by heartbeats, propagates
// suspicions and changes to its neighbours, and merges received records into a
// table that converges to the same content at all members.
//
// The package does no I/O and reads no clock: callers pass in the records that they
// receive, the members that they receive messages from and the current time, and
// send the resulting heartbeats and records.
package membership

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
)

// Status is the state of one incarnation of a member. Within one incarnation a
// higher status replaces a lower one.
type Status uint8

// The states of a member, in ascending order of precedence.
const (
	Alive   Status = iota // in service
	Suspect               // not seen by a monitor for the suspicion timeout
	Leaving               // shutting down, by its own announcement
	Dead                  // suspected by two monitors, or by one for the confirmation timeout
	Left                  // shut down by its own announcement, or replaced at its address
)

var statusNames = [...]string{"alive", "suspect", "leaving", "dead", "left"}

// String returns the status in lower case.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Terminal reports whether the status is terminal for an incarnation: Dead or Left.
func (s Status) Terminal() bool { return s == Dead || s == Left }

// Role is the function of a member.
type Role uint8

// The roles of members.
const (
	Balancer Role = iota + 1 // receives datagrams from the network fabric
	Agent                    // runs next to a back end
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case Balancer:
		return "balancer"
	case Agent:
		return "agent"
	default:
		return "invalid"
	}
}

// Member is one version of the record of a process. It must not be modified after it has been
// merged into a Table.
type Member struct {
	ID          string // unique among all processes
	Incarnation uint64 // start time in Unix milliseconds, increased by each refutation
	Role        Role
	Region      string
	Zone        catalog.ZoneName
	Control     netip.AddrPort // TCP address of the control API
	Data        netip.AddrPort // UDP address for datagrams
	Status      Status

	// EndedAt is when the status became Dead or Left, by the clock of the member that set
	// the status, in whole seconds. It determines when the record expires and is not part
	// of the version.
	EndedAt time.Time
}

// Supersedes reports whether m replaces other, which has the same ID. It is a strict total
// order on versions, so that merging is commutative, associative and idempotent. It compares
// the incarnation, then the status, then the remaining fields except EndedAt, which differ only
// if two processes use the same ID.
func (m *Member) Supersedes(other *Member) bool {
	order := cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.Status, other.Status),
		m.Control.Compare(other.Control),
		m.Data.Compare(other.Data),
		cmp.Compare(m.Role, other.Role),
		cmp.Compare(m.Region, other.Region),
		cmp.Compare(m.Zone, other.Zone),
	)
	return order > 0
}

// WithStatus returns a copy of m with the given incarnation and status. It sets EndedAt to now
// if the status is Dead or Left.
func (m *Member) WithStatus(now time.Time, incarnation uint64, status Status) *Member {
	changed := *m
	changed.Incarnation = incarnation
	changed.Status = status
	changed.EndedAt = time.Time{}
	if status.Terminal() {
		changed.EndedAt = now.Truncate(time.Second)
	}
	return &changed
}

// versionHash returns a hash of the ID, incarnation and status.
func (m *Member) versionHash() uint64 {
	return mix(xxhash.Sum64String(m.ID)^mix(m.Incarnation)) + uint64(m.Status)*0x9e3779b97f4a7c15
}

// mix is the splitmix64 finalizer.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
