// This file opens flows: it selects the service of an opening, and offers the opening to one agent
// after another until a back end accepts it. If none does, it queues the opening, waits for late
// answers, or rejects it. It does not reset the caller if the flow may be open elsewhere.

package handshake

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// handleOpening handles an opening datagram. It is a retransmission, or opens a new flow that
// replaces the entry of an earlier one with the same key, if any.
func (b *Balancer) handleOpening(now time.Time, entry *flowEntry, datagram *Datagram) {
	if entry != nil && entry.opening != nil && entry.openingNumber == datagram.Number {
		b.handleRetransmit(now, entry, datagram)
		return
	}
	if entry != nil {
		b.removeFlow(entry)
	}
	entry = b.addFlow(now, datagram.Key)
	entry.openingNumber = datagram.Number
	entry.opening = bytes.Clone(datagram.Bytes)
	entry.retransmits = datagram.Retransmits
	entry.retransmittedAt = now
	entry.startedAt = now.Add(-datagram.Age)
	b.detectStall(now)
	entry.possiblyOpen = datagram.Retransmits > 0 ||
		!b.stallEndedAt.IsZero() && now.Sub(b.stallEndedAt) < RetransmitTime
	b.place(now, entry)
}

// detectStall records a stall of this process. Openings that waited in its socket buffer meanwhile
// may have been retransmitted to another balancer since.
func (b *Balancer) detectStall(now time.Time) {
	if now.Sub(b.lastTickAt) > RetransmitTime {
		b.stallEndedAt = now
	}
}

// recordRetransmit records a retransmission of the opening datagram, given its
// Datagram.Retransmits.
func (f *flowEntry) recordRetransmit(now time.Time, retransmits uint32) {
	if retransmits > f.retransmits+1 {
		f.possiblyOpen = true // another balancer may have received the missing one
	}
	if retransmits > f.retransmits {
		f.retransmits = retransmits
		f.retransmittedAt = now
	}
}

// handleRetransmit handles a retransmitted opening datagram. The caller has received no answer, so
// the opening is offered to another agent, unless it is queued or an offer is pending.
func (b *Balancer) handleRetransmit(now time.Time, entry *flowEntry, datagram *Datagram) {
	entry.recordRetransmit(now, datagram.Retransmits)
	if entry.closed {
		return
	}
	if entry.agent.IsValid() || entry.queued || !entry.deadline.IsZero() {
		return
	}
	entry.lastSeenAt = now
	entry.opening = bytes.Clone(datagram.Bytes)
	if _, outcome := b.agentTable.leastBusyOfService(
		now, entry.service, entry.offeredTo,
	); outcome == noAgent {
		entry.offeredTo, entry.refusals = nil, 0 // no further agent takes it: starts a new round
	}
	b.place(now, entry)
}

// place selects the service of an opening by the configuration in force, and offers or queues the
// opening. An opening without a route is rejected.
func (b *Balancer) place(now time.Time, entry *flowEntry) {
	if b.table == nil {
		b.enqueue(now, entry)
		return
	}
	route := b.table.Route(entry.key.Service)
	if route == nil {
		b.emit(Decision{Event: EventNoRoute, Key: entry.key, Reason: entry.noResetReason(now),
			Version: b.table.Version()})
		b.rejectUnrouted(now, entry)
		return
	}
	entry.priority, entry.latencyTarget = route.Priority, route.LatencyTarget
	if !route.Contains(entry.service) {
		entry.service = b.splitter.NextService(b.table, route)
	}
	if b.queuedBefore(now, entry) {
		b.enqueue(now, entry)
		b.requestReservations(now, entry.service)
		return
	}
	b.offerToNext(now, entry)
}

// offerToNext offers the opening to an agent to which it was not offered in this round, or queues it
// if all of these are full. If none of them takes new flows, handleNoAgent decides.
func (b *Balancer) offerToNext(now time.Time, entry *flowEntry) {
	agent, outcome := b.agentTable.selectAgent(now, entry.key, entry.service, entry.offeredTo)
	switch outcome {
	case allFull:
		b.enqueue(now, entry)
		b.requestReservations(now, entry.service)
	case noAgent:
		b.handleNoAgent(now, entry)
	default:
		b.offerTo(now, entry, agent)
	}
}

// offerTo offers the opening to the agent, and sets the deadline of the answer.
func (b *Balancer) offerTo(now time.Time, entry *flowEntry, agent *agentState) {
	b.markDequeued(entry)
	entry.offeredTo = append(entry.offeredTo, agent.address)
	entry.sentAt = now
	entry.version = b.table.Version()
	agent.pendingOffers++
	agent.recordForwarded(now)
	b.setDeadline(entry, now.Add(agent.offerTimeout()))
	b.emit(Send{To: agent.address, Message: Offer{Service: entry.service, Version: b.table.Version(),
		MoreQueued: b.hasQueued(entry.service), ColdLimit: b.coldLimit(entry.service),
		Bytes: entry.opening}})
	b.emit(Decision{Event: EventOffered, Key: entry.key, Service: entry.service, Peer: agent.address,
		Version: b.table.Version(), Attempts: len(entry.offeredTo), Load: agent.load,
		Age: now.Sub(agent.loadAt)})
}

// coldLimit returns the maximum number of new flows that a cold back end of the service gets in any
// window of one second (Offer.ColdLimit); 0 means no limit.
func (b *Balancer) coldLimit(name catalog.ServiceName) uint32 {
	service, _ := b.table.Service(name)
	if service.ColdFlowRate == 0 {
		return 0
	}
	return max(1, uint32(service.ColdFlowRate*b.options.ColdOvershoot+b.options.ColdSlack))
}

// handleNoAgent handles an opening for which no further agent takes new flows. If every offer was
// refused, the opening is rejected; otherwise an answer may still arrive. A balancer that has just
// started or has no reachable agent queues the opening and sends no reset, so that the caller's
// next retransmission may open the flow through another balancer.
func (b *Balancer) handleNoAgent(now time.Time, entry *flowEntry) {
	b.clearDeadline(entry)
	switch {
	case !b.agentTable.AnyReachable(now) || b.starting(now):
		b.enqueue(now, entry)
	case entry.refusals >= len(entry.offeredTo) && len(entry.accepts) == 0:
		b.reject(now, entry)
	default:
		b.markDequeued(entry)
	}
}

// reject resets the caller of an opening that no agent takes, or removes the opening without a
// reset if the flow may be open. After a reset the opening keeps its entry until that expires: a
// retransmission, which follows if the reset is lost, is offered to agents again.
func (b *Balancer) reject(now time.Time, entry *flowEntry) {
	reason := entry.noResetReason(now)
	b.emit(Decision{Event: EventRejected, Key: entry.key, Service: entry.service, Reason: reason,
		Version: b.table.Version(), Attempts: len(entry.offeredTo)})
	if reason != "" {
		b.removeFlow(entry)
		return
	}
	b.emit(ResetCaller{Key: entry.key})
	b.clearDeadline(entry)
	b.markDequeued(entry)
	entry.clearOffers()
}

// rejectUnrouted removes an opening without a route, and resets its caller unless the flow may be
// open: a retransmission that is due by now may have opened it through another balancer.
func (b *Balancer) rejectUnrouted(now time.Time, entry *flowEntry) {
	b.removeFlow(entry)
	if entry.noResetReason(now) == "" {
		b.emit(ResetCaller{Key: entry.key})
	}
}

// clearOffers clears the offers and queuedAt, so that the opening is offered like a new one.
func (f *flowEntry) clearOffers() {
	f.offeredTo, f.refusals = nil, 0
	f.queuedAt = time.Time{}
}

// noResetReason returns why the caller of a rejected opening is not reset, or "" if it is reset.
func (f *flowEntry) noResetReason(now time.Time) string {
	switch {
	case f.possiblyOpen:
		return reasonPossiblyOpen
	case now.Sub(f.retransmittedAt) >= RetransmitTime:
		return reasonRetransmitDue
	default:
		return ""
	}
}

// handleAccepted records a back end's acceptance of an opening. The flow opens when the caller
// acknowledges the back end's number.
func (b *Balancer) handleAccepted(now time.Time, from netip.AddrPort, message Accepted) {
	b.agentTable.recordAnswer(now, from, message.Load)
	entry := b.flows[message.Key]
	if entry == nil || entry.agent.IsValid() {
		return
	}
	b.agentTable.recordResponseTime(from, now.Sub(entry.sentAt))
	fromSameAgent := func(a accept) bool { return a.agent == from }
	entry.accepts = append(
		slices.DeleteFunc(entry.accepts, fromSameAgent), accept{from, message.Number})
	if entry.opening != nil && entry.lookup == nil {
		b.clearDeadline(entry)
		b.markDequeued(entry)
	}
	b.emit(Decision{Event: EventAccepted, Key: entry.key, Service: entry.service, Peer: from,
		Attempts: len(entry.offeredTo), Load: message.Load, Age: now.Sub(entry.sentAt)})
	if entry.lookup != nil && entry.bufferedConfirms == message.Number {
		// The caller's acknowledgment arrived before the agent's answer and was buffered.
		b.assignAgent(now, entry, from, EventOpened)
		b.startLookups(now)
	}
}

// handleRefused handles the refusal of an offer. Unless another back end has accepted the opening,
// it is offered to the next agent.
func (b *Balancer) handleRefused(now time.Time, from netip.AddrPort, message Refused) {
	b.agentTable.recordAnswer(now, from, message.Load)
	entry := b.flows[message.Key]
	if entry == nil || entry.agent.IsValid() || entry.lookup != nil ||
		!slices.Contains(entry.offeredTo, from) {
		return // the flow is open, a lookup is running, or the answer is late
	}
	entry.refusals++
	b.emit(Decision{Event: EventRefused, Key: entry.key, Service: entry.service, Peer: from,
		Reason: message.Reason.String(), Attempts: len(entry.offeredTo), Load: message.Load,
		Age: now.Sub(entry.sentAt)})
	if len(entry.accepts) == 0 {
		b.offerToNext(now, entry)
	}
}

// handleOfferTimeout handles an offer that timed out: its agent may have opened the flow. The
// opening is offered to the next agent, up to MaxOffers times.
func (b *Balancer) handleOfferTimeout(now time.Time, entry *flowEntry) {
	entry.possiblyOpen = true
	address := entry.offeredTo[len(entry.offeredTo)-1]
	b.agentTable.recordOfferTimeout(now, address)
	b.emit(Decision{Event: EventUnanswered, Key: entry.key, Service: entry.service, Peer: address,
		Attempts: len(entry.offeredTo), Age: now.Sub(entry.sentAt)})
	if len(entry.offeredTo) < MaxOffers {
		b.offerToNext(now, entry)
	}
}
