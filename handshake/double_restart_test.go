// This file tests that an open flow is answered in time after both its agent and a balancer have
// restarted. A lookup that waits, or that needs probes of back ends, outlasts its caller.

package handshake

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// callerPatience is how long callers wait for an answer.
	callerPatience = 3 * time.Second
	// flowAge is the age of the flows when the first process restarts.
	flowAge = time.Second
)

// doubleRestart is a case in which the agent of an open flow and the balancer that receives all
// its datagrams restart.
type doubleRestart struct {
	balancers, agents int
	agentFirst        bool          // the agent restarts before the balancer
	gap               time.Duration // between the two restarts
	quiet             time.Duration // between the second restart and the caller's next datagram
	stalled           bool          // all other agents stall at the second restart
	draining          bool          // the back end of the flow drains
	lost              bool          // the back end is replaced with the agent's restart
}

func (c doubleRestart) String() string {
	return fmt.Sprintf("%d balancers, %d agents, agent first %v, gap %v, quiet %v, stalled %v, draining %v, lost %v",
		c.balancers, c.agents, c.agentFirst, c.gap, c.quiet, c.stalled, c.draining, c.lost)
}

// play plays the case and returns how long the caller waited for its answer or reset.
func (c doubleRestart) play(t *testing.T, seed uint64) time.Duration {
	t.Helper()
	is := is.New(t)
	w := startWorld(t, seed, c.balancers, c.agents)
	is.True(w.openFlow(1000))
	w.advance(flowAge)
	caller := w.callers[testKey(1000)]
	holder, balancer := w.agentOf(caller), w.balancers[seed%uint64(c.balancers)]
	if c.draining {
		holder.backend.draining = true
		w.report(holder)
	}
	restartAgent := func() {
		if c.lost {
			holder.backend.alive = false
			w.replaceBackend(holder)
		}
		w.startAgent(holder)
		w.report(holder)
	}
	if c.agentFirst {
		restartAgent()
		w.advance(c.gap)
		w.startBalancer(balancer)
	} else {
		w.startBalancer(balancer)
		w.advance(c.gap)
		restartAgent()
	}
	if c.stalled {
		w.stallAgentsExcept(holder, stallThreshold+100*time.Millisecond)
	}
	w.ingress = balancer
	w.advance(c.quiet)
	began := w.now
	for answers := caller.answers; w.now.Sub(began) < 2*callerPatience && caller.answers == answers && !caller.reset; {
		w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
		w.advance(resendInterval)
	}
	waited := w.now.Sub(began)
	is.Equal(caller.reset, c.lost)
	w.checkStrays()
	is.Equal(w.violation, "")
	return waited
}

// agentOf returns the agent whose back end holds the caller's flow.
func (w *world) agentOf(caller *worldCaller) *worldAgent {
	for _, agent := range w.agents {
		if agent.backend == caller.acceptedBy {
			return agent
		}
	}
	return nil
}

// stallAgentsExcept suspends all agents but one for the given time.
func (w *world) stallAgentsExcept(running *worldAgent, duration time.Duration) {
	for _, agent := range w.agents {
		agent.suspended = agent != running
	}
	w.advance(duration)
	for _, agent := range w.agents {
		w.resumeAgent(agent)
	}
}

// TestFlowIsAnsweredAfterAgentAndBalancerRestart checks that an open flow is answered, or its
// caller is reset if the flow is lost, within callerPatience, whatever the order and distance of
// the restarts of its agent and of the balancer that receives its datagrams.
func TestFlowIsAnsweredAfterAgentAndBalancerRestart(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ balancers, agents int }{{1, 3}, {2, 3}, {1, 12}, {2, 12}, {10, 24}} {
		for _, gap := range []time.Duration{0, 300 * time.Millisecond, 2500 * time.Millisecond} {
			for variant := range 16 {
				restart := doubleRestart{balancers: size.balancers, agents: size.agents, gap: gap,
					agentFirst: variant&1 != 0, stalled: variant&2 != 0, draining: variant&4 != 0, lost: variant&8 != 0}
				if variant%3 == 0 {
					restart.quiet = time.Second
				}
				t.Run(restart.String(), func(t *testing.T) {
					if waited := restart.play(t, uint64(variant)); waited > callerPatience {
						t.Errorf("the caller waited for %v", waited)
					}
				})
			}
		}
	}
}
