package flow

import (
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// search handles one datagram that does not belong to an open flow of this agent: it forwards the
// datagram to the agents that may have its flow, chooses the back end of a new flow as the flow's
// arbiter, and opens the flow at a back end of this agent, which may refuse it. A QUIC datagram
// whose connection id encodes a back end's server id goes to that back end without a search,
// regardless of its state and capacity. The datagram is dropped if no live back end can admit the
// flow, and queued if the agent would decide while it is not confirmed alive or would arbitrate
// before it is current.
type search struct {
	decider     *Decider
	now         time.Time
	service     *catalog.Service
	ownBackends BackendSet // back ends behind this agent
	key         Key
	route       Route
	stale       bool // the datagram is stale: its search starts again at this agent
}

// restart resets the route to the start of a search at the current revision. It keeps the hop count
// and the reply address.
func (s *search) restart() {
	s.route = Route{
		Revision: s.service.Revision,
		Step:     StepSearch,
		Hops:     s.route.Hops,
		Chosen:   NoBackend,
		ReplyTo:  s.route.ReplyTo,
	}
}

func (s *search) run() Action {
	if s.route.Step == StepSearch || s.agentWasSkipped() {
		s.route.Chosen = NoBackend
		return s.forwardToNext()
	}
	if s.route.Step == StepAdmit {
		return s.admit()
	}
	return s.arbitrate()
}

// agentWasSkipped reports whether this agent, or another one that is alive, was not searched before
// arbitration. It has become alive since, and may be the arbiter now and choose another back end.
func (s *search) agentWasSkipped() bool {
	if s.route.Visited == 0 {
		return false // the route does not tell
	}
	return s.route.Visited&s.ownBackends == 0 ||
		nextUnvisited(s.service, s.candidateOrder(), s.decider.liveness, s.route.Visited) != NoBackend
}

// forwardToNext forwards the datagram to the next back end that may have its flow. If all back ends
// with a live agent have been searched, it continues with arbitration.
func (s *search) forwardToNext() Action {
	if !s.decider.isCurrent() {
		return s.passOn()
	}
	isFirstAgent := s.route.Visited == 0
	s.route.Visited |= s.ownBackends
	if isFirstAgent {
		if hinted := s.hintedBackend(); hinted != NoBackend {
			return s.forward(hinted, StepSearch)
		}
	}
	order := s.searchOrder()
	if s.stale {
		order = s.orderFromSelf()
	}
	next := nextUnvisited(s.service, order, s.decider.liveness, s.route.Visited)
	if next == NoBackend {
		return s.arbitrate()
	}
	return s.forward(next, StepSearch)
}

// orderFromSelf returns the candidate order, rotated to begin after the first back end of this
// agent. Agents that are all stalled pass a datagram to each other in it, although none of them knows
// which others the datagram has passed.
func (s *search) orderFromSelf() []int {
	order := s.candidateOrder()
	own := slices.IndexFunc(order, s.ownBackends.Has)
	return slices.Concat(order[own+1:], order[:own+1])
}

// passOn forwards the datagram to another agent that may have its flow, but does not count this
// agent as searched, because it is not current: if the flow is new, the search comes back. If no
// other agent is left, the datagram is queued.
func (s *search) passOn() Action {
	order := s.candidateOrder()
	if int(s.route.Hops) > len(order) {
		// Agents that are not current must not return the datagram to each other.
		order = order[slices.IndexFunc(order, s.ownBackends.Has)+1:]
	} else if hinted := s.hintedBackend(); hinted != NoBackend && !s.route.Visited.Has(hinted) {
		return s.forward(hinted, StepSearch)
	}
	next := nextUnvisited(s.service, order, s.decider.liveness, s.route.Visited|s.ownBackends)
	if next == NoBackend {
		return Action{Kind: AwaitConfirmation}
	}
	return s.forward(next, StepSearch)
}

// arbitrate chooses the back end that admits the flow if this agent is the flow's arbiter, and
// forwards the datagram to the arbiter otherwise.
func (s *search) arbitrate() Action {
	arbiter := arbiterOf(s.service, s.decider.liveness, s.key)
	if arbiter == NoBackend {
		return Action{Kind: Drop, Reason: DropNoCapacity}
	}
	if !s.ownBackends.Has(arbiter) {
		return s.forward(arbiter, StepArbitrate)
	}
	if !s.decider.options.ConfirmedAlive(s.now) || !s.decider.isCurrent() {
		return Action{Kind: AwaitConfirmation}
	}
	chosen := s.chooseBackend()
	if chosen == NoBackend {
		return Action{Kind: Drop, Reason: DropNoCapacity}
	}
	return s.admitAt(chosen)
}

// chooseBackend returns the earlier choice for the flow if it is still eligible, else the first
// eligible active back end of the candidate order, which it stores as the choice. It returns
// NoBackend if there is none.
func (s *search) chooseBackend() int {
	if chosen := s.earlierChoice(); chosen != NoBackend && s.isEligible(chosen) {
		return chosen
	}
	for _, index := range s.candidateOrder() {
		backend := &s.service.Backends[index]
		if backend.State != catalog.BackendActive || !s.isEligible(index) {
			continue
		}
		s.decider.decisions.put(s.now, s.key, identityOf(s.service, backend))
		return index
	}
	return NoBackend
}

// isEligible reports whether the back end's agent is alive and the back end has not refused the
// flow.
func (s *search) isEligible(index int) bool {
	return !s.route.Refused.Has(index) && s.decider.liveness.Alive(s.service.Backends[index].Agent)
}

// earlierChoice returns the unexpired choice of this agent for the flow, NoBackend if there is none
// or the back end is no longer in the service.
func (s *search) earlierChoice() int {
	identity, ok := s.decider.decisions.get(s.now, s.key)
	if !ok {
		return NoBackend
	}
	return indexOf(s.service, identity)
}

func (s *search) candidateOrder() []int {
	return s.decider.candidateOrder(s.service, s.key.Bucket())
}

func (s *search) admitAt(chosen int) Action {
	s.route.Chosen = chosen
	if s.ownBackends.Has(chosen) {
		return s.admit()
	}
	return s.forward(chosen, StepAdmit)
}

// admit opens the flow at the chosen back end, or returns the datagram to the arbiter with a
// refusal. The refusal is stored, so that a second datagram with the same choice is not admitted
// after the arbiter has chosen another back end. If the chosen back end is not behind this agent,
// admit restarts the search.
func (s *search) admit() Action {
	chosen := s.route.Chosen
	if chosen == NoBackend || !s.ownBackends.Has(chosen) {
		s.restart()
		return s.forwardToNext()
	}
	identity := identityOf(s.service, &s.service.Backends[chosen])
	if !s.decider.options.ConfirmedAlive(s.now) {
		return Action{Kind: AwaitConfirmation}
	}
	_, refused := s.decider.refusals.get(s.now, refusal{s.key, identity, s.service.Revision})
	if refused || !s.decider.mayAdmit(s.service, chosen) {
		return s.refuse(chosen, identity)
	}
	action := s.decider.openFlow(s.now, s.key, s.service, chosen)
	action.Admitted = true
	return action
}

func (s *search) refuse(chosen int, identity backendIdentity) Action {
	s.decider.refusals.put(s.now, refusal{s.key, identity, s.service.Revision}, struct{}{})
	s.route.Refused = s.route.Refused.With(chosen)
	s.route.Chosen = NoBackend
	return s.arbitrate()
}

// followConnectionID handles a QUIC datagram whose connection id encodes the server id of the back
// end. The connection can exist only there, even if the caller's address has changed, so the flow
// is opened without arbitration and regardless of the back end's state and capacity.
func (s *search) followConnectionID(index int) Action {
	if s.ownBackends.Has(index) {
		return s.decider.openFlow(s.now, s.key, s.service, index)
	}
	return s.forward(index, StepSearch)
}

func (s *search) forward(index int, step Step) Action {
	s.route.Step = step
	s.route.Hops++
	return Action{Kind: Forward, Hop: Hop{To: s.service.Backends[index].Agent, Route: s.route}}
}
