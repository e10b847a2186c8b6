package claim

import "time"

// changeAcceptor is this instance's vote on the successor of the latest view.
type changeAcceptor struct {
	promised Ballot
	accepted Ballot // zero if none
	next     View   // accepted at that ballot
}

// underWay says whether a change has been proposed.
func (a *changeAcceptor) underWay() bool { return a.promised.Round != 0 }

// changeProposal is an attempt to decide the successor of the latest view.
type changeProposal struct {
	ballot   Ballot
	next     View   // own choice, or the one found at the highest ballot
	found    Ballot // ballot at which next was found; zero if it is the own choice
	promised map[Instance]bool
	accepted map[Instance]bool
	met      uint64 // highest round of a higher ballot that was met
}

// Times of view changes, in retry intervals for each place in the view, so that
// members do not compete.
const (
	changeDelay = 2 // before the first proposal
	changeRetry = 8 // before the next one
)

// tickChange begins a change when the view is not as it should be, and goes on
// with one that another member has left unfinished.
func (g *group) tickChange(now time.Time) {
	if !g.holdsView() || len(g.agents) == 0 {
		return
	}
	wanted := g.wantedMembers(now)
	if !g.acceptor.underWay() && sameMembers(wanted, g.latest.Members) {
		g.changeAt = time.Time{}
		return
	}
	if g.changeAt.IsZero() {
		g.delayChange(now, changeDelay)
	}
	if now.Before(g.changeAt) {
		return
	}
	g.delayChange(now, changeRetry)
	g.propose(wanted)
}

func (g *group) delayChange(now time.Time, retries int) {
	place := 1
	for index, member := range g.latest.Members {
		if member == g.self {
			place += index
		}
	}
	g.changeAt = now.Add(time.Duration(retries*place) * g.options.RetryInterval)
}

// wantedMembers returns who should be in the view: the present members whose
// agents may take work, and others in place of the rest.
func (g *group) wantedMembers(now time.Time) []Instance {
	var kept, candidates []candidate
	eligible := g.eligible()
	for _, agent := range eligible {
		instance, present := g.present(now, agent.Node)
		if !present {
			instance = g.memberAt(agent.Node)
		}
		member := g.latest.has(instance)
		switch {
		case !agent.Alive:
		case member:
			kept = append(kept, candidate{instance, agent.Zone})
		case present:
			candidates = append(candidates, candidate{instance, agent.Zone})
		}
	}
	count := min(len(eligible), ReplicaCount)
	wanted := instancesOf(choose(g.service, kept, candidates, count))
	for _, member := range g.latest.Members { // better than nobody
		if len(wanted) < count && !hasInstanceAt(wanted, member.Node) {
			wanted = append(wanted, member)
		}
	}
	return wanted
}

// memberAt returns the member at a node, zero if there is none.
func (g *group) memberAt(node NodeID) Instance {
	for _, member := range g.latest.Members {
		if member.Node == node {
			return member
		}
	}
	return Instance{}
}

// eligible returns the agents that may be replicas: the active ones, or all if
// none is active.
func (g *group) eligible() []Agent {
	var active []Agent
	for _, agent := range g.agents {
		if agent.Active {
			active = append(active, agent)
		}
	}
	if len(active) == 0 {
		return g.agents
	}
	return active
}

func hasInstanceAt(instances []Instance, node NodeID) bool {
	for _, instance := range instances {
		if instance.Node == node {
			return true
		}
	}
	return false
}

// propose begins a proposal with a ballot above all that are known.
func (g *group) propose(wanted []Instance) {
	round := g.acceptor.promised.Round
	if g.proposal != nil {
		round = max(round, g.proposal.ballot.Round, g.proposal.met)
	}
	g.proposal = &changeProposal{
		ballot:   Ballot{Round: round + 1, Proposer: AttemptID{Coordinator: g.self}},
		next:     g.latest.successor(wanted),
		promised: map[Instance]bool{},
		accepted: map[Instance]bool{},
	}
	for _, member := range g.latest.Members {
		g.out.send(member.Node, ChangePrepare{
			Service: g.service,
			From:    g.self,
			View:    g.latest.ID,
			Ballot:  g.proposal.ballot,
		})
	}
}

// decide makes the proposal known and takes it in.
func (g *group) decide(now time.Time) {
	next := g.proposal.next
	for _, node := range nodesOf(g.agents, append(next.Members[:len(next.Members):len(next.Members)], next.Previous...)) {
		if node != g.self.Node {
			g.out.send(node, Decided{Service: g.service, View: next})
		}
	}
	g.adopt(now, next)
}
