package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
)

// TestStalledAgentsFindOpenFlows guards against agents that have all stalled, as when their machine was
// suspended, and return the datagram of an open flow to each other until it exceeds MaxHops.
func TestStalledAgentsFindOpenFlows(t *testing.T) {
	const agentCount = 5
	for holder := range agentCount {
		t.Run(fmt.Sprintf("holder=%d", holder), func(t *testing.T) {
			is := is.New(t)
			cluster := newStalledCluster(t, agentCount)
			open := cluster.key(1)
			order := CandidateOrder(cluster.service, open.Bucket())
			admit := Route{Revision: 1, Step: StepAdmit, Hops: 2, Chosen: order[holder]}
			is.Equal(cluster.agents[cluster.agentOf(order[holder])].Handle(cluster.now, Packet{Key: open, Route: admit}).Kind, Deliver)
			cluster.stall(2 * time.Second)

			kind, hops := cluster.send(t, open)
			is.Equal(kind, Deliver)
			is.True(hops <= agentCount)
		})
	}
}

// stalledCluster is a service whose agents stall together. Messages arrive at once.
type stalledCluster struct {
	now      time.Time
	service  *catalog.Service
	snapshot *catalog.Snapshot
	agents   map[netip.AddrPort]*Decider
}

func newStalledCluster(t *testing.T, agentCount int) *stalledCluster {
	t.Helper()
	var backends []catalog.Backend
	for number := range agentCount {
		backends = append(backends, testBackend(number+1, "new"))
	}
	snapshot, err := catalog.Empty().With([]catalog.Object{object(testService(backends...), 1)}, 1)
	is.New(t).NoErr(err)
	created := &stalledCluster{
		now: time.Unix(1000, 0), snapshot: snapshot, service: snapshot.Service("lessons"), agents: map[netip.AddrPort]*Decider{},
	}
	for _, backend := range backends {
		// The stalls are shorter than the lease, which is not interrupted.
		options := Options{IdleTimeout: time.Minute, ConfirmedSince: func() time.Time { return time.Time{} }}
		decider := NewDecider(backend.Agent, allAlive{}, options)
		decider.SetSnapshot(snapshot)
		decider.Tick(created.now)
		created.agents[backend.Agent] = decider
	}
	return created
}

func (c *stalledCluster) key(caller int) Key {
	return Key{Caller: address("198.51.100.7:%d", caller), Service: c.service.Address}
}

func (c *stalledCluster) agentOf(index int) netip.AddrPort { return c.service.Backends[index].Agent }

// stall stalls all agents for the duration.
func (c *stalledCluster) stall(duration time.Duration) {
	c.now = c.now.Add(duration)
	c.tick()
}

func (c *stalledCluster) tick() {
	for _, decider := range c.agents {
		decider.Tick(c.now)
	}
}

// send sends a datagram of the flow and returns what the last agent on its way does with it, and the
// number of agents that it has passed.
func (c *stalledCluster) send(t *testing.T, key Key) (ActionKind, int) {
	t.Helper()
	hop, err := FirstHop(c.snapshot, allAlive{}, key, nil)
	is.New(t).NoErr(err)
	for passed := 1; ; passed++ {
		c.now = c.now.Add(time.Millisecond)
		packet := Packet{Key: key, Route: hop.Route, EarliestArrival: c.now}
		action := c.agents[hop.To].Handle(c.now, packet)
		if action.Kind != Forward {
			return action.Kind, passed
		}
		hop = action.Hop
	}
}
