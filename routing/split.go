package routing

import (
	"net/netip"

	"github.com/burlmill/burlmill/catalog"
)

// Splitter deals the new flows of each route out to the route's services so that
// every run of flows holds each service as often as its weight says (smooth
// weighted round robin). It is not safe for concurrent use.
type Splitter struct {
	version Version
	credits map[netip.AddrPort][]int // by route: what each target has left to get
}

// NewSplitter returns a splitter that has dealt nothing.
func NewSplitter() *Splitter {
	return &Splitter{credits: map[netip.AddrPort][]int{}}
}

// Next returns the service of the route's next new flow.
func (s *Splitter) Next(table *Table, route *Route) catalog.ServiceName {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	if s.version != table.Version() {
		s.version = table.Version()
		clear(s.credits)
	}
	credits := s.credits[route.Address]
	if credits == nil {
		credits = make([]int, len(route.Targets))
		s.credits[route.Address] = credits
	}
	total, best := 0, -1
	for i, target := range route.Targets {
		credits[i] += target.Weight
		total += target.Weight
		if target.Weight > 0 && (best < 0 || credits[i] > credits[best]) {
			best = i
		}
	}
	credits[best] -= total
	return route.Targets[best].Service
}
