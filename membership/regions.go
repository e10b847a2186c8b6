package membership

import "time"

// RegionContact says how long ago a region was in contact with another one.
type RegionContact struct {
	Region string
	Age    time.Duration
}

// RegionContacts returns the age of the latest contact that anyone in the own
// region is known to have had with each other region.
func (m *Machine) RegionContacts(now time.Time) []RegionContact {
	contacts := make([]RegionContact, 0, len(m.regions))
	for region, heard := range m.regions {
		contacts = append(contacts, RegionContact{region, now.Sub(heard)})
	}
	return contacts
}

// MergeContact takes in what a member of the own region told. Contacts are
// never told across regions, so that a region which only a third one can reach
// counts as unreachable.
func (m *Machine) MergeContact(now time.Time, contact RegionContact) {
	if _, known := m.regions[contact.Region]; !known {
		return
	}
	m.touchRegion(contact.Region, now.Add(-contact.Age-regionHopPenalty))
}

func (m *Machine) touchRegion(region string, heard time.Time) {
	if !heard.After(m.regions[region]) {
		return
	}
	m.regions[region] = heard
}

// regionReachable says whether the own region is in contact with the region.
func (m *Machine) regionReachable(region string) bool {
	if region == m.self.Region {
		return true
	}
	return m.lastTick.Sub(m.regions[region]) < RegionTime
}

// noteRegions makes a change of the reachable regions visible in Version.
func (m *Machine) noteRegions() {
	for region := range m.regions {
		reachable := m.regionReachable(region)
		if reachable != m.contact[region] {
			m.contact[region] = reachable
			m.version++
		}
	}
}
