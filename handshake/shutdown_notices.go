// This file determines which balancers get shutdown notices: statuses that an agent sends during
// its shutdown to the balancers that have forwarded datagrams to it. Without them, these balancers
// would consider the agent unreachable and reset flows that its back end still holds.

package handshake

import (
	"net/netip"
	"time"
)

// Times of the shutdown notices.
const (
	// ForwarderTTL is how long after the latest datagram that a balancer forwarded it gets notices.
	// It is longer than IdleTimeout, after which the balancer removes idle flows.
	ForwarderTTL           = 60 * time.Second
	shutdownNoticeInterval = 100 * time.Millisecond // between two notices to one balancer
	// MinAgentShutdownTime is the minimum duration of an agent's shutdown. It allows for three
	// notices to each balancer, all of which are lost once in a thousand times if a tenth of the
	// messages is lost.
	MinAgentShutdownTime = 3 * shutdownNoticeInterval
)

// RecordForward records that a balancer has forwarded a caller's datagram to this agent.
func (p *Peers) RecordForward(now time.Time, from netip.AddrPort) {
	p.Add(now, from, false)
	if peer := p.peers[from]; peer != nil {
		peer.lastForwardedAt = now
	}
}

// BeginShutdown starts the shutdown of this agent. Balancers that have recently forwarded datagrams
// to it get shutdown notices at once and then every shutdownNoticeInterval.
func (p *Peers) BeginShutdown(now time.Time) {
	p.shuttingDown = true
	for _, peer := range p.peers {
		if peer.forwardedRecently(now) {
			peer.nextStatusAt = now
			p.active[peer.address] = peer
		}
	}
}

// forwardedRecently reports whether the peer has forwarded a caller's datagram to this agent within
// ForwarderTTL.
func (p *peerState) forwardedRecently(now time.Time) bool {
	return !p.lastForwardedAt.IsZero() && now.Sub(p.lastForwardedAt) <= ForwarderTTL
}
