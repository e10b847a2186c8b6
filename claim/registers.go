package claim

import "time"

// prepare answers the first step of a claim.
func (g *group) prepare(now time.Time, message Prepare) {
	if !g.serves(now, message.Register, message.Ballot) {
		return
	}
	record := g.records.getOrAdd(now, message.Key.Value)
	if record == nil {
		g.reply(message.Ballot, Full{g.vote(message.Ballot)})
		return
	}
	if message.Ballot.Compare(record.Promised) < 0 {
		g.reply(message.Ballot, Rejected{g.vote(message.Ballot), record.Promised, record.Claim})
		return
	}
	g.records.promise(now, record, message.Ballot)
	g.reply(message.Ballot, Promise{g.vote(message.Ballot), record.Claim})
}

// accept answers the second step of a claim.
func (g *group) accept(now time.Time, message Accept) {
	if !g.serves(now, message.Register, message.Ballot) {
		return
	}
	record := g.records.getOrAdd(now, message.Key.Value)
	if record == nil {
		g.reply(message.Ballot, Full{g.vote(message.Ballot)})
		return
	}
	if message.Ballot.Compare(record.Promised) < 0 {
		g.reply(message.Ballot, Rejected{g.vote(message.Ballot), record.Promised, record.Claim})
		return
	}
	g.records.promise(now, record, message.Ballot)
	g.records.write(now, record, func(claim *Claim) {
		claim.merge(&Claim{Ballot: message.Ballot, Fingerprint: message.Fingerprint})
	})
	g.reply(message.Ballot, Accepted{g.vote(message.Ballot)})
}

// report records what became of an attempt.
func (g *group) report(now time.Time, message Report) {
	if !g.serves(now, message.Register, message.Ballot) {
		return
	}
	record := g.records.getOrAdd(now, message.Key.Value)
	if record == nil {
		g.reply(message.Ballot, Full{g.vote(message.Ballot)})
		return
	}
	g.records.write(now, record, func(claim *Claim) { g.learn(claim, message) })
	// A delayed Accept of the attempt must not come after its end.
	g.records.promise(now, record, message.Ballot.above())
	g.reply(message.Ballot, Reported{g.vote(message.Ballot), message.Outcome})
}

// learn takes a report into the claim. A long answer is cut to its digest where
// there is no memory left for it.
func (g *group) learn(claim *Claim, message Report) {
	if message.Outcome == OutcomeVoid {
		claim.void(message.Ballot.Proposer)
		return
	}
	answer := message.Answer
	if !g.records.memory.has(len(answer.Content)) {
		answer.Content = nil
	}
	claim.merge(&Claim{
		Ballot:      message.Ballot,
		Fingerprint: message.Fingerprint,
		Outcome:     message.Outcome,
		Answer:      answer,
	})
}

// serves says whether this instance votes in the view that the sender means. If
// not, the sender is told the latest view.
func (g *group) serves(now time.Time, register Register, ballot Ballot) bool {
	if register.View == g.latest.ID && g.votes(now) {
		return true
	}
	g.reply(ballot, NotServing{Service: g.service, Ballot: ballot, Latest: g.latest})
	return false
}

func (g *group) vote(ballot Ballot) Vote {
	return Vote{Replica: g.self, View: g.latest.ID, Ballot: ballot}
}

// reply sends to the coordinator that proposes the ballot.
func (g *group) reply(ballot Ballot, message Message) {
	g.out.send(ballot.Proposer.Coordinator.Node, message)
}
