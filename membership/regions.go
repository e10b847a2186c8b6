// This file determines which other regions are reachable, from the latest contact of any member of
// the local region with each. A region without contact for RegionTimeout is unreachable. Members
// exchange their latest contacts through RegionContacts and MergeRegionContact.

package membership

import "time"

// RegionContact is the latest known contact of the local region with another region.
type RegionContact struct {
	Region string        // other region
	Age    time.Duration // time since the contact
}

// RegionContacts returns the latest known contact of any member of the local region with each
// other region.
func (m *Machine) RegionContacts(now time.Time) []RegionContact {
	contacts := make([]RegionContact, 0, len(m.regionContactAt))
	for region, contactAt := range m.regionContactAt {
		contacts = append(contacts, RegionContact{region, now.Sub(contactAt)})
	}
	return contacts
}

// MergeRegionContact merges a contact reported by a member of the local region. Callers must not
// merge contacts reported by other regions: a region that is reachable only from a third one
// is unreachable here.
func (m *Machine) MergeRegionContact(now time.Time, contact RegionContact) {
	if _, known := m.regionContactAt[contact.Region]; !known {
		return
	}
	m.recordRegionContact(contact.Region, now.Add(-contact.Age-regionHopPenalty))
}

func (m *Machine) recordRegionContact(region string, contactAt time.Time) {
	if !contactAt.After(m.regionContactAt[region]) {
		return
	}
	m.regionContactAt[region] = contactAt
}

// regionReachable reports whether the local region has recent contact with the region. The
// local region is always reachable.
func (m *Machine) regionReachable(region string) bool {
	if region == m.self.Region {
		return true
	}
	return m.lastTickAt.Sub(m.regionContactAt[region]) < RegionTimeout
}

// updateReachableRegions increases the version for each region that became reachable or
// unreachable.
func (m *Machine) updateReachableRegions() {
	for region := range m.regionContactAt {
		reachable := m.regionReachable(region)
		if reachable != m.reachableRegions[region] {
			m.reachableRegions[region] = reachable
			m.version++
		}
	}
}
