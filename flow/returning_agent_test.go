// This file tests agents that were declared dead or have just started: which configuration they need
// before they arbitrate, and when they count as searched.

package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
)

// TestReturningAgentLeavesFlowsOfNewBackends guards against an agent that was declared dead, is
// confirmed alive again and admits, by its configuration of before, a flow that is open at a back end
// added meanwhile.
func TestReturningAgentLeavesFlowsOfNewBackends(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"))
	before, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	service.Backends = append(service.Backends, testBackend(2, "new"))
	after, err := before.With([]catalog.Object{object(service, 2)}, 2)
	is.NoErr(err)
	dead := allAliveExcept{}
	returning := NewDecider(address("10.0.0.1:7000"), dead, Options{IdleTimeout: time.Minute})
	added := NewDecider(address("10.0.0.2:7000"), dead, Options{IdleTimeout: time.Minute})
	returning.SetSnapshot(before)
	added.SetSnapshot(after)
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	now := time.Unix(1000, 0)
	returning.Tick(now)

	dead[address("10.0.0.1:7000")] = true
	now = now.Add(suspicionTimeout)
	hop, err := FirstHop(after, dead, key, nil)
	is.NoErr(err)
	is.Equal(added.Handle(now, Packet{Key: key, Route: hop.Route}).Kind, Deliver)

	delete(dead, address("10.0.0.1:7000"))
	returning.Tick(now)
	now = now.Add(stallThreshold)
	returning.Tick(now)
	hop, err = FirstHop(before, dead, key, nil) // of a balancer with the configuration of before
	is.NoErr(err)
	is.True(returning.Handle(now, Packet{Key: key, Route: hop.Route}).Kind != Deliver)
}

// TestReturningAgentArbitratesOnceCurrent guards against an agent that arbitrates after an interruption
// before it holds the revision of its peers, that never arbitrates again, or that stops arbitrating
// whenever a peer has a newer revision.
func TestReturningAgentArbitratesOnceCurrent(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"))
	snapshots := []*catalog.Snapshot{catalog.Empty()}
	for revision := range catalog.Revision(3) {
		next, err := snapshots[revision].With([]catalog.Object{object(service, revision+1)}, revision+1)
		is.NoErr(err)
		snapshots = append(snapshots, next)
	}
	var confirmedSince time.Time
	var offered catalog.Revision
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{
		IdleTimeout:     time.Minute,
		ConfirmedSince:  func() time.Time { return confirmedSince },
		OfferedRevision: func() catalog.Revision { return offered },
	})
	now := time.Unix(1000, 0)
	callers := 0
	open := func(revision catalog.Revision) ActionKind {
		callers++
		now = now.Add(tickInterval)
		key := Key{Caller: address("198.51.100.7:%d", callers), Service: service.Address}
		return decider.Handle(now, Packet{Key: key, Route: Route{Revision: revision, Chosen: NoBackend}}).Kind
	}
	decider.SetSnapshot(snapshots[1])
	is.Equal(open(1), Deliver)

	confirmedSince, offered = now, 2
	now = now.Add(tickInterval)
	is.Equal(open(1), AwaitConfirmation)
	decider.SetSnapshot(snapshots[2])
	is.Equal(open(1), Deliver)

	offered = 3
	is.Equal(open(2), Deliver)
	confirmedSince = now
	now = now.Add(tickInterval)
	is.Equal(open(2), AwaitConfirmation)
	decider.SetSnapshot(snapshots[3])
	is.Equal(open(2), Deliver)
}

// TestReturningAgentCountsAsSearchedOnceCurrent guards against an agent that was declared dead, returns
// with an old configuration and counts as searched in it: an agent that has been removed from the
// service meanwhile could then choose a back end for a flow that is open at one that was added.
func TestReturningAgentCountsAsSearchedOnceCurrent(t *testing.T) {
	is := is.New(t)
	returningBackend, removedBackend, addedBackend := testBackend(1, "new"), testBackend(2, "new"), testBackend(3, "new")
	before, err := catalog.Empty().With([]catalog.Object{object(testService(returningBackend, removedBackend), 1)}, 1)
	is.NoErr(err)
	after, err := before.With([]catalog.Object{object(testService(returningBackend, addedBackend), 2)}, 2)
	is.NoErr(err)
	now := time.Unix(1000, 0)
	returning := NewDecider(returningBackend.Agent, allAlive{}, Options{
		IdleTimeout:     time.Minute,
		ConfirmedSince:  func() time.Time { return now },
		OfferedRevision: after.Revision,
	})
	removed := NewDecider(removedBackend.Agent, allAlive{}, Options{IdleTimeout: time.Minute})
	returning.SetSnapshot(before)
	removed.SetSnapshot(before)
	service := before.Service("lessons")
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	handle := func(decider *Decider, route Route) Action {
		return decider.Handle(now, Packet{Key: key, Route: route, EarliestArrival: now.Add(1)})
	}

	fromReturning := handle(returning, Route{Revision: 1, Step: StepSearch, Hops: 1, Chosen: NoBackend})
	is.Equal(fromReturning.Hop.To, removedBackend.Agent)
	is.Equal(fromReturning.Hop.Route.Visited, BackendSet(0))
	fromRemoved := handle(removed, fromReturning.Hop.Route)
	is.Equal(fromRemoved.Hop.To, returningBackend.Agent)
	is.Equal(handle(returning, fromRemoved.Hop.Route).Kind, AwaitConfirmation)

	// A choice that was made while the agent counted as dead.
	choice := Route{Revision: 1, Step: StepAdmit, Hops: 3, Visited: BackendSet(0).With(1), Chosen: 0}
	is.Equal(handle(returning, choice).Kind, AwaitConfirmation)

	returning.SetSnapshot(after)
	is.Equal(handle(returning, fromRemoved.Hop.Route).Hop.To, addedBackend.Agent)
}

// TestReturningAgentUsesHints guards against an agent that is not current and searches for flows whose
// back end a hint names.
func TestReturningAgentUsesHints(t *testing.T) {
	is := is.New(t)
	var backends []catalog.Backend
	for number := range 5 {
		backends = append(backends, testBackend(number+1, "new"))
	}
	snapshot, err := catalog.Empty().With([]catalog.Object{object(testService(backends...), 1)}, 1)
	is.NoErr(err)
	now := time.Unix(1000, 0)
	offered := func() catalog.Revision { return 2 }
	key := Key{Caller: address("198.51.100.7:1"), Service: address("192.0.2.1:443")}
	order := CandidateOrder(snapshot.Service("lessons"), key.Bucket())
	holder := order[len(order)-1]
	returning := NewDecider(backends[order[0]].Agent, allAlive{}, Options{
		IdleTimeout: time.Minute, ConfirmedSince: func() time.Time { return now }, OfferedRevision: offered,
	})
	returning.SetSnapshot(snapshot)
	handle := func(route Route) Action {
		return returning.Handle(now, Packet{Key: key, Route: route, EarliestArrival: now.Add(1)})
	}
	is.Equal(handle(Route{Revision: 1, Step: StepHint, Hops: 1, Chosen: holder}).Kind, Consume)
	action := handle(Route{Revision: 1, Step: StepSearch, Hops: 1, Chosen: NoBackend})
	is.Equal(action.Hop.To, backends[holder].Agent)
	is.Equal(action.Hop.Route.Visited, BackendSet(0))
}

// TestReturningAgentsDoNotFollowHintsInCircles guards against two agents that are not current, each
// of which has a hint that names the other, and that return a datagram to each other until it is
// dropped.
func TestReturningAgentsDoNotFollowHintsInCircles(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"), testBackend(3, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	now := time.Unix(1000, 0)
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	agents := map[netip.AddrPort]*Decider{}
	for index, backend := range service.Backends {
		agent := NewDecider(backend.Agent, allAlive{}, Options{
			IdleTimeout: time.Minute, ConfirmedSince: func() time.Time { return now },
			OfferedRevision: func() catalog.Revision { return 2 },
		})
		agent.SetSnapshot(snapshot)
		other := 1 - min(index, 1)
		hint := Route{Revision: 1, Step: StepHint, Hops: 1, Chosen: other}
		is.Equal(agent.Handle(now, Packet{Key: key, Route: hint, EarliestArrival: now.Add(1)}).Kind, Consume)
		agents[backend.Agent] = agent
	}
	at, route := service.Backends[0].Agent, Route{Revision: 1, Step: StepSearch, Hops: 1, Chosen: NoBackend}
	for {
		action := agents[at].Handle(now, Packet{Key: key, Route: route, EarliestArrival: now.Add(1)})
		if action.Kind != Forward {
			is.Equal(action.Kind, AwaitConfirmation)
			break
		}
		at, route = action.Hop.To, action.Hop.Route
	}
	is.True(int(route.Hops) <= 2*len(service.Backends))
}
