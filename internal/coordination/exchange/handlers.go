// This file handles requests from peers, builds the responses to them, and handles the responses to
// and the failures of the requests of this process. A response from another process than the
// intended peer marks that peer as left.

package exchange

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/dissemination"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/membership"
)

// HandleRequest handles a request from a peer and returns the response to it. A monitoring peer
// confirms, by echoing a timestamp, that it received an earlier response.
func (d *Decider) HandleRequest(now time.Time, request *burlmillv1.ExchangeRequest) (*burlmillv1.ExchangeResponse, Output) {
	from := request.GetState().GetFrom()
	d.handleState(now, request.GetState())
	if request.GetMonitor() && request.GetHeard() > 0 {
		d.members.RecordConfirmation(from, d.decodeTimestamp(request.GetHeard()))
	}
	response := d.newResponse(now, request)
	d.fillResponse(now, request, response)
	return response, d.flush(now)
}

// newResponse builds the part that every response has. A peer that is not in the member table, or
// that pulls the catalog, gets no member records. A peer that is not alive in the table gets its
// own record, so that it can refute a wrong status.
func (d *Decider) newResponse(now time.Time, request *burlmillv1.ExchangeRequest) *burlmillv1.ExchangeResponse {
	from := request.GetState().GetFrom()
	member := d.members.Table().Get(from)
	response := &burlmillv1.ExchangeResponse{Stamp: d.encodeTimestamp(now), Unknown: member == nil}
	if member == nil || request.GetPull() != nil {
		response.State = d.newBaseState()
		return response
	}
	link := d.ensureLink(from)
	link.lastCalledAt = now
	state, changesCursor := d.newState(now, link)
	link.changesCursor = changesCursor
	if member.Status != membership.Alive {
		state.Members = append(state.Members, encodeMember(member))
	}
	response.State = state
	return response
}

// fillResponse adds the requested parts of the response besides the heartbeat.
func (d *Decider) fillResponse(now time.Time, request *burlmillv1.ExchangeRequest, response *burlmillv1.ExchangeResponse) {
	if pull := request.GetPull(); pull != nil {
		response.Page = encodePage(d.catalog.Serve(now, catalog.Revision(pull.GetAfter())))
		d.budget.Spend(now, len(response.Page.Objects))
	}
	if members := request.GetMembers(); members != nil {
		response.Members = d.serveMembers(now, members)
	}
	if compare := request.GetCompare(); compare != nil {
		response.Compare = d.serveObjectComparison(now, compare)
	}
}

// HandleResponse handles the response to the request with the ID. It ignores an unknown ID.
func (d *Decider) HandleResponse(now time.Time, id uint64, response *burlmillv1.ExchangeResponse) Output {
	call, known := d.pending[id]
	if !known {
		return d.flush(now)
	}
	delete(d.pending, id)
	from := response.GetState().GetFrom()
	if call.peer != "" && from != call.peer {
		d.handleReplacedPeer(now, call, from)
		return d.flush(now)
	}
	d.handleState(now, response.GetState())
	d.updateLink(id, call, response)
	d.handleResponseParts(now, call, response)
	return d.flush(now)
}

// handleReplacedPeer handles a response from a process other than the intended peer. That process
// now uses the address of the peer, so the peer is marked as left.
func (d *Decider) handleReplacedPeer(now time.Time, call pendingExchange, from string) {
	d.members.MarkReplaced(now, call.peer)
	if call.pull != nil {
		d.catalog.PullFailed(now, call.peer)
	}
	if call.link != nil {
		call.link.pendingID = 0
	}
	d.addNotice("member-replaced", d.members.Table().Get(from), nil)
}

// updateLink records the response to a heartbeat in its link. Other exchanges have no link.
func (d *Decider) updateLink(id uint64, call pendingExchange, response *burlmillv1.ExchangeResponse) {
	link := call.link
	if link == nil {
		return
	}
	if link.pendingID == id {
		link.pendingID = 0
	}
	link.changesCursor = link.changesCursor.Max(call.changesCursor)
	link.lastTimestamp = response.GetStamp()
	link.lastRequestFailed = false
	link.unknownToPeer = response.GetUnknown()
}

func (d *Decider) handleResponseParts(now time.Time, call pendingExchange, response *burlmillv1.ExchangeResponse) {
	if call.pull != nil {
		d.applyPage(now, *call.pull, response.GetPage())
	}
	if call.isJoin {
		d.handleJoinResponse(now, response)
	}
	if call.comparesMembers {
		d.handleMembersPage(now, call, response.GetMembers())
	}
	if compared := response.GetCompare(); compared != nil {
		d.handleCompareResponse(now, call, compared)
	}
}

func (d *Decider) applyPage(now time.Time, pull dissemination.Pull, encoded *burlmillv1.CatalogPage) {
	page, err := decodePage(encoded)
	if err != nil {
		d.catalog.PullFailed(now, pull.Peer)
		d.addNotice("page-refused", nil, err)
		return
	}
	if err := d.catalog.ApplyPage(now, pull, page); err != nil {
		d.addNotice("objects-refused", nil, err)
	}
}

// HandleFailure handles the failure or timeout of the request with the ID. It ignores an unknown
// ID.
func (d *Decider) HandleFailure(now time.Time, id uint64) Output {
	call, known := d.pending[id]
	if !known {
		return d.flush(now)
	}
	delete(d.pending, id)
	if call.link != nil && call.link.pendingID == id {
		call.link.pendingID = 0
		call.link.lastRequestFailed = true
	}
	if call.pull != nil {
		d.catalog.PullFailed(now, call.peer)
	}
	if call.isJoin {
		d.handleJoinFailure()
	}
	return d.flush(now)
}

// encodeTimestamp encodes a time as milliseconds since the start of this process, plus 1, so that
// it is never 0. Peers echo it without decoding it.
func (d *Decider) encodeTimestamp(now time.Time) uint64 {
	return uint64(now.Sub(d.startedAt)/time.Millisecond) + 1
}

// decodeTimestamp decodes a timestamp of this process, which must not be 0.
func (d *Decider) decodeTimestamp(timestamp uint64) time.Time {
	return d.startedAt.Add(time.Duration(timestamp-1) * time.Millisecond)
}
