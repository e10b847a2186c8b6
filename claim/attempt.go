package claim

import "time"

// phase is how far an attempt has come.
type phase uint8

const (
	phasePreparing phase = iota // asks what the replicas hold
	phaseAccepting              // asks the replicas to hold its claim
	phaseRunning                // was dispatched
	phaseReporting              // tells the replicas what became of it
)

// attempt is one request under a key.
type attempt struct {
	id       AttemptID
	request  Request
	service  *serviceView
	deadline time.Time // to win the claim

	phase    phase
	view     View // whose votes are counted
	ballot   Ballot
	met      uint64 // highest round met, the own included
	promised map[Instance]bool
	blank    map[Instance]bool // full, and holding nothing under the key
	rejected map[Instance]bool
	accepted map[Instance]bool
	found    Claim // merged from the promises

	proposed bool // an Accept was sent
	free     bool // a quorum held nothing that blocks, since the attempt began
	nextAt   time.Time

	report  Report
	endedAt time.Time         // when the report was first sent
	told    map[Instance]bool // replicas that confirmed the report
	toldAt  time.Time         // when a quorum had; zero: not yet
	retries int
}

// register names the attempt's register in the view whose votes are counted.
func (a *attempt) register() Register { return Register{Key: a.request.Key, View: a.view.ID} }

// isOpen says whether the attempt still tries to win the claim.
func (a *attempt) isOpen() bool { return a.phase == phasePreparing || a.phase == phaseAccepting }

// prepare begins the first step, with a ballot above all that were met.
func (c *Coordinator) prepare(now time.Time, a *attempt) {
	a.phase = phasePreparing
	a.view = a.service.view
	a.met++
	a.ballot = Ballot{Round: a.met, Proposer: a.id}
	a.promised = map[Instance]bool{}
	a.blank = map[Instance]bool{}
	a.rejected = map[Instance]bool{}
	a.accepted = map[Instance]bool{}
	a.found = Claim{}
	a.nextAt = now.Add(c.options.RetryInterval)
	c.sendToAll(a, Prepare{a.register(), a.ballot})
}

// sendToAll sends to all members of the view, and to all agents if no view is known.
func (c *Coordinator) sendToAll(a *attempt, message Message) {
	agents := a.service.agents
	if a.view.exists() {
		agents = nil
	}
	for _, node := range nodesOf(agents, a.view.Members) {
		c.outbox.send(node, message)
	}
}

// repeat sends again what was not answered. It also asks agents outside the view,
// because there may be a later one.
func (c *Coordinator) repeat(now time.Time, a *attempt) {
	if len(a.rejected) > 0 {
		c.prepare(now, a)
		return
	}
	a.nextAt = now.Add(c.options.RetryInterval)
	var message Message = Prepare{a.register(), a.ballot}
	if a.phase == phaseAccepting {
		message = Accept{a.register(), a.ballot, a.request.Fingerprint}
	}
	for _, node := range nodesOf(a.service.agents, a.view.Members) {
		c.outbox.send(node, message)
	}
}

// promise counts a vote on the first step.
func (c *Coordinator) promise(now time.Time, a *attempt, message Promise) {
	if a.phase != phasePreparing {
		return
	}
	a.promised[message.Replica] = true
	a.found.merge(&message.Claim)
	switch {
	case c.settleKnown(now, a):
	case a.view.isQuorum(a.promised):
		c.judge(now, a)
	default:
		c.checkFull(now, a)
	}
}

// settleKnown answers the attempt if a replica has told what became of another one
// with the key. That is a fact, whatever the others hold.
func (c *Coordinator) settleKnown(now time.Time, a *attempt) bool {
	if !a.found.blocks() || a.found.Attempt() == a.id || !a.found.Outcome.Final() {
		return false
	}
	c.settle(now, a, c.verdictOn(a))
	return true
}

// judge goes on after a quorum has told what it holds.
func (c *Coordinator) judge(now time.Time, a *attempt) {
	if a.found.blocks() && a.found.Attempt() != a.id {
		c.settle(now, a, c.verdictOn(a))
		return
	}
	a.free = true
	a.proposed = true
	a.phase = phaseAccepting
	a.nextAt = now.Add(c.options.RetryInterval)
	c.sendToAll(a, Accept{a.register(), a.ballot, a.request.Fingerprint})
}

// verdictOn says what the claim of another attempt means for this one.
func (c *Coordinator) verdictOn(a *attempt) Verdict {
	claim := &a.found
	switch {
	case claim.Fingerprint != a.request.Fingerprint:
		return VerdictMismatch
	case claim.Outcome == OutcomeComplete && claim.Answer.Replayable():
		return VerdictReplay
	case claim.Outcome == OutcomeComplete:
		return VerdictNotReplayable
	case claim.Outcome == OutcomeUnknown || !c.isRunning(claim.Attempt()):
		return VerdictUnknown
	default:
		return VerdictInProgress
	}
}

// isRunning says whether the attempt's coordinator still works on it.
func (c *Coordinator) isRunning(attempt AttemptID) bool {
	if attempt.Coordinator == c.self {
		return c.attempts[attempt] != nil
	}
	return c.owners.Running(attempt.Coordinator)
}

// full counts a replica that holds nothing under the key and has no memory left.
func (c *Coordinator) full(now time.Time, a *attempt, message Full) {
	switch a.phase {
	case phasePreparing:
		a.blank[message.Replica] = true
		c.checkFull(now, a)
	case phaseAccepting:
		a.rejected[message.Replica] = true
		a.nextAt = c.backOff(now, a)
	}
}

// checkFull gives up at once when full replicas stand in the way of a quorum, and
// a quorum holds nothing that blocks.
func (c *Coordinator) checkFull(now time.Time, a *attempt) {
	canPromise := isQuorum(a.view.Members, func(member Instance) bool { return !a.blank[member] })
	told := isQuorum(a.view.Members, func(member Instance) bool { return a.blank[member] || a.promised[member] })
	if canPromise || !told || a.found.blocks() {
		return
	}
	c.settle(now, a, VerdictNotRun)
}

// rejected waits before the next ballot, so that the other attempt comes through.
func (c *Coordinator) rejected(now time.Time, a *attempt, message Rejected) {
	if !a.isOpen() {
		return
	}
	a.found.merge(&message.Claim)
	if c.settleKnown(now, a) {
		return
	}
	a.met = max(a.met, message.Promised.Round)
	a.service.round = max(a.service.round, message.Promised.Round)
	a.rejected[message.Replica] = true
	a.nextAt = c.backOff(now, a)
}

// backOffSteps is how many different times attempts wait after a rejection.
const backOffSteps = 8

func (c *Coordinator) backOff(now time.Time, a *attempt) time.Time {
	step := c.options.RetryInterval / backOffSteps
	return now.Add(step * time.Duration(1+a.ballot.spread(backOffSteps)))
}

// accepted counts a vote on the second step, and lets the request run when a
// quorum holds the claim.
func (c *Coordinator) accepted(now time.Time, a *attempt, message Accepted) {
	if a.phase != phaseAccepting {
		return
	}
	a.accepted[message.Replica] = true
	if !a.view.isQuorum(a.accepted) {
		return
	}
	a.phase = phaseRunning
	a.nextAt = now.Add(c.renewInterval())
	c.outbox.add(Dispatch{Attempt: a.id, Before: a.deadline})
}

// expire gives up an attempt that did not win the claim in time.
func (c *Coordinator) expire(now time.Time, a *attempt) bool {
	if !a.isOpen() || now.Before(a.deadline) {
		return false
	}
	verdict := VerdictNoQuorum
	if a.free || a.request.FirstUse && !a.found.blocks() {
		verdict = VerdictNotRun
	}
	c.settle(now, a, verdict)
	return true
}

// canceled gives up an attempt whose caller is gone.
func (c *Coordinator) canceled(now time.Time, id AttemptID) {
	if a := c.attempts[id]; a != nil && a.isOpen() {
		c.withdraw(now, a)
	}
}

// settle answers an attempt that will not run.
func (c *Coordinator) settle(now time.Time, a *attempt, verdict Verdict) {
	reply := Reply{Attempt: a.id, Verdict: verdict}
	if verdict.mayRepeat() {
		reply.RetryAfter = c.options.RetryAfter
	}
	if verdict == VerdictReplay || verdict == VerdictNotReplayable {
		reply.Answer = a.found.Answer
	}
	c.outbox.add(reply)
	c.withdraw(now, a)
}

// withdraw makes sure that the attempt is not in the way of others: replicas may
// hold its claim.
func (c *Coordinator) withdraw(now time.Time, a *attempt) {
	if !a.proposed {
		delete(c.attempts, a.id)
		return
	}
	c.startReport(now, a, OutcomeVoid, Answer{})
}
