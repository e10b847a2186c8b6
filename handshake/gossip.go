// This file detects failures of the processes that a balancer monitors, gossips the records of all
// processes between balancers within rate limits, applies received records to its peers, and
// reports changes of records. It suspends failure detection while the balancer may have stalled or
// been cut off.

package handshake

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/presence"
)

// A balancer turns what it observes of the processes that it monitors (running, shutting down,
// failed) into records and sends these to balancers that it monitors, which propagate them further.
// All balancers thus know all processes, while each monitors only a few.

// Limits of gossip and of failure detection.
const (
	// recordsPerSecond, answersPerSecond and recordMessagesPerSecond limit the records that a
	// balancer gossips, the records that it sends in answers to comparison requests, and all
	// messages with records or comparison requests.
	recordsPerSecond        = 900
	answersPerSecond        = 900
	recordMessagesPerSecond = 140
	// recordsPerMessage keeps a message within the MTU of common networks.
	recordsPerMessage = 36
	// gossipFanoutInZone and gossipFanoutElsewhere are the numbers of balancers in this zone and
	// in other zones to which a balancer propagates the first record of an incarnation, unless
	// that is a failure. Balancers that gossip misses get the record by comparison. All other
	// changes are sent to all monitored balancers.
	gossipFanoutInZone    = 2
	gossipFanoutElsewhere = 1
	// tickStallThreshold is the time between two ticks above which this process counts as stalled
	// and may have missed statuses.
	tickStallThreshold = 500 * time.Millisecond
	// minReachableShare is the share of its monitored peers that a balancer must have seen within
	// reachableWindow to mark others as failed. With fewer, it assumes that it is cut off itself.
	minReachableShare = 0.25
	// reachableWindow is a time within which every running monitored peer sends a status. It is
	// shorter than the time until a peer counts as unresponsive, so that a balancer that is cut
	// off detects this before it marks peers as failed.
	reachableWindow = time.Second
)

// Records is a message with process records from one balancer to another.
type Records struct {
	List []presence.Record // at most recordsPerMessage
	// Parts are the parts of the sender's table that List holds completely. They are set only in
	// answers to comparison requests.
	Parts []presence.Part
}

func (Records) message() {}

// OutgoingRecords is a message that is due to another balancer.
type OutgoingRecords struct {
	To      netip.AddrPort
	Message Message // Records or CompareRequest
}

// updateRecord updates the record of a peer from its latest status, if the status changes more
// than the observation time.
func (p *Peers) updateRecord(now time.Time, peer *peerState) {
	record := presence.Record{
		Address:     peer.address,
		Incarnation: peer.status.Incarnation,
		Role:        peer.status.Role,
		Zone:        peer.status.Zone,
		Region:      peer.status.Region,
		Service:     peer.status.Service,
		StartedAt:   startTimeOf(now, peer.status),
		Stage:       stageOf(peer.status),
		ObservedAt:  now,
	}
	current := p.records.Get(peer.address)
	if current != nil && current.Incarnation == record.Incarnation {
		if record.StartedAt.IsZero() {
			record.StartedAt = current.StartedAt
		}
		if !current.Failed && current.Stage >= record.Stage {
			return // the status does not change the record
		}
	}
	p.mergeRecord(now, record, netip.AddrPort{})
}

// UpdateOwnRecord updates a balancer's own record. On an agent, it does nothing.
func (p *Peers) UpdateOwnRecord(now time.Time, own Status) {
	if p.role == presence.RoleBalancer {
		p.records.Merge(presence.Record{
			Address:     p.self,
			Incarnation: own.Incarnation,
			Role:        own.Role,
			Zone:        own.Zone,
			Region:      own.Region,
			StartedAt:   startTimeOf(now, own),
			Stage:       stageOf(own),
			ObservedAt:  now,
		})
	}
}

// stageOf returns the stage that a status reports.
func stageOf(status Status) presence.Stage {
	switch {
	case status.Drained:
		return presence.Drained
	case status.ShuttingDown:
		return presence.ShuttingDown
	default:
		return presence.Running
	}
}

// detectFailures marks unresponsive peers as failed, unless this balancer has recently stalled or
// been cut off.
func (p *Peers) detectFailures(now time.Time) {
	if p.role != presence.RoleBalancer {
		return
	}
	monitored, seen := 0, 0
	var unresponsive []*peerState
	for _, peer := range p.active {
		if !peer.monitored {
			continue
		}
		monitored++
		switch {
		case now.Sub(peer.lastSeenAt) <= reachableWindow:
			seen++
		case peer.unresponsive(now) && peer.knownByGossip():
			unresponsive = append(unresponsive, peer)
		}
	}
	if seen == 0 || float64(seen) < minReachableShare*float64(monitored) {
		p.detectionSuspendedUntil = now.Add(firstAnswerTimeout) // time for statuses to arrive again
	}
	if now.Before(p.detectionSuspendedUntil) {
		return
	}
	slices.SortFunc(unresponsive, func(a, b *peerState) int { return a.address.Compare(b.address) })
	for _, peer := range unresponsive {
		record := *p.records.Get(peer.address)
		record.Failed, record.ObservedAt = true, now
		p.mergeRecord(now, record, netip.AddrPort{})
	}
}

// detectStall suspends failure detection after this process has stalled.
func (p *Peers) detectStall(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if !p.lastTickAt.IsZero() && now.Sub(p.lastTickAt) > tickStallThreshold {
		p.detectionSuspendedUntil = now.Add(firstAnswerTimeout)
	}
	p.lastTickAt = now
}

// HandleRecords merges records received from another balancer. It schedules an answer with the
// records of which this balancer has a newer version, or which the sender lacks in a part that it
// sent completely.
func (p *Peers) HandleRecords(now time.Time, from netip.AddrPort, received Records) {
	sender := p.peers[from]
	for _, record := range received.List {
		if record.Address == p.self {
			continue // each process is the source of its own record
		}
		if sender != nil {
			delete(sender.pendingRecords, record.Address)
		}
		p.mergeRecord(now, record, from)
		if current := p.records.Get(record.Address); sender != nil && current != nil &&
			recordsDiffer(current, &record) {
			p.scheduleRecord(sender, record.Address)
		}
	}
	if sender != nil {
		p.scheduleMissing(sender, received)
	}
}

// recordsDiffer reports whether two records of a process differ in incarnation, failure or stage.
func recordsDiffer(current, received *presence.Record) bool {
	return current.Incarnation != received.Incarnation || current.Failed != received.Failed ||
		current.Stage != received.Stage
}

// scheduleMissing schedules the records that the sender lacks in the parts that it sent completely,
// except those of failed processes, to be sent to it.
func (p *Peers) scheduleMissing(sender *peerState, received Records) {
	for _, part := range received.Parts {
		for _, record := range p.records.PartRecords(part) {
			lacks := !slices.ContainsFunc(received.List, func(other presence.Record) bool {
				return other.Address == record.Address
			})
			if lacks && !record.Failed && record.Address != sender.address {
				p.scheduleRecord(sender, record.Address)
			}
		}
	}
}

// mergeRecord merges a record. If it changes the table, the record is applied to its peer and
// propagated. A zero from means that this balancer has observed it.
func (p *Peers) mergeRecord(now time.Time, received presence.Record, from netip.AddrPort) {
	before := p.records.Get(received.Address)
	newIncarnation := before == nil || before.Incarnation != received.Incarnation
	if !p.records.Merge(received) {
		return
	}
	p.lastChangeAt = now
	record := *p.records.Get(received.Address)
	p.changes = append(p.changes, record)
	p.applyRecord(now, record)
	p.peers[received.Address].record = p.records.Get(received.Address)
	p.selectSoon(now)
	p.propagate(record, from, newIncarnation && !record.Failed)
}

// applyRecord applies a record to the status of its peer, which it adds if necessary. It replaces
// the status of another incarnation; for the same one, it only advances the shutdown stage.
func (p *Peers) applyRecord(now time.Time, record presence.Record) {
	p.Add(now, record.Address, false)
	peer := p.peers[record.Address]
	if peer.status.Incarnation != record.Incarnation {
		peer.status = Status{
			Role:        record.Role,
			Zone:        record.Zone,
			Region:      record.Region,
			Service:     record.Service,
			Incarnation: record.Incarnation,
		}
		peer.lastSeenAt, peer.fullStatuses, peer.unansweredStatuses = time.Time{}, 0, 0
		peer.monitorRequestedAt = time.Time{}
	}
	peer.status.ShuttingDown = peer.status.ShuttingDown || record.Stage >= presence.ShuttingDown
	peer.status.Drained = peer.status.Drained || record.Stage >= presence.Drained
}

// propagate schedules a record to be sent to the monitored balancers, except the one that it came
// from. If few is set, only gossipFanoutInZone and gossipFanoutElsewhere of them get it.
func (p *Peers) propagate(record presence.Record, from netip.AddrPort, few bool) {
	var inZone, elsewhere []netip.AddrPort
	for address, peer := range p.active {
		switch {
		case !peer.monitored || peer.status.Role != presence.RoleBalancer ||
			address == from || address == record.Address:
		case peer.status.Zone == p.zone:
			inZone = append(inZone, address)
		default:
			elsewhere = append(elsewhere, address)
		}
	}
	if few {
		inZone = p.gossipRotation.pick(inZone, gossipFanoutInZone)
		elsewhere = p.gossipRotation.pick(elsewhere, gossipFanoutElsewhere)
	}
	for _, address := range append(inZone, elsewhere...) {
		p.scheduleRecord(p.peers[address], record.Address)
	}
}

// scheduleRecord schedules the record of the process at the address to be sent to the peer, a
// balancer.
func (p *Peers) scheduleRecord(peer *peerState, address netip.AddrPort) {
	if peer.pendingRecords == nil {
		peer.pendingRecords = map[netip.AddrPort]bool{}
	}
	peer.pendingRecords[address] = true
	p.pendingPeers[peer.address] = peer
}

// DueRecords returns the messages with records and the comparison request that are due now, as far
// as the rate limits allow. An agent has none.
func (p *Peers) DueRecords(now time.Time) []OutgoingRecords {
	if p.role != presence.RoleBalancer {
		return nil
	}
	due := p.nextCompareRequest(now)
	pending := slices.Collect(maps.Values(p.pendingPeers))
	slices.SortFunc(pending, func(a, b *peerState) int { return a.address.Compare(b.address) })
	for i := range pending {
		peer := pending[(i+int(p.gossipRotation))%len(pending)]
		if !peer.seenRecently(now) {
			peer.pendingRecords = nil // it gets what it lacks by a later comparison
		}
		if len(peer.pendingRecords) > 0 && p.messageLimiter.take(now, 1) == 1 {
			list := p.drainPending(peer,
				p.gossipLimiter.take(now, min(len(peer.pendingRecords), recordsPerMessage)))
			if len(list) > 0 {
				due = append(due, OutgoingRecords{peer.address, Records{List: list}})
			}
		}
		if len(peer.pendingRecords) == 0 {
			delete(p.pendingPeers, peer.address)
		}
	}
	p.gossipRotation++
	return due
}

// drainPending removes and returns up to limit of the records pending for a balancer.
func (p *Peers) drainPending(peer *peerState, limit int) []presence.Record {
	addresses := make([]netip.AddrPort, 0, len(peer.pendingRecords))
	for address := range peer.pendingRecords {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	var list []presence.Record
	for _, address := range addresses[:min(limit, len(addresses))] {
		delete(peer.pendingRecords, address)
		if record := p.records.Get(address); record != nil {
			list = append(list, *record)
		}
	}
	return list
}

// Changes returns the records that have changed since the last call, whether observed by this
// balancer or received.
func (p *Peers) Changes() []presence.Record {
	changes := p.changes
	p.changes = nil
	return changes
}
