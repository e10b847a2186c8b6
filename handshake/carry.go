package handshake

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/routing"
)

// carry takes a caller's datagram of a flow that is open, or that it opens, to
// the agent that holds the flow.
func (b *Balancer) carry(now time.Time, known *balancedFlow, datagram *Datagram) {
	b.release(known) // the caller has opened it
	if known.agent.IsValid() {
		b.forward(known.agent, datagram.Bytes)
		return
	}
	if agent, ok := known.confirmed(datagram.Confirms); ok {
		b.hold(now, known, agent, EventOpened)
		b.forward(agent, datagram.Bytes)
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

// hold notes that the agent holds the flow.
func (b *Balancer) hold(now time.Time, known *balancedFlow, agent netip.AddrPort, event Event) {
	b.settle(known)
	b.release(known)
	known.agent = agent
	known.accepts = nil
	known.tried = nil
	b.act(Decision{Event: event, Key: known.key, Service: known.service, Peer: agent, Version: b.table.Version(), Age: now.Sub(known.sentAt)})
}

func (b *Balancer) forward(agent netip.AddrPort, datagram []byte) {
	b.act(Send{To: agent, Message: Forward{Bytes: datagram}})
}

// locate asks the agents who holds the flow; the datagram waits for the answer.
func (b *Balancer) locate(now time.Time, known *balancedFlow, datagram *Datagram) {
	if now.Sub(known.lost) < LostTime {
		return
	}
	if len(known.buffered) >= MaximumBuffered {
		return
	}
	known.buffered = append(known.buffered, bytes.Clone(datagram.Bytes))
	if len(known.buffered) > 1 {
		return
	}
	known.confirms = datagram.Confirms
	b.beginAsking(now, known)
}

// beginAsking asks anew who holds the flow.
func (b *Balancer) beginAsking(now time.Time, known *balancedFlow) {
	known.widened, known.pausing = false, false
	known.answered, known.perhaps = nil, nil
	b.ask(now, known)
}

// ask asks the agents that may hold the flow, and other balancers.
func (b *Balancer) ask(now time.Time, known *balancedFlow) {
	agents := b.candidates(now, known)
	known.asked = slices.Clone(known.answered)
	for _, agent := range agents {
		b.askOne(known, agent.address)
	}
	for _, other := range b.neighbors.nearest(now) {
		b.askOne(known, other)
	}
	if len(known.asked) == len(known.answered) {
		b.locateEnded(now, known) // there is nobody else to ask
		return
	}
	known.sentAt = now
	b.await(known, now.Add(b.locateTime(agents)))
	b.act(Decision{Event: EventLocating, Key: known.key, Attempts: len(known.asked)})
}

// candidates returns the agents to ask for a flow. The services to which its route sends
// new flows come first: with many services, few agents are of those. A flow that is older
// than its route's present targets is with another service, so all others come after.
func (b *Balancer) candidates(now time.Time, known *balancedFlow) []*agentState {
	agents := b.board.known(now)
	route := b.route(known)
	if route == nil || known.widened {
		known.widened = true
		return agents
	}
	likely := slices.DeleteFunc(slices.Clone(agents), func(agent *agentState) bool { return !route.Has(agent.status.Service) })
	if len(likely) == 0 || len(likely) == len(agents) {
		known.widened = true
		return agents
	}
	return likely
}

// route returns the flow's route, nil if there is none.
func (b *Balancer) route(known *balancedFlow) *routing.Route {
	if b.table == nil {
		return nil
	}
	return b.table.Route(known.key.Service)
}

// askOne asks one process, unless it has been asked.
func (b *Balancer) askOne(known *balancedFlow, address netip.AddrPort) {
	if slices.Contains(known.asked, address) {
		return
	}
	known.asked = append(known.asked, address)
	b.act(Send{To: address, Message: Locate{Key: known.key, Confirms: known.confirms}})
}

// locateTime returns how long the agents may take to answer.
func (b *Balancer) locateTime(agents []*agentState) time.Duration {
	longest := LocateTime
	for _, agent := range agents {
		longest = max(longest, agent.patience())
	}
	return longest
}

// located handles an agent's answer.
func (b *Balancer) located(now time.Time, from netip.AddrPort, message Located) {
	known := b.flows[message.Key]
	if known == nil || known.agent.IsValid() {
		return
	}
	if message.Holding != Holds && !known.awaitsAnswer(from) {
		return
	}
	switch message.Holding {
	case Holds:
		b.hold(now, known, from, EventLocated)
		b.flush(known)
		return
	case HoldsPerhaps:
		known.perhaps = append(known.perhaps, from)
	}
	b.noteAnswer(now, known, from)
}

// awaitsAnswer says whether the process was asked and has not answered yet.
func (f *balancedFlow) awaitsAnswer(from netip.AddrPort) bool {
	return slices.Contains(f.asked, from) && !slices.Contains(f.answered, from)
}

// noteAnswer notes that one of those who were asked does not say that it holds the flow.
func (b *Balancer) noteAnswer(now time.Time, known *balancedFlow, from netip.AddrPort) {
	known.answered = append(known.answered, from)
	if len(known.answered) == len(known.asked) {
		b.locateEnded(now, known)
	}
}

// flush sends on what has waited for the flow's agent.
func (b *Balancer) flush(known *balancedFlow) {
	for _, datagram := range known.buffered {
		b.forward(known.agent, datagram)
	}
	known.buffered = nil
}

// locateLate handles a question whose time is over.
func (b *Balancer) locateLate(now time.Time, known *balancedFlow) {
	if known.pausing {
		known.pausing = false
		b.ask(now, known)
		return
	}
	b.locateEnded(now, known)
}

// Times in which a balancer that has started may not know all agents yet.
const (
	DiscoveryTime = 4 * time.Second       // the longest of them, in fleets of some hundred processes
	askAgainTime  = 50 * time.Millisecond // after which those that it has learned of are asked for a flow too
)

// discovers says whether the balancer has started so lately that the agent which holds a
// flow may not be known yet.
func (b *Balancer) discovers(now time.Time) bool { return now.Sub(b.started) < DiscoveryTime }

// locateEnded handles a flow that no agent is sure to hold. Agents that may hold
// it pass the first datagram to their back ends, which know. Where nobody may, the
// flow may still be held by an agent that cannot be heard from here: the caller
// is left to its own patience.
func (b *Balancer) locateEnded(now time.Time, known *balancedFlow) {
	b.settle(known)
	if !known.widened {
		known.widened = true
		b.ask(now, known)
		return
	}
	if b.young(now) || b.discovers(now) && len(known.perhaps) == 0 {
		known.pausing = true
		b.await(known, now.Add(askAgainTime))
		return
	}
	if len(known.perhaps) > 0 {
		b.try(now, known)
		return
	}
	known.buffered = nil
	known.asked = nil
	known.lost = now
	b.act(Decision{Event: EventLost, Key: known.key, Attempts: len(known.answered), Reason: reasonUnheard})
}

// try passes what has waited to the back ends of the agents that may hold the flow.
func (b *Balancer) try(now time.Time, known *balancedFlow) {
	for _, agent := range known.perhaps {
		b.act(Decision{Event: EventTried, Key: known.key, Peer: agent, Attempts: len(known.perhaps)})
		for _, datagram := range known.buffered {
			b.act(Send{To: agent, Message: Forward{Bytes: datagram}})
		}
	}
	known.buffered = nil
	known.asked = nil
	known.lost = now.Add(TryPause - LostTime)
}

// TryPause is how long a balancer waits before it asks for a flow again whose
// datagrams it has tried at back ends.
const TryPause = 20 * time.Millisecond

// Returned handles a datagram that an agent gave back because it does not hold
// its flow.
func (b *Balancer) Returned(now time.Time, from netip.AddrPort, datagram *Datagram, message NotHeld) []Action {
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

// lose ends a flow whose back end is known to be gone: the caller is told at once.
func (b *Balancer) lose(now time.Time, known *balancedFlow, reason string) {
	b.settle(known)
	known.buffered = nil
	known.asked = nil
	known.lost = now
	b.act(Decision{Event: EventLost, Key: known.key, Reason: reason})
	b.act(ResetCaller{Key: known.key, Confirms: known.latest})
}

// Reasons for which a flow is lost or a datagram comes back.
const (
	reasonGone    = "back-end-gone"
	reasonUnheard = "nobody-holds-it"
	reasonBackend = "back-end"
	reasonAgent   = "agent"

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
