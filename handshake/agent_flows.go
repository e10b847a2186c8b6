package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/instance"
)

// Forwarded handles a datagram that a balancer takes to be of a flow held here. Where the
// agent does not know the flow, or its back end has started anew since, the back end itself
// decides: it gives back what it does not hold, and nothing else proves that a flow is gone.
func (a *Agent) Forwarded(now time.Time, from netip.AddrPort, datagram *Datagram) []Action {
	held := a.flows[datagram.Key]
	if a.paused(now) && (held == nil || held.state == stateTentative) {
		a.act(Decision{Event: EventNotHeld, Key: datagram.Key, Service: a.options.Service, Peer: from, Reason: reasonLate})
		return a.take() // it may be a try of long ago, of which its trier's account no longer knows
	}
	switch {
	case held == nil:
		held = a.hold(now, datagram.Key, stateTentative)
		held.unsure = true
	case held.state == stateTentative:
	case !held.owns(datagram) && a.unknownHolding(now) == HoldsNot:
		a.giveBack(from, NotHeld{Bytes: datagram.Bytes}, datagram.Key)
		return a.take()
	case !held.owns(datagram):
		a.act(Deliver{Bytes: datagram.Bytes}) // an earlier flow of the same caller's port may be open there
		return a.take()
	case held.state == stateHalfOpen:
		if !held.acceptedAt.IsZero() {
			a.noteConfirm(now.Sub(held.acceptedAt))
		}
		held.state = stateOpen
		a.act(Decision{Event: EventOpened, Key: held.key, Service: a.options.Service, Peer: from, Load: a.Load(now)})
	}
	held.balancer = from
	held.seen = now
	held.noteConfirms(datagram)
	a.fromCaller(now, held, datagram)
	a.act(Deliver{Bytes: datagram.Bytes})
	return a.take()
}

// fromCaller notes what a caller's datagram does to its flow.
func (a *Agent) fromCaller(now time.Time, held *heldFlow, datagram *Datagram) {
	if held.content.take(datagram) {
		a.owe(now, held)
	}
	if datagram.Finish {
		a.finish(held, callerFinished)
	}
	if datagram.Kind == Reset {
		a.finish(held, bothFinished)
	}
}

func (a *Agent) finish(held *heldFlow, end uint8) {
	held.finished |= end
	if held.finished == bothFinished && held.state != stateEnded {
		held.state = stateEnded
		a.settle(held)
	}
}

// owns says whether the caller's datagram is of this flow.
func (f *heldFlow) owns(datagram *Datagram) bool {
	return datagram.Kind == Reset && f.state >= stateOpen || f.opened(datagram.Confirms)
}

// noteConfirms remembers what the caller's latest datagram confirmed.
func (f *heldFlow) noteConfirms(datagram *Datagram) {
	if datagram.Kind == Data {
		f.latest = datagram.Confirms
	}
}

// opened says whether the flow was open at this back end, or is opened by a datagram
// that confirms the number. One that was only offered may be open elsewhere, and one
// whose numbers are far off is a later one of the same caller's port.
func (f *heldFlow) opened(confirms uint32) bool {
	switch f.state {
	case stateOpen, stateEnded:
		return f.latest == 0 || near(f.latest, confirms)
	case stateHalfOpen:
		return f.number == confirms
	default:
		return false
	}
}

func (a *Agent) giveBack(to netip.AddrPort, message NotHeld, key flow.Key) {
	a.act(Send{To: to, Message: message})
	a.act(Decision{Event: EventNotHeld, Key: key, Service: a.options.Service, Peer: to, Reason: returnReason(message)})
}

// Asked answers a balancer's question who holds a flow.
func (a *Agent) Asked(now time.Time, from netip.AddrPort, question Locate) []Action {
	answer := Located{Key: question.Key, Holding: a.holding(now, question)}
	a.act(Send{To: from, Message: answer})
	return a.take()
}

func (a *Agent) holding(now time.Time, question Locate) Holding {
	held := a.flows[question.Key]
	switch {
	case a.gone:
		return HoldsNot
	case held == nil || held.state == stateTentative:
		return a.unknownHolding(now)
	case !held.opened(question.Confirms):
		return a.unknownHolding(now)
	default:
		return Holds
	}
}

// unknownHolding answers for a flow that the agent does not know: one that has
// started after its back end may have missed the flow's opening. Only then, since
// each back end that is asked in vain gets datagrams of a flow of another.
func (a *Agent) unknownHolding(now time.Time) Holding {
	if a.gone {
		return HoldsNot
	}
	if now.Sub(a.started) < a.options.FlowLifetime && !a.tracker.SawBegin() {
		return HoldsPerhaps
	}
	return HoldsNot
}

// FromBackend handles a datagram of the back end.
func (a *Agent) FromBackend(now time.Time, datagram *Datagram) []Action {
	held := a.flows[datagram.Key]
	if !datagram.Returned || a.tracker.State() != instance.Absent {
		a.tracker.Alive(now) // what is given back where no back end is known, shows none that holds flows
	}
	if datagram.Returned {
		a.returned(now, held, datagram)
		a.reserve(now)
		return a.take()
	}
	if held == nil && datagram.Kind != Reset {
		held = a.hold(now, datagram.Key, stateSpokenOn(datagram.Kind))
		held.latest = spokenNumber(datagram)
	}
	// A back end that resets what was tried there may mean another flow with its key: the caller's own may be open elsewhere.
	doubtful := held != nil && held.state == stateTentative && !held.isSpokenOf(datagram)
	if held != nil {
		held.seen = now
		held.noteSpoken(now)
		a.fromHolder(now, held, datagram)
	}
	if datagram.Kind != Reset || !doubtful {
		a.act(Reply{Caller: datagram.Key.Caller, Bytes: datagram.Bytes})
	}
	a.reserve(now)
	return a.take()
}

// stateSpokenOn returns how far a flow has come that the agent does not know and on
// which the back end speaks.
func stateSpokenOn(kind Kind) flowState {
	if kind == Accept {
		return stateHalfOpen
	}
	return stateOpen
}

// spokenNumber returns about what a caller confirms of the flow on which the back end speaks, 0 if that is not told: so
// a datagram of another flow with the same key is told from one of this.
func spokenNumber(datagram *Datagram) uint32 {
	if datagram.Kind != Data {
		return 0
	}
	return datagram.Number
}

// isSpokenOf says whether the back end's datagram proves that it holds the flow of which a datagram was tried
// there. It may have taken the flow's opening and have given it up since, as the caller opened it elsewhere: then it
// resets, or confirms, what it does not hold, by a number of its own.
func (f *heldFlow) isSpokenOf(datagram *Datagram) bool {
	return datagram.Kind == Data && near(f.latest, datagram.Number)
}

// doubt notes that what the back end says does not prove that it holds the flow that was tried there. Nor does it prove
// the contrary, as a datagram given back does: so the flow is searched for on.
func (a *Agent) doubt(held *heldFlow) {
	a.drop(held)
	a.act(Send{To: held.balancer, Message: Located{Key: held.key, Holding: HoldsPerhaps}})
	a.act(Decision{Event: EventNotHeld, Key: held.key, Service: a.options.Service, Peer: held.balancer,
		Reason: reasonAnother})
}

// fromHolder notes what a back end's datagram does to its flow.
func (a *Agent) fromHolder(now time.Time, held *heldFlow, datagram *Datagram) {
	switch {
	case datagram.Kind == Accept:
		a.acceptedBy(now, held, datagram.Number)
	case held.state == stateTentative && !held.isSpokenOf(datagram):
		a.doubt(held)
		return
	case held.state == stateTentative:
		held.state = stateOpen
		a.act(Send{To: held.balancer, Message: Located{Key: held.key, Holding: Holds}})
		a.act(Decision{Event: EventLocated, Key: held.key, Service: a.options.Service, Peer: held.balancer})
	}
	if a.owing[held] && held.state == stateOpen {
		a.judge(now, held, datagram)
	}
	if datagram.Payload > 0 {
		a.settle(held)
		held.unsure = false
	}
	if datagram.Finish {
		a.finish(held, backendFinished)
	}
	if datagram.Kind == Reset {
		a.finish(held, bothFinished)
	}
}

// judge notes how the back end ends what it owes on an open flow: with an answer, with
// one that says that it failed, or with a reset in place of one.
func (a *Agent) judge(now time.Time, held *heldFlow, datagram *Datagram) {
	outcomes := a.tracker.Outcomes()
	switch {
	case datagram.Kind == Reset || datagram.Payload > 0 && datagram.Failed:
		if outcomes.Failed(now) {
			a.act(Decision{Event: EventSuspected, Key: held.key, Service: a.options.Service, Load: a.Load(now), Age: now.Sub(held.owedAt)})
		}
	case datagram.Payload > 0:
		outcomes.Succeeded()
	}
}

// acceptedBy notes that the back end has taken a flow.
func (a *Agent) acceptedBy(now time.Time, held *heldFlow, number uint32) {
	if held.number != number {
		held.spokeFirst = now // a later life may have taken it
	}
	held.number = number
	if held.state == stateOffered {
		held.state = stateHalfOpen
		held.acceptedAt = now
	}
	if held.balancer.IsValid() {
		a.act(Send{To: held.balancer, Message: Accepted{Key: held.key, Number: number, Load: a.Load(now)}})
	}
}

// returned handles a datagram that the back end gave back: it does not hold the
// flow, or cannot take it.
func (a *Agent) returned(now time.Time, held *heldFlow, datagram *Datagram) {
	if held == nil {
		return
	}
	balancer := held.balancer
	if datagram.Kind == Opening {
		a.drop(held)
		a.refuse(now, balancer, datagram.Key, RefusedFull)
		return
	}
	tentative := held.state == stateTentative
	if !tentative && held.state != stateOpen {
		return // its back end has ended it, and has told the caller itself
	}
	a.drop(held)
	a.giveBack(balancer, NotHeld{Tried: tentative, Gone: !tentative, Bytes: datagram.Bytes}, datagram.Key)
	a.noteProof(now, held)
}

// Tick forgets work that is not answered, reservations that are not used, and flows that are over.
func (a *Agent) Tick(now time.Time) []Action {
	a.notePause(now)
	a.reservations.expire(now)
	a.expireSearches(now)
	a.endEarlier(now)
	a.tellOver()
	a.forgetWork()
	a.startCensus(now)
	for held := range a.owing {
		if now.Sub(held.owedAt) > a.busyTime(held) {
			a.settle(held)
		}
	}
	a.sweep(now)
	a.reserve(now)
	return a.take()
}

// sweep forgets flows that are over.
func (a *Agent) sweep(now time.Time) {
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(sweepInterval)
	a.forgetTried(now)
	for _, held := range a.flows {
		if now.Sub(held.seen) > a.lifetime(held.state) {
			a.drop(held)
		}
	}
}

// busyTime returns how long a flow counts as work without an answer. Callers that have
// given up never confirm: in an overload most of a back end's room would go to them. Nor
// may the back end ever answer what is unsure.
func (a *Agent) busyTime(held *heldFlow) time.Duration {
	switch {
	case held.state == stateOpen && !held.unsure:
		return BusyTime
	case a.confirm == 0:
		return mostUnconfirmedTime
	default:
		return min(max(leastUnconfirmedTime, confirmPatience*a.confirm), mostUnconfirmedTime)
	}
}

// noteConfirm takes in how long a caller took to confirm the back end's number.
func (a *Agent) noteConfirm(took time.Duration) {
	if took >= a.confirm {
		a.confirm = min(took, mostUnconfirmedTime)
		return
	}
	a.confirm -= (a.confirm - took) / confirmDecay
}

// lifetime returns how long a flow without a datagram is remembered.
func (a *Agent) lifetime(state flowState) time.Duration {
	switch state {
	case stateOffered, stateHalfOpen:
		return HalfOpenTime
	case stateTentative:
		return tentativeTTL
	case stateEnded:
		return EndedTime
	default:
		return a.options.FlowLifetime
	}
}
