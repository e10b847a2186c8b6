// This file handles restarts of the back end. Once a returned datagram proves a restart, the agent
// closes the flows that earlier incarnations accepted and notifies their balancers, which reset the
// callers. It also clears the answers that earlier incarnations left outstanding.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Timeouts and limits after a restart of the back end.
const (
	// DefaultIdleTimeout is the idle timeout of back ends if the configuration contains none.
	DefaultIdleTimeout = 15 * time.Second
	// restartProofTTL is how long a proof of a restart waits for the tracker to know the new
	// incarnation.
	restartProofTTL = 10 * time.Second
	// maxClosedNotices is the maximum number of closed flows whose balancers an agent notifies in
	// one tick.
	maxClosedNotices = 64
	// reorderTolerance is how long a balancer ignores an agent's notice that a flow is closed after
	// it has assigned the flow to the agent: the notice may be a delayed one about an earlier flow
	// from the same caller port.
	reorderTolerance = time.Second
)

// recordBackendSent records that the back end has sent on the flow.
func (f *trackedFlow) recordBackendSent(now time.Time) {
	if f.backendFirstSentAt.IsZero() {
		f.backendFirstSentAt = now
	}
	f.backendLastSentAt = now
}

// recordRestartProof records a flow of which the back end has just returned a datagram, if a back
// end that has not restarted would certainly hold it. Of several such flows, it keeps the one on
// which the back end sent last.
func (a *Agent) recordRestartProof(now time.Time, returned *trackedFlow) {
	if !a.certainlyHeld(now, returned) || a.restartProof != nil &&
		a.restartProof.backendLastSentAt.After(returned.backendLastSentAt) {
		return
	}
	a.restartProof, a.restartProofAt = returned, now
}

// closeEarlierFlows removes the open flows that earlier incarnations accepted before the back end
// last sent on the flow that proves the restart. It waits until the tracker knows the new
// incarnation. The tracker's change alone does not suffice, since the new incarnation may have
// accepted flows before it was first seen.
func (a *Agent) closeEarlierFlows(now time.Time) {
	proof := a.restartProof
	if proof == nil {
		return
	}
	if now.Sub(a.restartProofAt) > restartProofTTL {
		a.restartProof = nil
		return
	}
	if !a.tracker.ReplacedPrevious() || !proof.backendLastSentAt.Before(a.tracker.FirstSeen()) {
		return
	}
	a.restartProof = nil
	var closed []*trackedFlow
	for _, tracked := range a.flows {
		if tracked.state == stateOpen && tracked.closedByRestart(proof) {
			closed = append(closed, tracked)
		}
	}
	slices.SortFunc(closed, func(x, y *trackedFlow) int {
		return cmp.Or(x.key.Caller.Compare(y.key.Caller), x.key.Service.Compare(y.key.Service))
	})
	for _, tracked := range closed {
		a.untrack(tracked)
	}
	a.closedFlows = append(a.closedFlows, closed...)
}

// SetIdleTimeout sets the time after which the back end may forget a flow without datagrams. 0 means
// that it is not known; then no returned datagram proves a restart.
func (a *Agent) SetIdleTimeout(timeout time.Duration) { a.backendIdleTimeout = timeout }

// certainHoldTime returns how long a back end that has not restarted certainly holds a flow after it
// last sent on it. It is shorter than the idle timeout, since datagrams may be late.
func certainHoldTime(idleTimeout time.Duration) time.Duration { return idleTimeout * 2 / 3 }

// certainlyHeld reports whether a back end that has not restarted certainly holds the flow: it sent
// on the flow recently, and the flow is younger than FlowLifetime.
func (a *Agent) certainlyHeld(now time.Time, tracked *trackedFlow) bool {
	young := !tracked.acceptedAt.IsZero() && now.Sub(tracked.acceptedAt) < a.options.FlowLifetime
	return young && now.Sub(tracked.backendLastSentAt) < certainHoldTime(a.backendIdleTimeout)
}

// closedByRestart reports whether the flow was accepted by the incarnation that last sent on proof,
// or by an earlier one. An incarnation sends only on flows that it has accepted itself.
func (f *trackedFlow) closedByRestart(proof *trackedFlow) bool {
	return !f.backendFirstSentAt.IsZero() && !f.backendFirstSentAt.After(proof.backendLastSentAt)
}

// sendClosedNotices notifies balancers of closed flows, of at most maxClosedNotices in one call.
func (a *Agent) sendClosedNotices() {
	count := min(len(a.closedFlows), maxClosedNotices)
	for _, tracked := range a.closedFlows[:count] {
		if a.flows[tracked.key] != nil || !tracked.balancer.IsValid() {
			continue // a later datagram has created a new record, or the balancer is unknown
		}
		a.emit(Send{To: tracked.balancer,
			Message: FlowQueryAnswer{Key: tracked.key, Holding: HoldsNoLonger}})
		a.emit(Decision{Event: EventNotHeld, Key: tracked.key, Service: a.options.Service,
			Peer: tracked.balancer, Reason: reasonEarlierIncarnation})
	}
	a.closedFlows = slices.Delete(a.closedFlows, 0, count)
}

// clearStaleOutstanding clears the answers that earlier incarnations left outstanding, once the
// current one accepts flows.
func (a *Agent) clearStaleOutstanding() {
	changes, _ := a.tracker.Changes()
	if changes == a.changesAtClear || a.blockedReason() != 0 {
		return
	}
	a.changesAtClear = changes
	if !a.tracker.ReplacedPrevious() {
		return
	}
	for tracked := range a.outstanding {
		if tracked.outstandingSince.Before(a.tracker.FirstSeen()) {
			a.clearOutstanding(tracked)
		}
	}
}

// handleClosedNotice handles an agent's notice that a flow was closed by a restart of its back end.
// Only notices from the flow's current agent count.
func (b *Balancer) handleClosedNotice(now time.Time, from netip.AddrPort, key flow.Key) {
	entry := b.flows[key]
	if entry == nil || entry.closed || entry.agent != from ||
		now.Sub(entry.agentSetAt) < reorderTolerance {
		return
	}
	entry.agent = netip.AddrPort{}
	b.closeFlow(now, entry, reasonEarlierIncarnation)
}
