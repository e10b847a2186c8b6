// This file requests all members from seeds to join a fleet, probes seeds at which no member is
// known, and serves the pages of members that joining processes request, unless the traffic budget
// is overdrawn.

package exchange

import (
	"net/netip"
	"time"

	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
)

// joinState is the state of requesting all members from peers.
type joinState struct {
	done            bool
	pendingRequests int       // pending requests for a page of all members
	pageSource      string    // ID of the peer from which pages are requested; empty if none
	retryAt         time.Time // earliest time of the next attempt
	seedProbeAt     time.Time // time of the next probe of a seed at which no member is known
}

// Joined reports whether this process has received all members from a peer or through Bootstrap.
func (d *Decider) Joined() bool { return d.join.done }

// replaceSeeds replaces the seeds and omits the address of this process.
func (d *Decider) replaceSeeds(addresses []netip.AddrPort) {
	d.seeds = nil
	for _, address := range addresses {
		if address != d.members.Self().Control {
			d.seeds = append(d.seeds, address)
		}
	}
}

// probeSeed requests members from one random seed at which no member is known, if a probe is due.
// Probes merge fleets that formed separately and do not know of each other.
func (d *Decider) probeSeed(now time.Time) {
	if !d.join.done || now.Before(d.join.seedProbeAt) {
		return
	}
	interval := min(seedProbeInterval*time.Duration(max(d.members.Table().LiveCount(), 1)), maxSeedProbeInterval)
	d.join.seedProbeAt = now.Add(interval/2 + time.Duration(d.random.Int64N(int64(interval))))
	var unknown []netip.AddrPort
	for _, seed := range d.seeds {
		if d.members.Table().ByControlAddress(seed) == nil {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) > 0 {
		d.requestMembers(unknown[d.random.IntN(len(unknown))], "")
	}
}

// continueJoin requests members from up to joinFanOut random seeds if this process has not joined
// or knows no other live member. It does nothing before retryAt and while a request is pending.
func (d *Decider) continueJoin(now time.Time) {
	alone := d.members.Table().LiveCount() <= 1
	if (d.join.done && !alone) || d.join.pendingRequests > 0 || now.Before(d.join.retryAt) || len(d.seeds) == 0 {
		return
	}
	d.join.retryAt = now.Add(joinRetryDelay + time.Duration(d.random.Int64N(int64(joinRetryDelay))))
	for _, index := range d.random.Perm(len(d.seeds))[:min(joinFanOut, len(d.seeds))] {
		d.requestMembers(d.seeds[index], "")
	}
}

// requestMembers requests the page of members after an ID, or the first page if the ID is empty.
// The request contains the record of this process.
func (d *Decider) requestMembers(to netip.AddrPort, after string) {
	state := d.newBaseState()
	state.Members = append(state.Members, encodeMember(d.members.Self()))
	d.lastID++
	d.join.pendingRequests++
	d.pending[d.lastID] = pendingExchange{isJoin: true}
	d.output.Sends = append(d.output.Sends, Send{
		ID:      d.lastID,
		To:      to,
		Request: &burlmillv1.ExchangeRequest{State: state, Members: &burlmillv1.MembersRequest{After: after}},
	})
}

func (d *Decider) handleJoinResponse(now time.Time, response *burlmillv1.ExchangeResponse) {
	d.join.pendingRequests--
	page := response.GetMembers()
	if page.GetBusy() {
		d.join.pageSource = ""
		return
	}
	records, err := decodeMemberList(page.GetMembers())
	if err != nil {
		d.join.pageSource = ""
		d.addNotice("page-refused", nil, err)
		return
	}
	d.mergeMembers(now, records, response.GetState().GetFrom())
	d.members.MarkSeen(now, response.GetState().GetFrom())
	d.requestNextPage(response.GetState().GetFrom(), page.GetNext())
}

// requestNextPage requests the next page from the peer that sent one, or completes the join after
// the last page. It requests pages from one peer at a time.
func (d *Decider) requestNextPage(from, next string) {
	if next == "" {
		d.join.done = true
		return
	}
	peer := d.members.Table().Get(from)
	if d.join.done || peer == nil || (d.join.pageSource != "" && d.join.pageSource != from) {
		return
	}
	d.join.pageSource = from
	d.requestMembers(peer.Control, next)
}

func (d *Decider) handleJoinFailure() {
	d.join.pendingRequests--
	d.join.pageSource = ""
}

// serveMembers returns a page of all members, or the members of differing buckets if the request
// has bucket hashes.
func (d *Decider) serveMembers(now time.Time, request *burlmillv1.MembersRequest) *burlmillv1.MembersPage {
	if len(request.GetBuckets()) > 0 {
		return d.serveMemberComparison(now, request.GetBuckets())
	}
	if !d.budget.Allows(now) {
		return &burlmillv1.MembersPage{Busy: true}
	}
	members, next := d.members.Table().Page(request.GetAfter(), membersPerPage)
	if request.GetAfter() == "" {
		members = append(members, d.members.Self()) // the peer requests the next page at its address
	}
	page := &burlmillv1.MembersPage{Members: compress(&burlmillv1.Members{Members: encodeMembers(members)}), Next: next}
	d.budget.Spend(now, len(page.Members))
	return page
}
