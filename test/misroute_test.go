package test

import (
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
)

// TestMisroute proves that nothing meant for one service reaches another: back
// ends change hands between two services, again and again, at the same address
// and behind the same agent, with a new incarnation, while a balancer is frozen
// with the configuration from before. Open flows of the former back end are
// broken by its end and do not count; a datagram or a request of one service at
// the other does.
func TestMisroute(t *testing.T) {
	t.Parallel()
	udp := func(name catalog.ServiceName) cluster.ServicePlan {
		return cluster.ServicePlan{Name: name, Protocol: catalog.ProtocolUDP, Slots: slots, Sites: one(2)}
	}
	http := func(name catalog.ServiceName) cluster.ServicePlan {
		return cluster.ServicePlan{Name: name, Protocol: catalog.ProtocolHTTP, Slots: slots, Sites: one(2)}
	}
	d := start(t, cluster.Plan{
		Balancers: 3,
		Services:  []cluster.ServicePlan{udp(media), udp(scores), http(lessons), http(library)},
	})
	var flows, requests []*caller.Run
	for _, service := range []catalog.ServiceName{media, scores} {
		flows = append(flows, d.startFlows(d.flowLoad(service, 100, 0)), d.startFlows(d.flowLoad(service, 20, time.Second)))
	}
	for _, service := range []catalog.ServiceName{lessons, library} {
		requests = append(requests, d.startRequests(service, 3))
	}
	pairs := [][2]catalog.ServiceName{{media, scores}, {scores, media}, {lessons, library}, {library, lessons}}
	for round, pair := range pairs {
		d.passOn(round, pair[0], pair[1])
	}
	// From udp to http and back: the same address, in another way.
	d.passOn(0, media, lessons)
	d.passOn(1, lessons, media)
	for _, load := range flows {
		d.judgeRouting(load.Stop())
	}
	for _, load := range requests {
		d.judgeRouting(load.Stop())
	}
}

// passOn hands a back end of one service over to another, while a balancer is
// frozen, and waits until the new holder has work.
func (d *deployment) passOn(round int, from, to catalog.ServiceName) {
	d.t.Helper()
	ctx := d.t.Context()
	stale := d.Balancers[round%len(d.Balancers)]
	stale.Process.Freeze()
	others := without(d.Nodes(), stale)
	former := d.backendsOf(from)[0]
	revision, err := d.Delist(ctx, former)
	d.inForceOn(others, revision, err)
	next, revision, err := d.Reuse(ctx, former, to)
	d.inForceOn(others, revision, err)
	stale.Process.Resume()
	d.inForce(revision, nil)
	d.await("the new holder has work", func() bool { return len(d.begunAt(next, time.Time{})) > 0 })
}

// judgeRouting checks that nothing reached or came from another service.
func (d *deployment) judgeRouting(result caller.Result) {
	d.t.Helper()
	if result.Flows > 0 {
		d.logFlows(result)
	} else {
		d.logRequests(result)
	}
	if result.Misrouted+result.Wrong > 0 {
		d.t.Error("an answer was wrong or came from another service")
	}
	verdict := caller.Judge(result, d.journal)
	if len(verdict.MisroutedFlows)+len(verdict.MisroutedRuns)+len(verdict.RefusedButRan)+len(verdict.RepeatedRuns) > 0 {
		d.t.Errorf("the journal contradicts: %+v", verdict)
	}
}
