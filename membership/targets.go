// This file selects the members to which a member sends heartbeats: those that it watches in its
// region and, for gateways, one in each other region.

package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the heartbeat graph.
const (
	// MonitorCount is the number of members that each member watches and, on average, the
	// number of its monitors.
	MonitorCount = 3
	// firstRingCount is the number of watched members that are successors on the first ring, and
	// the minimum number of monitors of each member. The others are successors on a second
	// ring in a different order, which keeps the diameter of the graph small.
	firstRingCount = 2
	// GatewayCount is the maximum number of gateways that a region has for each other region.
	// Each gateway sends heartbeats to one member there.
	GatewayCount = 8
)

// Targets lists the members to which one member sends heartbeats.
type Targets struct {
	Monitored []*Member // in the local region; monitored for failure
	Gateways  []*Member // one in each other region for which the member is a gateway
}

// targets returns the heartbeat targets of self. They depend only on self and the table.
func (t *Table) targets(self *Member) Targets {
	return Targets{Monitored: t.watched(self), Gateways: t.gateways(self)}
}

// rankedMember is a member with its sort key: the distance from self on a ring, or a hash that
// orders the candidates for gateways.
type rankedMember struct {
	member *Member
	key    uint64
}

// watched returns the members of its region that self watches.
func (t *Table) watched(self *Member) []*Member {
	first, second := t.successors(self, 0), t.successors(self, 1)
	selected := first[:min(firstRingCount, len(first))]
	for _, successor := range second {
		if len(selected) < MonitorCount && !slices.Contains(selected, successor) {
			selected = append(selected, successor)
		}
	}
	return selected
}

// successors returns up to MonitorCount members that follow self on a ring of its region.
func (t *Table) successors(self *Member, ring int) []*Member {
	origin := ringPoint(xxhash.Sum64String(self.ID), ring)
	var nearest []rankedMember
	for _, candidate := range t.members {
		member := candidate.member
		if member.ID == self.ID || member.Region != self.Region || member.Status.Terminal() {
			continue
		}
		distance := ringPoint(candidate.point, ring) - origin
		nearest = insertRanked(nearest, rankedMember{member, distance}, MonitorCount)
	}
	var members []*Member
	for _, successor := range nearest {
		members = append(members, successor.member)
	}
	return members
}

func ringPoint(point uint64, ring int) uint64 { return mix(point + uint64(ring)) }

// insertRanked inserts a member in ascending order of the keys and keeps the first limit members.
func insertRanked(ranked []rankedMember, added rankedMember, limit int) []rankedMember {
	if len(ranked) == limit && added.key >= ranked[limit-1].key {
		return ranked
	}
	compare := func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.member.ID, b.member.ID))
	}
	index, _ := slices.BinarySearchFunc(ranked, added, compare)
	ranked = slices.Insert(ranked, index, added)
	return ranked[:min(len(ranked), limit)]
}

// gateways returns the partner of self in each other region for which self is a gateway. The
// gateways between two regions are the first members of each in an order that depends on the
// other region, paired by rank.
func (t *Table) gateways(self *Member) []*Member {
	remote := map[string][]rankedMember{}
	local := map[string][]rankedMember{}
	for _, region := range t.regions() {
		if region != self.Region {
			local[region] = nil
		}
	}
	for _, candidate := range t.members {
		member := candidate.member
		if member.Status.Terminal() {
			continue
		}
		if member.Region != self.Region {
			ranked := rankedMember{member, mix(candidate.point ^ xxhash.Sum64String(self.Region))}
			remote[member.Region] = insertRanked(remote[member.Region], ranked, GatewayCount)
			continue
		}
		for region := range local {
			ranked := rankedMember{member, mix(candidate.point ^ xxhash.Sum64String(region))}
			local[region] = insertRanked(local[region], ranked, GatewayCount)
		}
	}
	var partners []*Member
	for _, region := range t.regions() {
		rank := slices.IndexFunc(local[region], func(p rankedMember) bool { return p.member.ID == self.ID })
		if rank >= 0 {
			partners = append(partners, remote[region][rank%len(remote[region])].member)
		}
	}
	return partners
}

// regions returns the regions that have live members, sorted by name.
func (t *Table) regions() []string {
	var names []string
	for _, candidate := range t.members {
		if candidate.member.Status.Terminal() || slices.Contains(names, candidate.member.Region) {
			continue
		}
		names = append(names, candidate.member.Region)
	}
	slices.Sort(names)
	return names
}
