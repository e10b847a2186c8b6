// This file schedules statuses: which peers get one, how often, which go first if the rate limit
// does not allow all, and whether a status is full or brief. At every tick it also runs the
// selection of the peers to monitor and the detection of failures.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/presence"
)

// Intervals and limits of statuses. The number of peers that get frequent statuses is bounded, so
// that neither the traffic of one process nor the time until a failure is detected grows with the
// fleet.
const (
	AgentStatusInterval    = 200 * time.Millisecond  // minimum, from an agent to a subscribed balancer
	agentStatusPerPeer     = 40 * time.Millisecond   // added per balancer above agentStatusFreePeers
	agentStatusFreePeers   = 5                       // balancers that do not lengthen the interval
	maxAgentStatusInterval = 800 * time.Millisecond  // a failure is detected after 2.8 s (statusTimeoutFactor)
	subscribeInterval      = time.Second             // minimum, from a balancer to a monitored agent
	subscribePerAgent      = 60 * time.Millisecond   // per monitored agent, if the product is more
	SubscriptionTTL        = 10 * time.Second        // validity of a subscription
	balancerInterval       = 400 * time.Millisecond  // minimum, between balancers
	balancerPerPeer        = 40 * time.Millisecond   // per monitored balancer, if the product is more
	maxBalancerInterval    = 700 * time.Millisecond  // a failure is detected after 2.45 s
	seedInterval           = 10 * time.Second        // to an unreachable seed, for a partition to heal
	MinDiscoveryInterval   = 100 * time.Millisecond  // to a peer never seen; doubled with each status
	MaxDiscoveryInterval   = 800 * time.Millisecond  // maximum after doubling
	UnreachableInterval    = 1 * time.Second         // to a peer that is no longer seen
	initialFullStatuses    = 2                       // to a new peer, in case one is lost
	fullStatusInterval     = time.Minute             // maximum between regular full statuses
	fullAnswerInterval     = time.Second             // minimum between full statuses sent as answers
	MinPeerTimeout         = 1500 * time.Millisecond // minimum time after which a peer is unreachable
	firstAnswerTimeout     = 2500 * time.Millisecond // for a monitored peer to answer
	minUnansweredStatuses  = 3                       // until a peer that never answers is unresponsive
	PeerTTL                = 60 * time.Second        // since lastInfoAt, until a peer is removed
	MaxAdvertisedPeers     = 8                       // balancer addresses in an initial full status
	routineAdvertisedPeers = 3                       // balancer addresses in a regular full status
	statusTimeoutFactor    = 3.5                     // intervals after which a peer is unreachable
	minSeenBalancers       = 4                       // balancers seen, below which discovery continues
	// statusesPerSecond limits the statuses that one process sends. When all processes start
	// together, each has many peers to discover. Statuses to peers that are not seen come last.
	statusesPerSecond = 250
	// seedDelay delays the first status to each further seed, so that a seed does not receive the
	// statuses of the whole fleet after a fleet-wide restart.
	seedDelay = 100 * time.Millisecond
	// jitterDivisor determines by how much an interval is shortened: by up to 1/jitterDivisor of
	// it, depending on the peer, so that statuses are not sent in bursts.
	jitterDivisor = 8
)

// DueStatus describes a status that is to be sent now.
type DueStatus struct {
	Address   netip.AddrPort
	Interval  time.Duration // maximum until the next status; 0: none is scheduled
	Subscribe bool          // regular statuses are requested from the receiver
	Brief     bool          // the receiver has recently been sent a full status
	MaxPeers  int           // maximum number of balancer addresses included
	Digest    bool          // the digest of the records is included
}

// DueStatuses returns the statuses that are to be sent now, as far as the rate limit allows. If
// urgent is set, that includes all seen peers that get regular statuses. DueStatuses has to be
// called at every tick: it also selects the peers to monitor and detects failures.
func (p *Peers) DueStatuses(now time.Time, urgent bool) []DueStatus {
	p.detectStall(now)
	p.refreshPeers(now)
	p.detectFailures(now)
	var ready []*peerState
	for address, peer := range p.active {
		interval := p.interval(now, peer)
		switch {
		case interval == 0 && !peer.statusPending:
			delete(p.active, address)
			continue
		case urgent && p.needsChanges(now, peer):
			peer.statusPending = true
			peer.nextStatusAt = now
		}
		if !now.Before(peer.nextStatusAt) {
			ready = append(ready, peer)
		}
	}
	slices.SortFunc(ready, func(a, b *peerState) int {
		return cmp.Or(
			cmp.Compare(p.precedence(now, a), p.precedence(now, b)),
			a.nextStatusAt.Compare(b.nextStatusAt),
			a.address.Compare(b.address),
		)
	})
	var due []DueStatus
	for _, peer := range ready[:p.statusLimiter.take(now, len(ready))] {
		due = append(due, p.prepareStatus(now, peer))
	}
	return due
}

// precedence orders statuses that are due at the same time, lowest first: shutdown notices to
// forwarding balancers, statuses to balancers recently seen, which propagate what they receive, to
// agents recently seen, and to all other peers.
func (p *Peers) precedence(now time.Time, peer *peerState) int {
	switch {
	case peer.forwardedRecently(now) && p.shuttingDown:
		return 0
	case peer.seenRecently(now) && peer.status.Role == presence.RoleBalancer:
		return 1
	case peer.seenRecently(now):
		return 2
	default:
		return 3
	}
}

// prepareStatus decides what the status to the peer contains and schedules the next one.
func (p *Peers) prepareStatus(now time.Time, peer *peerState) DueStatus {
	interval := p.interval(now, peer)
	peer.statusPending = false
	peer.nextStatusAt = now.Add(interval - p.jitter(peer, interval)/jitterDivisor)
	if !peer.seenRecently(now) {
		peer.unansweredStatuses++
	}
	if peer.monitored && peer.monitorRequestedAt.IsZero() {
		peer.monitorRequestedAt = now
	}
	toBalancer := p.role == presence.RoleBalancer && peer.status.Role != presence.RoleAgent
	due := DueStatus{
		Address:   peer.address,
		Interval:  interval,
		Subscribe: p.role == presence.RoleBalancer && peer.monitored,
		Digest:    toBalancer,
	}
	introduced := peer.seenRecently(now) && peer.fullStatuses >= initialFullStatuses
	if introduced && now.Sub(peer.lastFull) < fullStatusInterval-p.jitter(peer, fullStatusInterval)/2 {
		due.Brief = true
		return due
	}
	peer.lastFull = now
	peer.fullStatuses++
	due.MaxPeers = routineAdvertisedPeers
	if !introduced {
		due.MaxPeers = MaxAdvertisedPeers
	}
	return due
}

// jitter returns a part of the interval, from 0 to less than the whole, that depends on the peer.
func (p *Peers) jitter(peer *peerState, interval time.Duration) time.Duration {
	return interval * time.Duration(p.affinity(peer.address)%jitterSteps) / jitterSteps
}

// jitterSteps is the number of different values of jitter for an interval.
const jitterSteps = 64

// subscribed reports whether the peer's subscription to the statuses of this process is valid.
func (p *peerState) subscribed(now time.Time) bool { return now.Before(p.subscribedUntil) }

// needsChanges reports whether the peer must get changes at once: it was seen recently, and is
// monitored or subscribed.
func (p *Peers) needsChanges(now time.Time, peer *peerState) bool {
	return peer.seenRecently(now) && (peer.monitored || peer.subscribed(now))
}

// interval returns the interval of regular statuses or shutdown notices to the peer; 0: it gets
// none.
func (p *Peers) interval(now time.Time, peer *peerState) time.Duration {
	switch {
	case p.shuttingDown && peer.forwardedRecently(now):
		return shutdownNoticeInterval
	case p.role == presence.RoleAgent && peer.status.Role == presence.RoleAgent:
		return 0
	case !peer.seenRecently(now):
		return p.discoveryInterval(now, peer)
	case p.role == presence.RoleAgent && peer.subscribed(now):
		return p.agentStatusInterval()
	case p.role == presence.RoleAgent || !peer.monitored && !peer.subscribed(now):
		return 0
	case peer.status.Role == presence.RoleBalancer:
		return min(max(balancerInterval, time.Duration(p.monitoredBalancers)*balancerPerPeer),
			maxBalancerInterval)
	default:
		return max(subscribeInterval, time.Duration(p.subscriptions)*subscribePerAgent)
	}
}

// discoveryInterval returns the interval of statuses to a peer that was not seen recently; 0: it
// gets none.
func (p *Peers) discoveryInterval(now time.Time, peer *peerState) time.Duration {
	needed := p.seenBalancers < minSeenBalancers && peer.status.Role != presence.RoleAgent
	switch {
	case !peer.monitored && !needed && peer.seed && p.role == presence.RoleBalancer &&
		!peer.reachable(now):
		return seedInterval
	case !peer.monitored && !needed:
		return 0
	case peer.lastSeenAt.IsZero():
		return min(MinDiscoveryInterval<<min(peer.unansweredStatuses, maxDoublings),
			MaxDiscoveryInterval)
	default:
		return UnreachableInterval
	}
}

// maxDoublings bounds the doublings of MinDiscoveryInterval.
const maxDoublings = 8

// agentStatusInterval returns the interval at which an agent sends its load to subscribed
// balancers. Answers to offers report the load in between.
func (p *Peers) agentStatusInterval() time.Duration {
	more := max(0, p.subscriptions-agentStatusFreePeers)
	return min(AgentStatusInterval+time.Duration(more)*agentStatusPerPeer, maxAgentStatusInterval)
}
