package test

import (
	"slices"
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
	"github.com/burlmill/burlmill/internal/lab/store"
)

// TestFaultsTogether proves that faults which come together, twice, break no flow
// whose back end lives: a balancer is killed, an agent freezes for longer than its
// peers believe it alive, the store goes down and the configuration changes, all
// at once. No flow and no request reaches another service, no flow is admitted
// twice, no answer is wrong, and what is answered as not run did not run.
//
// Flows at the frozen agent are left out: their back end cannot be reached. So
// are requests whose outcome is unknown; a frozen agent cannot answer.
func TestFaultsTogether(t *testing.T) {
	t.Parallel()
	d := start(t, cluster.Plan{
		Balancers: 4,
		Services: []cluster.ServicePlan{
			{Name: media, Protocol: catalog.ProtocolUDP, Slots: slots, Sites: one(4)},
			{Name: lessons, Protocol: catalog.ProtocolHTTP, Slots: slots, Sites: one(3)},
			{Name: library, Protocol: catalog.ProtocolHTTP, Slots: slots, Sites: one(2)},
		},
	})
	faults := faultsTogether{deployment: d}
	open := d.flowLoad(media, 300, 0)
	open.SilenceLimit = 20 * time.Second
	short := d.flowLoad(media, 50, time.Second)
	short.SilenceLimit = open.SilenceLimit
	loads := []*caller.Run{d.startFlows(open), d.startFlows(short)}
	requests := []*caller.Run{d.startRequests(lessons, 6), d.startRequests(library, 3)}
	for round := range 2 {
		faults.strike(round)
	}
	for _, load := range loads {
		faults.judgeFlows(load.Stop())
	}
	for _, load := range requests {
		faults.judgeRequests(load.Stop())
	}
}

// faultsTogether causes the faults and remembers which back ends they cut off.
type faultsTogether struct {
	*deployment
	frozen []catalog.BackendID
}

// freeze is how long an agent is frozen, far longer than its lease on being alive.
const freeze = 8 * time.Second

// strike causes one round of faults and waits until all is well again.
func (f *faultsTogether) strike(round int) {
	ctx := f.t.Context()
	victims := []*cluster.Backend{f.backendsOf(media)[round], f.backendsOf(lessons)[round]}
	drained := f.backendsOf(media)[round+2]
	revision, err := f.SetState(ctx, drained, catalog.BackendLeaving)
	f.is.NoErr(err)
	killed := f.Balancers[0]
	for _, victim := range victims {
		f.frozen = append(f.frozen, victim.ID)
		victim.Agent.Process.Freeze()
	}
	f.KillBalancer(killed)
	f.outage(store.OutageRefuse)
	time.Sleep(freeze)
	for _, victim := range victims {
		victim.Agent.Process.Resume()
	}
	f.outage(store.OutageNone)
	f.is.NoErr(f.Rerun(killed))
	f.Balancers = append(f.Balancers, killed)
	f.SyncFabric()
	f.inForce(revision, nil)
	f.inForce(f.SetState(ctx, drained, catalog.BackendActive))
}

// wasFrozen says whether the back end's agent was frozen at some time.
func (f *faultsTogether) wasFrozen(id catalog.BackendID) bool { return slices.Contains(f.frozen, id) }

func (f *faultsTogether) judgeFlows(result caller.Result) {
	f.t.Helper()
	f.logFlows(result)
	broken := slices.DeleteFunc(result.BrokenFlows, func(broken caller.BrokenFlow) bool { return f.wasFrozen(broken.Backend) })
	if len(broken) > 0 {
		f.t.Errorf("broken although the back end could be reached: %v", broken)
	}
	if result.Unanswered+result.Misrouted+result.Wrong > 0 {
		f.t.Error("flows were not answered, or answered wrongly")
	}
	f.judge(result)
}

func (f *faultsTogether) judgeRequests(result caller.Result) {
	f.t.Helper()
	f.logRequests(result)
	if result.Wrong+result.Misrouted > 0 {
		f.t.Error("requests with a wrong or misrouted answer")
	}
	f.judge(result)
}

// judge is judgeJournal, but for flows that were at a frozen back end first.
func (f *faultsTogether) judge(result caller.Result) {
	f.t.Helper()
	verdict := caller.Judge(result, f.journal)
	first := map[string]catalog.BackendID{}
	for _, sighting := range f.journal.Flows() {
		if _, known := first[sighting.Flow]; !known {
			first[sighting.Flow] = sighting.Backend
		}
	}
	verdict.SplitFlows = slices.DeleteFunc(verdict.SplitFlows, func(sighting backend.FlowSighting) bool {
		return f.wasFrozen(first[sighting.Flow])
	})
	if !verdict.Good() {
		f.t.Errorf("the journal contradicts: %+v", verdict)
	}
}
