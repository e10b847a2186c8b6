// This file records changes in the status of other members, so that the process can log them.

package membership

import "time"

// maxStatusChanges limits the recorded changes that have not been taken; further ones are dropped.
const maxStatusChanges = 64

// StatusChange states that this member now considers another member to be in a different state.
type StatusChange struct {
	Member       *Member
	Previous     Status
	Source       string        // ID of the neighbour that sent the record; empty: decided here
	Suspected    bool          // this member has no contact with the other one, which it monitors
	SinceContact time.Duration // time since the latest contact; 0 if the member is not monitored
}

// TakeStatusChanges returns the status changes since the previous call.
func (m *Machine) TakeStatusChanges() []StatusChange {
	taken := m.statusChanges
	m.statusChanges = nil
	return taken
}

// recordStatusChange records a change of a known member's status or of the local suspicion.
func (m *Machine) recordStatusChange(now time.Time, member *Member, previous Status, source string) {
	if len(m.statusChanges) >= maxStatusChanges {
		return
	}
	change := StatusChange{Member: member, Previous: previous, Source: source, Suspected: m.suspectedLocally(member.ID)}
	if watched := m.watches[member.ID]; watched != nil {
		change.SinceContact = now.Sub(watched.lastSeenAt)
	}
	m.statusChanges = append(m.statusChanges, change)
}
