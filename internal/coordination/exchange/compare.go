// This file finds and repairs differences between the member tables, and between the configuration
// objects, of two peers: it starts comparisons, serves those of peers, and sends and requests what
// differs. Member comparisons are limited in rate, and no members are sent while the traffic budget
// is exceeded.

package exchange

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/dissemination"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/membership"
)

// compareMembers starts a member comparison with one heartbeat target whose member digest has
// differed for memberComparisonDelay. It starts at most one per memberComparisonInterval.
func (d *Decider) compareMembers(now time.Time) {
	if !d.lastComparisonAt.IsZero() && now.Sub(d.lastComparisonAt) < memberComparisonInterval {
		return
	}
	for _, link := range d.sortedLinks {
		if link.heartbeatInterval == 0 || link.digestDiffersSince.IsZero() || now.Sub(link.digestDiffersSince) < memberComparisonDelay {
			continue
		}
		d.lastComparisonAt = now
		d.requestDifferingMembers(now, link)
		return
	}
}

// requestDifferingMembers sends the bucket hashes of the member table to a peer, which responds
// with the members of the buckets that differ.
func (d *Decider) requestDifferingMembers(now time.Time, link *link) {
	peer := d.members.Table().Get(link.peer)
	if peer == nil {
		return
	}
	hashes := d.members.Table().BucketHashes()
	d.budget.Spend(now, 4*len(hashes))
	request := &burlmillv1.ExchangeRequest{
		State:   d.newBaseState(),
		Members: &burlmillv1.MembersRequest{Buckets: hashes},
	}
	d.enqueueRequest(peer, request, pendingExchange{peer: link.peer, comparesMembers: true})
}

// serveMemberComparison returns a page of the members in buckets whose hashes differ from the
// peer's. The page is empty if the peer did not send membership.BucketCount hashes, and marked busy
// if the traffic budget is exceeded.
func (d *Decider) serveMemberComparison(now time.Time, peerHashes []uint32) *burlmillv1.MembersPage {
	if len(peerHashes) != membership.BucketCount {
		return &burlmillv1.MembersPage{}
	}
	if !d.budget.Allows(now) {
		return &burlmillv1.MembersPage{Busy: true}
	}
	differing, members := d.differingBuckets(peerHashes)
	page := &burlmillv1.MembersPage{
		Members:   compress(&burlmillv1.Members{Members: encodeMembers(members)}),
		Differing: differing,
	}
	d.budget.Spend(now, len(page.Members))
	return page
}

// differingBuckets returns buckets whose hashes differ from the peer's and the members in them. The
// members may exceed membersPerComparison only if they are in a single bucket. The search starts at
// a random bucket, so that repeated comparisons cover all buckets.
func (d *Decider) differingBuckets(peerHashes []uint32) (buckets []uint32, members []*membership.Member) {
	ownHashes := d.members.Table().BucketHashes()
	start := d.random.IntN(membership.BucketCount)
	for i := range membership.BucketCount {
		bucket := (start + i) % membership.BucketCount
		if peerHashes[bucket] == ownHashes[bucket] {
			continue
		}
		bucketMembers := d.members.Table().BucketMembers(bucket)
		if len(buckets) > 0 && len(members)+len(bucketMembers) > membersPerComparison {
			break
		}
		buckets = append(buckets, uint32(bucket))
		members = append(members, bucketMembers...)
	}
	return buckets, members
}

// handleMembersPage merges the members in a peer's differing buckets. If the traffic budget allows
// it, it sends the peer the members that the peer lacks or has in an older version.
func (d *Decider) handleMembersPage(now time.Time, call pendingExchange, page *burlmillv1.MembersPage) {
	encodedMembers, err := decodeMemberList(page.GetMembers())
	if err != nil {
		d.addNotice("page-refused", nil, err)
		return
	}
	missing := d.membersMissingAtPeer(page.GetDiffering(), encodedMembers)
	d.mergeMembers(now, encodedMembers, call.peer)
	peer := d.members.Table().Get(call.peer)
	if len(missing) == 0 || peer == nil || !d.budget.Allows(now) {
		return
	}
	state := d.newBaseState()
	state.Members = encodeMembers(missing)
	d.budget.Spend(now, len(missing)*estimatedMemberBytes)
	d.enqueueRequest(peer, &burlmillv1.ExchangeRequest{State: state}, pendingExchange{peer: call.peer})
}

// membersMissingAtPeer returns the local members in the buckets that the peer lacks or has in an
// older version. encodedMembers are the peer's members in the same buckets. It must be called
// before they are merged.
func (d *Decider) membersMissingAtPeer(buckets []uint32, encodedMembers []*burlmillv1.Member) []*membership.Member {
	peerMembers := map[string]*membership.Member{}
	for _, encoded := range encodedMembers {
		if member, err := decodeMember(encoded); err == nil {
			peerMembers[member.ID] = member
		}
	}
	var missing []*membership.Member
	for _, bucket := range buckets {
		for _, own := range d.members.Table().BucketMembers(int(bucket)) {
			peerMember := peerMembers[own.ID]
			if peerMember == nil || own.Supersedes(peerMember) {
				missing = append(missing, own)
			}
		}
	}
	return missing
}

// compareObjects starts an object comparison with a peer that has the same revision but different
// objects, if one is due.
func (d *Decider) compareObjects(now time.Time) {
	peerID, due := d.catalog.NextComparison(now)
	peer := d.members.Table().Get(peerID)
	if !due || peer == nil {
		return
	}
	request := &burlmillv1.ExchangeRequest{
		State:   d.newBaseState(),
		Compare: &burlmillv1.CompareRequest{Buckets: d.catalog.BucketHashes()},
	}
	d.enqueueRequest(peer, request, pendingExchange{peer: peerID})
}

// serveObjectComparison merges the objects of a request. It returns the object versions in the
// buckets whose hashes differ, and the objects that the request names.
func (d *Decider) serveObjectComparison(now time.Time, request *burlmillv1.CompareRequest) *burlmillv1.CompareResponse {
	d.mergeObjects(request.GetObjects())
	differing, versions := d.catalog.DifferingVersions(request.GetBuckets())
	var names []catalog.ServiceName
	for _, name := range request.GetNames() {
		names = append(names, catalog.ServiceName(name))
	}
	return &burlmillv1.CompareResponse{
		Versions:  encodeVersions(versions),
		Differing: encodeBuckets(differing),
		Objects:   encodeObjects(d.catalog.ObjectsByName(names)),
	}
}

// mergeObjects decodes and merges the objects of a comparison. It reports errors as a notice.
func (d *Decider) mergeObjects(compressed []byte) {
	objects, err := decodeObjects(compressed)
	if err == nil {
		err = d.catalog.Merge(objects)
	}
	if err != nil {
		d.addNotice("objects-refused", nil, err)
	}
}

// handleCompareResponse merges the objects of a response. For the versions that differ, it sends
// the peer the objects that are newer here, and requests those that are newer at the peer.
func (d *Decider) handleCompareResponse(now time.Time, call pendingExchange, response *burlmillv1.CompareResponse) {
	d.mergeObjects(response.GetObjects())
	difference := d.catalog.Compare(decodeBuckets(response.GetDiffering()), decodeVersions(response.GetVersions()))
	peer := d.members.Table().Get(call.peer)
	if peer == nil || len(difference.Send)+len(difference.Request) == 0 {
		return
	}
	d.enqueueRequest(peer, d.newCompareRequest(difference), pendingExchange{peer: call.peer})
}

// newCompareRequest returns a request that contains the objects that are newer here and the names
// of those that are newer at the peer.
func (d *Decider) newCompareRequest(difference dissemination.Difference) *burlmillv1.ExchangeRequest {
	compare := &burlmillv1.CompareRequest{Objects: encodeObjects(difference.Send)}
	for _, name := range difference.Request {
		compare.Names = append(compare.Names, string(name))
	}
	return &burlmillv1.ExchangeRequest{State: d.newBaseState(), Compare: compare}
}
