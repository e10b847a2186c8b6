// Package membership decides which burlmill processes are alive. Members watch
// a fixed few others by heartbeats, tell suspicions and changes on to their
// neighbours, and merge what they hear into one table that converges to the
// same content everywhere. The package is pure: heartbeats heard, records and a
// clock go in; neighbours to call, records to send and verdicts come out.
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

// The states of a member, in the order in which one replaces another.
const (
	Alive   Status = iota // takes part
	Suspect               // a monitor has not heard it for the suspicion time
	Leaving               // said itself that it takes no new work
	Dead                  // two monitors, or one for twice as long, have not heard it
	Left                  // said itself that it stops, or was replaced at its address
)

var statusNames = [...]string{"alive", "suspect", "leaving", "dead", "left"}

// String returns the status in lower case.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Gone says whether the status ends an incarnation.
func (s Status) Gone() bool { return s == Dead || s == Left }

// Role says what a member does.
type Role uint8

// The roles of members.
const (
	Balancer Role = iota + 1 // takes datagrams from the fabric
	Agent                    // runs beside a back end
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

// Member is one version of what is known about one process. It is immutable
// once a Table holds it.
type Member struct {
	ID          string // unique among all processes
	Incarnation uint64 // milliseconds since 1970 at start, raised by each refutation
	Role        Role
	Region      string
	Zone        catalog.ZoneName
	Control     netip.AddrPort // TCP address for other processes
	Data        netip.AddrPort // UDP address for datagrams
	Status      Status

	// Ended is when the status became Dead or Left, by the clock of the one that
	// said so, in whole seconds. It only says when the record may be forgotten and
	// is not part of the version.
	Ended time.Time
}

// Supersedes says whether m replaces other, which has the same ID. It is a
// strict total order on versions, so that merging is commutative, associative
// and idempotent: first the incarnation, then the status, and last the
// remaining fields, which only differ when two processes claim one ID.
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

// WithStatus returns a copy of m with another incarnation and status.
func (m *Member) WithStatus(now time.Time, incarnation uint64, status Status) *Member {
	changed := *m
	changed.Incarnation = incarnation
	changed.Status = status
	changed.Ended = time.Time{}
	if status.Gone() {
		changed.Ended = now.Truncate(time.Second)
	}
	return &changed
}

// versionHash identifies one version of a member.
func (m *Member) versionHash() uint64 {
	return mix(xxhash.Sum64String(m.ID)^mix(m.Incarnation)) + uint64(m.Status)*0x9e3779b97f4a7c15
}

// mix spreads the bits of value; it is the finalizer of splitmix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
