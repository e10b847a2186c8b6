package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// Which other processes a process is told of. Agents need to know balancers. Balancers
// need to know all: agents greet those on which nothing depends every some seconds only,
// and a balancer cannot ask an agent for a flow before it knows it.

// toldAddresses remembers, for each kind of list, where the next one begins.
type toldAddresses struct {
	newBalancers, balancers, newAgents, agents rotation
}

// newToldAddresses lets each process begin elsewhere: those who are told by several at
// once are told of others by each.
func newToldAddresses(self netip.AddrPort) toldAddresses {
	begin := rotation(hashOf(self) >> 1)
	return toldAddresses{begin, begin, begin, begin}
}

// Tell returns the addresses of processes heard of late that a process is to be told:
// those that appeared within its time of news, and so many others, others each time.
func (c *Contacts) Tell(now time.Time, due Due) []netip.AddrPort {
	told := c.tell(now, due, RoleBalancer, &c.told.newBalancers, &c.told.balancers)
	if due.Agents {
		told = append(told, c.tell(now, due, RoleAgent, &c.told.newAgents, &c.told.agents)...)
	}
	return told
}

// tell returns addresses of processes of one role that do not leave.
func (c *Contacts) tell(now time.Time, due Due, role Role, newest, rest *rotation) []netip.AddrPort {
	var appeared, others []netip.AddrPort
	for address, known := range c.contacts {
		switch {
		case known.status.Role != role || known.status.Leaving || !known.heardLately(now):
		case now.Sub(known.appeared) <= due.News:
			appeared = append(appeared, address)
		case due.Peers > 0:
			others = append(others, address)
		}
	}
	told := newest.pick(appeared, MaximumPeersTold)
	return append(told, rest.pick(others, due.Peers-len(told))...)
}

// rotation is where in a list the latest pick ended.
type rotation int

// pick returns at most so many of the addresses, others each time.
func (r *rotation) pick(addresses []netip.AddrPort, most int) []netip.AddrPort {
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	if len(addresses) <= most {
		return addresses
	}
	picked := make([]netip.AddrPort, 0, max(0, most))
	for range most {
		*r = (*r + 1) % rotation(len(addresses))
		picked = append(picked, addresses[*r])
	}
	return picked
}
