package routing

import (
	"net/netip"
	"slices"

	"github.com/burlmill/burlmill/catalog"
)

// Splitter distributes the new flows of each route over the route's services by smooth weighted
// round robin. New versions of the table keep the shares of a route whose targets are unchanged.
// All state is reset when it covers more than twice as many routes as the table has. Splitter is
// not safe for concurrent use.
type Splitter struct {
	states map[netip.AddrPort]*splitState
}

// splitState is the round-robin state of one route.
type splitState struct {
	targets        []Target
	currentWeights []int // one for each target
}

// NewSplitter returns a splitter that has not yet selected any service.
func NewSplitter() *Splitter {
	return &Splitter{states: map[netip.AddrPort]*splitState{}}
}

// NextService returns the service for the next new flow of the route, which must be a route of the
// table. The state of a route is kept across versions of the table that do not change the route's
// targets.
func (s *Splitter) NextService(table *Table, route *Route) catalog.ServiceName {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	return s.stateOf(table, route).next()
}

func (s *Splitter) stateOf(table *Table, route *Route) *splitState {
	if len(s.states) > 2*table.Len() {
		clear(s.states) // at least half of the entries belong to removed routes
	}
	state := s.states[route.Address]
	if state == nil || !slices.Equal(state.targets, route.Targets) {
		state = &splitState{targets: route.Targets, currentWeights: make([]int, len(route.Targets))}
		s.states[route.Address] = state
	}
	return state
}

func (s *splitState) next() catalog.ServiceName {
	total, best := 0, -1
	for i, target := range s.targets {
		s.currentWeights[i] += target.Weight
		total += target.Weight
		if target.Weight > 0 && (best < 0 || s.currentWeights[i] > s.currentWeights[best]) {
			best = i
		}
	}
	s.currentWeights[best] -= total
	return s.targets[best].Service
}
