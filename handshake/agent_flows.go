// This file handles the datagrams of an agent's flows from balancers and from the back end, answers
// queries for single flows, and reports accepted flows and probe results to balancers. It returns
// datagrams that the back end does not take, drops those of unknown flows during a stall, and
// records whether requests fail. The agent's tick expires unanswered requests and idle flows.

package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/instance"
)

// HandleForward handles a datagram of a flow that this agent's back end holds or may hold. If the
// agent has no record of the flow, or the back end has restarted since, the back end decides: it
// returns datagrams of flows that it does not hold. Only that proves that a flow is closed.
func (a *Agent) HandleForward(now time.Time, from netip.AddrPort, datagram *Datagram) []Action {
	tracked := a.flows[datagram.Key]
	if a.stalled(now) && (tracked == nil || tracked.state == stateTentative) {
		a.emit(Decision{Event: EventNotHeld, Key: datagram.Key, Service: a.options.Service, Peer: from,
			Reason: reasonStalled})
		return a.drain() // it may be an old probe that the coordinator no longer counts
	}
	switch {
	case tracked == nil:
		tracked = a.track(now, datagram.Key, stateTentative)
		tracked.maybeAnswered = true
	case tracked.state == stateTentative:
	case !tracked.ownsDatagram(datagram) && a.unknownHolding(now) == HoldsNot:
		a.sendNotHeld(from, NotHeld{Bytes: datagram.Bytes}, datagram.Key)
		return a.drain()
	case !tracked.ownsDatagram(datagram):
		// The back end may hold an earlier flow from the same caller port.
		a.emit(Deliver{Bytes: datagram.Bytes})
		return a.drain()
	case tracked.state == stateHalfOpen:
		if !tracked.acceptedAt.IsZero() {
			a.updateConfirmTime(now.Sub(tracked.acceptedAt))
		}
		tracked.state = stateOpen
		a.emit(Decision{Event: EventOpened, Key: tracked.key, Service: a.options.Service, Peer: from,
			Load: a.Load(now)})
	}
	tracked.balancer = from
	tracked.lastSeenAt = now
	tracked.recordConfirms(datagram)
	a.updateFromCaller(now, tracked, datagram)
	a.emit(Deliver{Bytes: datagram.Bytes})
	return a.drain()
}

// updateFromCaller updates the flow from a datagram of its caller.
func (a *Agent) updateFromCaller(now time.Time, tracked *trackedFlow, datagram *Datagram) {
	if tracked.content.advance(datagram) {
		a.markOutstanding(now, tracked)
	}
	if datagram.Finish {
		a.finish(tracked, callerFinished)
	}
	if datagram.Kind == Reset {
		a.finish(tracked, bothFinished)
	}
}

// finish records that the sides given as bits of trackedFlow.finished have finished. The flow ends
// when both have.
func (a *Agent) finish(tracked *trackedFlow, side uint8) {
	tracked.finished |= side
	if tracked.finished == bothFinished && tracked.state != stateEnded {
		tracked.state = stateEnded
		a.clearOutstanding(tracked)
	}
}

// ownsDatagram reports whether the caller's datagram belongs to this flow.
func (f *trackedFlow) ownsDatagram(datagram *Datagram) bool {
	return datagram.Kind == Reset && f.state >= stateOpen || f.openFor(datagram.Confirms)
}

// recordConfirms records the number that the caller's latest datagram acknowledges.
func (f *trackedFlow) recordConfirms(datagram *Datagram) {
	if datagram.Kind == Data {
		f.lastConfirms = datagram.Confirms
	}
}

// openFor reports whether a datagram that acknowledges the number belongs to this flow: the flow
// was open at this back end, or the datagram opens it. A flow that was only offered may be open at
// another back end. A number that is far from the flow's belongs to a later flow from the same
// caller port.
func (f *trackedFlow) openFor(confirms uint32) bool {
	switch f.state {
	case stateOpen, stateEnded:
		return f.lastConfirms == 0 || sameFlowConfirms(f.lastConfirms, confirms)
	case stateHalfOpen:
		return f.backendNumber == confirms
	default:
		return false
	}
}

func (a *Agent) sendNotHeld(to netip.AddrPort, message NotHeld, key flow.Key) {
	a.emit(Send{To: to, Message: message})
	a.emit(Decision{Event: EventNotHeld, Key: key, Service: a.options.Service, Peer: to,
		Reason: returnReason(message)})
}

// HandleQuery answers a query for whether this agent's back end holds a flow.
func (a *Agent) HandleQuery(now time.Time, from netip.AddrPort, query FlowQuery) []Action {
	answer := FlowQueryAnswer{Key: query.Key, Holding: a.holding(now, query),
		Location: a.locations.find(query.Key, query.Confirms)}
	a.emit(Send{To: from, Message: answer})
	return a.drain()
}

func (a *Agent) holding(now time.Time, query FlowQuery) Holding {
	tracked := a.flows[query.Key]
	switch {
	case a.backendStopped:
		return HoldsNot
	case tracked == nil || tracked.state == stateTentative:
		return a.unknownHolding(now)
	case !tracked.openFor(query.Confirms):
		return a.unknownHolding(now)
	default:
		return Holds
	}
}

// unknownHolding returns the answer for a flow that the agent has no record of. It is HoldsPossibly
// only if the agent may have started after its back end, and so recently that the flow may have
// been opened before: that answer may cause a probe of a back end that does not hold the flow.
func (a *Agent) unknownHolding(now time.Time) Holding {
	if a.backendStopped {
		return HoldsNot
	}
	if now.Sub(a.startedAt) < a.options.FlowLifetime && !a.tracker.SawStart() {
		return HoldsPossibly
	}
	return HoldsNot
}

// HandleBackendDatagram handles a datagram from the back end.
func (a *Agent) HandleBackendDatagram(now time.Time, datagram *Datagram) []Action {
	tracked := a.flows[datagram.Key]
	if !datagram.Returned || a.tracker.State() != instance.Absent {
		a.tracker.MarkSeen(now) // a returned datagram alone does not show that a back end runs
	}
	if datagram.Returned {
		a.handleReturned(now, tracked, datagram)
		a.grantReservations(now)
		return a.drain()
	}
	if tracked == nil && datagram.Kind != Reset {
		tracked = a.track(now, datagram.Key, stateForBackendKind(datagram.Kind))
		tracked.lastConfirms = approximateConfirms(datagram)
	}
	// A reset in answer to a probe may be about another flow with the same key, so it is not sent
	// to the caller, whose flow may be open at another back end.
	inconclusive := tracked != nil && tracked.state == stateTentative && !tracked.isProvenBy(datagram)
	if tracked != nil {
		tracked.lastSeenAt = now
		tracked.recordBackendSent(now)
		a.updateFromBackend(now, tracked, datagram)
	}
	if datagram.Kind != Reset || !inconclusive {
		a.emit(Reply{Caller: datagram.Key.Caller, Bytes: datagram.Bytes})
	}
	a.grantReservations(now)
	return a.drain()
}

// stateForBackendKind returns the state of a flow without a record on which the back end has sent a
// datagram of this kind.
func stateForBackendKind(kind Kind) flowState {
	if kind == Accept {
		return stateHalfOpen
	}
	return stateOpen
}

// approximateConfirms returns a number close to those that the caller acknowledges on the flow, or
// 0 if the back end's datagram contains none. It distinguishes this flow from others with the same
// key.
func approximateConfirms(datagram *Datagram) uint32 {
	if datagram.Kind != Data {
		return 0
	}
	return datagram.Number
}

// isProvenBy reports whether the back end's datagram proves that it holds the flow for which it was
// probed. A back end may have accepted the flow's opening and dropped it when the caller opened the
// flow elsewhere: it then answers with a reset, or an acknowledgment with a number of its own.
func (f *trackedFlow) isProvenBy(datagram *Datagram) bool {
	return datagram.Kind == Data && sameFlowConfirms(f.lastConfirms, datagram.Number)
}

// handleInconclusive handles a datagram that does not prove that the probed back end holds the
// flow. It does not prove the contrary either, as a returned datagram does, so the lookup
// continues.
func (a *Agent) handleInconclusive(tracked *trackedFlow) {
	a.untrack(tracked)
	a.emit(Send{To: tracked.balancer,
		Message: FlowQueryAnswer{Key: tracked.key, Holding: HoldsPossibly}})
	a.emit(Decision{Event: EventNotHeld, Key: tracked.key, Service: a.options.Service,
		Peer: tracked.balancer, Reason: reasonAnotherFlow})
}

// updateFromBackend updates the flow from a datagram of the back end.
func (a *Agent) updateFromBackend(now time.Time, tracked *trackedFlow, datagram *Datagram) {
	switch {
	case datagram.Kind == Accept:
		a.handleAccept(now, tracked, datagram.Number)
	case tracked.state == stateTentative && !tracked.isProvenBy(datagram):
		a.handleInconclusive(tracked)
		return
	case tracked.state == stateTentative:
		tracked.state = stateOpen
		a.emit(Send{To: tracked.balancer, Message: FlowQueryAnswer{Key: tracked.key, Holding: Holds}})
		a.emit(Decision{Event: EventHolderFound, Key: tracked.key, Service: a.options.Service,
			Peer: tracked.balancer})
	}
	if a.outstanding[tracked] && tracked.state == stateOpen {
		a.recordOutcome(now, tracked, datagram)
	}
	if datagram.PayloadLength > 0 {
		a.clearOutstanding(tracked)
		tracked.maybeAnswered = false
	}
	if datagram.Finish {
		a.finish(tracked, backendFinished)
	}
	if datagram.Kind == Reset {
		a.finish(tracked, bothFinished)
	}
}

// recordOutcome records the outcome of the outstanding request on an open flow: an answer, an
// answer that reports a failure, or a reset.
func (a *Agent) recordOutcome(now time.Time, tracked *trackedFlow, datagram *Datagram) {
	outcomes := a.tracker.Outcomes()
	switch {
	case datagram.Kind == Reset || datagram.PayloadLength > 0 && datagram.FailedAnswer:
		if outcomes.RecordFailure(now) {
			a.emit(Decision{Event: EventSuspected, Key: tracked.key, Service: a.options.Service,
				Load: a.Load(now), Age: now.Sub(tracked.outstandingSince)})
		}
	case datagram.PayloadLength > 0:
		outcomes.RecordSuccess()
	}
}

// handleAccept records that the back end has accepted a flow.
func (a *Agent) handleAccept(now time.Time, tracked *trackedFlow, number uint32) {
	if tracked.backendNumber != number {
		tracked.backendFirstSentAt = now // a later incarnation may have accepted it
	}
	tracked.backendNumber = number
	if tracked.state == stateOffered {
		tracked.state = stateHalfOpen
		tracked.acceptedAt = now
	}
	if tracked.balancer.IsValid() {
		a.emit(Send{To: tracked.balancer, Message: Accepted{Key: tracked.key, Number: number,
			Load: a.Load(now)}})
	}
}

// handleReturned handles a datagram that the back end returned because it does not hold the flow or
// cannot accept it.
func (a *Agent) handleReturned(now time.Time, tracked *trackedFlow, datagram *Datagram) {
	if tracked == nil {
		return
	}
	balancer := tracked.balancer
	if datagram.Kind == Opening {
		a.untrack(tracked)
		a.refuse(now, balancer, datagram.Key, RefusedFull)
		return
	}
	wasTentative := tracked.state == stateTentative
	if !wasTentative && tracked.state != stateOpen {
		return // the back end has ended the flow and notified the caller itself
	}
	a.untrack(tracked)
	a.sendNotHeld(balancer,
		NotHeld{ByBackend: wasTentative, Closed: !wasTentative, Bytes: datagram.Bytes}, datagram.Key)
	a.recordRestartProof(now, tracked)
}

// Tick expires unanswered requests, unused reservations, searches and idle flows, closes the flows
// of earlier incarnations of the back end, and starts summary rounds. It is called at regular
// intervals: a gap longer than stallThreshold counts as a stall of the process.
func (a *Agent) Tick(now time.Time) []Action {
	a.detectStall(now)
	a.reservations.expire(now)
	a.expireSearches(now)
	a.closeEarlierFlows(now)
	a.sendClosedNotices()
	a.clearStaleOutstanding()
	a.startSummaryRound(now)
	for tracked := range a.outstanding {
		if now.Sub(tracked.outstandingSince) > a.outstandingTimeout(tracked) {
			a.clearOutstanding(tracked)
		}
	}
	a.sweep(now)
	a.grantReservations(now)
	return a.drain()
}

// sweep removes idle flows and expired probe histories, at most once per sweepInterval.
func (a *Agent) sweep(now time.Time) {
	if now.Before(a.nextSweepAt) {
		return
	}
	a.nextSweepAt = now.Add(sweepInterval)
	a.expireProbeHistories(now)
	a.locations.expire(now)
	for _, tracked := range a.flows {
		if now.Sub(tracked.lastSeenAt) > a.idleTimeout(tracked.state) {
			a.untrack(tracked)
		}
	}
}

// outstandingTimeout returns how long an unanswered request counts as outstanding. The time is
// short for flows that the caller has not confirmed, since in an overload those of callers that
// have given up would take up most of the capacity. It is also short if the back end may have
// answered before the agent started.
func (a *Agent) outstandingTimeout(tracked *trackedFlow) time.Duration {
	switch {
	case tracked.state == stateOpen && !tracked.maybeAnswered:
		return AnswerTimeout
	case a.confirmTime == 0:
		return maxUnconfirmedTime
	default:
		return min(max(minUnconfirmedTime, confirmTimeoutFactor*a.confirmTime), maxUnconfirmedTime)
	}
}

// updateConfirmTime updates the estimate of the time that callers take to confirm a flow. It
// follows an increase at once and a decrease gradually.
func (a *Agent) updateConfirmTime(sample time.Duration) {
	if sample >= a.confirmTime {
		a.confirmTime = min(sample, maxUnconfirmedTime)
		return
	}
	a.confirmTime -= (a.confirmTime - sample) / confirmTimeDecayDivisor
}

// idleTimeout returns the idle time after which a flow in this state is removed.
func (a *Agent) idleTimeout(state flowState) time.Duration {
	switch state {
	case stateOffered, stateHalfOpen:
		return HalfOpenTimeout
	case stateTentative:
		return tentativeFlowTTL
	case stateEnded:
		return EndedFlowTTL
	default:
		return a.options.FlowLifetime
	}
}
