// This file selects the balancer addresses that statuses advertise, in rotation. They let the
// receiver reach other balancers if those that monitor it fail. The rotation also selects the
// balancers to which gossip sends new records.

package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/presence"
)

// advertisedAddresses determines which balancer addresses the next status advertises.
type advertisedAddresses struct{ balancers rotation }

// newAdvertisedAddresses starts at a position that is derived from a hash of the process's address,
// so that several processes advertise different addresses to the same peer. The shift keeps the
// position non-negative.
func newAdvertisedAddresses(self netip.AddrPort) advertisedAddresses {
	return advertisedAddresses{rotation(presence.Point(self) >> 1)}
}

// AdvertisedPeers returns the balancer addresses to include in the status. There are at most
// due.MaxPeers, and they rotate from call to call through all reachable balancers that are not
// shutting down.
func (p *Peers) AdvertisedPeers(now time.Time, due DueStatus) []netip.AddrPort {
	if due.MaxPeers == 0 {
		return nil
	}
	var balancers []netip.AddrPort
	for address, peer := range p.peers {
		if peer.status.Role == presence.RoleBalancer && !peer.status.ShuttingDown && peer.reachable(now) {
			balancers = append(balancers, address)
		}
	}
	return p.advertised.balancers.pick(balancers, due.MaxPeers)
}

// rotation is the index of the address that was picked last. The initial value is a hash; pick
// reduces it modulo the number of addresses.
type rotation int

// pick sorts the addresses in place and returns at most limit of them. Successive calls continue
// where the previous one ended and wrap around.
func (r *rotation) pick(addresses []netip.AddrPort, limit int) []netip.AddrPort {
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	if len(addresses) <= limit {
		return addresses
	}
	picked := make([]netip.AddrPort, 0, max(0, limit))
	for range limit {
		*r = (*r + 1) % rotation(len(addresses))
		picked = append(picked, addresses[*r])
	}
	return picked
}
