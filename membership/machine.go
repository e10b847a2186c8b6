package membership

import (
	"net/netip"
	"time"
)

// Times by which members are judged.
const (
	HeartbeatInterval    = 1500 * time.Millisecond // between two heartbeats to one watched member
	GatewayInterval      = 3 * time.Second         // between two heartbeats to one member of another region
	SuspicionTime        = 4 * time.Second         // silence after which a monitor suspects a member
	ConfirmationTime     = 4 * time.Second         // further silence after which one monitor alone decides
	MaximumSuspicionTime = time.Minute             // bound for members that deny their death again and again
	RegionTime           = 12 * time.Second        // silence after which another region counts as unreachable
	RetentionTime        = 24 * time.Hour          // for which members that are gone are remembered
	PauseTime            = 1500 * time.Millisecond // between two ticks: this process itself was paused
	regionHopPenalty     = 100 * time.Millisecond  // added to a region's age with each step it is told
)

// Machine decides for one member. It is not safe for concurrent use.
type Machine struct {
	self          *Member
	table         *Table
	news          news
	targets       Targets
	stale         bool // targets must be computed anew
	watches       map[string]*watch
	doubts        map[string]*doubt    // by member that denied a suspicion of ours
	contact       map[string]bool      // by other region: reachable at the latest tick
	confirmations map[string]time.Time // by monitor: when we last sent what it has heard
	regions       map[string]time.Time // last contact with each other region
	gone          map[string]time.Time // when members that are gone may be forgotten
	forgotten     time.Time            // when members were last forgotten
	lastTick      time.Time
	lastHeard     time.Time
	nextProbe     time.Time
	version       uint64
}

// watch is what a monitor knows about one watched member.
type watch struct {
	heard time.Time
	since time.Time // of the own suspicion; zero: none
}

// doubt is what a monitor remembers of its own suspicions of a member until it
// hears the member again.
type doubt struct {
	incarnation uint64        // latest that this monitor suspected
	patience    time.Duration // silence that is tolerated
}

// NewMachine returns the machine of a member that knows only itself.
func NewMachine(now time.Time, self Member) *Machine {
	machine := &Machine{
		self:          &self,
		table:         NewTable(),
		stale:         true,
		watches:       map[string]*watch{},
		doubts:        map[string]*doubt{},
		contact:       map[string]bool{},
		confirmations: map[string]time.Time{},
		regions:       map[string]time.Time{},
		gone:          map[string]time.Time{},
		lastTick:      now,
		lastHeard:     now,
	}
	machine.put(now, machine.self, "")
	return machine
}

// Self returns the own member record.
func (m *Machine) Self() *Member { return m.self }

// Table returns the members known. The caller must not change it.
func (m *Machine) Table() *Table { return m.table }

// Version grows with every change of a member, a region or a silence.
func (m *Machine) Version() uint64 { return m.version }

// Merge takes in a record told by source, the ID of a neighbour. It says
// whether the record was new.
func (m *Machine) Merge(now time.Time, record *Member, source string) bool {
	if record.ID == m.self.ID {
		return m.refute(now, record)
	}
	if record.Status.Gone() && !now.Before(expiry(now, record)) {
		return false
	}
	return m.put(now, record, source)
}

// put merges a record and notes what follows from it.
func (m *Machine) put(now time.Time, record *Member, source string) bool {
	if !m.table.Merge(record) {
		return false
	}
	m.news.add(change{record, source})
	m.stale = true
	m.version++
	if record.Status.Gone() {
		m.gone[record.ID] = expiry(now, record)
	} else {
		delete(m.gone, record.ID)
	}
	if _, known := m.regions[record.Region]; !known && record.Region != m.self.Region {
		m.regions[record.Region] = now
	}
	return true
}

// expiry returns when a member that is gone may be forgotten. The time travels
// with the record, so that it is forgotten everywhere at about the same time and
// cannot live on by being told to newcomers.
func expiry(now time.Time, record *Member) time.Time {
	ended := record.Ended
	if ended.After(now) {
		ended = now
	}
	return ended.Add(RetentionTime)
}

// refute answers a record about the member itself: only the member says what
// it is, in an incarnation above all others.
func (m *Machine) refute(now time.Time, record *Member) bool {
	if !record.Supersedes(m.self) {
		return false
	}
	m.self = m.self.WithStatus(now, record.Incarnation+1, m.self.Status)
	return m.put(now, m.self, "")
}

// SetStatus tells everyone the own status: Leaving or Left.
func (m *Machine) SetStatus(now time.Time, status Status) {
	if status <= m.self.Status {
		return
	}
	m.self = m.self.WithStatus(now, m.self.Incarnation, status)
	m.put(now, m.self, "")
}

// Declare tells everyone that a member is gone because another process answers
// at its address.
func (m *Machine) Declare(now time.Time, id string) {
	member := m.table.Get(id)
	if member == nil || member.Status.Gone() || id == m.self.ID {
		return
	}
	m.put(now, member.WithStatus(now, member.Incarnation, Left), "")
}

// News returns up to limit changes that a neighbour has not been told, and the
// cursor to use after it has received them.
func (m *Machine) News(after Cursor, neighbour string, limit int) ([]*Member, Cursor) {
	return m.news.collect(m.table, after, neighbour, limit)
}

// NewsEnd returns the cursor behind all news.
func (m *Machine) NewsEnd() Cursor { return m.news.end() }

// HasUrgentNews says whether a neighbour has not been told of a member that
// left, died or is suspected.
func (m *Machine) HasUrgentNews(after Cursor, neighbour string) bool {
	return m.news.urgentFor(m.table, after, neighbour)
}

// Targets returns the members to send heartbeats to.
func (m *Machine) Targets(now time.Time) Targets {
	if m.stale {
		m.stale = false
		m.targets = m.table.targets(m.self)
		m.rewatch(now)
	}
	return m.targets
}

// Alive says whether a live agent or balancer that is reachable from here has
// the data address, by scanning all members. Processes that ask often keep the
// result of Reachable.
func (m *Machine) Alive(data netip.AddrPort) bool {
	for _, member := range m.Reachable() {
		if member.Data == data {
			return true
		}
	}
	return false
}

// Reachable returns the members that are not gone, whose region can be reached,
// and that are not silent towards this member.
func (m *Machine) Reachable() []*Member {
	reachable := make([]*Member, 0, m.table.Live())
	for _, candidate := range m.table.members {
		member := candidate.member
		if member.Status.Gone() || m.silent(member.ID) || !m.regionReachable(member.Region) {
			continue
		}
		reachable = append(reachable, member)
	}
	return reachable
}
