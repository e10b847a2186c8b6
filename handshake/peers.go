// This file contains the state of a process's peers. It completes brief statuses, updates the peers
// from statuses, determines which of them are reachable or newly unreachable and when they expire,
// finds the newest configuration among them, and lists them for operators.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// Peers tracks the other processes of the fleet and decides which of them get this process's
// status, and how often. A balancer exchanges statuses with the few peers that it monitors and
// knows the others through gossiped records. An agent sends its status to the balancers that
// subscribe to it. Peers is not safe for concurrent use.
type Peers struct {
	self            netip.AddrPort
	role            presence.Role
	zone            catalog.ZoneName
	peers           map[netip.AddrPort]*peerState
	active          map[netip.AddrPort]*peerState // peers that may be due a status
	advertised      advertisedAddresses
	reachableByRole map[presence.Role]int // number of reachable peers
	// subscriptions is the number of monitored agents on a balancer, and of subscribed balancers on
	// an agent.
	subscriptions      int
	monitoredBalancers int // other balancers that this one monitors and has recently seen
	seenBalancers      int // balancers recently seen, as of the latest selection
	nextSelectionAt    time.Time
	shuttingDown       bool // BeginShutdown has been called; agents only
	watchesStore       bool // this process is a store watcher, as of the latest selection
	zoneLeader         bool // this process is first of its zone in the store watcher order

	records      *presence.Table               // of all processes, including this one; balancers only
	changes      []presence.Record             // records changed since the last call to Changes
	pendingPeers map[netip.AddrPort]*peerState // balancers with pending records
	// gossipRotation varies the balancers that a new record is gossiped to, and the order in which
	// pending records are sent.
	gossipRotation rotation
	comparison     comparison
	lastChangeAt   time.Time                      // when a record last changed
	confirmations  map[netip.AddrPort]storeResult // latest known result, by store watcher
	startedAt      time.Time                      // first call to DueStatuses; zero: not called yet
	lastTickAt     time.Time                      // latest call to DueStatuses; zero: not called yet
	// detectionSuspendedUntil is the time before which no peer is marked failed.
	detectionSuspendedUntil time.Time
	statusLimiter           rateLimiter // statuses sent
	gossipLimiter           rateLimiter // records gossiped
	answerLimiter           rateLimiter // records sent in answers to comparison requests
	messageLimiter          rateLimiter // messages with records, and comparison requests
}

// peerState is the state of one other process.
type peerState struct {
	address             netip.AddrPort
	point               uint64    // hash of the address, as on the ring
	status              Status    // latest received; until the first one, derived from the record
	lastSeenAt          time.Time // latest status received; zero: none
	addedAt             time.Time
	nextStatusAt        time.Time // when the next status to the peer is due
	lastFull            time.Time // latest full status sent
	fullStatuses        int       // full statuses sent to this incarnation of the peer
	unansweredStatuses  int       // statuses sent since the peer was last seen
	subscribedUntil     time.Time // end of the peer's subscription to the statuses of this process
	seed                bool      // a seed balancer, which never expires
	reportedUnreachable bool      // NewlyUnreachable has returned it since it was last seen
	statusPending       bool      // a status is due even if the peer gets no regular ones
	lastForwardedAt     time.Time // latest caller's datagram that it forwarded; zero: none
	watchesStore        bool      // it is a store watcher, as of the latest selection
	zoneLeader          bool      // it is first of its zone in the store watcher order
	// monitored is set if this process monitors the peer. Missing statuses then make the peer
	// unreachable, whatever its record states.
	monitored          bool
	monitorRequestedAt time.Time // first status sent while monitored in this incarnation; zero: none
	// pendingRecords holds the processes whose records still have to be sent to this balancer;
	// nil: none.
	pendingRecords map[netip.AddrPort]bool
	// digestDiffersSince is when the record digests of the two balancers began to differ; zero:
	// no difference is known.
	digestDiffersSince time.Time
	runningCount       int              // RunningCount of the latest digest received from it
	record             *presence.Record // of its latest known incarnation; nil: none
}

// NewPeers returns the state of a process in the zone that knows no peers.
func NewPeers(self netip.AddrPort, role presence.Role, zone catalog.ZoneName) *Peers {
	return &Peers{
		self:            self,
		role:            role,
		zone:            zone,
		peers:           map[netip.AddrPort]*peerState{},
		active:          map[netip.AddrPort]*peerState{},
		reachableByRole: map[presence.Role]int{},
		advertised:      newAdvertisedAddresses(self),
		records:         presence.NewTable(),
		pendingPeers:    map[netip.AddrPort]*peerState{},
		confirmations:   map[netip.AddrPort]storeResult{},
		statusLimiter:   rateLimiter{perSecond: statusesPerSecond},
		gossipLimiter:   rateLimiter{perSecond: recordsPerSecond},
		answerLimiter:   rateLimiter{perSecond: answersPerSecond},
		messageLimiter:  rateLimiter{perSecond: recordMessagesPerSecond},
	}
}

// Add adds a peer by its address, unless it is known already, is this process, or is not a valid
// address. A peer that was added as a seed at least once never expires.
func (p *Peers) Add(now time.Time, address netip.AddrPort, seed bool) {
	if address == p.self || !address.IsValid() {
		return
	}
	peer := p.peers[address]
	if peer == nil {
		peer = &peerState{address: address, point: presence.Point(address), addedAt: now}
		p.peers[address] = peer
		p.active[address] = peer
	}
	peer.seed = peer.seed || seed
}

// AddSeeds adds the addresses of seed balancers. The order in which they get a first status differs
// between processes.
func (p *Peers) AddSeeds(now time.Time, seeds []netip.AddrPort) {
	seeds = slices.SortedFunc(slices.Values(seeds), func(a, b netip.AddrPort) int {
		return cmp.Compare(p.affinity(a), p.affinity(b))
	})
	for i, seed := range seeds {
		p.Add(now, seed, true)
		if peer := p.peers[seed]; peer != nil && peer.unansweredStatuses == 0 {
			peer.nextStatusAt = now.Add(time.Duration(i) * seedDelay)
		}
	}
}

// Complete fills in a brief status from the latest status of the same incarnation. It returns
// false if there is none, and schedules a status to the sender, which then receives this process's
// incarnation and sends full statuses again. A full status is returned as it is, and answered
// with a full one unless the sender got one recently.
func (p *Peers) Complete(now time.Time, from netip.AddrPort, status Status) (Status, bool) {
	peer := p.peers[from]
	if !status.IsBrief() {
		if peer != nil && now.Sub(peer.lastFull) > fullAnswerInterval {
			// The sender may not know this process and needs a full status. It does not answer that
			// with another one, because it has sent its own less than fullAnswerInterval before.
			peer.lastFull = time.Time{}
			p.scheduleStatus(now, peer)
		}
		return status, true
	}
	if peer == nil || peer.lastSeenAt.IsZero() || peer.status.Incarnation != status.Incarnation {
		p.Add(now, from, false)
		if sender := p.peers[from]; sender != nil {
			p.scheduleStatus(now, sender)
		}
		return Status{}, false
	}
	lastFull := peer.status
	status.ID, status.Role, status.Zone, status.Region, status.Service =
		lastFull.ID, lastFull.Role, lastFull.Zone, lastFull.Region, lastFull.Service
	return status, true
}

// scheduleStatus makes a status to the peer due at the next tick.
func (p *Peers) scheduleStatus(now time.Time, peer *peerState) {
	peer.statusPending = true
	peer.nextStatusAt = now
	p.active[peer.address] = peer
}

// HandleStatus records a complete status received from a peer. It reports whether this is the first
// status of the peer's incarnation.
func (p *Peers) HandleStatus(now time.Time, from netip.AddrPort, status Status) (changed bool) {
	p.Add(now, from, false)
	peer := p.peers[from]
	if peer == nil {
		return false
	}
	changed = peer.lastSeenAt.IsZero() || peer.status.Incarnation != status.Incarnation
	if changed {
		peer.fullStatuses = 0
		p.scheduleStatus(now, peer)
		p.selectSoon(now)
		if p.role == presence.RoleBalancer && !peer.knownByGossip() {
			peer.monitored = true // until the next selection
		}
	}
	peer.status = status
	peer.lastSeenAt = now
	peer.unansweredStatuses = 0
	peer.reportedUnreachable = false
	if p.role == presence.RoleAgent {
		peer.subscribedUntil = time.Time{}
	}
	if status.Subscribe {
		peer.subscribedUntil = now.Add(SubscriptionTTL)
		p.active[from] = peer
	}
	for _, address := range status.Peers {
		p.Add(now, address, false)
	}
	if p.role == presence.RoleBalancer {
		p.updateRecord(now, peer)
		p.checkDigest(now, peer, status)
	}
	p.mergeConfirmations(now, status.Confirmations)
	return changed
}

// SinceLastSeen returns the time since the latest status of a peer; known is false if there was
// none.
func (p *Peers) SinceLastSeen(
	now time.Time, address netip.AddrPort,
) (elapsed time.Duration, known bool) {
	peer := p.peers[address]
	if peer == nil || peer.lastSeenAt.IsZero() {
		return 0, false
	}
	return now.Sub(peer.lastSeenAt), true
}

// Zone returns the zone of a peer; known is false if only its address is known.
func (p *Peers) Zone(address netip.AddrPort) (zone catalog.ZoneName, known bool) {
	peer := p.peers[address]
	if peer == nil || peer.status.Role == 0 {
		return "", false
	}
	return peer.status.Zone, true
}

// NewlyUnreachable returns the peers that have become unreachable since the last call, of those
// that sent regular statuses to this process.
func (p *Peers) NewlyUnreachable(now time.Time) []Peer {
	var unreachable []Peer
	for address, peer := range p.peers {
		if peer.lastSeenAt.IsZero() || peer.reportedUnreachable || peer.status.Interval == 0 ||
			peer.seenRecently(now) || peer.reachable(now) {
			continue
		}
		peer.reportedUnreachable = true
		unreachable = append(unreachable, Peer{
			Address:    address,
			Status:     peer.status,
			LastSeenAt: peer.lastSeenAt,
		})
	}
	return unreachable
}

// CountReachable returns the number of reachable peers.
func (p *Peers) CountReachable(now time.Time) int {
	count := 0
	for _, peer := range p.peers {
		if peer.reachable(now) {
			count++
		}
	}
	return count
}

// SeesRole reports whether any peer of the role was seen recently.
func (p *Peers) SeesRole(now time.Time, role presence.Role) bool {
	for _, peer := range p.peers {
		if peer.seenRecently(now) && peer.status.Role == role {
			return true
		}
	}
	return false
}

// SeesUnconfiguredBalancer reports whether another balancer was seen recently that has no
// configuration, as when all balancers have restarted at about the same time.
func (p *Peers) SeesUnconfiguredBalancer(now time.Time) bool {
	for _, peer := range p.peers {
		if peer.seenRecently(now) && peer.status.Role == presence.RoleBalancer && peer.status.Version == 0 {
			return true
		}
	}
	return false
}

// seenRecently reports whether the latest status of the peer is newer than its timeout.
func (p *peerState) seenRecently(now time.Time) bool {
	return !p.lastSeenAt.IsZero() &&
		now.Sub(p.lastSeenAt) <= max(MinPeerTimeout, announcedTimeout(p.status))
}

// knownByGossip reports whether the peer has a record that is not marked failed. On a balancer
// that monitors the peer, the record may be its own observation.
func (p *peerState) knownByGossip() bool { return p.record != nil && !p.record.Failed }

// reachable reports whether the peer was seen recently, or is running according to its record and
// not unresponsive to this process.
func (p *peerState) reachable(now time.Time) bool {
	return p.seenRecently(now) || p.knownByGossip() && !p.unresponsive(now)
}

// unresponsive reports whether this process monitors the peer and receives no statuses from it,
// although the peer has had enough time and, if it was not seen while monitored, enough statuses
// to answer.
func (p *peerState) unresponsive(now time.Time) bool {
	if !p.monitored || p.monitorRequestedAt.IsZero() || p.seenRecently(now) {
		return false
	}
	return now.Sub(p.monitorRequestedAt) > firstAnswerTimeout &&
		(p.lastSeenAt.After(p.monitorRequestedAt) || p.unansweredStatuses >= minUnansweredStatuses)
}

// announcedTimeout returns how long after a status its sender still counts as reachable, from the
// interval that the status announces. Callers apply a minimum.
func announcedTimeout(status Status) time.Duration {
	return time.Duration(statusTimeoutFactor * float64(status.Interval))
}

// NewestConfiguration returns the recently seen peer with the newest configuration, preferably one
// in this process's zone, and its version. It considers agents only if includeAgents is set: they
// fetch changes late. The version is 0 if no such peer has a configuration.
func (p *Peers) NewestConfiguration(
	now time.Time, includeAgents bool,
) (address netip.AddrPort, version routing.Version) {
	inZone := false
	for from, peer := range p.peers {
		if peer.status.Version < version || peer.status.Version == 0 || !peer.seenRecently(now) ||
			peer.status.Role == presence.RoleAgent && !includeAgents {
			continue
		}
		if peer.status.Version > version || !inZone {
			address, version, inZone = from, peer.status.Version, peer.status.Zone == p.zone
		}
	}
	return address, version
}

// expired reports whether the peer is to be removed: it is not a seed, is not running according to
// its record, and there has been no information about it within PeerTTL.
func (p *peerState) expired(now time.Time) bool {
	return !p.seed && !p.knownByGossip() && now.Sub(p.lastInfoAt()) > PeerTTL
}

// lastInfoAt returns the time of the latest information about the peer: a status, the observation
// in its record, or its addition.
func (p *peerState) lastInfoAt() time.Time {
	last := p.addedAt
	if p.lastSeenAt.After(last) {
		last = p.lastSeenAt
	}
	if p.record != nil && p.record.ObservedAt.After(last) {
		last = p.record.ObservedAt
	}
	return last
}

// Peer describes one known peer, for logs and queries by operators.
type Peer struct {
	Address       netip.AddrPort
	Status        Status
	LastSeenAt    time.Time // zero: never
	KnownByGossip bool      // its record is not marked failed
}

// List returns all known peers, ordered by address.
func (p *Peers) List() []Peer {
	list := make([]Peer, 0, len(p.peers))
	for address, peer := range p.peers {
		list = append(list, Peer{
			Address:       address,
			Status:        peer.status,
			LastSeenAt:    peer.lastSeenAt,
			KnownByGossip: peer.knownByGossip(),
		})
	}
	slices.SortFunc(list, func(a, b Peer) int { return a.Address.Compare(b.Address) })
	return list
}
