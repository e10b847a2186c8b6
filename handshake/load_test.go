package handshake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/routing"
)

// smallSlots is the number of slots of the back ends in these tests.
const smallSlots = 2

// pages and submissions are kinds of requests with a short aim.
func pagesAndSubmissions(perSecond float64) []loadKind {
	return []loadKind{
		{name: "page", perSecond: perSecond * 2 / 3, work: 22 * time.Millisecond, aim: 250 * time.Millisecond, deadline: 1500 * time.Millisecond, priority: 2},
		{name: "submission", perSecond: perSecond / 3, work: 29 * time.Millisecond, aim: 250 * time.Millisecond, deadline: 2 * time.Second, priority: 1},
	}
}

// startLoad returns a player of the kinds before back ends with two slots each.
func startLoad(t *testing.T, seed uint64, balancers, agents int, kinds []loadKind) *loadPlayer {
	t.Helper()
	w := startWorld(t, seed, balancers, agents)
	for _, agent := range w.agents {
		agent.backend.slots = smallSlots
		w.report(agent)
	}
	return w.play(kinds)
}

// TestCalmLoadIsServedInTime: a third of the slots is busy.
func TestCalmLoadIsServedInTime(t *testing.T) {
	is := is.New(t)
	p := startLoad(t, 1, 3, 8, pagesAndSubmissions(200))
	p.pass(3 * time.Second)
	p.finish()
	t.Log(p)
	is.True(p.total().share() > 0.999)
}

// Of TestLoadAfterAnOutage.
const (
	outageSeeds     = 10
	outageLeast     = 0.893 // in time, of those that ask after the return: 0.875 if the highest priority goes first whether it is late or not
	outageMostFails = 0.01  // of them: 0.023 then
)

// TestLoadAfterAnOutage: all processes and back ends lose power for a second, and come back cold. Those who ask
// after the return do not wait for all those who asked before it and are late already.
func TestLoadAfterAnOutage(t *testing.T) {
	is := is.New(t)
	var sum loadResult
	for seed := range uint64(outageSeeds) {
		p := startLoad(t, seed, 3, 8, pagesAndSubmissions(280))
		p.pass(time.Second)
		p.countBetween(time.Second, 3*time.Second)
		p.outage(time.Second)
		p.pass(4 * time.Second)
		p.finish()
		t.Log(p)
		sum.add(p.total())
	}
	t.Logf("in time %.3f, failed %.3f", sum.share(), float64(sum.failed)/float64(sum.asked))
	is.True(sum.share() >= outageLeast)
	is.True(float64(sum.failed) <= outageMostFails*float64(sum.asked))
}

// Of TestLoadWhileAgentsStandStill.
const (
	standstillSeeds = 10
	standstillTime  = 3 * time.Second // longer than any deadline
)

// TestLoadWhileAgentsStandStill: half of the agents stand still, with requests at work beside them. Callers whose requests may be
// repeated are answered elsewhere; before, they waited until their deadline. All of a flow comes through one balancer, as routers have it.
func TestLoadWhileAgentsStandStill(t *testing.T) {
	is := is.New(t)
	var pages loadResult
	for seed := range uint64(standstillSeeds) {
		kinds := pagesAndSubmissions(140)
		kinds[0].requests, kinds[1].requests = routing.Repeatable, routing.OnceOnly
		p := startLoad(t, seed, 1, 8, kinds)
		p.pass(time.Second)
		w := p.world
		for _, agent := range w.agents[:4] {
			agent.up = false
		}
		p.countBetween(-500*time.Millisecond, standstillTime)
		p.pass(standstillTime)
		for _, agent := range w.agents[:4] {
			agent.up = true
		}
		p.pass(time.Second)
		p.finish()
		t.Log(p)
		is.Equal(w.violation, "")
		pages.add(*p.counted["page"])
	}
	t.Logf("pages in time %.3f, failed %d of %d", pages.share(), pages.failed, pages.asked)
	is.Equal(pages.failed, 0)
}
