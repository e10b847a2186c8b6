// This file guards against simulated fleets that do not converge after faults, a replaced process,
// a simultaneous start or a join during a store outage, against network partitions in which members
// are declared dead or traffic grows, and against nodes that return to a lower revision.

package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/membership"
)

// fleetOptions returns the options of a fleet with two zones and two store watchers per region.
func fleetOptions(nodes, regions int) Options {
	return Options{
		Nodes: nodes, Regions: regions, ZonesPerRegion: 2, StoreWatchers: 2,
		IntraZoneDelay: 500 * time.Microsecond, InterZoneDelay: time.Millisecond, InterRegionDelay: 40 * time.Millisecond,
		Seed: 1,
	}
}

// serviceBody returns the JSON body of a service with four backends, about 1 KB long.
func serviceBody(name catalog.ServiceName, port int) []byte {
	backends := ""
	for i := range 4 {
		backends += fmt.Sprintf(`,{"id":"%s-host-%d","site":"old","zone":"zone-0-%d","agent":"10.1.%d.%d:7001","address":"10.2.%d.%d:8080","weight":100,"slots":7,"connections":2000,"state":"active","incarnation":%d}`,
			name, i, i, port%250, i+1, port%250, i+1, port)
	}
	return fmt.Appendf(nil, `{"name":%q,"protocol":"udp","address":"10.9.%d.1:%d","shares":[{"site":"old","percent":100}],"backends":[%s]}`,
		name, len(name), port, backends[1:])
}

// scenario is a fleet with the state that the checks need.
type scenario struct {
	fleet            *Fleet
	highestRevisions map[*Node]catalog.Revision // highest revision that each node has had
	crashed          []*Node                    // nodes that crashed and were not restarted
	writes           int
}

func (s *scenario) write() catalog.Revision {
	s.writes++
	name := catalog.ServiceName(fmt.Sprintf("service-%d", s.writes%5))
	return s.fleet.Write(name, serviceBody(name, 1000+s.writes%5))
}

// countRemaining counts the running nodes that have not left. Scenarios keep at least two, because
// an isolated member declares no other member dead.
func (s *scenario) countRemaining() int {
	count := 0
	for _, node := range s.fleet.Running() {
		if node.Decider.Members().Self().Status != membership.Left {
			count++
		}
	}
	return count
}

// checkRevisions fails if the revision of a node has decreased.
func (s *scenario) checkRevisions(t *rapid.T) {
	for _, node := range s.fleet.Running() {
		revision := node.Decider.Snapshot().Revision()
		if revision < s.highestRevisions[node] {
			t.Fatalf("revision of %s decreased from %d to %d", node.Member.ID, s.highestRevisions[node], revision)
		}
		s.highestRevisions[node] = revision
	}
}

// divergence returns the reason why the fleet has not converged, or an empty string if it has.
func (s *scenario) divergence() string {
	running := s.fleet.Running()
	first := running[0].Decider
	for _, node := range running {
		members := node.Decider.Members()
		switch {
		case liveInRunningRegions(members.Table(), running) != len(running):
			return fmt.Sprintf("%s has wrong live members in the regions of running nodes (%d in all regions), %d nodes run", node.Member.ID, members.Table().LiveCount(), len(running))
		case len(members.Reachable()) != len(running):
			return fmt.Sprintf("%s has %d reachable members, but %d nodes run", node.Member.ID, len(members.Reachable()), len(running))
		case members.Table().Digest() != first.Members().Table().Digest():
			return node.Member.ID + " has a different member table"
		case node.Decider.Snapshot().Revision() != first.Snapshot().Revision():
			return fmt.Sprintf("%s is at revision %d", node.Member.ID, node.Decider.Snapshot().Revision())
		case node.Decider.Snapshot().Digest() != first.Snapshot().Digest():
			return node.Member.ID + " has different objects"
		case members.SelfConfirmed(s.fleet.Now()) != confirmable(node):
			return fmt.Sprintf("%s: SelfConfirmed is not %t", node.Member.ID, confirmable(node))
		}
	}
	return ""
}

// converge advances virtual time until the fleet has converged. It fails the test after five
// minutes.
func (s *scenario) converge(t *rapid.T) {
	for range 30 {
		s.fleet.DeliverChanges()
		s.fleet.Run(10 * time.Second)
		if s.divergence() == "" {
			return
		}
	}
	t.Fatalf("fleet has not converged: %s", s.divergence())
}

// liveInRunningRegions counts the live members of regions in which a node runs. Members of a region
// in which all nodes crashed remain in the table, because only members of their own region can
// declare them dead.
func liveInRunningRegions(table *membership.Table, running []*Node) int {
	regions := map[string]bool{}
	for _, node := range running {
		regions[node.Member.Region] = true
	}
	count := 0
	for _, member := range table.All() {
		if !member.Status.Terminal() && regions[member.Region] {
			count++
		}
	}
	return count
}

// confirmable reports whether the node's region has enough other live members to confirm the node:
// half of the other members, rounded up, but at most two. Dead members count among the others,
// members that left do not.
func confirmable(node *Node) bool {
	others, live := 0, 0
	for _, other := range node.Decider.Members().Table().All() {
		if other.ID == node.Member.ID || other.Region != node.Member.Region || other.Status == membership.Left {
			continue
		}
		others++
		if !other.Status.Terminal() {
			live++
		}
	}
	return live >= min(2, (others+1)/2)
}

// TestConvergenceAfterFaults guards against nodes that return to a lower revision, or that do not
// converge after crashes, restarts, joins, leaves, network partitions and store outages.
func TestConvergenceAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := fleetOptions(rapid.IntRange(3, 14).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "regions"))
		options.Seed = rapid.Uint64().Draw(t, "seed")
		run := &scenario{fleet: New(options), highestRevisions: map[*Node]catalog.Revision{}}
		pick := func(t *rapid.T) *Node { return rapid.SampledFrom(run.fleet.Running()).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) { run.write() },
			"wait": func(t *rapid.T) {
				run.fleet.Run(time.Duration(rapid.IntRange(10, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"join": func(*rapid.T) { run.fleet.Join() },
			"crash": func(t *rapid.T) {
				if run.countRemaining() > 2 {
					node := pick(t)
					run.fleet.Crash(node)
					run.crashed = append(run.crashed, node)
				}
			},
			"restart": func(t *rapid.T) {
				if len(run.crashed) > 0 {
					run.fleet.Restart(run.crashed[0])
					run.crashed = run.crashed[1:]
				}
			},
			"leave": func(t *rapid.T) {
				if run.countRemaining() > 2 {
					run.fleet.Leave(pick(t))
				}
			},
			"cut": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"region-0", "zone-0-0"}).Draw(t, "name")
				run.fleet.SetPartitioned(name, rapid.Bool().Draw(t, "cut"))
			},
			"store": func(t *rapid.T) { run.fleet.Store().Down = rapid.Bool().Draw(t, "down") },
			"":      run.checkRevisions,
		})
		run.fleet.SetPartitioned("region-0", false)
		run.fleet.SetPartitioned("zone-0-0", false)
		run.fleet.Store().Down = false
		run.converge(t)
		revision := run.write()
		run.fleet.Run(10 * time.Second)
		run.checkRevisions(t)
		if problem := run.divergence(); problem != "" {
			t.Fatalf("fleet has not converged: %s", problem)
		}
		if current := run.fleet.Running()[0].Decider.Snapshot().Revision(); current != revision {
			t.Fatalf("current revision is %d, not %d", current, revision)
		}
	})
}

// TestRegionPartition guards against a partitioned region whose members are declared dead, that
// causes much more traffic, or that does not converge after the partition.
func TestRegionPartition(t *testing.T) {
	is := is.New(t)
	run := &scenario{fleet: New(fleetOptions(30, 3))}
	run.fleet.Run(20 * time.Second)
	baseline := run.countBytes(time.Minute)
	run.fleet.SetPartitioned("region-0", true)
	run.fleet.Run(30 * time.Second)
	for _, node := range run.fleet.Running() {
		want := 20
		if node.Member.Region == "region-0" {
			want = 10
		}
		is.Equal(len(node.Decider.Members().Reachable()), want)
		is.Equal(node.Decider.Members().Table().LiveCount(), 30)
	}
	is.True(run.countBytes(5*time.Minute)/5 < baseline*12/10)
	run.write()
	run.fleet.SetPartitioned("region-0", false)
	run.fleet.Run(20 * time.Second)
	is.Equal(run.divergence(), "")
}

// countBytes advances virtual time by the duration and returns the bytes that all nodes send and
// receive in it.
func (s *scenario) countBytes(duration time.Duration) int64 {
	total := int64(0)
	for _, node := range s.fleet.Running() {
		total -= node.Bytes
	}
	s.fleet.Run(duration)
	for _, node := range s.fleet.Running() {
		total += node.Bytes
	}
	return total
}

// TestReplacementAtSameAddress guards against a stale record of a crashed process after a process
// with the same or another ID has started at its address.
func TestReplacementAtSameAddress(t *testing.T) {
	for _, sameID := range []bool{true, false} {
		t.Run(fmt.Sprint(sameID), func(t *testing.T) {
			is := is.New(t)
			run := &scenario{fleet: New(fleetOptions(12, 1))}
			run.fleet.Run(5 * time.Second)
			old := run.fleet.Running()[3]
			run.fleet.Crash(old)
			replacement := *old
			if !sameID {
				replacement.Member.ID = "replacement"
			}
			run.fleet.Restart(&replacement)
			run.fleet.Run(20 * time.Second)
			is.Equal(run.divergence(), "")
			record := run.fleet.Running()[0].Decider.Members().Table().Get(old.Member.ID)
			if sameID {
				is.True(record.Incarnation > old.Member.Incarnation)
				is.Equal(record.Status, membership.Alive)
			} else {
				is.True(record.Status.Terminal())
			}
		})
	}
}

// TestJoinDuringStoreOutage guards against a process that joins a large fleet during a store outage
// and does not receive all members and the whole configuration.
func TestJoinDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	run := &scenario{fleet: New(fleetOptions(120, 3))}
	for index := range 150 {
		name := catalog.ServiceName(fmt.Sprintf("service-%d", index))
		run.fleet.Write(name, serviceBody(name, 1000+index))
	}
	run.fleet.Run(10 * time.Second)
	run.fleet.Store().Down = true
	joined := run.fleet.Join()
	run.fleet.Run(20 * time.Second)
	is.Equal(run.divergence(), "")
	is.Equal(joined.Decider.Snapshot().Revision(), catalog.Revision(150))
}

// TestSimultaneousStart guards against processes that start at the same time with few seeds and do
// not form a single fleet.
func TestSimultaneousStart(t *testing.T) {
	is := is.New(t)
	options := fleetOptions(1, 3)
	run := &scenario{fleet: New(options)}
	for range 59 {
		run.fleet.start(run.fleet.newMember())
	}
	for _, node := range run.fleet.Running() {
		run.fleet.updateSeeds(node)
	}
	run.write()
	run.fleet.Run(time.Minute)
	run.write()
	run.fleet.Run(10 * time.Second)
	is.Equal(run.divergence(), "")
}

// TestReturningNodeKnowsLatestRevision guards against a node that was declared dead, whose liveness
// lease is valid again, and that neither holds nor knows of the revision that the others received
// meanwhile.
func TestReturningNodeKnowsLatestRevision(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			options := fleetOptions(12, 1)
			options.Seed = seed
			run := &scenario{fleet: New(options)}
			run.write()
			run.fleet.Run(10 * time.Second)
			isolated := run.fleet.Running()[seed%12]
			run.fleet.isolated = isolated
			run.fleet.Run(15 * time.Second)
			is.Equal(run.fleet.Running()[(seed+1)%12].Decider.Members().Table().Get(isolated.Member.ID).Status, membership.Dead)
			run.fleet.Store().Down = true // for the isolated node
			revision := run.write()
			run.deliverToOne(isolated)
			run.fleet.Run(time.Duration(seed) * 500 * time.Millisecond)
			run.fleet.isolated, run.fleet.cannotPull = nil, isolated
			for !isolated.Decider.Members().SelfConfirmed(run.fleet.Now()) {
				run.fleet.Run(10 * time.Millisecond)
			}
			is.True(isolated.Decider.Snapshot().Revision() < revision)
			is.Equal(isolated.Decider.OfferedRevision(run.fleet.Now()), revision)

			run.fleet.cannotPull = nil
			run.fleet.Run(20 * time.Second)
			is.Equal(run.divergence(), "")
		})
	}
}

// deliverToOne delivers the changes of the store to the first running node that is not the given one.
func (s *scenario) deliverToOne(except *Node) {
	for _, node := range s.fleet.Running() {
		if node != except {
			s.fleet.deliverChangesTo(node)
			return
		}
	}
}

// TestFailedLinkLeavesLeaseHoldersLive guards against a node that counts another one as dead because
// the link between them has failed, although other monitors keep the liveness lease of that node
// valid: its flows would be admitted elsewhere.
func TestFailedLinkLeavesLeaseHoldersLive(t *testing.T) {
	is := is.New(t)
	run := &scenario{fleet: New(fleetOptions(12, 1))}
	run.fleet.Run(10 * time.Second)
	monitors := map[string][]*Node{}
	for _, node := range run.fleet.Running() {
		for _, monitored := range node.Decider.Members().Targets(run.fleet.Now()).Monitored {
			monitors[monitored.ID] = append(monitors[monitored.ID], node)
		}
	}
	suspected := 0
	for _, node := range run.fleet.Running() {
		if len(monitors[node.Member.ID]) < membership.MonitorCount {
			continue // the lease ends when one monitor is missing
		}
		monitor := monitors[node.Member.ID][0]
		run.fleet.failedLink = [2]*Node{node, monitor}
		for range 200 {
			run.fleet.Run(100 * time.Millisecond)
			if !node.Decider.Members().SelfConfirmed(run.fleet.Now()) {
				continue
			}
			is.True(slices.ContainsFunc(monitor.Decider.Members().Live(), node.isMember))
			if !slices.ContainsFunc(monitor.Decider.Members().Reachable(), node.isMember) {
				suspected++
			}
		}
		run.fleet.failedLink = [2]*Node{}
		run.fleet.Run(20 * time.Second)
	}
	is.True(suspected > 0) // the links were of monitors that suspect the other node
}

func (n *Node) isMember(member *membership.Member) bool { return member.ID == n.Member.ID }
