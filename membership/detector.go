// This file marks watched members as Suspect and Dead when their heartbeats are missing, except
// while the local member is isolated or after it has stalled. Direct contact clears a suspicion,
// and refuted suspicions lengthen the timeout. The file also determines whether other members
// confirm the local one as alive, and removes expired records.

package membership

import (
	"maps"
	"slices"
	"time"
)

// MarkSeen records a request or response received directly from a member, and clears the local
// suspicion of that member.
func (m *Machine) MarkSeen(now time.Time, id string) {
	m.lastContactAt = now
	member := m.table.Get(id)
	if member == nil {
		return
	}
	if member.Region != m.self.Region {
		m.recordRegionContact(member.Region, now)
	}
	watched := m.watches[id]
	if watched == nil {
		return
	}
	suspected := !watched.suspectedSince.IsZero()
	watched.suspectedSince = time.Time{}
	if suspected {
		m.version++
		m.recordStatusChange(now, member, member.Status, "")
	}
	watched.lastSeenAt = now
	delete(m.suspicions, id)
}

// RecordConfirmation records that a monitor received a message that this member sent at
// the given time.
func (m *Machine) RecordConfirmation(monitor string, sentAt time.Time) {
	if sentAt.After(m.confirmedAt[monitor]) {
		m.confirmedAt[monitor] = sentAt
	}
}

// SelfConfirmed reports whether the local member's liveness lease is valid.
func (m *Machine) SelfConfirmed(now time.Time) bool {
	return now.Before(m.ConfirmedUntil(now))
}

// ConfirmedUntil returns when the local member's liveness lease expires. The lease needs
// confirmations from two monitors, or from one in a region of two or three members, and lasts for
// SuspicionTimeout after the confirmed messages were sent, counted from the older of the two. The
// result is the zero time if there are too few confirmations. Without other members in the region,
// not counting those that left, the lease is always valid. If all other members are dead, it
// expires. During a partition within the region, members on the other side may declare the member
// dead before the lease expires.
func (m *Machine) ConfirmedUntil(now time.Time) time.Time {
	needed := min(2, (m.otherMembersInRegion()+1)/2)
	if needed == 0 {
		return now.Add(SuspicionTimeout)
	}
	if len(m.confirmedAt) < needed {
		return time.Time{}
	}
	latestFirst := slices.SortedFunc(maps.Values(m.confirmedAt), func(a, b time.Time) int { return b.Compare(a) })
	return latestFirst[needed-1].Add(SuspicionTimeout)
}

// otherMembersInRegion returns the number of other members of the local region that have not left.
func (m *Machine) otherMembersInRegion() int {
	count := 0
	for _, candidate := range m.table.members {
		member := candidate.member
		if member.ID != m.self.ID && member.Region == m.self.Region && member.Status != Left {
			count++
		}
	}
	return count
}

// Tick updates the status of watched members and the reachability of regions, and removes expired
// records. It must be called several times a second.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.lastTickAt) > StallThreshold {
		m.restartTimeouts(now)
	}
	m.lastTickAt = now
	m.Targets(now)
	isolated := m.isolated(now)
	for id, watched := range m.watches {
		m.startSuspicion(now, id, watched)
		if !isolated && !watched.suspectedSince.IsZero() {
			m.updateStatus(now, id, watched)
		}
	}
	m.updateReachableRegions()
	m.removeExpired(now)
}

// restartTimeouts restarts all timeouts after a stall of this process, during which it could not
// receive heartbeats.
func (m *Machine) restartTimeouts(now time.Time) {
	for _, watched := range m.watches {
		watched.lastSeenAt = now
		watched.suspectedSince = time.Time{}
	}
	for region := range m.regionContactAt {
		m.regionContactAt[region] = now
	}
	m.lastContactAt = now
}

// isolated reports whether this member watches more than one member and has had no recent contact
// with any member. An isolated member suspects no others, because its own connectivity is the
// likely cause.
func (m *Machine) isolated(now time.Time) bool {
	return len(m.watches) > 1 && now.Sub(m.lastContactAt) >= SuspicionTimeout-HeartbeatInterval
}

// startSuspicion starts a local suspicion of a watched member if its suspicion timeout has passed.
func (m *Machine) startSuspicion(now time.Time, id string, watched *watch) {
	if watched.suspectedSince.IsZero() && now.Sub(watched.lastSeenAt) >= m.suspicionTimeout(id) {
		watched.suspectedSince = now
		m.version++
		member := m.table.Get(id)
		m.recordStatusChange(now, member, member.Status, "")
	}
}

// updateStatus marks a locally suspected member as Suspect, or as Dead if another monitor also
// suspects it or the confirmation timeout has passed.
func (m *Machine) updateStatus(now time.Time, id string, watched *watch) {
	member := m.table.Get(id)
	if m.suspectedByOther(member) || now.Sub(watched.suspectedSince) >= ConfirmationTimeout {
		m.recordSuspicion(member)
		m.mergeRecord(now, member.WithStatus(now, member.Incarnation, Dead), "")
		return
	}
	if member.Status == Alive {
		m.recordSuspicion(member)
		m.mergeRecord(now, member.WithStatus(now, member.Incarnation, Suspect), "")
	}
}

// suspectedByOther reports whether another monitor has announced that it suspects this incarnation.
func (m *Machine) suspectedByOther(member *Member) bool {
	previous := m.suspicions[member.ID]
	return member.Status == Suspect && (previous == nil || previous.incarnation != member.Incarnation)
}

// recordSuspicion records a local suspicion. The timeout doubles with each refuted suspicion until
// contact resumes, so that a broken link between two otherwise reachable members causes fewer
// and fewer status changes.
func (m *Machine) recordSuspicion(member *Member) {
	previous := m.suspicions[member.ID]
	if previous == nil {
		m.suspicions[member.ID] = &suspicion{incarnation: member.Incarnation, timeout: SuspicionTimeout}
		return
	}
	if previous.incarnation != member.Incarnation {
		previous.incarnation = member.Incarnation
		previous.timeout = min(2*previous.timeout, MaxSuspicionTimeout)
	}
}

// suspicionTimeout returns the time without contact after which a member is suspected.
func (m *Machine) suspicionTimeout(id string) time.Duration {
	previous := m.suspicions[id]
	if previous == nil {
		return SuspicionTimeout
	}
	member := m.table.Get(id)
	if member.Incarnation == previous.incarnation {
		return previous.timeout
	}
	return min(2*previous.timeout, MaxSuspicionTimeout)
}

// updateWatches updates the watched members to the current targets. It restarts the timeout of a
// member that has refuted a local suspicion.
func (m *Machine) updateWatches(now time.Time) {
	wanted := map[string]*watch{}
	for _, target := range m.targets.Monitored {
		watched := m.watches[target.ID]
		if watched == nil || m.refuted(target, watched) {
			watched = &watch{lastSeenAt: now}
		}
		wanted[target.ID] = watched
	}
	m.watches = wanted
}

// refuted reports whether the target has a higher incarnation than the locally suspected one.
func (m *Machine) refuted(target *Member, watched *watch) bool {
	previous := m.suspicions[target.ID]
	return previous != nil && target.Incarnation > previous.incarnation && !watched.suspectedSince.IsZero()
}

// suspectedLocally reports whether this member itself suspects the other one.
func (m *Machine) suspectedLocally(id string) bool {
	watched := m.watches[id]
	return watched != nil && !watched.suspectedSince.IsZero()
}

// expiryInterval is the minimum time between two scans for expired records.
const expiryInterval = 10 * time.Second

// removeExpired removes the expired records of dead and left members.
func (m *Machine) removeExpired(now time.Time) {
	if now.Sub(m.lastExpiryAt) < expiryInterval {
		return
	}
	m.lastExpiryAt = now
	for id, expiresAt := range m.expiresAt {
		if !now.Before(expiresAt) {
			m.table.Remove(id)
			delete(m.expiresAt, id)
			delete(m.confirmedAt, id)
			delete(m.suspicions, id)
		}
	}
}
