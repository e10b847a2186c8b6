package handshake

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
)

// Which agents a balancer places flows on, and which balancers read the store.

// How many agents of one service a balancer places flows on. Most are of its own zone, since each
// of them tells it its load several times a second, and bytes between zones are dear; those of
// others take what the zone has no room for. Bytes between zones were a quarter to a half less (one play each of two
// fleets of 77 and 90 machines, calm and with a crowd), callers were served alike.
const (
	SubscribedAgents = 24
	zoneAgents       = 16 // of its own zone, if there are so many
)

// selectionInterval is the time between two selections of agents.
const selectionInterval = 500 * time.Millisecond

// selectAgents counts the contacts and, at a balancer, renews the choice of the
// agents that it places flows on: of each service those with the highest hash for
// this balancer (rendezvous hashing), so that each agent is chosen by about as
// many balancers and few change when one comes or goes.
func (c *Contacts) selectAgents(now time.Time) {
	if now.Before(c.nextSelection) {
		return
	}
	c.nextSelection = now.Add(selectionInterval)
	clear(c.counts)
	c.subscribed = 0
	services := map[catalog.ServiceName][]*contact{}
	for _, known := range c.contacts {
		if !known.heardLately(now) {
			continue
		}
		c.counts[known.status.Role]++
		if known.wants(now) {
			c.subscribed++
		}
		if known.status.Role == RoleAgent {
			services[known.status.Service] = append(services[known.status.Service], known)
		}
	}
	if c.role != RoleBalancer {
		return
	}
	c.selectReaders(now)
	for _, agents := range services {
		for _, chosen := range c.highest(agents) {
			if !chosen.wants(now) {
				chosen.next = now
			}
			chosen.subscription = now.Add(2 * selectionInterval)
		}
	}
}

// selectReaders notes which balancers come first in the order of readers.
func (c *Contacts) selectReaders(now time.Time) {
	order := []uint64{hashOf(c.self)}
	for address, known := range c.contacts {
		known.reads = known.status.Role == RoleBalancer && known.heardLately(now)
		if known.reads {
			order = append(order, hashOf(address))
		}
	}
	slices.Sort(order)
	lowest := order[max(0, len(order)-Readers)]
	c.reads = hashOf(c.self) >= lowest
	for address, known := range c.contacts {
		known.reads = known.reads && hashOf(address) >= lowest
	}
}

// highest returns the agents of one service that this balancer places flows on: the highest of
// its zone, then the highest of all that are left.
func (c *Contacts) highest(agents []*contact) []*contact {
	if len(agents) <= SubscribedAgents {
		return agents
	}
	slices.SortFunc(agents, func(a, b *contact) int {
		return cmp.Compare(c.affinity(b.address), c.affinity(a.address))
	})
	chosen := make([]*contact, 0, SubscribedAgents)
	var rest []*contact
	for _, agent := range agents {
		if agent.status.Zone == c.zone && len(chosen) < zoneAgents {
			chosen = append(chosen, agent)
			continue
		}
		rest = append(rest, agent)
	}
	return append(chosen, rest[:SubscribedAgents-len(chosen)]...)
}

// affinity is the hash of a pair of processes.
func (c *Contacts) affinity(other netip.AddrPort) uint64 {
	var buffer [64]byte
	encoded, _ := c.self.AppendBinary(buffer[:0])
	encoded, _ = other.AppendBinary(encoded)
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(encoded)))
	return xxhash.Sum64(encoded)
}
