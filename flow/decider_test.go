// This file guards against wrong candidate orders, against agents that deliver or admit flows
// wrongly after address reassignments, shutdowns, failures of other agents, stalls, lost
// confirmation and new QUIC connections, and against refusals that outlast their revision.

package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
)

// TestSplitMovesOnlyItsShare guards against a change of the split that moves more buckets than the
// changed percentage or reorders the candidates of other buckets.
func TestSplitMovesOnlyItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		from := uint32(rapid.IntRange(0, 100).Draw(t, "from"))
		to := uint32(rapid.IntRange(0, 100).Draw(t, "to"))
		service := testService(testBackend(1, "old"), testBackend(2, "old"), testBackend(3, "new"), testBackend(4, "new"))
		moved := 0
		for bucket := range BucketCount {
			service.Shares = []catalog.SiteShare{{Site: "old", Percent: 100 - from}, {Site: "new", Percent: from}}
			before := CandidateOrder(&service, Bucket(bucket))
			service.Shares = []catalog.SiteShare{{Site: "new", Percent: to}, {Site: "old", Percent: 100 - to}}
			after := CandidateOrder(&service, Bucket(bucket))
			if service.Backends[before[0]].Site != service.Backends[after[0]].Site {
				moved++
			} else {
				is.Equal(before, after)
			}
		}
		exact := float64(max(from, to)-min(from, to)) * BucketCount / 100
		is.True(float64(moved) > exact-1 && float64(moved) < exact+1)
	})
}

// TestCandidateOrderFollowsWeights guards against a back end whose share of the first places in
// candidate orders differs from its share of the weights.
func TestCandidateOrderFollowsWeights(t *testing.T) {
	is := is.New(t)
	firstCounts := [2]int{}
	for set := range 40 {
		light, heavy := testBackend(2*set+1, "new"), testBackend(2*set+2, "new")
		heavy.Weight = 3
		service := testService(light, heavy)
		for bucket := range BucketCount {
			firstCounts[CandidateOrder(&service, Bucket(bucket))[0]]++
		}
	}
	share := float64(firstCounts[1]) / float64(firstCounts[0]+firstCounts[1])
	is.True(share > 0.73 && share < 0.77) // heavy has 3 of 4 units of weight
}

// TestAddressReuseClosesFlows guards against an open flow whose datagrams reach another back end or
// service after the address of its own has been reassigned.
func TestAddressReuseClosesFlows(t *testing.T) {
	successor := testBackend(1, "new")
	successor.Incarnation = 2
	otherBackend := testBackend(1, "new")
	otherBackend.ID = "host-2"
	renamed := testService(testBackend(1, "new"))
	renamed.Name = "sheets"
	cases := map[string]struct {
		next    catalog.Service
		deleted bool
	}{
		"another incarnation of the back end": {next: testService(successor)},
		"another back end at its address":     {next: testService(otherBackend)},
		"another service at its address":      {next: renamed, deleted: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, err := catalog.Empty().With([]catalog.Object{object(testService(testBackend(1, "new")), 1)}, 1)
			is.NoErr(err)
			decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{IdleTimeout: time.Minute})
			decider.SetSnapshot(first)
			key := Key{Caller: address("198.51.100.7:1"), Service: address("192.0.2.1:443")}
			action := decider.Handle(time.Unix(0, 0), Packet{Key: key, Route: Route{Revision: 1, Chosen: NoBackend}})
			is.Equal(action.Kind, Deliver)

			objects := []catalog.Object{object(test.next, 3)}
			if test.deleted {
				objects = append(objects, catalog.Object{Name: "lessons", Revision: 2, Deleted: true})
			}
			second, err := first.With(objects, 3)
			is.NoErr(err)
			is.Equal(decider.SetSnapshot(second), []Key{key})
			is.Equal(decider.FlowCount(), 0)
		})
	}
}

// TestShuttingDownAgentRefusesNewFlows guards against an agent that admits new flows or loses its
// open ones during shutdown.
func TestShuttingDownAgentRefusesNewFlows(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{IdleTimeout: time.Minute})
	decider.SetSnapshot(snapshot)
	now := time.Unix(0, 0)
	admit := func(caller int) Action {
		key := Key{Caller: address("198.51.100.7:%d", caller), Service: service.Address}
		return decider.Handle(now, Packet{Key: key, Route: Route{Revision: 1, Step: StepAdmit, Chosen: 0}})
	}
	is.Equal(admit(1).Kind, Deliver)
	decider.BeginShutdown()
	is.Equal(admit(1).Kind, Deliver)
	action := admit(2)
	is.Equal(action.Kind, Forward)
	is.Equal(action.Hop.To, address("10.0.0.2:7000"))
}

// allAliveExcept reports all agents as alive except those in the map.
type allAliveExcept map[netip.AddrPort]bool

func (m allAliveExcept) Alive(agent netip.AddrPort) bool { return !m[agent] }

// TestArbiterChoosesAgainWhenChosenAgentFails guards against an arbiter that sends a flow to a
// failed agent because its earlier choice has not expired.
func TestArbiterChoosesAgainWhenChosenAgentFails(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"), testBackend(3, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	dead := allAliveExcept{}
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	arbiter := service.Backends[arbiterOf(&service, dead, key)].Agent
	decider := NewDecider(arbiter, dead, Options{IdleTimeout: time.Minute})
	decider.SetSnapshot(snapshot)
	packet := Packet{Key: key, Route: Route{Revision: 1, Step: StepArbitrate, Chosen: NoBackend}}
	for _, backend := range service.Backends {
		if backend.Agent != arbiter {
			packet.Route.Refused = packet.Route.Refused.With(indexOf(&service, identityOf(&service, &backend)))
		}
	}
	packet.Route.Refused = ^packet.Route.Refused // the other back ends are eligible
	first := decider.Handle(time.Unix(0, 0), packet)
	is.Equal(first.Kind, Forward)
	dead[first.Hop.To] = true
	second := decider.Handle(time.Unix(1, 0), packet)
	is.Equal(second.Kind, Forward)
	is.True(second.Hop.To != first.Hop.To)
}

// TestUnconfirmedAgentQueuesDatagrams guards against an agent that arbitrates or admits flows while
// its peers may consider it dead.
func TestUnconfirmedAgentQueuesDatagrams(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	confirmed := false
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{
		IdleTimeout:    time.Minute,
		ConfirmedAlive: func(time.Time) bool { return confirmed },
	})
	decider.SetSnapshot(snapshot)
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	for _, route := range []Route{{Revision: 1, Step: StepSearch, Chosen: NoBackend}, {Revision: 1, Step: StepAdmit, Chosen: 0}} {
		confirmed = false
		is.Equal(decider.Handle(time.Unix(0, 0), Packet{Key: key, Route: route}).Kind, AwaitConfirmation)
		confirmed = true
		is.Equal(decider.Handle(time.Unix(0, 0), Packet{Key: key, Route: route}).Kind, Deliver)
		decider.CloseFlow(key)
	}
}

// TestStalledAgentRestartsStaleSearches guards against an agent that, after a stall, admits a flow
// from its backlog that another agent may have admitted.
func TestStalledAgentRestartsStaleSearches(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{IdleTimeout: time.Minute})
	decider.SetSnapshot(snapshot)
	handle := func(now time.Time, route Route) Action {
		key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
		return decider.Handle(now, Packet{Key: key, Route: route})
	}
	searched := Route{Revision: 1, Step: StepSearch, Visited: BackendSet(0).With(1), Chosen: NoBackend}
	chosen := Route{Revision: 1, Step: StepAdmit, Chosen: 0}
	start := time.Unix(0, 0)
	decider.Tick(start)

	resumed := start.Add(5 * time.Second)
	action := handle(resumed, searched)
	is.Equal(action.Kind, Forward) // to the other agent, which may have the flow now
	is.Equal(action.Hop.Route.Step, StepSearch)
	is.Equal(handle(resumed, chosen).Kind, AwaitConfirmation)

	backlogRead := resumed.Add(time.Second)
	decider.Tick(backlogRead)
	is.Equal(handle(backlogRead, chosen).Kind, Deliver)
}

// TestBacklogReadLateIsStale guards against an agent that reads its backlog slowly after a stall
// and admits a flow that may be open elsewhere.
func TestBacklogReadLateIsStale(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{IdleTimeout: time.Minute})
	decider.SetSnapshot(snapshot)
	chosen := Route{Revision: 1, Step: StepAdmit, Chosen: 0}
	handle := func(now, arrived time.Time, caller int) Action {
		key := Key{Caller: address("198.51.100.7:%d", caller), Service: service.Address}
		return decider.Handle(now, Packet{Key: key, Route: chosen, EarliestArrival: arrived})
	}
	stalledAt := time.Unix(0, 0)
	decider.Tick(stalledAt)
	resumedAt := stalledAt.Add(5 * time.Second)
	decider.Tick(resumedAt)
	late := resumedAt.Add(950 * time.Millisecond)
	decider.Tick(late)
	is.Equal(handle(late, stalledAt, 1).Kind, AwaitConfirmation) // the socket may contain more of the backlog

	// A hint was read ahead of the backlog.
	hint := Packet{
		Key:             Key{Caller: address("198.51.100.7:3"), Service: service.Address},
		Route:           Route{Revision: 1, Step: StepHint, Chosen: 1},
		EarliestArrival: late,
		ReadUntil:       stalledAt,
	}
	is.Equal(decider.Handle(late, hint).Kind, Consume)
	is.Equal(handle(late, stalledAt, 1).Kind, AwaitConfirmation)

	backlogRead := late.Add(50 * time.Millisecond)
	is.Equal(handle(backlogRead, late, 2).Kind, Deliver) // arrived after the backlog was read
	action := handle(backlogRead, stalledAt, 1)
	is.Equal(action.Kind, Forward)
	is.Equal(action.Hop.Route.Step, StepSearch)
}

// TestDatagramQueuedWhileUnconfirmedIsSearchedAgain guards against an agent that uses the search
// state of a datagram that arrived while the agent was unconfirmed.
func TestDatagramQueuedWhileUnconfirmedIsSearchedAgain(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	confirmed := false
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{
		IdleTimeout:    time.Minute,
		ConfirmedAlive: func(time.Time) bool { return confirmed },
	})
	decider.SetSnapshot(snapshot)
	arrived := time.Unix(0, 0)
	packet := Packet{
		Key:             Key{Caller: address("198.51.100.7:1"), Service: service.Address},
		Route:           Route{Revision: 1, Step: StepAdmit, Chosen: 0},
		EarliestArrival: arrived,
	}
	is.Equal(decider.Handle(arrived, packet).Kind, AwaitConfirmation)
	confirmed = true
	is.True(decider.Handle(arrived.Add(50*time.Millisecond), packet).Kind != Deliver)
}

// TestNewConnectionAvoidsDrainingBackend guards against a draining back end that receives a new
// QUIC connection because an older one from the same address is open there, or that loses the older
// one.
func TestNewConnectionAvoidsDrainingBackend(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"))
	service.Protocol = catalog.ProtocolHTTP
	first, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{IdleTimeout: time.Minute})
	decider.SetSnapshot(first)
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	handle := func(route Route, payload []byte) Action {
		return decider.Handle(time.Unix(0, 0), Packet{Key: key, Route: route, Payload: payload})
	}
	initial := append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, 40)...)
	is.Equal(handle(Route{Revision: 1, Step: StepAdmit, Chosen: 0}, initial).Kind, Deliver)

	service.Backends = append([]catalog.Backend(nil), service.Backends...)
	service.Backends[0].State = catalog.BackendDraining
	second, err := first.With([]catalog.Object{object(service, 2)}, 2)
	is.NoErr(err)
	decider.SetSnapshot(second)
	search := Route{Revision: 2, Step: StepSearch, Chosen: NoBackend}
	action := handle(search, initial)
	is.Equal(action.Kind, Forward)
	is.Equal(action.Hop.To, address("10.0.0.2:7000"))

	id := NewConnectionID(service.Backends[0].ServerID(), [NonceLength]byte{})
	old := append([]byte{0x40}, id[:]...)
	is.Equal(handle(search, append(old, make([]byte, 20)...)).Kind, Deliver)
	handshake := append([]byte{0xe0, 0, 0, 0, 1, ConnectionIDLength}, id[:]...)
	is.Equal(handle(search, append(handshake, make([]byte, 20)...)).Kind, Deliver)
}

// TestCallerGeneratedConnectionIDStartsConnection guards against connections that cannot open
// because the caller's random connection id has the format of those that agents generate.
func TestCallerGeneratedConnectionIDStartsConnection(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"))
	service.Protocol = catalog.ProtocolHTTP
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{IdleTimeout: time.Minute})
	decider.SetSnapshot(snapshot)
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	handle := func(route Route, payload []byte) Action {
		return decider.Handle(time.Unix(0, 0), Packet{Key: key, Route: route, Payload: payload})
	}
	withID := func(serverID uint32) []byte {
		id := NewConnectionID(serverID, [NonceLength]byte{1, 2, 3})
		return append(append([]byte{0xc0, 0, 0, 0, 1, ConnectionIDLength}, id[:]...), make([]byte, 40)...)
	}
	initial := withID(0xdeadbeef)
	is.Equal(handle(Route{Revision: 1, Step: StepAdmit, Chosen: 0}, initial).Kind, Deliver)
	search := Route{Revision: 1, Step: StepSearch, Chosen: NoBackend}
	is.Equal(handle(search, initial).Kind, Deliver) // a duplicate reaches the same back end
	is.Equal(handle(search, withID(service.Backends[0].ServerID())).Kind, Deliver)
	is.Equal(handle(search, withID(service.Backends[1].ServerID())).Kind, Forward)
}

// TestRefusalExpiresWithItsRevision guards against a back end that refuses a flow after it has
// become active again.
func TestRefusalExpiresWithItsRevision(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"))
	service.Backends[0].State = catalog.BackendDraining
	first, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	service.Backends[0].State = catalog.BackendActive
	second, err := first.With([]catalog.Object{object(service, 2)}, 2)
	is.NoErr(err)
	decider := NewDecider(address("10.0.0.1:7000"), allAlive{}, Options{IdleTimeout: time.Minute})
	admit := func(revision catalog.Revision) ActionKind {
		key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
		route := Route{Revision: revision, Step: StepAdmit, Chosen: 0}
		return decider.Handle(time.Unix(0, 0), Packet{Key: key, Route: route}).Kind
	}
	decider.SetSnapshot(first)
	is.Equal(admit(1), Drop)
	decider.SetSnapshot(second)
	is.Equal(admit(2), Deliver)
}

// TestChoiceOfEarlierArbiterIsDropped guards against a flow that is admitted at two back ends because
// the choice of an arbiter is on its way while another agent returns and becomes the arbiter.
func TestChoiceOfEarlierArbiterIsDropped(t *testing.T) {
	is := is.New(t)
	service := testService(testBackend(1, "new"), testBackend(2, "new"), testBackend(3, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	dead := allAliveExcept{}
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	returning := service.Backends[arbiterOf(&service, dead, key)].Agent
	dead[returning] = true
	now := time.Unix(0, 0)
	agents := map[netip.AddrPort]*Decider{}
	for _, backend := range service.Backends {
		agents[backend.Agent] = NewDecider(backend.Agent, dead, Options{IdleTimeout: time.Minute})
		agents[backend.Agent].SetSnapshot(snapshot)
	}
	// The interim arbiter's own back end has refused, so that it chooses the other one.
	interim := arbiterOf(&service, dead, key)
	route := Route{Revision: 1, Step: StepArbitrate, Hops: 2, Refused: BackendSet(0).With(interim), Chosen: NoBackend}
	for index := range service.Backends {
		if service.Backends[index].Agent != returning {
			route.Visited = route.Visited.With(index)
		}
	}
	choice := agents[service.Backends[interim].Agent].Handle(now, Packet{Key: key, Route: route})
	is.Equal(choice.Hop.Route.Step, StepAdmit)

	delete(dead, returning)
	action := agents[choice.Hop.To].Handle(now, Packet{Key: key, Route: choice.Hop.Route})
	is.Equal(action.Kind, Forward)
	is.Equal(action.Hop.To, returning)
	is.Equal(action.Hop.Route.Step, StepSearch)
	is.Equal(agents[returning].Handle(now, Packet{Key: key, Route: action.Hop.Route}).Kind, Deliver)
}
