package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the graph along which members call each other.
const (
	// RingCount is the number of rings, in each of which a member watches its
	// successor, and so the number of its monitors. Three rings in random orders also make a graph on which news
	// reaches everyone in a few steps.
	RingCount = 3
	// GatewayCount is the number of members of a region that call one member
	// each in every other region.
	GatewayCount = 8
	// smallRegion is the number of members up to which a region has one ring only,
	// on which each member watches the next three. In several random orders of so
	// few, one member would often follow the same other twice, so that some would
	// have fewer monitors than RingCount.
	smallRegion = 32
)

// Targets are the members that one member calls.
type Targets struct {
	Watched  []*Member // in the own region; this member decides whether they are alive
	Gateways []*Member // one in each other region, for members that are gateways
}

// targets computes the neighbours of self from the table alone, so that each
// member is watched by exactly one successor on each ring.
func (t *Table) targets(self *Member) Targets {
	return Targets{Watched: t.watched(self), Gateways: t.gateways(self)}
}

// placed is a member at its distance from self on one ring.
type placed struct {
	member   *Member
	distance uint64
}

func (t *Table) watched(self *Member) []*Member {
	own := xxhash.Sum64String(self.ID)
	var nearest [RingCount][]placed
	others := 0
	for _, candidate := range t.members {
		member := candidate.member
		if member.ID == self.ID || member.Region != self.Region || member.Status.Gone() {
			continue
		}
		others++
		for ring := range RingCount {
			distance := ringPoint(candidate.point, ring) - ringPoint(own, ring)
			nearest[ring] = insertPlaced(nearest[ring], placed{member, distance}, RingCount)
		}
	}
	if others < smallRegion {
		return membersOf(nearest[0])
	}
	var chosen []*Member
	for _, successors := range nearest {
		for _, successor := range successors {
			if !slices.Contains(chosen, successor.member) {
				chosen = append(chosen, successor.member)
				break
			}
		}
	}
	return chosen
}

func membersOf(places []placed) []*Member {
	var members []*Member
	for _, place := range places {
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
