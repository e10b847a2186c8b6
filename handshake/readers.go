package handshake

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/routing"
)

// Readers of the store. A few balancers read it, so that calls to it do not grow
// with the fleet; the others learn the configuration from them. Each decides for
// itself, so two may differ for a moment: then one more reads, or one less.
const (
	Readers        = 8               // balancers that read while all is well
	StoreFreshTime = 6 * time.Second // after an answer of the store, during which its reader counts
)

// ShouldRead says whether this balancer is to read the store: because it is among
// those chosen (rendezvous hashing), or because too few others that can be heard
// have heard the store of late.
func (c *Contacts) ShouldRead(now time.Time, version routing.Version) bool {
	if version == 0 {
		return true
	}
	own := hashOf(c.self)
	above, fresh := 0, 0
	for address, known := range c.contacts {
		if known.status.Role != RoleBalancer || known.status.Leaving || !known.heardLately(now) {
			continue
		}
		if known.status.StoreFresh {
			fresh++
		}
		if hashOf(address) > own {
			above++
		}
	}
	return above < Readers || fresh < Readers/2
}

// hashOf orders processes, alike everywhere.
func hashOf(address netip.AddrPort) uint64 {
	var buffer [32]byte
	encoded, _ := address.AppendBinary(buffer[:0]) // has no error to return
	return xxhash.Sum64(encoded)
}
