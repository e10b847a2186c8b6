// This file tests that requests meet their latency targets under light load and after an outage,
// and that idempotent requests do not fail while agents are stalled.

package handshake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/routing"
)

// loadSlots is the number of slots per back end.
const loadSlots = 2

// pagesAndSubmissions returns two kinds of requests with short latency targets.
func pagesAndSubmissions(perSecond float64) []loadKind {
	return []loadKind{
		{name: "page", perSecond: perSecond * 2 / 3, serviceTime: 22 * time.Millisecond, latencyTarget: 250 * time.Millisecond, deadline: 1500 * time.Millisecond, priority: 2},
		{name: "submission", perSecond: perSecond / 3, serviceTime: 29 * time.Millisecond, latencyTarget: 250 * time.Millisecond, deadline: 2 * time.Second, priority: 1},
	}
}

// startLoad returns a generator that sends requests of the kinds to a new world.
func startLoad(t *testing.T, seed uint64, balancers, agents int, kinds []loadKind) *loadGenerator {
	t.Helper()
	w := startWorld(t, seed, balancers, agents)
	for _, agent := range w.agents {
		agent.backend.slots = loadSlots
		w.report(agent)
	}
	return w.generateLoad(kinds)
}

// TestLightLoadMeetsLatencyTarget checks that requests meet their latency targets while most slots
// are free.
func TestLightLoadMeetsLatencyTarget(t *testing.T) {
	is := is.New(t)
	g := startLoad(t, 1, 3, 8, pagesAndSubmissions(200))
	g.advance(3 * time.Second)
	g.finish()
	t.Log(g)
	is.True(g.total().share() > 0.999)
}

// Settings and bounds of TestLoadAfterAnOutage.
const (
	outageSeeds       = 10
	outageMinInTarget = 0.893 // fraction of requests within their latency target
	outageMaxFailed   = 0.01  // fraction of failed requests
)

// TestLoadAfterAnOutage checks that requests that start after an outage of all processes and back
// ends are not delayed by earlier requests that have already missed their latency targets.
func TestLoadAfterAnOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var sum loadResult
	for seed := range uint64(outageSeeds) {
		g := startLoad(t, seed, 3, 8, pagesAndSubmissions(280))
		g.advance(time.Second)
		g.countBetween(time.Second, 3*time.Second)
		g.outage(time.Second)
		g.advance(4 * time.Second)
		g.finish()
		t.Log(g)
		sum.add(g.total())
	}
	t.Logf("in target %.3f, failed %.3f", sum.share(), float64(sum.failed)/float64(sum.sent))
	is.True(sum.share() >= outageMinInTarget)
	is.True(float64(sum.failed) <= outageMaxFailed*float64(sum.sent))
}

// Settings of TestLoadWhileAgentsAreStalled.
const (
	stallSeeds    = 10
	stallDuration = 3 * time.Second // longer than any deadline
)

// TestLoadWhileAgentsAreStalled checks that idempotent requests are answered by other back ends
// while half of the agents are stalled.
func TestLoadWhileAgentsAreStalled(t *testing.T) {
	is := is.New(t)
	var pages loadResult
	for seed := range uint64(stallSeeds) {
		kinds := pagesAndSubmissions(140)
		kinds[0].requestKind, kinds[1].requestKind = routing.Idempotent, routing.NonIdempotent
		g := startLoad(t, seed, 1, 8, kinds)
		g.advance(time.Second)
		w := g.world
		for _, agent := range w.agents[:4] {
			agent.up = false
		}
		g.countBetween(-500*time.Millisecond, stallDuration)
		g.advance(stallDuration)
		for _, agent := range w.agents[:4] {
			agent.up = true
		}
		g.advance(time.Second)
		g.finish()
		t.Log(g)
		is.Equal(w.violation, "")
		pages.add(*g.results["page"])
	}
	t.Logf("pages in target %.3f, failed %d of %d", pages.share(), pages.failed, pages.sent)
	is.Equal(pages.failed, 0)
}
