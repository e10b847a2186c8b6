package claim

import "time"

// changePrepare answers the first step of a change.
func (g *group) changePrepare(now time.Time, message ChangePrepare) {
	if !g.takesPart(message.From, message.View) {
		return
	}
	// A view that is changed has been in force, so that what comes after it needs
	// no proof that its chain may begin.
	if !g.acceptor.underWay() && !g.inContact(now) {
		return
	}
	if message.Ballot.Compare(g.acceptor.promised) >= 0 {
		g.acceptor.promised = message.Ballot
	}
	g.out.send(message.From.Node, ChangePromise{
		Service:  g.service,
		From:     g.self,
		View:     message.View,
		Promised: g.acceptor.promised,
		Accepted: g.acceptor.accepted,
		Next:     g.acceptor.next,
	})
}

// changeAccept answers the second step of a change.
func (g *group) changeAccept(_ time.Time, message ChangeAccept) {
	if !g.takesPart(message.From, message.View) {
		return
	}
	if message.Ballot.Compare(g.acceptor.promised) >= 0 {
		g.acceptor = changeAcceptor{promised: message.Ballot, accepted: message.Ballot, next: message.Next}
	}
	g.out.send(message.From.Node, ChangeAccepted{
		Service:  g.service,
		From:     g.self,
		View:     message.View,
		Promised: g.acceptor.promised,
	})
}

// takesPart says whether this instance votes on the successor of the view. If a
// later view is known, the sender is told.
func (g *group) takesPart(sender Instance, view ViewID) bool {
	if view.Compare(g.latest.ID) < 0 {
		g.out.send(sender.Node, Decided{Service: g.service, View: g.latest})
	}
	return view == g.latest.ID && g.isMember()
}

// changePromise counts a vote on the own proposal's first step.
func (g *group) changePromise(_ time.Time, message ChangePromise) {
	proposal := g.proposal
	if proposal == nil || message.View != g.latest.ID || !g.latest.has(message.From) {
		return
	}
	if message.Promised != proposal.ballot {
		proposal.met = max(proposal.met, message.Promised.Round)
		return
	}
	if g.latest.isQuorum(proposal.promised) {
		return // the second step has begun
	}
	if message.Accepted.Compare(proposal.found) > 0 {
		proposal.found = message.Accepted
		proposal.next = message.Next
	}
	proposal.promised[message.From] = true
	if !g.latest.isQuorum(proposal.promised) {
		return
	}
	for _, member := range g.latest.Members {
		g.out.send(member.Node, ChangeAccept{
			Service: g.service,
			From:    g.self,
			View:    g.latest.ID,
			Ballot:  proposal.ballot,
			Next:    proposal.next,
		})
	}
}

// changeAccepted counts a vote on the own proposal's second step.
func (g *group) changeAccepted(now time.Time, message ChangeAccepted) {
	proposal := g.proposal
	if proposal == nil || message.View != g.latest.ID || !g.latest.has(message.From) {
		return
	}
	if message.Promised != proposal.ballot {
		proposal.met = max(proposal.met, message.Promised.Round)
		return
	}
	proposal.accepted[message.From] = true
	if g.latest.isQuorum(proposal.accepted) {
		g.decide(now)
	}
}
