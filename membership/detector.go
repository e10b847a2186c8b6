package membership

import (
	"maps"
	"slices"
	"time"
)

// Heard notes proof of life: a request or a response from the member itself.
func (m *Machine) Heard(now time.Time, id string) {
	m.lastHeard = now
	member := m.table.Get(id)
	if member == nil {
		return
	}
	if member.Region != m.self.Region {
		m.touchRegion(member.Region, now)
	}
	watched := m.watches[id]
	if watched == nil {
		return
	}
	if !watched.since.IsZero() {
		m.version++
	}
	watched.heard = now
	watched.since = time.Time{}
	delete(m.doubts, id)
}

// Confirmed notes that a monitor has heard what this member sent at that time.
func (m *Machine) Confirmed(monitor string, sent time.Time) {
	if sent.After(m.confirmations[monitor]) {
		m.confirmations[monitor] = sent
	}
}

// SelfConfirmed says whether the member's lease on being alive is current.
func (m *Machine) SelfConfirmed(now time.Time) bool {
	return now.Before(m.ConfirmedUntil(now))
}

// ConfirmedUntil returns when the member's lease on being alive ends, by what is
// known now: two monitors have heard it within the suspicion time before, so that
// two of three cannot suspect it. In a region of two or three members one is
// enough. A member that has lost everyone it knew is not confirmed; one that
// never knew anyone is. It does not exclude that members on the other side of a
// partition within the region have declared the member dead.
func (m *Machine) ConfirmedUntil(now time.Time) time.Time {
	needed := min(2, (m.othersInRegion()+1)/2)
	if needed == 0 {
		return now.Add(SuspicionTime)
	}
	if len(m.confirmations) < needed {
		return time.Time{}
	}
	latestFirst := slices.SortedFunc(maps.Values(m.confirmations), func(a, b time.Time) int { return b.Compare(a) })
	return latestFirst[needed-1].Add(SuspicionTime)
}

// othersInRegion counts the members of the own region that have not said that
// they left.
func (m *Machine) othersInRegion() int {
	count := 0
	for _, candidate := range m.table.members {
		member := candidate.member
		if member.ID != m.self.ID && member.Region == m.self.Region && member.Status != Left {
			count++
		}
	}
	return count
}

// Tick judges the watched members and forgets those long gone. It is to be
// called several times a second.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.lastTick) > PauseTime {
		m.excuse(now)
	}
	m.lastTick = now
	m.Targets(now)
	isolated := m.isolated(now)
	for id, watched := range m.watches {
		m.noteSilence(now, id, watched)
		if !isolated && !watched.since.IsZero() {
			m.judge(now, id, watched)
		}
	}
	m.noteRegions()
	m.forget(now)
}

// excuse restarts all measurements of silence: this process was paused itself
// and cannot tell who was silent meanwhile.
func (m *Machine) excuse(now time.Time) {
	for _, watched := range m.watches {
		watched.heard = now
		watched.since = time.Time{}
	}
	for region := range m.regions {
		m.regions[region] = now
	}
	m.lastHeard = now
}

// isolated says whether this member hears nobody at all, although it watches
// several. It then has no right to judge others.
func (m *Machine) isolated(now time.Time) bool {
	return len(m.watches) > 1 && now.Sub(m.lastHeard) >= SuspicionTime-HeartbeatInterval
}

// noteSilence begins an own suspicion of a watched member.
func (m *Machine) noteSilence(now time.Time, id string, watched *watch) {
	if watched.since.IsZero() && now.Sub(watched.heard) >= m.patience(id) {
		watched.since = now
		m.version++
	}
}

// judge moves one silent member towards suspicion and death.
func (m *Machine) judge(now time.Time, id string, watched *watch) {
	member := m.table.Get(id)
	if m.confirmedByOther(member) || now.Sub(watched.since) >= ConfirmationTime {
		m.suspect(member)
		m.put(now, member.WithStatus(now, member.Incarnation, Dead), "")
		return
	}
	if member.Status == Alive {
		m.suspect(member)
		m.put(now, member.WithStatus(now, member.Incarnation, Suspect), "")
	}
}

// confirmedByOther says whether another monitor told the suspicion first.
func (m *Machine) confirmedByOther(member *Member) bool {
	own := m.doubts[member.ID]
	return member.Status == Suspect && (own == nil || own.incarnation != member.Incarnation)
}

// suspect remembers an own suspicion. A member that comes back in a higher
// incarnation, but still is not heard here, is given twice the time, so that a
// cut between two members that others can both reach causes ever fewer changes.
func (m *Machine) suspect(member *Member) {
	own := m.doubts[member.ID]
	if own == nil {
		m.doubts[member.ID] = &doubt{incarnation: member.Incarnation, patience: SuspicionTime}
		return
	}
	if own.incarnation != member.Incarnation {
		own.incarnation = member.Incarnation
		own.patience = min(2*own.patience, MaximumSuspicionTime)
	}
}

// patience returns the silence that is tolerated of a member.
func (m *Machine) patience(id string) time.Duration {
	own := m.doubts[id]
	if own == nil {
		return SuspicionTime
	}
	member := m.table.Get(id)
	if member.Incarnation == own.incarnation {
		return own.patience
	}
	return min(2*own.patience, MaximumSuspicionTime)
}

// rewatch starts watching new targets and stops watching others. A member that
// denied a suspicion is measured anew.
func (m *Machine) rewatch(now time.Time) {
	wanted := map[string]*watch{}
	for _, target := range m.targets.Watched {
		watched := m.watches[target.ID]
		if watched == nil || m.denied(target, watched) {
			watched = &watch{heard: now}
		}
		wanted[target.ID] = watched
	}
	m.watches = wanted
}

func (m *Machine) denied(target *Member, watched *watch) bool {
	own := m.doubts[target.ID]
	return own != nil && target.Incarnation > own.incarnation && !watched.since.IsZero()
}

// silent says whether this member itself misses the other's heartbeats.
func (m *Machine) silent(id string) bool {
	watched := m.watches[id]
	return watched != nil && !watched.since.IsZero()
}

// forgetInterval is the time between two searches for records to forget.
const forgetInterval = 10 * time.Second

// forget drops members that have been gone for the retention time.
func (m *Machine) forget(now time.Time) {
	if now.Sub(m.forgotten) < forgetInterval {
		return
	}
	m.forgotten = now
	for id, expiry := range m.gone {
		if !now.Before(expiry) {
			m.table.Forget(id)
			delete(m.gone, id)
			delete(m.confirmations, id)
			delete(m.doubts, id)
		}
	}
}
