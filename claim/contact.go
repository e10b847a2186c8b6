package claim

import (
	"slices"
	"time"
)

// contact is what a group knows about the other agents of the service.
type contact struct {
	heard     map[NodeID]*agentContact
	number    uint64        // of the last notice sent
	sentAt    time.Time     // when the last notice or unasked presence was sent
	interval  time.Duration // until the next one
	leaseSent bool          // the last notice asked for a lease

	viewHeardAt   time.Time // when a view in force was last heard of, at first the start
	askedForState time.Time // when a member of the next view last asked
}

// agentContact is what was last heard of the agent at one node.
type agentContact struct {
	instance Instance
	at       time.Time     // when its last presence or notice came
	viewless time.Duration // as it said then
	answered time.Time     // when the last notice that it answered was sent
	granted  time.Time     // when the last notice that it granted was sent
}

func newContact(started time.Time) contact {
	return contact{heard: map[NodeID]*agentContact{}, viewHeardAt: started}
}

// inContact says whether a quorum of the view's members has answered lately, and a
// quorum of the service's agents vouches for the chain.
func (g *group) inContact(now time.Time) bool {
	return g.hearsView(now) && isQuorum(g.agents, func(agent Agent) bool {
		heard := g.contact.heard[agent.Node]
		return heard != nil && now.Before(heard.granted.Add(g.options.contactLease()))
	})
}

// forgetGrants drops what agents vouched for, because it was for another chain.
func (g *group) forgetGrants() {
	g.contact.number++ // answers under way are for the other chain, too
	for _, heard := range g.contact.heard {
		heard.granted = time.Time{}
	}
}

// hearsView says whether a quorum of the latest view's members has answered lately.
func (g *group) hearsView(now time.Time) bool {
	return isQuorum(g.latest.Members, func(member Instance) bool {
		heard := g.contact.heard[member.Node]
		if member == g.self {
			return true
		}
		return heard != nil && heard.instance == member && now.Before(heard.answered.Add(g.options.contactLease()))
	})
}

// Times between notices, and between unasked presences, in retry intervals. The
// time doubles as long as there is no contact.
const (
	firstNoticeInterval = 4
	lastNoticeInterval  = 100
)

// noticesPerLease is how many notices a member sends in one contact lease.
const noticesPerLease = 4

func (g *group) tickContact(now time.Time) {
	due := !now.Before(g.contact.sentAt.Add(g.contact.interval))
	switch {
	case g.holdsView():
		if lease := g.hearsView(now); due || lease != g.contact.leaseSent {
			g.sendNotices(now, lease)
		}
	case due && g.wantsView(now):
		g.sendPresences(now)
	}
}

// sendNotices tells all agents of the view.
func (g *group) sendNotices(now time.Time, lease bool) {
	inContact := g.inContact(now)
	if inContact {
		g.founding.established = g.latest.ID.Epoch
	}
	g.contact.number++
	g.contact.leaseSent = lease
	g.delayNext(now, inContact)
	for _, node := range g.everyone() {
		g.sendNotice(now, node)
	}
}

// sendPresences tells all agents that this instance has started or waits.
func (g *group) sendPresences(now time.Time) {
	g.delayNext(now, false)
	for _, node := range g.everyone() {
		g.out.send(node, g.ownPresence(now))
	}
}

func (g *group) delayNext(now time.Time, inContact bool) {
	g.contact.sentAt = now
	regular := g.options.contactLease() / noticesPerLease
	if inContact {
		g.contact.interval = regular
		return
	}
	doubled := max(2*g.contact.interval, firstNoticeInterval*g.options.RetryInterval)
	g.contact.interval = min(doubled, lastNoticeInterval*g.options.RetryInterval, regular)
}

// sendNotice sends the latest notice to a node, perhaps once more.
func (g *group) sendNotice(now time.Time, to NodeID) {
	g.out.send(to, Notice{
		Service:     g.service,
		From:        g.self,
		View:        g.latest,
		Number:      g.contact.number,
		Lease:       g.contact.leaseSent,
		Established: g.founding.established == g.latest.ID.Epoch || g.latest.ID.Number > 1,
		Viewless:    g.viewless(now),
	})
}

// everyone returns the nodes of all agents and members.
func (g *group) everyone() []NodeID { return nodesOf(g.agents, g.latest.Members) }

// wantsView says whether this instance knows of no view in force.
func (g *group) wantsView(now time.Time) bool {
	return !g.latest.exists() || !now.Before(g.contact.viewHeardAt.Add(g.options.contactLease())) ||
		g.contact.interval == 0 // has not told of its start
}

func (g *group) ownPresence(now time.Time) Presence {
	return Presence{Service: g.service, From: g.self, Latest: g.latest.ID, Viewless: g.viewless(now)}
}

// viewless returns for how long no view in force has been heard of.
func (g *group) viewless(now time.Time) time.Duration { return now.Sub(g.contact.viewHeardAt) }

// notice takes in which view is in force.
func (g *group) notice(now time.Time, message Notice) {
	g.hear(now, message.From, message.Viewless)
	g.adopt(now, message.View)
	if message.View.ID != g.latest.ID {
		g.out.send(message.From.Node, Decided{Service: g.service, View: g.latest})
		return
	}
	g.askHolder(message.View.ID, message.From)
	if message.Lease {
		g.contact.viewHeardAt = now
	}
	answer := g.ownPresence(now)
	answer.Answers = message.Number
	answer.Granted = message.Lease && g.grant(now, message)
	g.out.send(message.From.Node, answer)
}

// presence takes in who runs at a node.
func (g *group) presence(now time.Time, message Presence) {
	heard := g.hear(now, message.From, message.Viewless)
	switch {
	case message.Answers == 0 && g.holdsView():
		g.sendNotice(now, message.From.Node)
	case message.Latest.Compare(g.latest.ID) < 0:
		g.out.send(message.From.Node, Decided{Service: g.service, View: g.latest})
	}
	if message.Answers == 0 || message.Answers != g.contact.number {
		return
	}
	heard.answered = g.contact.sentAt
	if message.Granted {
		heard.granted = g.contact.sentAt
	}
}

// hear notes that the instance runs.
func (g *group) hear(now time.Time, from Instance, viewless time.Duration) *agentContact {
	heard := g.contact.heard[from.Node]
	if heard == nil || heard.instance != from {
		heard = &agentContact{instance: from}
		g.contact.heard[from.Node] = heard
	}
	heard.at = now
	heard.viewless = viewless
	return heard
}

// present returns the instance that was lately heard at a node.
func (g *group) present(now time.Time, node NodeID) (Instance, bool) {
	if node == g.self.Node {
		return g.self, true
	}
	heard := g.contact.heard[node]
	if heard == nil || !now.Before(heard.at.Add(g.options.contactLease())) {
		return Instance{}, false
	}
	return heard.instance, true
}

// nodesOf returns the nodes of agents and instances, each once.
func nodesOf(agents []Agent, instances []Instance) []NodeID {
	nodes := make([]NodeID, 0, len(agents)+len(instances))
	for _, agent := range agents {
		nodes = append(nodes, agent.Node)
	}
	for _, instance := range instances {
		if !slices.Contains(nodes, instance.Node) {
			nodes = append(nodes, instance.Node)
		}
	}
	return nodes
}
