package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the graph along which members call each other.
const (
	// MonitorCount is the number of members that each member watches, and so, on
	// average, the number of its monitors.
	MonitorCount = 3
	// nearCount is how many of them are the next ones on the first ring. So every
	// member has at least that many monitors. The other one is the next on a second
	// ring in another random order, which makes the whole a graph on which news
	// reaches everyone in a few steps.
	nearCount = 2
	// GatewayCount is the number of members of a region that call one member
	// each in every other region.
	GatewayCount = 8
)

// Targets are the members that one member calls.
type Targets struct {
	Watched  []*Member // in the own region; this member decides whether they are alive
	Gateways []*Member // one in each other region, for members that are gateways
}

// targets computes the neighbours of self from the table alone.
func (t *Table) targets(self *Member) Targets {
	return Targets{Watched: t.watched(self), Gateways: t.gateways(self)}
}

// placed is a member at its distance from self on one ring.
type placed struct {
	member   *Member
	distance uint64
}

func (t *Table) watched(self *Member) []*Member {
	first, second := t.successors(self, 0), t.successors(self, 1)
	chosen := first[:min(nearCount, len(first))]
	for _, successor := range second {
		if len(chosen) < MonitorCount && !slices.Contains(chosen, successor) {
			chosen = append(chosen, successor)
		}
	}
	return chosen
}

// successors returns the MonitorCount members that follow self on a ring of its region.
func (t *Table) successors(self *Member, ring int) []*Member {
	own := ringPoint(xxhash.Sum64String(self.ID), ring)
	var nearest []placed
	for _, candidate := range t.members {
		member := candidate.member
		if member.ID == self.ID || member.Region != self.Region || member.Status.Gone() {
			continue
		}
		distance := ringPoint(candidate.point, ring) - own
		nearest = insertPlaced(nearest, placed{member, distance}, MonitorCount)
	}
	var members []*Member
	for _, place := range nearest {
		members = append(members, place.member)
	}
	return members
}

func ringPoint(point uint64, ring int) uint64 { return mix(point + uint64(ring)) }

// insertPlaced keeps the limit nearest members in order of distance.
func insertPlaced(nearest []placed, added placed, limit int) []placed {
	if len(nearest) == limit && added.distance >= nearest[limit-1].distance {
		return nearest
	}
	compare := func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.member.ID, b.member.ID))
	}
	index, _ := slices.BinarySearchFunc(nearest, added, compare)
	nearest = slices.Insert(nearest, index, added)
	return nearest[:min(len(nearest), limit)]
}

// gateways pairs the members of two regions that come first in an order which
// depends on both regions, and returns self's partner in each other region.
func (t *Table) gateways(self *Member) []*Member {
	firsts := map[string][]placed{}
	own := map[string][]placed{}
	for _, region := range t.regions() {
		if region != self.Region {
			own[region] = nil
		}
	}
	for _, candidate := range t.members {
		member := candidate.member
		if member.Status.Gone() {
			continue
		}
		if member.Region != self.Region {
			point := placed{member, mix(candidate.point ^ xxhash.Sum64String(self.Region))}
			firsts[member.Region] = insertPlaced(firsts[member.Region], point, GatewayCount)
			continue
		}
		for region := range own {
			point := placed{member, mix(candidate.point ^ xxhash.Sum64String(region))}
			own[region] = insertPlaced(own[region], point, GatewayCount)
		}
	}
	var partners []*Member
	for _, region := range t.regions() {
		rank := slices.IndexFunc(own[region], func(p placed) bool { return p.member.ID == self.ID })
		if rank >= 0 {
			partners = append(partners, firsts[region][rank%len(firsts[region])].member)
		}
	}
	return partners
}

// regions returns the regions that have live members, in order of name.
func (t *Table) regions() []string {
	var names []string
	for _, candidate := range t.members {
		if candidate.member.Status.Gone() || slices.Contains(names, candidate.member.Region) {
			continue
		}
		names = append(names, candidate.member.Region)
	}
	slices.Sort(names)
	return names
}
