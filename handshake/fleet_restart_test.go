// This file tests that, for a limited time after a restart of all processes, callers whose requests
// may be repeated are reset, and that no other restart counts as fleet-wide: a process may still
// know the flows.

package handshake

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// restartProcesses restarts all processes at once; the back ends keep running.
func (w *world) restartProcesses() {
	for _, agent := range w.agents {
		w.startAgent(agent)
	}
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
}

// TestCallersAreResetAfterAFleetWideRestart checks that callers are reset after a restart of all
// processes only if their requests may be repeated: the back ends keep running, but no process
// knows the open flows.
func TestCallersAreResetAfterAFleetWideRestart(t *testing.T) {
	for kind, wantReset := range map[routing.RequestKind]bool{
		routing.Idempotent: true, routing.NonIdempotent: false, routing.RequestKindUnknown: false,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			w := startWorld(t, 11, 3, 24)
			w.setRequestKind(kind)
			callers := w.openFlows(is, 20)
			w.restartProcesses()
			w.advance(StartupTime / 2)
			for _, caller := range callers {
				w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
			}
			w.advance(fleetRestartResetPeriod / 4)
			reset := 0
			for _, caller := range callers {
				if caller.reset {
					reset++
				}
			}
			w.checkStrays()
			is.Equal(w.violation, "")
			if wantReset {
				is.True(reset >= len(callers)*9/10) // the others are found by probes
			} else {
				is.Equal(reset, 0)
			}
		})
	}
}

// TestNoFleetWideRestartWhileAProcessMayKnowFlows checks that no fleet-wide restart is assumed
// while a process may have been running since before it and may know the open flows.
func TestNoFleetWideRestartWhileAProcessMayKnowFlows(t *testing.T) {
	const agents = 6
	fullStatus := func(role presence.Role, uptime time.Duration) Status {
		return Status{Role: role, Zone: "a", Service: worldService, Incarnation: 1,
			Interval: AgentStatusInterval, Uptime: uptime, Load: Load{Accepts: true, Slots: 3}}
	}
	for name, test := range map[string]struct {
		agent, balancer time.Duration // reported uptime of first agent and other balancer; 0: none
		reachable       int           // number of agents whose statuses are received
		possibleHolders []netip.AddrPort
		after           time.Duration // added to the balancer's own uptime of one second
		want            bool
	}{
		"all processes restarted":         {agent: time.Second, balancer: time.Second, reachable: agents, want: true},
		"a recorded agent is unreachable": {agent: time.Second, balancer: time.Second, reachable: agents - 1},
		"an agent kept running":           {agent: time.Hour, balancer: time.Second, reachable: agents},
		"a balancer kept running":         {agent: time.Second, balancer: time.Hour, reachable: agents},
		"an agent reports no uptime":      {balancer: time.Second, reachable: agents},
		"an agent started later":          {agent: time.Millisecond, balancer: time.Second, reachable: agents, want: true},
		"a possible holder started later": {agent: 1, balancer: time.Second, reachable: agents,
			possibleHolders: []netip.AddrPort{testAddress(presence.RoleAgent, 1)}, after: 2500 * time.Millisecond},
		"a possible holder is unknown": {agent: time.Second, balancer: time.Second, reachable: agents,
			possibleHolders: []netip.AddrPort{testAddress(presence.RoleAgent, 99)}},
		"after the reset period": {agent: time.Second, balancer: time.Second, reachable: agents, after: fleetRestartResetPeriod},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			b := newTestBalancer(start)
			now := start.Add(time.Second + test.after)
			var recorded []netip.AddrPort
			for i := range agents {
				address := testAddress(presence.RoleAgent, i+1)
				recorded = append(recorded, address)
				uptime := time.Second + test.after
				if i == 0 {
					uptime = test.agent
				}
				if i == 0 && test.agent == time.Second {
					uptime += test.after
				}
				if i < test.reachable {
					b.HandleStatus(now, address, fullStatus(presence.RoleAgent, uptime))
				}
			}
			b.HandleStatus(now, testAddress(presence.RoleBalancer, 2),
				fullStatus(presence.RoleBalancer, test.balancer))
			b.SetRecords(now, now, recorded)
			is.Equal(b.fleetRestarted(now, test.possibleHolders), test.want)
		})
	}
}

// TestFleetWideRestartNeedsRecordsAndAnotherBalancer checks that, before StartupTime has passed, a
// balancer assumes a fleet-wide restart only if it has read the agents' records and received a
// status of another balancer. Processes that it does not know yet may have kept running.
func TestFleetWideRestartNeedsRecordsAndAnotherBalancer(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	b := newTestBalancer(start)
	now := start.Add(StartupTime / 2)
	var recorded []netip.AddrPort
	for i := range minFleetRestartProcesses {
		recorded = append(recorded, testAddress(presence.RoleAgent, i+1))
		b.HandleStatus(now, recorded[i],
			Status{Role: presence.RoleAgent, Incarnation: 1, Uptime: time.Millisecond})
	}
	b.HandleStatus(now, testAddress(presence.RoleBalancer, 2),
		Status{Role: presence.RoleBalancer, Incarnation: 1, Uptime: time.Millisecond})
	is.True(!b.fleetRestarted(now, nil)) // records not read yet
	is.True(b.fleetRestarted(start.Add(StartupTime), nil))
	b.SetRecords(now, now, recorded)
	is.True(b.fleetRestarted(now, nil))
	delete(b.neighbors.balancers, testAddress(presence.RoleBalancer, 2))
	is.True(!b.fleetRestarted(now, nil))
	is.True(b.fleetRestarted(start.Add(StartupTime), nil))
}

// TestResetsEndAfterAFleetWideRestart checks that callers are no longer reset once
// fleetRestartResetPeriod has passed: a process that becomes reachable later may still know the
// flow.
func TestResetsEndAfterAFleetWideRestart(t *testing.T) {
	is := is.New(t)
	b, _ := newConfiguredBalancer(t, time.Unix(1000, 0))
	now := b.startedAt.Add(fleetRestartResetPeriod - resetInterval)
	b.HandleCallerDatagram(now, unknownFlowData(1))
	b.resetAfterFleetRestart(now, b.flows[testKey(1)])
	b.drain()
	// The first reset may be lost.
	is.True(hasReset(b.HandleCallerDatagram(now.Add(resetInterval), unknownFlowData(1))))
	is.True(!hasReset(b.HandleCallerDatagram(now.Add(3*resetInterval), unknownFlowData(1))))
}

// TestPlannedStopIsNoFleetWideRestart checks that a balancer assumes no fleet-wide restart if an
// agent was stopped as planned, and reads the agents' records before it assumes one.
func TestPlannedStopIsNoFleetWideRestart(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	b := newTestBalancer(start)
	now := start.Add(StartupTime)
	var recorded []netip.AddrPort
	for i := range minFleetRestartProcesses {
		recorded = append(recorded, testAddress(presence.RoleAgent, i+1))
		b.HandleStatus(now, recorded[i], Status{Role: presence.RoleAgent, Incarnation: 1, Uptime: time.Millisecond})
	}
	b.HandleStatus(now, testAddress(presence.RoleBalancer, 2), Status{Role: presence.RoleBalancer, Incarnation: 1, Uptime: time.Millisecond})
	is.True(!b.RecordsDue(now))
	is.True(!b.fleetRestarted(now, nil))
	is.True(b.RecordsDue(now))
	is.True(b.fleetRestarted(now.Add(recordsWait), nil)) // the store does not answer
	b.SetPlannedStops(true)
	b.SetRecords(now, now, recorded)
	is.True(!b.fleetRestarted(now, nil))
	b.SetPlannedStops(false)
	is.True(b.fleetRestarted(now, nil))
}
