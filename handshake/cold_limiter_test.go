// This file tests that a back end that is or may be cold receives no more new flows in a second
// than its bound, but most of the bound, and that a warm back end is not limited. The environment
// variable BURLMILL_PACE_SEEDS sets the number of seeds.

package handshake

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// maxPerSecond returns the largest number of times that lie within one second. The times must be
// sorted.
func maxPerSecond(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// coldTestSeeds returns the number of seeds with which TestNewFlowsOfColdBackEndsAreBounded runs.
func coldTestSeeds() int {
	if seeds, err := strconv.Atoi(os.Getenv("BURLMILL_PACE_SEEDS")); err == nil {
		return seeds
	}
	return 100
}

// Settings and bounds of TestNewFlowsOfColdBackEndsAreBounded. The bound is
// coldTestRate*coldTestOvershoot+coldTestSlack.
const (
	coldTestRate      = 10
	coldTestOvershoot = 1.5
	coldTestSlack     = 5
	coldTestBound     = 20 // maximum number of new flows per back end in any second
	coldTestDuration  = 3 * time.Second
	coldTestMinShare  = 0.8 // minimum share of the bound in use while openings are queued
)

// TestNewFlowsOfColdBackEndsAreBounded checks that a cold back end receives no more new flows in
// any second than its bound, and most of the bound while openings are queued at several balancers.
func TestNewFlowsOfColdBackEndsAreBounded(t *testing.T) {
	t.Parallel()
	for seed := range uint64(coldTestSeeds()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(seed, 0, 2)
			w.options = BalancerOptions{ColdOvershoot: coldTestOvershoot, ColdSlack: coldTestSlack}
			w.setColdRate(coldTestRate)
			w.addBalancers(3)
			w.advance(50 * time.Millisecond)
			for _, agent := range w.agents {
				agent.backend.coldUntil = w.now.Add(time.Minute)
				w.report(agent)
			}
			w.advance(convergenceTime)
			startedAt := w.now
			for port := uint16(1000); w.now.Sub(startedAt) < coldTestDuration; port += 2 {
				w.sendOpening(port)
				w.sendOpening(port + 1)
				w.advance(worldTickInterval)
			}
			for _, agent := range w.agents {
				acceptedAt := agent.backend.acceptedAt
				is.True(maxPerSecond(acceptedAt) <= coldTestBound)
				is.True(float64(len(acceptedAt)) >= coldTestMinShare*coldTestBound*coldTestDuration.Seconds())
			}
		})
	}
}

// setColdRate configures the rate of new flows per second for cold back ends.
func (w *world) setColdRate(rate float64) {
	table, err := routing.New(routing.Content{Version: w.table.Version() + 1, Routes: []routing.Route{*w.table.Route(worldAddress)},
		Services: []routing.Service{{Name: worldService, ColdFlowRate: rate}}})
	if err != nil {
		panic(err)
	}
	w.table = table
}

// TestNewFlowsOfWarmBackEndsAreNotBounded checks that the rate of new flows is bounded only while
// the back end is or may be cold.
func TestNewFlowsOfWarmBackEndsAreNotBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	balancer := testAddress(presence.RoleBalancer, 1)
	offer := Offer{Service: worldService, Version: 3, ColdLimit: 2}
	accepts := func(agent *Agent, port uint16) bool {
		return delivers(agent.HandleOffer(now, balancer, offer, &Datagram{Key: testKey(port), Kind: Opening, Number: 1}))
	}
	report := func(agent *Agent, sequence uint64, cold time.Duration) {
		agent.Tracker().Report(now, instance.Report{ID: "i", Service: worldService, Slots: 100, Sequence: sequence, ColdRemaining: cold})
	}

	agent := readyAgent(t, now)
	agent.options.Zone = "b"
	report(agent, 2, 0)
	for port := range uint16(20) {
		is.True(accepts(agent, port))
	}

	report(agent, 3, 5*time.Second)
	now = now.Add(coldWindow)
	is.True(accepts(agent, 100))
	is.True(accepts(agent, 101))
	is.True(!accepts(agent, 102))
	is.True(agent.Load(now).Full())
	is.True(accepts(agent, 101)) // a copy of the same opening
	offer.Version, offer.ColdLimit = 2, 0
	is.True(!accepts(agent, 102)) // an older configuration is ignored
	offer.Version, offer.ColdLimit = 3, 2
	now = now.Add(coldWindow)
	is.True(accepts(agent, 103))

	// After an evacuation of its zone the back end may be cold, even if it was warm before.
	report(agent, 4, 0)
	agent.SetEvacuations(evacuationSet(t, 7, "b"))
	agent.SetEvacuations(evacuationSet(t, 8))
	now = now.Add(coldWindow)
	is.True(accepts(agent, 201))
	is.True(accepts(agent, 202))
	is.True(!accepts(agent, 203))
	report(agent, 5, 0)
	is.True(!accepts(agent, 203))
	report(agent, 6, 0)
	is.True(accepts(agent, 203))
	is.True(accepts(agent, 204))
}

// TestUnreportedBackEndMayBeCold checks that new flows are bounded for a back end that has answered
// a health check but has not reported.
func TestUnreportedBackEndMayBeCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := NewAgent(now, AgentOptions{Service: worldService, FlowLifetime: time.Minute, ReportInterval: time.Second})
	agent.Tracker().CheckDue(now)
	agent.Tracker().Checked(now, instance.Check{Healthy: true, ID: "i"})
	for port := range uint16(5) {
		opening := Datagram{Key: testKey(port), Kind: Opening, Number: 1}
		actions := agent.HandleOffer(now, testAddress(presence.RoleBalancer, 1), Offer{Service: worldService, ColdLimit: 3}, &opening)
		is.Equal(delivers(actions), port < 3)
	}
}
