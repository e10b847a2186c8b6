package presence

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/burlmill/burlmill/catalog"
)

// Ring is a consistent-hash ring of balancers. A process is monitored by the balancers next to its
// point on the ring, some of its own zone and some of others. All processes thus determine the same
// balancers for it, and a balancer that joins or fails changes few of these assignments. Successors
// returns the balancers after a point, Neighbors those on both sides of it.
type Ring struct {
	nodes      []ringNode
	zoneCounts map[catalog.ZoneName]int // number of balancers by zone
}

type ringNode struct {
	point   uint64
	address netip.AddrPort
	zone    catalog.ZoneName
}

// NewRing returns an empty ring.
func NewRing() *Ring { return &Ring{zoneCounts: map[catalog.ZoneName]int{}} }

// Add adds a balancer, which must not be on the ring yet.
func (r *Ring) Add(address netip.AddrPort, zone catalog.ZoneName) {
	r.nodes = append(r.nodes, ringNode{Point(address), address, zone})
	r.zoneCounts[zone]++
}

// Sort orders the ring. It must be called after the last Add and before the first query.
func (r *Ring) Sort() {
	slices.SortFunc(r.nodes, func(a, b ringNode) int {
		return cmp.Or(cmp.Compare(a.point, b.point), a.address.Compare(b.address))
	})
}

// Successors returns the next balancers after the point of the process at the address, without the
// process itself: near balancers of its zone, then far balancers of other zones. If there are too
// few of one kind, more of the other are returned.
func (r *Ring) Successors(
	address netip.AddrPort, zone catalog.ZoneName, near, far int,
) []netip.AddrPort {
	return r.walk(address, zone, near, far, 1)
}

// Neighbors returns the next balancers on both sides of the point of the process at the address,
// without the process itself and without duplicates. Each side has the numbers of balancers that
// Successors returns.
func (r *Ring) Neighbors(
	address netip.AddrPort, zone catalog.ZoneName, near, far int,
) []netip.AddrPort {
	around := r.walk(address, zone, near, far, 1)
	for _, other := range r.walk(address, zone, near, far, -1) {
		if !slices.Contains(around, other) {
			around = append(around, other)
		}
	}
	return around
}

// walk returns the next balancers on one side of the point: after it if step is 1, before it if
// step is -1.
func (r *Ring) walk(
	address netip.AddrPort, zone catalog.ZoneName, near, far, step int,
) []netip.AddrPort {
	count := len(r.nodes)
	start, found := slices.BinarySearchFunc(r.nodes, Point(address),
		func(node ringNode, point uint64) int {
			return cmp.Compare(node.point, point)
		})
	if step > 0 && !found {
		start-- // the first successor is at start itself
	}
	inRing := found && r.nodes[start].address == address
	near, far = r.quotas(near, far, zone, inRing)
	var inZone, elsewhere []netip.AddrPort
	for i := 1; i <= count && (len(inZone) < near || len(elsewhere) < far); i++ {
		next := r.nodes[((start+i*step)%count+count)%count]
		switch {
		case next.address == address:
		case next.zone == zone && len(inZone) < near:
			inZone = append(inZone, next.address)
		case next.zone != zone && len(elsewhere) < far:
			elsewhere = append(elsewhere, next.address)
		}
	}
	return append(inZone, elsewhere...)
}

// quotas returns how many balancers to return of the zone and of other zones, given that there may
// be too few of one kind. inRing is set if the process itself is one of the balancers of the zone.
func (r *Ring) quotas(near, far int, zone catalog.ZoneName, inRing bool) (inZone, elsewhere int) {
	inZone, elsewhere = r.zoneCounts[zone], len(r.nodes)-r.zoneCounts[zone]
	if inRing {
		inZone--
	}
	elsewhere = min(elsewhere, far+max(0, near-inZone))
	inZone = min(inZone, near+max(0, far-elsewhere))
	return inZone, elsewhere
}
