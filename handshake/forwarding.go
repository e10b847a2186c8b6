// This file forwards callers' datagrams to the agents that hold their flows, and assigns flows to
// agents. It handles the datagrams that agents return: it closes the flow if its back end no longer
// holds it, and otherwise looks up the holder or drops the datagram. It also defines the reasons of
// decisions.

package handshake

import (
	"net/netip"
	"time"
)

// forwardDatagram forwards a caller's datagram, which belongs to an open flow or opens it by
// acknowledging an Accept, to the agent that holds the flow. If the agent is not known, it starts a
// lookup.
func (b *Balancer) forwardDatagram(now time.Time, entry *flowEntry, datagram *Datagram) {
	b.markDequeued(entry) // the caller has sent on the flow, so it is open
	retransmitted := entry.content.isRetransmission(datagram)
	if entry.agent.IsValid() {
		if !b.resetIfUnreachable(now, entry, datagram, retransmitted) {
			b.sendForward(now, entry.agent, datagram.Bytes)
		}
		return
	}
	if agent, ok := entry.acceptedBy(datagram.Confirms); ok {
		b.assignAgent(now, entry, agent, EventOpened)
		b.sendForward(now, agent, datagram.Bytes)
		return
	}
	if datagram.Kind == Reset && entry.opening != nil {
		b.removeFlow(entry) // the caller has given up; half-open flows end by themselves
		return
	}
	b.lookUpFlow(now, entry, datagram)
}

// acceptedBy returns the agent whose back end accepted the flow with the number, and false if none
// of those known here did.
func (f *flowEntry) acceptedBy(number uint32) (netip.AddrPort, bool) {
	for _, answer := range f.accepts {
		if answer.number == number {
			return answer.agent, true
		}
	}
	return netip.AddrPort{}, false
}

// assignAgent assigns the flow to the agent, ends its lookup and forwards the buffered datagrams.
func (b *Balancer) assignAgent(now time.Time, entry *flowEntry, agent netip.AddrPort, event Event) {
	b.clearDeadline(entry)
	b.markDequeued(entry)
	datagrams := entry.buffered
	b.endLookup(entry)
	entry.agent = agent
	entry.agentSetAt = now
	entry.lookupBackoff = 0
	entry.accepts = nil
	entry.offeredTo = nil
	b.scheduleReplication(now, entry)
	b.emit(Decision{Event: event, Key: entry.key, Service: entry.service, Peer: agent,
		Version: b.table.Version(), Age: now.Sub(entry.sentAt)})
	for _, datagram := range datagrams {
		b.sendForward(now, agent, datagram)
	}
}

func (b *Balancer) sendForward(now time.Time, agent netip.AddrPort, datagram []byte) {
	if state := b.agentTable.agents[agent]; state != nil {
		state.recordForwarded(now)
	}
	b.emit(Send{To: agent, Message: Forward{Bytes: datagram}})
}

// HandleReturned handles a datagram that an agent returned because it does not hold the flow.
func (b *Balancer) HandleReturned(
	now time.Time, from netip.AddrPort, datagram *Datagram, message NotHeld,
) []Action {
	b.recordAgentMessage(now, from)
	entry := b.flows[datagram.Key]
	if entry == nil {
		entry = b.addFlow(now, datagram.Key)
		entry.recordConfirms(datagram)
	}
	b.emit(Decision{Event: EventNotHeld, Key: entry.key, Peer: from, Reason: returnReason(message)})
	if entry.agent.IsValid() && entry.agent != from || !entry.matches(datagram) {
		return b.drain() // a late message, or one about an earlier flow from the same caller port
	}
	assigned := entry.agent == from
	entry.agent = netip.AddrPort{}
	switch {
	case message.Closed || message.ByBackend && assigned:
		b.closeFlow(now, entry, reasonBackendClosed)
	case message.ByBackend: // the caller retransmits the datagram
	default:
		b.forwardDatagram(now, entry, datagram)
	}
	return b.drain()
}

// matches reports whether a datagram may belong to this flow and not to another one with the same
// key.
func (f *flowEntry) matches(datagram *Datagram) bool {
	return datagram.Kind != Data || sameFlowConfirms(f.lastConfirms, datagram.Confirms)
}

// Reasons of decisions in the log. reasonPossiblyOpen and reasonRetransmitDue are reasons for which
// the caller of a rejected opening is not reset.
const (
	reasonBackendClosed      = "back-end-gone"
	reasonHolderNotFound     = "holder-not-found" // an unreachable agent may hold the flow
	reasonNoHolder           = "nobody-holds-it"  // no agent holds the flow
	reasonEarlierIncarnation = "earlier-life"     // the back end has restarted since its Accept
	reasonReturnedByBackend  = "back-end"
	reasonReturnedByAgent    = "agent"
	reasonStalled            = "late"         // the agent has stalled and drops the datagram
	reasonAnotherFlow        = "another-flow" // the back end may hold another flow with the same key

	reasonPossiblyOpen  = "silent-may-be-open" // through another balancer or an unanswered offer
	reasonRetransmitDue = "silent-copy-due"    // a retransmission may have opened it elsewhere
)

// returnReason returns the reason that is logged for a returned datagram.
func returnReason(message NotHeld) string {
	switch {
	case message.Closed:
		return reasonBackendClosed
	case message.ByBackend:
		return reasonReturnedByBackend
	default:
		return reasonReturnedByAgent
	}
}
