// This file implements Machine, the membership state of one process: it merges received records,
// refutes those about the local member, announces the local status, marks replaced members as Left,
// collects the changes to gossip and lists the reachable members. It also defines the intervals and
// timeouts of failure detection.

package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Intervals and timeouts of failure detection.
const (
	// HeartbeatInterval is the interval between heartbeats to a watched member.
	HeartbeatInterval = 1500 * time.Millisecond
	// GatewayHeartbeatInterval is the interval between heartbeats to a member of another region.
	GatewayHeartbeatInterval = 3 * time.Second
	// SuspicionTimeout is the time without contact after which a monitor suspects a member.
	SuspicionTimeout = 4 * time.Second
	// ConfirmationTimeout is the time after which a member suspected by a single monitor is Dead.
	ConfirmationTimeout = 4 * time.Second
	// MaxSuspicionTimeout limits the suspicion timeout, which doubles with each refuted suspicion.
	MaxSuspicionTimeout = time.Minute
	// RegionTimeout is the time without contact after which a region is unreachable.
	RegionTimeout = 12 * time.Second
	// RetentionPeriod is the time for which records of dead and left members are kept.
	RetentionPeriod = 24 * time.Hour
	// StallThreshold is the gap between two ticks that indicates a stall of the process.
	StallThreshold = 1500 * time.Millisecond
	// regionHopPenalty is added to the age of a region contact at each hop.
	regionHopPenalty = 100 * time.Millisecond
)

// Machine is the membership state machine of one member. It is not safe for concurrent use.
type Machine struct {
	self             *Member
	table            *Table
	changes          changeQueue
	targets          Targets
	targetsStale     bool
	watches          map[string]*watch
	suspicions       map[string]*suspicion // by member that this member has suspected
	reachableRegions map[string]bool       // by other region; state at the latest tick
	confirmedAt      map[string]time.Time  // by monitor; send time of the latest confirmed message
	regionContactAt  map[string]time.Time  // by other region; time of the latest contact
	expiresAt        map[string]time.Time  // by dead or left member; when its record expires
	lastExpiryAt     time.Time             // latest removal of expired records
	lastTickAt       time.Time
	lastContactAt    time.Time
	nextProbeAt      time.Time
	version          uint64
	statusChanges    []StatusChange // not taken yet
}

// watch is the state that a monitor keeps for one member that it watches.
type watch struct {
	lastSeenAt     time.Time
	suspectedSince time.Time // start of the local suspicion; zero if none
}

// suspicion records a monitor's own suspicions of a member until contact with it resumes.
type suspicion struct {
	incarnation uint64        // latest incarnation suspected by this monitor
	timeout     time.Duration // time without contact before the next suspicion
}

// NewMachine returns a Machine whose table holds only self.
func NewMachine(now time.Time, self Member) *Machine {
	machine := &Machine{
		self:             &self,
		table:            NewTable(),
		targetsStale:     true,
		watches:          map[string]*watch{},
		suspicions:       map[string]*suspicion{},
		reachableRegions: map[string]bool{},
		confirmedAt:      map[string]time.Time{},
		regionContactAt:  map[string]time.Time{},
		expiresAt:        map[string]time.Time{},
		lastTickAt:       now,
		lastContactAt:    now,
	}
	machine.mergeRecord(now, machine.self, "")
	return machine
}

// Self returns the record of the local member.
func (m *Machine) Self() *Member { return m.self }

// Table returns the table of known members. The caller must not modify it.
func (m *Machine) Table() *Table { return m.table }

// Version returns a counter that increases when a member record, the reachability of a region
// or a local suspicion changes.
func (m *Machine) Version() uint64 { return m.version }

// Merge merges a record received from source, the ID of a neighbour, and reports whether it
// changed the table. Expired records of dead and left members are ignored. A record about the
// local member is refuted if it supersedes the local one.
func (m *Machine) Merge(now time.Time, record *Member, source string) bool {
	if record.ID == m.self.ID {
		return m.refute(now, record)
	}
	if record.Status.Terminal() && !now.Before(expiry(now, record)) {
		return false
	}
	return m.mergeRecord(now, record, source)
}

// mergeRecord merges a record into the table and updates the state derived from it.
func (m *Machine) mergeRecord(now time.Time, record *Member, source string) bool {
	previous := m.table.Get(record.ID)
	if !m.table.Merge(record) {
		return false
	}
	if previous != nil && previous.Status != record.Status {
		m.recordStatusChange(now, record, previous.Status, source)
	}
	m.changes.add(change{record, source})
	m.targetsStale = true
	m.version++
	if record.Status.Terminal() {
		m.expiresAt[record.ID] = expiry(now, record)
	} else {
		delete(m.expiresAt, record.ID)
	}
	if _, known := m.regionContactAt[record.Region]; !known && record.Region != m.self.Region {
		m.regionContactAt[record.Region] = now
	}
	return true
}

// expiry returns when the record of a dead or left member expires. It derives from a time in
// the record itself, so that the record expires everywhere at about the same time and gossip
// to new members does not prolong it.
func expiry(now time.Time, record *Member) time.Time {
	ended := record.EndedAt
	if ended.After(now) {
		ended = now
	}
	return ended.Add(RetentionPeriod)
}

// refute overrides a record about the local member with the local status and a higher
// incarnation.
func (m *Machine) refute(now time.Time, record *Member) bool {
	if !record.Supersedes(m.self) {
		return false
	}
	m.self = m.self.WithStatus(now, record.Incarnation+1, m.self.Status)
	return m.mergeRecord(now, m.self, "")
}

// SetStatus sets the local status to Leaving or Left and announces it. A status that is not
// higher than the current one has no effect.
func (m *Machine) SetStatus(now time.Time, status Status) {
	if status <= m.self.Status {
		return
	}
	m.self = m.self.WithStatus(now, m.self.Incarnation, status)
	m.mergeRecord(now, m.self, "")
}

// MarkReplaced marks a member as Left because another process answers at its address.
func (m *Machine) MarkReplaced(now time.Time, id string) {
	member := m.table.Get(id)
	if member == nil || member.Status.Terminal() || id == m.self.ID {
		return
	}
	m.mergeRecord(now, member.WithStatus(now, member.Incarnation, Left), "")
}

// Changes returns up to limit changes to send to a neighbour, and the cursor to use after the
// neighbour has received them.
func (m *Machine) Changes(after Cursor, neighbour string, limit int) ([]*Member, Cursor) {
	return m.changes.collect(m.table, after, neighbour, limit)
}

// ChangesEnd returns the cursor after the latest change.
func (m *Machine) ChangesEnd() Cursor { return m.changes.end() }

// HasUrgentChanges reports whether there is a change to send to a neighbour about a member that
// is not Alive.
func (m *Machine) HasUrgentChanges(after Cursor, neighbour string) bool {
	return m.changes.hasUrgentFor(m.table, after, neighbour)
}

// Targets returns the members to which heartbeats are sent. It first updates them if the table has
// changed.
func (m *Machine) Targets(now time.Time) Targets {
	if m.targetsStale {
		m.targetsStale = false
		m.targets = m.table.targets(m.self)
		m.updateWatches(now)
	}
	return m.targets
}

// Alive reports whether a reachable member has the given data address. It scans all
// members; frequent callers should cache the result of Reachable.
func (m *Machine) Alive(data netip.AddrPort) bool {
	for _, member := range m.Reachable() {
		if member.Data == data {
			return true
		}
	}
	return false
}

// Reachable returns the live members that are not suspected locally.
func (m *Machine) Reachable() []*Member {
	return slices.DeleteFunc(m.Live(), func(member *Member) bool { return m.suspectedLocally(member.ID) })
}

// Live returns the members that are neither dead nor left and are in a reachable region. It includes
// those that only the local member suspects: the confirmations of their other monitors may keep their
// liveness leases valid.
func (m *Machine) Live() []*Member {
	live := make([]*Member, 0, m.table.LiveCount())
	for _, candidate := range m.table.members {
		if member := candidate.member; !member.Status.Terminal() && m.regionReachable(member.Region) {
			live = append(live, member)
		}
	}
	return live
}
