package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// What becomes of the flows of an earlier life of the back end.

// Bounds of what is concluded from a new life.
const (
	// surelyHeldTime is for how long after its latest word on a flow a back end that lives on surely holds it. (A guess: less than
	// the 15 s after which idle flows are forgotten.)
	surelyHeldTime = 10 * time.Second
	// mostTold is how many flows' balancers an agent tells in one tick that they are over. (A guess: a burst of 2 KB.)
	mostTold = 64
	// overtaken is for how long after a flow was found at an agent a message that it is over may be of an earlier flow of the
	// caller's port, overtaken on its way. (A guess: far longer than datagrams overtake each other.)
	overtaken = time.Second
)

// noteSpoken notes that the back end has spoken on the flow.
func (f *heldFlow) noteSpoken(now time.Time) {
	if f.spokeFirst.IsZero() {
		f.spokeFirst = now
	}
	f.spokeLast = now
}

// noteProof notes a flow that the back end has just given back. If it spoke on it a short time ago, it has started
// anew since. Of several proofs the one says most on which it spoke last.
func (a *Agent) noteProof(now time.Time, given *heldFlow) {
	if !a.surelyHeld(now, given) || a.proof != nil && a.proof.spokeLast.After(given.spokeLast) {
		return
	}
	a.proof, a.provedAt = given, now
}

// endEarlier concludes from the proof which other flows are over, once there is news of another life, which may come
// after it: what the back end had taken by its word on the proof went with the earlier life. The
// news alone does not say so much: the new life may have taken flows before it was heard of.
func (a *Agent) endEarlier(now time.Time) {
	proof := a.proof
	if proof == nil {
		return
	}
	if now.Sub(a.provedAt) > surelyHeldTime {
		a.proof = nil
		return
	}
	if !a.tracker.Superseded() || !proof.spokeLast.Before(a.tracker.Since()) {
		return
	}
	a.proof = nil
	var over []*heldFlow
	for _, held := range a.flows {
		if held.state == stateOpen && held.endedWith(proof) {
			over = append(over, held)
		}
	}
	slices.SortFunc(over, func(x, y *heldFlow) int {
		return cmp.Or(x.key.Caller.Compare(y.key.Caller), x.key.Service.Compare(y.key.Service))
	})
	for _, held := range over {
		a.drop(held)
	}
	a.over = append(a.over, over...)
}

// surelyHeld says whether a back end that has lived on holds the flow: it spoke on it a short time ago, and the
// flow is younger than flows may become.
func (a *Agent) surelyHeld(now time.Time, held *heldFlow) bool {
	young := !held.acceptedAt.IsZero() && now.Sub(held.acceptedAt) < a.options.FlowLifetime
	return young && now.Sub(held.spokeLast) < surelyHeldTime
}

// endedWith says whether the back end took the flow in the life in which it last spoke on the other one, or in an
// earlier life. Back ends speak on no flow that they have not taken themselves.
func (f *heldFlow) endedWith(proof *heldFlow) bool {
	return !f.spokeFirst.IsZero() && !f.spokeFirst.After(proof.spokeLast)
}

// tellOver tells balancers of flows that are over, a bounded number at once.
func (a *Agent) tellOver() {
	count := min(len(a.over), mostTold)
	for _, held := range a.over[:count] {
		if a.flows[held.key] != nil || !held.balancer.IsValid() {
			continue // a datagram that has come meanwhile decides
		}
		a.act(Send{To: held.balancer, Message: Located{Key: held.key, Holding: HoldsNoMore}})
		a.act(Decision{Event: EventNotHeld, Key: held.key, Service: a.options.Service, Peer: held.balancer, Reason: reasonEarlier})
	}
	a.over = slices.Delete(a.over, 0, count)
}

// forgetWork forgets what an earlier life of the back end owed, once the present one has answered itself.
func (a *Agent) forgetWork() {
	changes, _ := a.tracker.Changes()
	if changes == a.lives || a.accepts() != 0 {
		return
	}
	a.lives = changes
	if !a.tracker.Superseded() {
		return
	}
	for held := range a.owing {
		if held.owedAt.Before(a.tracker.Since()) {
			a.settle(held)
		}
	}
}

// ended takes in an agent's word that a flow held there is over with an earlier life of its back end.
func (b *Balancer) ended(now time.Time, from netip.AddrPort, key flow.Key) {
	known := b.flows[key]
	if known == nil || known.gone || known.agent != from || now.Sub(known.agentAt) < overtaken {
		return
	}
	known.agent = netip.AddrPort{}
	b.lose(now, known, reasonEarlier)
}
