// This file keeps the links to neighbours, sends heartbeats, probes and catalog pulls, announces
// changes ahead of the next heartbeat, builds the state of this process for messages, and processes
// the state that peers report. StatusAnnounced reports whether the neighbours have received the
// status of this process.

package exchange

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/dissemination"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/membership"
)

// link is the state of the exchanges with one neighbour: a member that this process sends
// heartbeats to, or one that sends heartbeats to this process.
type link struct {
	peer               string
	monitored          bool              // this process monitors the peer
	heartbeatInterval  time.Duration     // 0 if only the peer sends heartbeats
	nextHeartbeatAt    time.Time         // zero before the first heartbeat is scheduled
	lastRequestAt      time.Time         // time of the latest heartbeat to the peer
	lastCalledAt       time.Time         // time of the latest request from the peer
	pendingID          uint64            // ID of the pending heartbeat; 0 if none
	changesCursor      membership.Cursor // position after the member changes that the peer has
	announcedRevision  catalog.Revision  // revision in the latest heartbeat to the peer
	lastTimestamp      uint64            // from the latest response; the next heartbeat echoes it
	digestDiffersSince time.Time         // zero while the member digests are equal
	unknownToPeer      bool              // the peer has no record of this process
	lastRequestFailed  bool              // the latest heartbeat failed or timed out
}

// refreshLinks creates links to all heartbeat targets. It removes links to members that are not
// targets and have sent no request within callerTimeout.
func (d *Decider) refreshLinks(now time.Time) {
	targets := d.members.Targets(now)
	for _, link := range d.links {
		link.heartbeatInterval = 0
		link.monitored = false
	}
	for _, target := range targets.Gateways {
		d.scheduleHeartbeats(now, target.ID, membership.GatewayHeartbeatInterval)
	}
	for _, target := range targets.Monitored {
		d.scheduleHeartbeats(now, target.ID, membership.HeartbeatInterval).monitored = true
	}
	for peer, link := range d.links {
		if link.heartbeatInterval == 0 && now.Sub(link.lastCalledAt) > callerTimeout {
			delete(d.links, peer)
			d.sortLinks()
		}
	}
}

// scheduleHeartbeats returns the link to a peer, created if there is none, and sets its heartbeat
// interval. The first heartbeat is due after a random part of the interval.
func (d *Decider) scheduleHeartbeats(now time.Time, peer string, interval time.Duration) *link {
	peerLink := d.ensureLink(peer)
	peerLink.heartbeatInterval = interval
	if peerLink.nextHeartbeatAt.IsZero() {
		peerLink.nextHeartbeatAt = now.Add(time.Duration(d.random.Int64N(int64(interval))))
	}
	return peerLink
}

// ensureLink returns the link to a peer and creates it if there is none.
func (d *Decider) ensureLink(peer string) *link {
	peerLink := d.links[peer]
	if peerLink == nil {
		peerLink = &link{peer: peer, changesCursor: d.members.ChangesEnd().Rewind(initialChanges)}
		d.links[peer] = peerLink
		d.sortLinks()
	}
	return peerLink
}

func (d *Decider) sortLinks() {
	d.sortedLinks = slices.SortedFunc(maps.Values(d.links), func(a, b *link) int { return strings.Compare(a.peer, b.peer) })
}

func (d *Decider) sendDueHeartbeats(now time.Time) {
	for _, link := range d.sortedLinks {
		if link.heartbeatInterval > 0 && !now.Before(link.nextHeartbeatAt) {
			d.startExchange(now, link)
		}
	}
}

// announceChanges sends a heartbeat before it is due to neighbours that lack the current revision
// or urgent member changes.
func (d *Decider) announceChanges(now time.Time) {
	revision := d.catalog.Snapshot().Revision()
	withinBudget := d.budget.Allows(now)
	for _, link := range d.sortedLinks {
		urgent := withinBudget && d.members.HasUrgentChanges(link.changesCursor, link.peer)
		behind := link.announcedRevision < revision && d.catalog.IsBehind(link.peer)
		if (urgent || behind) && link.pendingID == 0 && now.Sub(link.lastRequestAt) >= minAnnounceInterval {
			d.startExchange(now, link)
		}
	}
}

// startExchange sends a heartbeat to a neighbour. It does nothing if the neighbour is not in the
// member table.
func (d *Decider) startExchange(now time.Time, link *link) {
	peer := d.members.Table().Get(link.peer)
	if peer == nil {
		return
	}
	request, changesCursor := d.newRequest(now, link)
	link.nextHeartbeatAt = now.Add(link.heartbeatInterval)
	link.lastRequestAt = now
	link.announcedRevision = d.catalog.Snapshot().Revision()
	link.pendingID = d.enqueueRequest(peer, request, pendingExchange{peer: link.peer, link: link, changesCursor: changesCursor})
}

// newRequest builds a heartbeat, and returns the cursor after the changes in it. The heartbeat
// contains the record of this process if the peer has none.
func (d *Decider) newRequest(now time.Time, link *link) (*burlmillv1.ExchangeRequest, membership.Cursor) {
	state, changesCursor := d.newState(now, link)
	if link.unknownToPeer {
		state.Members = append(state.Members, encodeMember(d.members.Self()))
	}
	return &burlmillv1.ExchangeRequest{State: state, Heard: link.lastTimestamp, Monitor: link.monitored}, changesCursor
}

// enqueueRequest adds a request to the output, records it as pending and returns its ID.
func (d *Decider) enqueueRequest(peer *membership.Member, request *burlmillv1.ExchangeRequest, call pendingExchange) uint64 {
	d.lastID++
	d.pending[d.lastID] = call
	d.output.Sends = append(d.output.Sends, Send{ID: d.lastID, Peer: peer.ID, To: peer.Control, Request: request})
	return d.lastID
}

// newState builds the state of this process with member changes that a neighbour lacks, and returns
// the cursor after these changes. A neighbour in the same region also gets the region ages.
func (d *Decider) newState(now time.Time, link *link) (*burlmillv1.State, membership.Cursor) {
	records, changesCursor := d.members.Changes(link.changesCursor, link.peer, d.changesLimit(now))
	state := d.newBaseState()
	state.Members = encodeMembers(records)
	if peer := d.members.Table().Get(link.peer); peer != nil && peer.Region == d.members.Self().Region {
		state.Regions = d.regionAges(now)
	}
	d.budget.Spend(now, len(records)*estimatedMemberBytes)
	return state, changesCursor
}

// changesLimit returns the limit of member changes in one message, which is lower while the budget
// is overdrawn.
func (d *Decider) changesLimit(now time.Time) int {
	if d.budget.Allows(now) {
		return maxChangesPerMessage
	}
	return maxChangesOverBudget
}

// newBaseState builds the state of this process without member records.
func (d *Decider) newBaseState() *burlmillv1.State {
	offer := d.catalog.Offer()
	return &burlmillv1.State{
		From:          d.members.Self().ID,
		Revision:      uint64(offer.Revision),
		CatalogDigest: offer.Digest,
		MembersDigest: d.members.Table().Digest(),
	}
}

// regionAges returns, for each of the other regions, the time since the latest known contact with
// it.
func (d *Decider) regionAges(now time.Time) []*burlmillv1.RegionAge {
	var ages []*burlmillv1.RegionAge
	for _, contact := range d.members.RegionContacts(now) {
		ages = append(ages, &burlmillv1.RegionAge{
			Region: regionHash(contact.Region),
			Age:    uint32(contact.Age / regionAgeUnit),
		})
	}
	return ages
}

// probeMember sends a request to a member that a network partition may have separated from this
// one. The request contains the records of both, so that each side can refute a wrong status.
func (d *Decider) probeMember(now time.Time) {
	peer := d.members.NextProbe(now, d.random)
	if peer == nil {
		return
	}
	state := d.newBaseState()
	state.Members = encodeMembers([]*membership.Member{d.members.Self(), peer})
	d.enqueueRequest(peer, &burlmillv1.ExchangeRequest{State: state}, pendingExchange{peer: peer.ID})
}

// pullCatalog requests catalog changes from a peer with a higher revision, if there is one and no
// pull is pending.
func (d *Decider) pullCatalog(now time.Time) {
	pull, due := d.catalog.NextPull(now)
	if !due {
		return
	}
	peer := d.members.Table().Get(pull.Peer)
	if peer == nil {
		d.catalog.PullFailed(now, pull.Peer)
		return
	}
	request := &burlmillv1.ExchangeRequest{
		State: d.newBaseState(),
		Pull:  &burlmillv1.PullRequest{After: uint64(pull.After)},
	}
	d.enqueueRequest(peer, request, pendingExchange{peer: pull.Peer, pull: &pull})
}

// handleState processes the state that the peer reports in a request or response.
func (d *Decider) handleState(now time.Time, state *burlmillv1.State) {
	from := state.GetFrom()
	d.mergeMembers(now, state.GetMembers(), from)
	d.members.MarkSeen(now, from)
	d.mergeRegionAges(now, state)
	d.catalog.RecordOffer(now, from, dissemination.Offer{
		Revision: catalog.Revision(state.GetRevision()),
		Digest:   state.GetCatalogDigest(),
	})
	if peerLink := d.links[from]; peerLink != nil {
		peerLink.recordDigestMatch(now, state.GetMembersDigest() == d.members.Table().Digest())
	}
}

// recordDigestMatch updates digestDiffersSince.
func (l *link) recordDigestMatch(now time.Time, equal bool) {
	if equal {
		l.digestDiffersSince = time.Time{}
		return
	}
	if l.digestDiffersSince.IsZero() {
		l.digestDiffersSince = now
	}
}

// mergeMembers merges records that the peer with the ID source sent. It skips invalid records and
// reports them as notices.
func (d *Decider) mergeMembers(now time.Time, records []*burlmillv1.Member, source string) {
	for _, encoded := range records {
		record, err := decodeMember(encoded)
		if err != nil {
			d.addNotice("member-refused", nil, err)
			continue
		}
		d.members.Merge(now, record, source)
	}
}

// mergeRegionAges merges the region ages that a member of the same region reports.
func (d *Decider) mergeRegionAges(now time.Time, state *burlmillv1.State) {
	from := d.members.Table().Get(state.GetFrom())
	if from == nil || from.Region != d.members.Self().Region {
		return
	}
	for _, contact := range d.members.RegionContacts(now) {
		for _, reported := range state.GetRegions() {
			if reported.GetRegion() == regionHash(contact.Region) {
				age := time.Duration(reported.GetAge()) * regionAgeUnit
				d.members.MergeRegionContact(now, membership.RegionContact{Region: contact.Region, Age: age})
			}
		}
	}
}

// StatusAnnounced reports whether every neighbour that responds has received all urgent changes,
// which include this process's own status.
func (d *Decider) StatusAnnounced() bool {
	for _, link := range d.links {
		if link.lastRequestFailed {
			continue
		}
		if link.pendingID != 0 || d.members.HasUrgentChanges(link.changesCursor, link.peer) {
			return false
		}
	}
	return true
}
