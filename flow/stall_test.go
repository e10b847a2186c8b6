// This file simulates agents that stall and may be declared dead meanwhile, to guard against open
// flows that move to another back end or are admitted twice.

package flow

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
)

// Times of the simulation. heartbeatInterval and suspicionTimeout equal HeartbeatInterval and
// SuspicionTimeout of package membership.
const (
	heartbeatInterval = 1500 * time.Millisecond // maximum age of a heartbeat when a stall starts
	// suspicionTimeout is the time from an agent's latest heartbeat until the agent is no longer
	// confirmed alive and may, if it has stalled, be declared dead.
	suspicionTimeout = 4 * time.Second
	tickInterval     = 100 * time.Millisecond
	// maxTransitTime limits the time of one hop: until a running agent handles the datagram or it
	// reaches the socket of a stalled agent. Older datagrams are lost.
	maxTransitTime = time.Second
)

// stalledAgent records the start of an agent's stall and the datagrams that have reached the
// agent's socket since.
type stalledAgent struct {
	stalledAt time.Time
	inbox     []datagramInTransit
	admission *datagramInTransit // datagram whose delivery the stall delays; nil if none
	delivery  Action             // of the admission
}

// stallSimulation is a simulation in which agents stall at any step for any time and may be
// declared dead meanwhile. The declaration takes effect at all processes at the same time. The
// simulation fails if a flow is delivered to a second back end, unless the flow is in lostFlows.
type stallSimulation struct {
	*simulation
	stalled    map[netip.AddrPort]*stalledAgent
	lastSeenAt map[netip.AddrPort]time.Time        // time of the latest acknowledged heartbeat
	leaseStart map[netip.AddrPort]time.Time        // time since which the agent is confirmed alive
	offered    map[netip.AddrPort]catalog.Revision // highest revision of any agent at lastSeenAt
	dead       map[netip.AddrPort]bool
	lostFlows  map[Key]bool // flows of agents that were declared dead; they may be admitted again
}

// Alive implements Liveness.
func (s *stallSimulation) Alive(agent netip.AddrPort) bool { return !s.dead[agent] }

func newStallSimulation(t *rapid.T) *stallSimulation {
	s := &stallSimulation{
		stalled:    map[netip.AddrPort]*stalledAgent{},
		lastSeenAt: map[netip.AddrPort]time.Time{},
		leaseStart: map[netip.AddrPort]time.Time{},
		offered:    map[netip.AddrPort]catalog.Revision{},
		dead:       map[netip.AddrPort]bool{},
		lostFlows:  map[Key]bool{},
	}
	s.simulation = newSimulationWith(t, func(base *simulation, agent netip.AddrPort) *Decider {
		s.lastSeenAt[agent] = base.now
		return NewDecider(agent, s, Options{
			IdleTimeout:     time.Hour,
			ConfirmedAlive:  func(now time.Time) bool { return now.Before(s.lastSeenAt[agent].Add(suspicionTimeout)) },
			ConfirmedSince:  func() time.Time { return s.leaseStart[agent] },
			OfferedRevision: func() catalog.Revision { return s.offered[agent] },
		})
	})
	s.liveness = s
	return s
}

// drawAgent draws a stalled agent if stalled is true, else a running one. It returns false if there
// is none.
func (s *stallSimulation) drawAgent(t *rapid.T, stalled bool) (netip.AddrPort, bool) {
	var candidates []netip.AddrPort
	for number := 1; number <= s.backendsAdded; number++ {
		agent := testBackend(number, "").Agent
		if s.agents[agent] != nil && (s.stalled[agent] != nil) == stalled {
			candidates = append(candidates, agent)
		}
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return rapid.SampledFrom(candidates).Draw(t, "agent"), true
}

// stall stalls an agent. Its latest acknowledged heartbeat may be up to heartbeatInterval old.
func (s *stallSimulation) stall(t *rapid.T) {
	agent, found := s.drawAgent(t, false)
	if !found {
		return
	}
	s.stalled[agent] = &stalledAgent{stalledAt: s.now}
	age := time.Duration(rapid.Int64Range(0, int64(heartbeatInterval)).Draw(t, "age of the latest heartbeat"))
	if latest := s.now.Add(-age); latest.Before(s.lastSeenAt[agent]) && !s.dead[agent] {
		s.lastSeenAt[agent] = latest
	}
}

// resume ends the stall of an agent, which reads its backlog before its next heartbeat.
func (s *stallSimulation) resume(t *rapid.T) {
	agent, found := s.drawAgent(t, true)
	if !found {
		return
	}
	stalled := s.stalled[agent]
	delete(s.stalled, agent)
	s.completeAdmission(t, stalled)
	for _, datagram := range stalled.inbox {
		datagram.packet.EarliestArrival = stalled.stalledAt
		s.handle(t, datagram)
	}
}

// stallInAdmission delivers a random datagram to a running agent. If the agent decides to admit its
// flow, it stalls before the delivery.
func (s *stallSimulation) stallInAdmission(t *rapid.T) {
	datagram, found := s.dequeueAny(t)
	if !found {
		return
	}
	if s.stalled[datagram.to] != nil {
		s.stalled[datagram.to].inbox = append(s.stalled[datagram.to].inbox, datagram)
		return
	}
	datagram.packet.EarliestArrival = s.now
	action := s.decide(datagram)
	if !action.Admitted {
		s.execute(t, datagram, action)
		return
	}
	s.stalled[datagram.to] = &stalledAgent{stalledAt: s.now, admission: &datagram, delivery: action}
}

// completeAdmission delivers the datagram whose delivery the stall delayed, or handles it again.
func (s *stallSimulation) completeAdmission(t *rapid.T, stalled *stalledAgent) {
	admission := stalled.admission
	if admission == nil {
		return
	}
	if s.agents[admission.to].ConfirmAdmission(s.now, admission.packet) {
		s.execute(t, *admission, stalled.delivery)
		return
	}
	s.handle(t, *admission)
}

// heartbeat delivers a heartbeat of a running agent to its peers and the acknowledgement to the
// agent.
func (s *stallSimulation) heartbeat(t *rapid.T) {
	if agent, found := s.drawAgent(t, false); found {
		s.recordHeartbeat(agent)
		delete(s.dead, agent)
	}
}

// recordHeartbeat records an acknowledged heartbeat of the agent. Its monitors hold the highest
// revision of any agent.
func (s *stallSimulation) recordHeartbeat(agent netip.AddrPort) {
	if !s.now.Before(s.lastSeenAt[agent].Add(suspicionTimeout)) {
		s.leaseStart[agent] = s.now
	}
	s.lastSeenAt[agent] = s.now
	for _, decider := range s.agents {
		s.offered[agent] = max(s.offered[agent], decider.snapshot.Revision())
	}
}

// declareDead declares a stalled agent dead after the suspicion timeout.
func (s *stallSimulation) declareDead(t *rapid.T) {
	agent, found := s.drawAgent(t, true)
	if !found || s.now.Before(s.lastSeenAt[agent].Add(suspicionTimeout)) {
		return
	}
	s.dead[agent] = true
	admission := s.stalled[agent].admission
	for key := range s.agents[agent].flows {
		if admission == nil || admission.packet.Key != key {
			s.lostFlows[key] = true
		}
	}
}

// advanceClock advances the clock in ticks. At each tick, all running agents that are not declared
// dead send heartbeats; heartbeatInterval does not apply here.
func (s *stallSimulation) advanceClock(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		s.now = s.now.Add(tickInterval)
		for agent, decider := range s.agents {
			if s.stalled[agent] != nil {
				continue
			}
			if !s.dead[agent] {
				s.recordHeartbeat(agent)
			}
			decider.Tick(s.now)
		}
		s.dropExpired()
	}
}

// dropExpired drops the datagrams that have exceeded maxTransitTime.
func (s *stallSimulation) dropExpired() {
	for len(s.network) > 0 && s.now.Sub(s.network[0].sentAt) > maxTransitTime {
		s.network = s.network[1:]
	}
}

// deliverAny delivers a random datagram to its agent, or to the socket of a stalled one.
func (s *stallSimulation) deliverAny(t *rapid.T) {
	datagram, found := s.dequeueAny(t)
	if !found {
		return
	}
	if stalled := s.stalled[datagram.to]; stalled != nil {
		stalled.inbox = append(stalled.inbox, datagram)
		return
	}
	s.handle(t, datagram)
}

// TestOpenFlowsSurviveStalls guards against flows that move or open twice when agents stall during
// planned changes. Only flows of an agent that was declared dead may be admitted again.
func TestOpenFlowsSurviveStalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStallSimulation(t)
		s.mayReopen = func(key Key) bool { return s.lostFlows[key] }
		t.Repeat(map[string]func(*rapid.T){
			"send":               s.send,
			"send2":              s.send,
			"arrive":             s.deliverAny,
			"arrive2":            s.deliverAny,
			"arrive3":            s.deliverAny,
			"change":             s.change,
			"pause":              s.stall,
			"pause in admission": s.stallInAdmission,
			"resume":             s.resume,
			"hear":               s.heartbeat,
			"declare":            s.declareDead,
			"declare2":           s.declareDead,
			"pass":               s.advanceClock,
			"lose": func(t *rapid.T) {
				if len(s.network) > 0 {
					s.network = s.network[1:]
				}
			},
			"balancer learns": s.updateBalancer,
			"agent learns":    s.updateAgent,
		})
		for len(s.stalled) > 0 {
			s.resume(t)
		}
		s.deliverAll(t)
	})
}
