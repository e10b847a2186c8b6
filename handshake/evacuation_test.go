// This file tests that evacuated zones receive no new flows and keep their open ones, also under
// faults: balancers select no agent there and release its reservations, and agents refuse offers.
// After an evacuation the zone accepts flows again. If all zones are evacuated, openings are reset.

package handshake

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/presence"
)

// TestEvacuatedZoneGetsNoNewFlows checks that an evacuated zone receives no new flows and keeps its
// open ones, and that it receives flows again after the evacuation has ended.
func TestEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 11, 3, 4)
	w.assignZones("b", "c")
	for port := uint16(1000); port < 1040; port++ {
		is.True(w.openFlow(port))
	}
	open := w.callersOf(w.agents[1].backend)
	is.True(len(open) > 0)
	w.storeEvacuation("b", false)
	w.advance(50 * time.Millisecond)
	before := w.openingsInZone("b")
	for port := uint16(2000); port < 2040; port++ {
		is.True(w.openFlow(port))
	}
	is.Equal(w.openingsInZone("b"), before)
	for _, caller := range open {
		is.True(w.exchange(caller))
	}
	w.storeEvacuation("b", true)
	w.advance(50 * time.Millisecond)
	for port := uint16(3000); port < 3040; port++ {
		is.True(w.openFlow(port))
	}
	is.True(w.openingsInZone("b") > before)
	is.Equal(w.violation, "")
	is.Equal(w.resets, 0)
}

// TestAllZonesEvacuated checks that an opening is reset at once if all zones are evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 12, 2, 4)
	w.assignZones("b", "c")
	w.storeEvacuation("c", false)
	w.storeEvacuation("b", false)
	w.advance(50 * time.Millisecond)
	before := w.openingsInZone("b") + w.openingsInZone("c")
	caller := w.newCaller(1000)
	w.sendFromCaller(Datagram{Key: caller.key, Kind: Opening, Number: caller.openingNumber})
	w.advance(50 * time.Millisecond)
	is.True(caller.reset)
	is.Equal(w.openingsInZone("b")+w.openingsInZone("c"), before)
}

// TestEvacuatedAgentRefuses checks that an agent of an evacuated zone refuses all offers of
// balancers that do not know of the evacuation, including an opening that it accepted before and an
// opening for which it has reserved capacity.
func TestEvacuatedAgentRefuses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := NewAgent(now, AgentOptions{Zone: "b", Service: worldService, ReportInterval: time.Second})
	agent.Tracker().Report(now, instance.Report{ID: "i-1", Service: worldService, Slots: 1, Sequence: 1})
	agent.Tracker().Checked(now, instance.Check{Healthy: true, ID: "i-1"})
	from := testAddress(presence.RoleBalancer, 1)
	opening := Datagram{Key: testKey(1000), Kind: Opening, Number: 5}
	offer := Offer{Service: worldService}
	is.True(delivers(agent.HandleOffer(now, from, offer, &opening)))
	for range minBacklog {
		other := Datagram{Key: testKey(uint16(2000 + agent.Flows())), Kind: Opening, Number: 5}
		is.True(delivers(agent.HandleOffer(now, from, offer, &other)))
	}
	is.True(agent.Load(now).Full())
	agent.HandleReservationRequest(now, from, ReservationRequest{Service: worldService})
	now = now.Add(2 * maxUnconfirmedTime)
	agent.Tick(now)
	is.Equal(agent.Reservations(), 1)

	agent.SetEvacuations(evacuationSet(t, 7, "b"))
	is.True(!agent.Load(now).Accepts)
	for _, datagram := range []Datagram{opening, {Key: testKey(3000), Kind: Opening, Number: 6}} {
		actions := agent.HandleOffer(now, from, offer, &datagram)
		is.True(!delivers(actions))
		refused := actions[0].(Send).Message.(Refused)
		is.Equal(refused.Reason, RefusedEvacuated)
	}
	agent.HandleReservationRequest(now, from, ReservationRequest{Service: worldService})
	is.Equal(agent.WaitingBalancers(), 0)

	agent.SetEvacuations(evacuationSet(t, 9, "a"))
	is.True(delivers(agent.HandleOffer(now, from, offer, &opening)))
}

// evacuationSet returns the set of the evacuated zones at the revision.
func evacuationSet(t *testing.T, revision catalog.Revision, zones ...catalog.ZoneName) evacuation.Set {
	t.Helper()
	set, err := evacuation.New(revision, zones...)
	is.New(t).NoErr(err)
	return set
}

// TestReservationInEvacuatedZoneIsDeclined checks that a balancer declines a reservation that
// arrives after it has been notified that the agent's zone is evacuated.
func TestReservationInEvacuatedZoneIsDeclined(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := newWorld(13, 1, 1)
	balancer := w.balancers[0].logic
	agent := testAddress(presence.RoleAgent, 1)
	full := Load{Accepts: true, Slots: 1, InFlight: 9}
	balancer.HandleStatus(now, agent,
		Status{Role: presence.RoleAgent, Zone: "b", Service: worldService, Load: full})
	opening := Datagram{Key: testKey(1000), Kind: Opening, Number: 5, Bytes: []byte("opening")}
	balancer.HandleCallerDatagram(now, &opening)
	is.Equal(balancer.Queued(), 1)
	balancer.SetEvacuations(evacuationSet(t, 7, "b"))
	actions := balancer.HandleMessage(now, agent, ReservationGranted{Load: Load{Accepts: true, Slots: 1}})
	is.Equal(actions, []Action{Send{To: agent, Message: ReservationReleased{}}})
	is.Equal(balancer.Queued(), 1)
}

// evacuationTimeLimit is the time within which an evacuation must take effect in a test world that
// loses some of the statuses. Statuses are sent every worldTickInterval.
const evacuationTimeLimit = 500 * time.Millisecond

// TestEvacuationsHoldUnderFaults starts and ends evacuations in random order while processes are
// suspended, resumed and restarted and the store fails and recovers. It checks that no opening
// reaches a back end whose zone has been evacuated for longer than evacuationTimeLimit, provided
// that its agent and a balancer that knows of the evacuation have run since, and that all zones
// accept flows again after their evacuations have ended.
func TestEvacuationsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := startWorld(t, rapid.Uint64().Draw(t, "seed"), 3, 4)
		w.assignZones("b", "c")
		w.loss = 0.1
		monitor := newEvacuationMonitor(w)
		port := uint16(1000)
		balancer := func() *worldBalancer { return rapid.SampledFrom(w.balancers).Draw(t, "balancer") }
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) {
				zone := rapid.SampledFrom([]catalog.ZoneName{"b", "c"}).Draw(t, "zone")
				w.storeEvacuation(zone, w.storedEvacuations.Contains(zone))
			},
			"call": func(t *rapid.T) {
				for range 5 {
					w.sendOpening(port)
					port++
				}
			},
			"freeze": func(*rapid.T) { balancer().suspended = true },
			"wake": func(*rapid.T) {
				if b := balancer(); b.suspended {
					w.resumeBalancer(b)
				}
			},
			"restart balancer": func(*rapid.T) { w.startBalancer(balancer()) },
			"restart agent":    func(t *rapid.T) { w.startAgent(rapid.SampledFrom(w.agents).Draw(t, "agent")) },
			"store":            func(*rapid.T) { w.storeDown = !w.storeDown },
			"pass":             func(t *rapid.T) { monitor.advance(rapid.IntRange(1, 100).Draw(t, "rounds")) },
			"": func(t *rapid.T) {
				monitor.advance(1)
				if monitor.violation != "" {
					t.Fatal(monitor.violation)
				}
			},
		})
		w.storeDown = false
		for _, target := range w.balancers {
			if target.suspended {
				w.resumeBalancer(target)
			}
		}
		for _, zone := range w.storedEvacuations.Zones() {
			w.storeEvacuation(zone, true)
		}
		w.advance(2 * convergenceTime)
		for _, agent := range w.agents {
			if !agent.logic.Load(w.now).Accepts {
				t.Fatalf("back end %s in zone %s accepts no flows after the evacuation has ended",
					agent.backend.id, agent.zone)
			}
		}
	})
}

// evacuationMonitor checks that no opening reaches a back end later than evacuationTimeLimit after
// its agent could know of the evacuation.
type evacuationMonitor struct {
	world                *world
	evacuationKnownSince map[*worldAgent]time.Time // when agents could first know; zero: not yet
	starts               map[*worldAgent]int       // number of the agent's starts at the latest check
	violation            string
}

func newEvacuationMonitor(w *world) *evacuationMonitor {
	return &evacuationMonitor{world: w, evacuationKnownSince: map[*worldAgent]time.Time{}, starts: map[*worldAgent]int{}}
}

// advance advances the world by the given number of ticks and checks it after each of them.
func (e *evacuationMonitor) advance(ticks int) {
	w := e.world
	for range ticks {
		before := map[*worldAgent]int{}
		for _, agent := range w.agents {
			before[agent] = agent.backend.openingsReceived
		}
		w.advance(worldTickInterval)
		for _, agent := range w.agents {
			knownSince := e.knownSince(agent)
			if !knownSince.IsZero() && w.now.Sub(knownSince) > evacuationTimeLimit && agent.backend.openingsReceived > before[agent] {
				e.violation = "an opening reached a back end in zone " + string(agent.zone) +
					" later than evacuationTimeLimit after its evacuation"
			}
		}
	}
}

// knownSince returns the time since which the agent could know of its zone's evacuation: since
// then, it and at least one balancer that knows of the evacuation have been running. It is zero if
// the agent could not know of it.
func (e *evacuationMonitor) knownSince(agent *worldAgent) time.Time {
	w := e.world
	announced := false
	for _, balancer := range w.balancers {
		announced = announced || balancer.up && !balancer.suspended && balancer.view.Set().Contains(agent.zone)
	}
	if !announced || !w.storedEvacuations.Contains(agent.zone) || e.starts[agent] != agent.starts {
		e.starts[agent] = agent.starts
		e.evacuationKnownSince[agent] = time.Time{}
		return time.Time{}
	}
	if e.evacuationKnownSince[agent].IsZero() {
		e.evacuationKnownSince[agent] = w.now
	}
	return e.evacuationKnownSince[agent]
}

// TestBalancerKnowsOfAnEvacuationBeforeTheAgent checks that a balancer selects no agent of an
// evacuated zone, even if the agent's status still states that it accepts flows.
func TestBalancerKnowsOfAnEvacuationBeforeTheAgent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	near := Status{Role: presence.RoleAgent, Zone: "a", Service: worldService,
		Load: Load{Accepts: true, Slots: 3, InFlight: 2}}
	idle := Status{Role: presence.RoleAgent, Zone: "b", Service: worldService,
		Load: Load{Accepts: true, Slots: 3}}
	agentTable := newTestAgentTable(now, near, idle)
	agent, _ := agentTable.selectAgent(now, testKey(1), worldService, nil)
	is.Equal(agent.address, tableAgentAddress(1))
	agentTable.evacuations = evacuationSet(t, 7, "b")
	agent, _ = agentTable.selectAgent(now, testKey(1), worldService, nil)
	is.Equal(agent.address, tableAgentAddress(0))
	is.Equal(len(agentTable.usableByScore(now, worldService, 8)), 1)
	agentTable.evacuations = evacuationSet(t, 8, "a", "b")
	_, outcome := agentTable.selectAgent(now, testKey(1), worldService, nil)
	is.Equal(outcome, noAgent)
}
