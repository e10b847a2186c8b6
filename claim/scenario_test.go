package claim

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// claimed returns a world of three nodes in which the first has won the claim of
// a key and was told to let the request run.
func claimed(t *testing.T) (*world, AttemptID) {
	w := newWorld(t.Fatalf, 1, 3)
	w.run(20, clear)
	id := w.begin(w.nodes[0], "key")
	w.run(2, clear)
	if w.attempts[id].pending == nil {
		t.Fatal("no dispatch")
	}
	return w, id
}

// TestRepeatGetsVerdict checks what a repeat through another coordinator is told.
func TestRepeatGetsVerdict(t *testing.T) {
	repeat := Request{Key: Key{Service: testService, Value: "key"}}
	other := repeat
	other.Fingerprint[0] = 1
	nothing := func(*world, AttemptID) {}
	completed := func(w *world, id AttemptID) {
		w.execute(id, true)
		w.complete(id, true)
	}
	cases := map[string]struct {
		before  func(*world, AttemptID)
		request Request
		want    Verdict
	}{
		"not dispatched yet": {nothing, repeat, VerdictInProgress},
		"running":            {func(w *world, id AttemptID) { w.execute(id, true) }, repeat, VerdictInProgress},
		"running long": {func(w *world, id AttemptID) {
			w.execute(id, true)
			w.run(int(3*testOptions.Retention/unit), clear)
		}, repeat, VerdictInProgress},
		"crashed before dispatch": {func(w *world, _ AttemptID) { w.crash(w.nodes[0]) }, repeat, VerdictUnknown},
		"crashed while running": {func(w *world, id AttemptID) {
			w.execute(id, true)
			w.crash(w.nodes[0])
			w.start(w.nodes[0])
		}, repeat, VerdictUnknown},
		"no answer": {func(w *world, id AttemptID) {
			w.execute(id, true)
			w.complete(id, false)
		}, repeat, VerdictUnknown},
		"answered":        {completed, repeat, VerdictReplay},
		"another request": {completed, other, VerdictMismatch},
		"long answer": {func(w *world, id AttemptID) {
			w.execute(id, true)
			content := NewAnswer([]byte(strings.Repeat("x", testOptions.AnswerLimit+1)))
			w.finish(id, Finished{Attempt: id, Outcome: OutcomeComplete, Answer: content})
		}, repeat, VerdictNotReplayable},
		"cut off": {func(w *world, _ AttemptID) { w.nodes[1].cut = true }, repeat, VerdictNoQuorum},
		"cut off, first use": {
			func(w *world, _ AttemptID) { w.nodes[1].cut = true },
			Request{Key: Key{Service: testService, Value: "new"}, FirstUse: true}, VerdictNotRun,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, id := claimed(t)
			test.before(w, id)
			w.run(2, clear)
			repeated := w.beginRequest(w.nodes[1], test.request)
			w.run(6, clear)
			is.Equal(w.attempts[repeated].replied, test.want)
		})
	}
}

// TestVoidClaimIsFree checks that a key whose claim was not used may run, and that
// replicas that have dropped its record refuse lower ballots all the same. Otherwise
// a new claim at a low ballot could be hidden by the void one, if a replica has it.
func TestVoidClaimIsFree(t *testing.T) {
	is := is.New(t)
	w, id := claimed(t)
	w.execute(id, false)
	w.run(2, clear)
	again := w.begin(w.nodes[1], "key")
	w.run(2, clear)
	w.execute(again, false) // fails if it was not dispatched
	w.run(int(testOptions.promiseLifetime()/unit)*2, clear)
	replica := w.nodes[1].replica
	is.Equal(replica.Used(), 0)
	low := Ballot{Round: 1, Proposer: AttemptID{Coordinator: w.nodes[2].instance(), Number: 9}}
	prepare := Prepare{Register{Key{testService, "key"}, replica.groups[testService].latest.ID}, low}
	actions := replica.Handle(w.now, Received{prepare})
	_, refused := actions[0].(Send).Message.(Rejected)
	is.True(refused)
}

// TestFullReplicasRefuseNewKeysOnly checks that memory stays bounded, that no claim
// goes before its time, and that there is room again afterwards.
func TestFullReplicasRefuseNewKeysOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1, 3)
	w.options.Memory = 2 * (recordOverhead + 200)
	for _, node := range w.nodes {
		w.start(node)
	}
	w.run(40, clear)
	w.mustAnswer("first", VerdictReplay)
	w.mustAnswer("second", VerdictReplay)
	third := w.begin(w.nodes[0], "third")
	w.run(2, clear)
	is.Equal(w.attempts[third].replied, VerdictNotRun)
	w.mustAnswer("first", VerdictReplay)
	for _, node := range w.nodes {
		is.True(node.replica.Used() <= w.options.Memory)
	}
	w.run(int(testOptions.recordLifetime()/unit)+10, clear)
	w.mustAnswer("third", VerdictReplay)
}

// TestAgentVouchesOnlyAfterReadingStore checks that an agent that has just started
// vouches for no chain: an earlier run of it may have vouched for a later one.
func TestAgentVouchesOnlyAfterReadingStore(t *testing.T) {
	is := is.New(t)
	w, _ := claimed(t)
	w.outage = true
	w.crash(w.nodes[1])
	w.start(w.nodes[1])
	w.run(10, clear)
	is.True(w.nodes[0].replica.Serving(w.now, testService)) // the others vouch
	founding := &w.nodes[1].replica.groups[testService].founding
	is.Equal(founding.granted, catalog.Revision(0))
	w.outage = false
	w.run(40, clear)
	is.Equal(founding.granted, w.founding.Epoch)
}

// TestBeginRefusesBadRequests checks the errors of Begin and of the constructors.
func TestBeginRefusesBadRequests(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1, 1)
	coordinator := w.nodes[0].coordinator
	for _, value := range []string{"", strings.Repeat("k", MaximumKey+1)} {
		_, _, err := coordinator.Begin(w.now, Request{Key: Key{testService, value}})
		is.Equal(fault.Of(err), fault.Invalid)
	}
	_, _, err := coordinator.Begin(w.now, Request{Key: Key{"other", "key"}})
	is.Equal(fault.Of(err), fault.NotFound)
	_, err = NewCoordinator(Instance{}, Options{}, w)
	is.Equal(fault.Of(err), fault.Invalid)
}

// allAlive holds every agent for alive.
type allAlive struct{}

func (allAlive) Alive(netip.AddrPort) bool { return true }

// TestReplicasSpanZones checks that agents are read from a service, and that
// replicas are chosen from distinct zones where there are enough.
func TestReplicasSpanZones(t *testing.T) {
	is := is.New(t)
	service := &catalog.Service{Name: testService}
	var candidates []candidate
	for number := range 9 { // two back ends for each of the first three agents
		agent := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+number%6))
		zone := catalog.ZoneName(fmt.Sprint("zone-", max(0, number%6-3)))
		service.Backends = append(service.Backends, catalog.Backend{Agent: agent, Site: "old", Zone: zone, State: catalog.BackendLeaving})
	}
	service.Backends[8].State = catalog.BackendActive
	for _, agent := range AgentsOf(service, allAlive{}) {
		is.Equal(agent.Active, agent.Node == "10.0.0.1:7002")
		candidates = append(candidates, candidate{Instance{Node: agent.Node}, agent.Zone})
	}
	is.Equal(len(candidates), 6) // four of them in zone-0
	chosen := choose(testService, nil, candidates, ReplicaCount)
	is.Equal(len(chosen), ReplicaCount)
	is.True(hasZone(chosen, "old/zone-0") && hasZone(chosen, "old/zone-1") && hasZone(chosen, "old/zone-2"))
}
