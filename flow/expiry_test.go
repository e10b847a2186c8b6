package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
)

// newAgentWithFlow returns the only agent of a service, with a flow that was opened at the given
// time, and a function that hands it a datagram of the flow.
func newAgentWithFlow(t *testing.T, start time.Time, options Options) (*Decider, func(now time.Time) ActionKind) {
	t.Helper()
	is := is.New(t)
	service := testService(testBackend(1, "new"))
	snapshot, err := catalog.Empty().With([]catalog.Object{object(service, 1)}, 1)
	is.NoErr(err)
	decider := NewDecider(service.Backends[0].Agent, allAlive{}, options)
	decider.SetSnapshot(snapshot)
	key := Key{Caller: address("198.51.100.7:1"), Service: service.Address}
	handle := func(now time.Time) ActionKind {
		return decider.Handle(now, Packet{Key: key, Route: Route{Revision: 1, Step: StepSearch, Chosen: NoBackend}}).Kind
	}
	is.Equal(handle(start), Deliver)
	return decider, handle
}

// runUntil ticks the decider and expires flows as an agent does, and returns the number of closed
// flows.
func runUntil(decider *Decider, from, until time.Time) (closed int) {
	for now := from; now.Before(until); now = now.Add(50 * time.Millisecond) {
		decider.Tick(now)
		closed += len(decider.Expire(now))
	}
	return closed
}

// TestFlowStaysOpenWhileDatagramsAreOnTheirWay guards against an open flow that is closed, and then
// admitted elsewhere, although its caller sends within the idle timeout: the first datagram arrived
// at once, the second one waited at the balancer and at the agent.
func TestFlowStaysOpenWhileDatagramsAreOnTheirWay(t *testing.T) {
	const idleTimeout = 6 * time.Second
	tests := map[string]struct {
		options Options
		drains  bool
	}{
		"running":       {Options{IdleTimeout: idleTimeout}, false},
		"shutting down": {Options{IdleTimeout: time.Minute, DrainIdleTimeout: idleTimeout}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			decider, handle := newAgentWithFlow(t, start, test.options)
			if test.drains {
				decider.BeginShutdown()
			}
			latestArrival := start.Add(idleTimeout + 2*MaxWaitTime - time.Millisecond)
			is.Equal(runUntil(decider, start, latestArrival), 0)
			is.Equal(handle(latestArrival), Deliver)
			closedBy := latestArrival.Add(idleTimeout + 2*MaxWaitTime + 100*time.Millisecond)
			is.Equal(runUntil(decider, latestArrival, closedBy), 1)
		})
	}
}

// TestFlowSurvivesStallOfItsAgent guards against an agent that was stalled for longer than the idle
// timeout and closes its flows before it has read the datagrams that arrived meanwhile.
func TestFlowSurvivesStallOfItsAgent(t *testing.T) {
	for _, stall := range []time.Duration{11 * time.Second, time.Minute, time.Hour} {
		t.Run(stall.String(), func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			decider, handle := newAgentWithFlow(t, start, Options{IdleTimeout: 6 * time.Second})
			decider.Tick(start)
			resumed := start.Add(stall)
			is.Equal(len(decider.Expire(resumed)), 0)
			is.Equal(handle(resumed.Add(100*time.Millisecond)), Deliver)
			is.Equal(runUntil(decider, resumed, resumed.Add(9*time.Second)), 0)
			is.Equal(runUntil(decider, resumed.Add(9*time.Second), resumed.Add(11*time.Second)), 1)
		})
	}
}
