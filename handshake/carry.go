package handshake

import (
	"net/netip"
	"time"
)

// carry takes a caller's datagram of a flow that is open, or that it opens, to
// the agent that holds the flow.
func (b *Balancer) carry(now time.Time, known *balancedFlow, datagram *Datagram) {
	b.release(known) // the caller has opened it
	again := known.content.repeats(datagram)
	if known.agent.IsValid() {
		if !b.breaksOff(now, known, datagram, again) {
			b.forward(now, known.agent, datagram.Bytes)
		}
		return
	}
	if agent, ok := known.confirmed(datagram.Confirms); ok {
		b.hold(now, known, agent, EventOpened)
		b.forward(now, agent, datagram.Bytes)
		return
	}
	if datagram.Kind == Reset && known.opening != nil {
		b.forget(known) // the caller has given up; half-open flows end by themselves
		return
	}
	b.locate(now, known, datagram)
}

// confirmed returns the agent whose back end's number the caller confirms.
func (f *balancedFlow) confirmed(number uint32) (netip.AddrPort, bool) {
	for _, answer := range f.accepts {
		if answer.number == number {
			return answer.agent, true
		}
	}
	return netip.AddrPort{}, false
}

// hold notes that the agent holds the flow, and sends on what has waited for it.
func (b *Balancer) hold(now time.Time, known *balancedFlow, agent netip.AddrPort, event Event) {
	b.settle(known)
	b.release(known)
	waited := known.buffered
	b.endFinding(known)
	known.agent = agent
	known.agentAt = now
	known.findPause = 0
	known.accepts = nil
	known.tried = nil
	b.act(Decision{Event: event, Key: known.key, Service: known.service, Peer: agent, Version: b.table.Version(), Age: now.Sub(known.sentAt)})
	for _, datagram := range waited {
		b.forward(now, agent, datagram)
	}
}

func (b *Balancer) forward(now time.Time, agent netip.AddrPort, datagram []byte) {
	if known := b.board.agents[agent]; known != nil {
		known.noteCarried(now)
	}
	b.act(Send{To: agent, Message: Forward{Bytes: datagram}})
}

// Returned handles a datagram that an agent gave back because it does not hold
// its flow.
func (b *Balancer) Returned(now time.Time, from netip.AddrPort, datagram *Datagram, message NotHeld) []Action {
	b.noteAlive(now, from)
	known := b.flows[datagram.Key]
	if known == nil {
		known = b.add(now, datagram.Key)
		known.noteConfirms(datagram)
	}
	b.act(Decision{Event: EventNotHeld, Key: known.key, Peer: from, Reason: returnReason(message)})
	if known.agent.IsValid() && known.agent != from || !known.owns(datagram) {
		return b.take() // a late answer, or one about an earlier flow of the same caller's port
	}
	held := known.agent == from
	known.agent = netip.AddrPort{}
	switch {
	case message.Gone || message.Tried && held:
		b.lose(now, known, reasonGone)
	case message.Tried: // the caller sends it again
	default:
		b.carry(now, known, datagram)
	}
	return b.take()
}

// owns says whether a datagram that has come back is of this flow.
func (f *balancedFlow) owns(datagram *Datagram) bool {
	return datagram.Kind != Data || near(f.latest, datagram.Confirms)
}

// Reasons for which a flow is lost or a datagram comes back.
const (
	reasonGone    = "back-end-gone"
	reasonUnheard = "holder-not-found" // it may be out of reach
	reasonNobody  = "nobody-holds-it"  // all agents have said so
	reasonEarlier = "earlier-life"     // the back end has started anew since, by another flow's proof
	reasonBackend = "back-end"
	reasonAgent   = "agent"
	reasonLate    = "late"         // the agent has stood still, and the caller sends again
	reasonAnother = "another-flow" // the back end has answered for another flow with the same key, or by a reset

	reasonUncertain = "silent-may-be-open" // an earlier copy went elsewhere, or an offer was not answered
	reasonCopyDue   = "silent-copy-due"    // a later copy may have gone elsewhere
)

// returnReason says who has given a datagram back.
func returnReason(message NotHeld) string {
	switch {
	case message.Gone:
		return reasonGone
	case message.Tried:
		return reasonBackend
	default:
		return reasonAgent
	}
}
