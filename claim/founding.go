package claim

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// foundingState is what a group knows about the foundings of chains.
type foundingState struct {
	read        bool             // the store was read since the start
	epoch       catalog.Revision // latest founding known
	learntAt    time.Time        // when the epoch became known
	established catalog.Revision // epoch in which this instance was in contact
	granted     catalog.Revision // epoch that this instance vouched for last
	grantedAt   time.Time        // when it did so last; zero: not since the start
	nextAt      time.Time        // earliest next action
}

// Times in retry intervals.
const (
	foundingRetries = 20 // between actions on the store
	foundingPause   = 4  // between the read and a proposal, so that others are heard
)

// founded takes in what the store holds.
func (g *group) founded(now time.Time, event Founded) {
	if !g.founding.read {
		g.founding.read = true
		g.delayFounding(now, foundingPause)
	}
	if event.Epoch > 0 {
		g.adopt(now, event.Founding.view(event.Epoch))
	}
}

// learnEpoch notes the latest founding known.
func (g *group) learnEpoch(now time.Time, epoch catalog.Revision) {
	if epoch > g.founding.epoch {
		g.founding.epoch = epoch
		g.founding.learntAt = now
	}
}

// grant says whether this instance vouches for the chain of the view, which it
// does for one chain at a time. A chain that replaced another one may begin only
// when all that the other can have held has expired: each agent of a quorum must
// not have vouched for another chain in that time.
func (g *group) grant(now time.Time, notice Notice) bool {
	epoch := notice.View.ID.Epoch
	if !g.founding.read || epoch < g.founding.epoch {
		return false // an earlier run of this process may have vouched for a later chain
	}
	begins := epoch != g.founding.granted && notice.View.Refounded && !notice.Established
	if begins && now.Before(g.vouchedAt().Add(g.options.foundingWait())) {
		return false
	}
	g.founding.granted = epoch
	g.founding.grantedAt = now
	return true
}

// vouchedAt returns when this instance, or an earlier run of the process, may have
// vouched for a chain last.
func (g *group) vouchedAt() time.Time {
	if g.founding.grantedAt.IsZero() {
		return g.started
	}
	return g.founding.grantedAt
}

// tickFounding reads the founding from the store, and proposes one where no view
// is in force.
func (g *group) tickFounding(now time.Time) {
	if len(g.agents) == 0 || now.Before(g.founding.nextAt) {
		return
	}
	if !g.founding.read {
		g.delayFounding(now, foundingRetries)
		g.out.add(ReadFounding{Service: g.service})
		return
	}
	if now.Before(g.founding.learntAt.Add(g.options.contactLease())) {
		return // the members of a new chain have time to tell of it
	}
	if members := g.founders(now); len(members) > 0 {
		g.delayFounding(now, foundingRetries)
		founding := Founding{Replaces: g.founding.epoch, Members: members}
		g.out.add(ProposeFounding{Service: g.service, Founding: founding})
	}
}

func (g *group) delayFounding(now time.Time, retries time.Duration) {
	g.founding.nextAt = now.Add(retries * g.options.RetryInterval)
}

// founders returns the members of a new chain's first view, none if it is not for
// this instance to propose one.
func (g *group) founders(now time.Time) []Instance {
	var candidates []candidate
	waiting := map[NodeID]bool{}
	for _, agent := range g.agents {
		_, present := g.present(now, agent.Node)
		waiting[agent.Node] = present && g.isWaiting(now, agent.Node)
	}
	for _, agent := range g.eligible() {
		if instance, _ := g.present(now, agent.Node); waiting[agent.Node] {
			candidates = append(candidates, candidate{instance, agent.Zone})
		}
	}
	quorum := isQuorum(g.agents, func(agent Agent) bool { return waiting[agent.Node] })
	if !quorum || len(candidates) == 0 || candidates[0].instance != g.self {
		return nil
	}
	return instancesOf(choose(g.service, nil, candidates, ReplicaCount))
}

// isWaiting says whether the agent at the node has been without a view for so long
// that it may found a chain.
func (g *group) isWaiting(now time.Time, node NodeID) bool {
	needed := g.options.foundingWait()
	if g.founding.epoch == 0 {
		needed = 0
	}
	if node == g.self.Node {
		return g.viewless(now) >= needed
	}
	heard := g.contact.heard[node]
	return heard != nil && heard.viewless >= needed
}
