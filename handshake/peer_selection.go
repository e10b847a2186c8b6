// This file selects the peers that a balancer monitors, among them the agents that it places flows
// on, and the store watchers. The regular selection also removes expired peers and records. The
// file also determines whether a balancer is among the first of its zone.

package handshake

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/presence"
)

// A balancer monitors its neighbors on the ring of balancers, the agents that it places flows on,
// and its share of the other processes, such as the remaining agents and failed processes.

// Numbers of agents of one service that a balancer places flows on. Agents of its own zone are
// preferred, because each sends its load several times a second and traffic between zones is
// expensive. Agents of other zones provide capacity when the zone is full.
const (
	SubscribedAgents     = 24
	subscribedZoneAgents = 16 // of its own zone, if available
)

// Numbers of balancers that monitor a process.
const (
	agentMonitorsInZone    = 2 // balancers in an agent's zone, besides those that place flows on it
	agentMonitorsElsewhere = 1 // balancers in other zones, in case the whole zone fails
	ringNeighborsInZone    = 4 // balancers in a balancer's zone, on each side of it on the ring
	ringNeighborsElsewhere = 2 // balancers in other zones, on each side
)

// Times between two selections.
const (
	selectionInterval    = 500 * time.Millisecond
	minSelectionInterval = 100 * time.Millisecond // after a change; covers several changes at once
)

// selectSoon schedules the next selection within minSelectionInterval.
func (p *Peers) selectSoon(now time.Time) {
	if soon := now.Add(minSelectionInterval); soon.Before(p.nextSelectionAt) {
		p.nextSelectionAt = soon
	}
}

// refreshPeers removes expired peers and records, updates the peer counts and the active peers and,
// on a balancer, selects the peers to monitor. It does nothing until the next selection is due.
func (p *Peers) refreshPeers(now time.Time) {
	if now.Before(p.nextSelectionAt) {
		return
	}
	p.nextSelectionAt = now.Add(selectionInterval)
	p.records.Expire(now)
	clear(p.reachableByRole)
	p.subscriptions, p.seenBalancers = 0, 0
	for address, peer := range p.peers {
		if peer.expired(now) {
			delete(p.peers, address)
			delete(p.active, address)
			continue
		}
		if peer.reachable(now) {
			p.reachableByRole[peer.status.Role]++
		}
		if peer.status.Role == presence.RoleBalancer && peer.seenRecently(now) {
			p.seenBalancers++
		}
		if p.role == presence.RoleAgent && peer.subscribed(now) {
			p.subscriptions++
		}
	}
	if p.role == presence.RoleBalancer {
		p.selectMonitored(now)
	}
	for address, peer := range p.peers {
		if p.interval(now, peer) != 0 {
			p.active[address] = peer
		}
	}
}

// selectMonitored selects the peers that a balancer monitors, and the store watchers.
func (p *Peers) selectMonitored(now time.Time) {
	ring := presence.NewRing()
	ring.Add(p.self, p.zone)
	services := map[catalog.ServiceName][]*peerState{}
	for address, peer := range p.peers {
		switch {
		case !peer.reachable(now):
		case peer.status.Role == presence.RoleBalancer:
			ring.Add(address, peer.status.Zone)
		case peer.status.Role == presence.RoleAgent:
			services[peer.status.Service] = append(services[peer.status.Service], peer)
		}
	}
	ring.Sort()
	p.selectStoreWatchers(now)
	selected := map[*peerState]bool{}
	for _, agents := range services {
		for _, agent := range p.selectAgents(agents) {
			selected[agent] = true
		}
	}
	for _, address := range ring.Neighbors(
		p.self, p.zone, ringNeighborsInZone, ringNeighborsElsewhere) {
		selected[p.peers[address]] = true
	}
	p.monitoredBalancers = 0
	for _, peer := range p.peers {
		p.setMonitored(now, peer, selected[peer] || p.mustMonitor(now, ring, peer))
		switch {
		case !peer.monitored:
		case peer.status.Role == presence.RoleAgent:
			p.subscriptions++
		case peer.seenRecently(now):
			p.monitoredBalancers++
		}
	}
}

// mustMonitor reports whether the ring assigns the process to this balancer for monitoring. Failed
// processes are monitored until they expire, because they may restart or become reachable again,
// and so are peers that have never been seen.
func (p *Peers) mustMonitor(now time.Time, ring *presence.Ring, peer *peerState) bool {
	switch {
	case peer.status.Role == presence.RoleBalancer && peer.reachable(now):
		return false // the caller selects reachable balancers from the ring
	case peer.status.Role == presence.RoleBalancer:
		return slices.Contains(ring.Neighbors(
			peer.address, peer.status.Zone, ringNeighborsInZone, ringNeighborsElsewhere), p.self)
	default:
		return slices.Contains(ring.Successors(
			peer.address, peer.status.Zone, agentMonitorsInZone, agentMonitorsElsewhere), p.self)
	}
}

// setMonitored sets whether the peer is monitored. A newly monitored peer is due a status at once.
func (p *Peers) setMonitored(now time.Time, peer *peerState, monitored bool) {
	if monitored && !peer.monitored {
		peer.monitorRequestedAt = time.Time{}
		peer.nextStatusAt = now
	}
	peer.monitored = monitored
}

// selectStoreWatchers selects the first StoreWatchers balancers in the store watcher order. The
// balancer with the highest point in each zone comes before all others, so that the first ones are
// of different zones and do not fail together with one zone.
func (p *Peers) selectStoreWatchers(now time.Time) {
	highest := map[catalog.ZoneName]uint64{p.zone: presence.Point(p.self)}
	for _, peer := range p.peers {
		peer.watchesStore = peer.status.Role == presence.RoleBalancer &&
			!peer.status.ShuttingDown && peer.reachable(now)
		if peer.watchesStore {
			highest[peer.status.Zone] = max(highest[peer.status.Zone], peer.point)
		}
	}
	order := []watcherRank{{highest[p.zone] == presence.Point(p.self), presence.Point(p.self)}}
	for _, peer := range p.peers {
		peer.zoneLeader = peer.watchesStore && highest[peer.status.Zone] == peer.point
		if peer.watchesStore {
			order = append(order, peer.rank())
		}
	}
	own := order[0]
	p.zoneLeader = own.zoneLeader
	slices.SortFunc(order, watcherRank.compare)
	last := order[max(0, len(order)-StoreWatchers)]
	p.watchesStore = own.compare(last) >= 0
	for _, peer := range p.peers {
		peer.watchesStore = peer.watchesStore && peer.rank().compare(last) >= 0
	}
}

// IsAmongFirstOfZone reports whether fewer than limit reachable balancers of this balancer's zone
// come before it, in an order that is the same at all processes.
func (p *Peers) IsAmongFirstOfZone(now time.Time, limit int) bool {
	ahead := 0
	for _, peer := range p.peers {
		if peer.status.Role == presence.RoleBalancer && peer.status.Zone == p.zone &&
			peer.point > presence.Point(p.self) && peer.reachable(now) {
			ahead++
		}
	}
	return ahead < limit
}

// watcherRank is the position of a balancer in the store watcher order; the highest rank comes
// first.
type watcherRank struct {
	zoneLeader bool // it has the highest point in its zone
	point      uint64
}

func (r watcherRank) compare(other watcherRank) int {
	return cmp.Or(compareBools(r.zoneLeader, other.zoneLeader), cmp.Compare(r.point, other.point))
}

func (p *peerState) rank() watcherRank { return watcherRank{p.zoneLeader, p.point} }

// selectAgents returns the agents of one service that this balancer places flows on: up to
// subscribedZoneAgents of its zone, then others of any zone, each in order of decreasing affinity.
func (p *Peers) selectAgents(agents []*peerState) []*peerState {
	if len(agents) <= SubscribedAgents {
		return agents
	}
	slices.SortFunc(agents, func(a, b *peerState) int {
		return cmp.Compare(p.affinity(b.address), p.affinity(a.address))
	})
	selected := make([]*peerState, 0, SubscribedAgents)
	var rest []*peerState
	for _, agent := range agents {
		if agent.status.Zone == p.zone && len(selected) < subscribedZoneAgents {
			selected = append(selected, agent)
			continue
		}
		rest = append(rest, agent)
	}
	return append(selected, rest[:SubscribedAgents-len(selected)]...)
}

// affinity returns a hash of the addresses of this process and the other, so that each process
// ranks peers differently.
func (p *Peers) affinity(other netip.AddrPort) uint64 {
	var buffer [64]byte
	encoded, _ := p.self.AppendBinary(buffer[:0])
	encoded, _ = other.AppendBinary(encoded)
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(encoded)))
	return xxhash.Sum64(encoded)
}
