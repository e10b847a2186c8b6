package claim

import "time"

// renewalsPerRetention is how often within the retention the claim of a running
// request is renewed.
const renewalsPerRetention = 4

func (c *Coordinator) renewInterval() time.Duration {
	return c.options.Retention / renewalsPerRetention
}

// renew keeps the claim of a running request from expiring.
func (c *Coordinator) renew(now time.Time, a *attempt) {
	a.nextAt = now.Add(c.renewInterval())
	a.view = a.service.view
	c.sendToAll(a, c.newReport(a, OutcomeRunning, Answer{}))
}

// finished takes in what became of a request that was dispatched.
func (c *Coordinator) finished(now time.Time, event Finished) {
	a := c.attempts[event.Attempt]
	if a == nil || a.phase != phaseRunning {
		return
	}
	answer := event.Answer
	if len(answer.Content) > c.options.AnswerLimit {
		answer.Content = nil
	}
	c.startReport(now, a, event.Outcome, answer)
}

func (c *Coordinator) newReport(a *attempt, outcome Outcome, answer Answer) Report {
	return Report{
		Register:    a.register(),
		Ballot:      a.ballot,
		Fingerprint: a.request.Fingerprint,
		Outcome:     outcome,
		Answer:      answer,
	}
}

// startReport tells the replicas what became of the attempt.
func (c *Coordinator) startReport(now time.Time, a *attempt, outcome Outcome, answer Answer) {
	a.phase = phaseReporting
	a.endedAt = now
	a.report = c.newReport(a, outcome, answer)
	c.moveReport(now, a)
}

// moveReport begins to count confirmations in the latest view.
func (c *Coordinator) moveReport(now time.Time, a *attempt) {
	a.view = a.service.view
	a.report.Register = a.register()
	a.told = map[Instance]bool{}
	a.toldAt = time.Time{}
	a.retries = 0
	c.sendReport(now, a, nil)
}

// sendReport sends the report to the members that have not confirmed it, and to
// the agents.
func (c *Coordinator) sendReport(now time.Time, a *attempt, agents []Agent) {
	a.retries++
	a.nextAt = now.Add(c.options.RetryInterval * time.Duration(min(a.retries, maximumReportDelay)))
	var untold []Instance
	for _, member := range a.view.Members {
		if !a.told[member] {
			untold = append(untold, member)
		}
	}
	for _, node := range nodesOf(agents, untold) {
		c.outbox.send(node, a.report)
	}
}

// maximumReportDelay is the longest time between repeats of a report, in retry intervals.
const maximumReportDelay = 40

// repeatReport goes on until a quorum has confirmed, and for a while until all have.
func (c *Coordinator) repeatReport(now time.Time, a *attempt) {
	if !a.toldAt.IsZero() {
		if !now.Before(a.toldAt.Add(c.options.ClaimTimeout)) {
			delete(c.attempts, a.id)
			return
		}
		c.sendReport(now, a, nil)
		return
	}
	if !now.Before(a.endedAt.Add(c.options.recordLifetime())) {
		delete(c.attempts, a.id)
		return
	}
	c.sendReport(now, a, a.service.agents)
}

// reported counts a confirmation.
func (c *Coordinator) reported(now time.Time, a *attempt, message Reported) {
	if a.phase != phaseReporting || message.Outcome != a.report.Outcome {
		return
	}
	a.told[message.Replica] = true
	if len(a.told) == len(a.view.Members) {
		delete(c.attempts, a.id)
		return
	}
	if a.toldAt.IsZero() && a.view.isQuorum(a.told) {
		a.toldAt = now
	}
}
