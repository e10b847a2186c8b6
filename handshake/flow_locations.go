// This file contains the locations of flows that balancers replicate to agents, so that a flow is
// found after its agent and the balancers that knew it have restarted. An agent stores them,
// answers queries with them, and uses those that it is told when it searches for a balancer.

package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// An agent that has restarted does not know the flows of its back end until it sees a datagram of
// them, and can only answer that it may hold a flow. If a stored location names it, no other agent
// holds the flow, so its datagrams are forwarded without a probe. If the back end has closed the
// flow, it returns the datagram, and the caller is reset.

// Limits of stored locations.
const (
	// MaxLocationsPerMessage is the maximum number of locations in one StoreLocations, such that
	// the message fits into one packet.
	MaxLocationsPerMessage = 16
	// maxStoredLocations is the maximum number of locations of each generation that an agent
	// stores.
	maxStoredLocations = 16384
)

// FlowLocation is the agent that holds a flow.
type FlowLocation struct {
	Key      flow.Key
	Confirms uint32 // as in FlowQuery
	Agent    netip.AddrPort
}

// StoreLocations requests that an agent store locations of flows that other agents hold.
type StoreLocations struct{ Locations []FlowLocation } // at most MaxLocationsPerMessage

// locationStore stores locations in two generations. Each takes new locations until it is full or
// older than the lifetime of flows, and is then kept until the next one is. So a location is stored
// for the lifetime of a flow at least, unless more than maxStoredLocations replace it.
type locationStore struct {
	lifetime          time.Duration // maximum duration of a flow
	current, previous map[flow.Key]FlowLocation
	currentSince      time.Time
}

func newLocationStore(now time.Time, lifetime time.Duration) locationStore {
	return locationStore{lifetime: lifetime, current: map[flow.Key]FlowLocation{}, currentSince: now}
}

// add stores a location. It replaces an earlier one of a flow with the same key.
func (s *locationStore) add(now time.Time, location FlowLocation) {
	s.expire(now)
	if len(s.current) >= maxStoredLocations {
		s.startGeneration(now)
	}
	s.current[location.Key] = location
}

// expire starts a new generation if the current one is older than the lifetime of flows.
func (s *locationStore) expire(now time.Time) {
	if now.Sub(s.currentSince) > s.lifetime {
		s.startGeneration(now)
	}
}

func (s *locationStore) startGeneration(now time.Time) {
	s.previous, s.current = s.current, map[flow.Key]FlowLocation{}
	s.currentSince = now
}

// find returns the agent that holds the flow, zero if no location of it is stored. The number
// confirms distinguishes the flow from others with the same key.
func (s *locationStore) find(key flow.Key, confirms uint32) netip.AddrPort {
	location, ok := s.current[key]
	if !ok {
		location, ok = s.previous[key]
	}
	if !ok || !sameFlowConfirms(location.Confirms, confirms) {
		return netip.AddrPort{}
	}
	return location.Agent
}

// HandleStoreLocations stores the locations that a balancer replicates.
func (a *Agent) HandleStoreLocations(now time.Time, message StoreLocations) []Action {
	for _, location := range message.Locations {
		a.locations.add(now, location)
	}
	return a.drain()
}

// StoredLocations returns the number of stored locations.
func (a *Agent) StoredLocations() int { return len(a.locations.current) + len(a.locations.previous) }

// useLocation records the agent that holds the flow of a search according to a stored location,
// zero if the sender stores none. An agent that the balancer has not named is queried too.
func (a *Agent) useLocation(running *search, agent netip.AddrPort) {
	if !agent.IsValid() || running.located.IsValid() {
		return
	}
	running.located = agent
	if !slices.Contains(running.agents, agent) {
		running.locatedPending = true
		a.emit(Send{To: agent, Message: FlowQuery{Key: running.key, Confirms: running.confirms}})
	}
}

// endLocated ends a search whose flow is held by the located agent, which answered only that it may
// hold the flow.
func (a *Agent) endLocated(running *search) {
	running.pending = nil
	a.emit(Decision{Event: EventLocationUsed, Key: running.key, Service: a.options.Service,
		Peer: running.located, Attempts: len(running.possibleHolders)})
	a.endSearch(running, running.located)
}
