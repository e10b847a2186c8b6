// This file controls the shutdown of a balancer: how long it stays ready, and when it exits. It
// exits when routers have had time to stop sending to it and no more datagrams arrive, and at a
// time limit in any case.

package handshake

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/presence"
)

// Times of the shutdown of a balancer. The balancer continues to forward until the platform's
// routers send it no more datagrams, which takes them up to two failed readiness checks, or longer
// if too few other balancers are ready.
const (
	minUnreadyTime    = 1100 * time.Millisecond // minimum from the end of readiness to the exit
	shutdownQuietTime = 250 * time.Millisecond  // minimum from the latest datagram to the exit
)

// BalancerShutdown controls how long a balancer that shuts down stays ready, and when it exits. The
// balancer stops being ready at once, unless routers would then ignore readiness in its zone and
// also use balancers that have failed. Routers do so if some balancers are ready, but fewer than
// half of those that they count. They count a balancer for some time after it has exited or failed.
type BalancerShutdown struct {
	zone      catalog.ZoneName
	startedAt time.Time
	limit     time.Duration // since startedAt, after which the balancer exits in any case
	// unreadyAt is when the balancer stopped being ready; zero: it is still ready.
	unreadyAt time.Time
}

// NewBalancerShutdown starts the shutdown of a balancer in the zone. The shutdown takes at most the
// limit, which is raised to minUnreadyTime if it is shorter.
func NewBalancerShutdown(
	now time.Time, zone catalog.ZoneName, limit time.Duration,
) *BalancerShutdown {
	return &BalancerShutdown{zone: zone, startedAt: now, limit: max(limit, minUnreadyTime)}
}

// Ready reports whether routers should still send datagrams to this balancer.
func (s *BalancerShutdown) Ready() bool { return s.unreadyAt.IsZero() }

// Step advances the shutdown, given the state of the peers and the time of the latest datagram from
// a caller. It reports whether the balancer is to exit now.
func (s *BalancerShutdown) Step(now time.Time, peers *Peers, lastDatagramAt time.Time) (done bool) {
	elapsed := now.Sub(s.startedAt)
	if elapsed >= s.limit {
		return true
	}
	if s.Ready() {
		if elapsed < s.limit-minUnreadyTime && s.mustStayReady(now, peers) {
			return false
		}
		s.unreadyAt = now
	}
	return now.Sub(s.unreadyAt) >= minUnreadyTime && now.Sub(lastDatagramAt) >= shutdownQuietTime
}

// mustStayReady reports whether, without this balancer, its zone would have some ready balancers,
// but fewer than half of those that routers count. If none is ready, routers use other zones.
func (s *BalancerShutdown) mustStayReady(now time.Time, peers *Peers) bool {
	ready, stopped := peers.countBalancers(now, s.zone, s.limit)
	counted := ready + stopped + 1
	return ready > 0 && 2*ready < counted
}

// countBalancers counts the other balancers of a zone: those that are reachable and not shutting
// down, and the remaining ones with information (lastInfoAt) from within the window.
func (p *Peers) countBalancers(
	now time.Time, zone catalog.ZoneName, window time.Duration,
) (serving, stopped int) {
	for _, peer := range p.peers {
		if peer.status.Role != presence.RoleBalancer || peer.status.Zone != zone {
			continue
		}
		switch {
		case peer.reachable(now) && !peer.status.ShuttingDown:
			serving++
		case now.Sub(peer.lastInfoAt()) <= window:
			stopped++
		}
	}
	return serving, stopped
}
