package routing

import (
	"net/netip"
	"slices"

	"github.com/burlmill/burlmill/catalog"
)

// Splitter deals the new flows of each route out to the route's services so that
// every run of flows holds each service as often as its weight says (smooth
// weighted round robin). It is not safe for concurrent use.
type Splitter struct {
	splits map[netip.AddrPort]*split
}

// split is how the flows of one route have been dealt out so far.
type split struct {
	targets []Target
	credits []int // what each target has left to get
}

// NewSplitter returns a splitter that has dealt nothing.
func NewSplitter() *Splitter {
	return &Splitter{splits: map[netip.AddrPort]*split{}}
}

// Next returns the service of the route's next new flow. A new version that
// leaves the route's targets as they were does not disturb their shares.
func (s *Splitter) Next(table *Table, route *Route) catalog.ServiceName {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	return s.splitOf(table, route).next()
}

func (s *Splitter) splitOf(table *Table, route *Route) *split {
	if len(s.splits) > 2*table.Len() {
		clear(s.splits) // most are of routes that are gone
	}
	known := s.splits[route.Address]
	if known == nil || !slices.Equal(known.targets, route.Targets) {
		known = &split{targets: route.Targets, credits: make([]int, len(route.Targets))}
		s.splits[route.Address] = known
	}
	return known
}

func (s *split) next() catalog.ServiceName {
	total, best := 0, -1
	for i, target := range s.targets {
		s.credits[i] += target.Weight
		total += target.Weight
		if target.Weight > 0 && (best < 0 || s.credits[i] > s.credits[best]) {
			best = i
		}
	}
	s.credits[best] -= total
	return s.targets[best].Service
}
