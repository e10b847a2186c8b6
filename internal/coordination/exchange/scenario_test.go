package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/membership"
)

// options are those of a world of the size.
func options(nodes, regions int) Options {
	return Options{
		Nodes: nodes, Regions: regions, ZonesPerRegion: 2, Readers: 2,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: time.Millisecond, WideDelay: 40 * time.Millisecond,
		Seed: 1,
	}
}

// body is a service object of about 1 KB.
func body(name catalog.ServiceName, port int) []byte {
	backends := ""
	for i := range 4 {
		backends += fmt.Sprintf(`,{"id":"%s-host-%d","site":"old","zone":"zone-0-%d","agent":"10.1.%d.%d:7001","address":"10.2.%d.%d:8080","weight":100,"slots":7,"connections":2000,"state":"active","incarnation":%d}`,
			name, i, i, port%250, i+1, port%250, i+1, port)
	}
	return fmt.Appendf(nil, `{"name":%q,"protocol":"udp","address":"10.9.%d.1:%d","shares":[{"site":"old","percent":100}],"backends":[%s]}`,
		name, len(name), port, backends[1:])
}

// trial is a small fleet with faults.
type trial struct {
	fleet  *Fleet
	held   map[*Node]catalog.Revision // highest revision that each node has had
	downed []*Node                    // crashed and not restarted
	writes int
}

func (r *trial) write() catalog.Revision {
	r.writes++
	name := catalog.ServiceName(fmt.Sprintf("service-%d", r.writes%5))
	return r.fleet.Write(name, body(name, 1000+r.writes%5))
}

// staying counts the nodes that run and have not said that they left. Two must
// stay: a member that hears nobody judges nobody.
func (r *trial) staying() int {
	count := 0
	for _, node := range r.fleet.Running() {
		if node.Decider.Members().Self().Status != membership.Left {
			count++
		}
	}
	return count
}

// check fails when a node went back to a lower revision.
func (r *trial) check(t *rapid.T) {
	for _, node := range r.fleet.Running() {
		revision := node.Decider.Snapshot().Revision()
		if revision < r.held[node] {
			t.Fatalf("%s went from revision %d back to %d", node.Member.ID, r.held[node], revision)
		}
		r.held[node] = revision
	}
}

// settled says why the fleet has not converged, empty if it has.
func (r *trial) settled() string {
	running := r.fleet.Running()
	first := running[0].Decider
	for _, node := range running {
		members := node.Decider.Members()
		switch {
		case liveInRunningRegions(members.Table(), running) != len(running):
			return fmt.Sprintf("%s holds %d live members, %d run", node.Member.ID, members.Table().Live(), len(running))
		case len(members.Reachable()) != len(running):
			return fmt.Sprintf("%s reaches %d members, %d run", node.Member.ID, len(members.Reachable()), len(running))
		case members.Table().Digest() != first.Members().Table().Digest():
			return node.Member.ID + " holds other members"
		case node.Decider.Snapshot().Revision() != first.Snapshot().Revision():
			return fmt.Sprintf("%s is at revision %d", node.Member.ID, node.Decider.Snapshot().Revision())
		case node.Decider.Snapshot().Digest() != first.Snapshot().Digest():
			return node.Member.ID + " holds other objects"
		case members.SelfConfirmed(r.fleet.Now()) != confirmable(node):
			return fmt.Sprintf("%s: confirmed is not %t", node.Member.ID, confirmable(node))
		}
	}
	return ""
}

// settle lets time pass until the fleet has converged, five minutes at most.
func (r *trial) settle(t *rapid.T) {
	for range 30 {
		r.fleet.ReadStore()
		r.fleet.Run(10 * time.Second)
		if r.settled() == "" {
			return
		}
	}
	t.Fatalf("not settled: %s", r.settled())
}

// liveInRunningRegions counts the live members of regions in which a node runs.
// Members of a region of which all crashed stay: only their own region judges
// them, and they count as unreachable.
func liveInRunningRegions(table *membership.Table, running []*Node) int {
	regions := map[string]bool{}
	for _, node := range running {
		regions[node.Member.Region] = true
	}
	count := 0
	for _, held := range table.All() {
		if !held.Status.Gone() && regions[held.Region] {
			count++
		}
	}
	return count
}

// confirmable says whether enough members of the node's region live to confirm
// it: two, or half of the others known where those are fewer than four. Members
// that died without a word still count among the others.
func confirmable(node *Node) bool {
	others, live := 0, 0
	for _, other := range node.Decider.Members().Table().All() {
		if other.ID == node.Member.ID || other.Region != node.Member.Region || other.Status == membership.Left {
			continue
		}
		others++
		if !other.Status.Gone() {
			live++
		}
	}
	return live >= min(2, (others+1)/2)
}

// TestFaults: whatever crashes, restarts, leaves, joins, is cut apart or loses
// the store, no node goes back to a lower revision, and all agree on members
// and configuration once faults stop.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := options(rapid.IntRange(3, 14).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "regions"))
		settings.Seed = rapid.Uint64().Draw(t, "seed")
		run := &trial{fleet: New(settings), held: map[*Node]catalog.Revision{}}
		pick := func(t *rapid.T) *Node { return rapid.SampledFrom(run.fleet.Running()).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) { run.write() },
			"wait": func(t *rapid.T) {
				run.fleet.Run(time.Duration(rapid.IntRange(10, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"join": func(*rapid.T) { run.fleet.Join() },
			"crash": func(t *rapid.T) {
				if run.staying() > 2 {
					node := pick(t)
					run.fleet.Crash(node)
					run.downed = append(run.downed, node)
				}
			},
			"restart": func(t *rapid.T) {
				if len(run.downed) > 0 {
					run.fleet.Restart(run.downed[0])
					run.downed = run.downed[1:]
				}
			},
			"leave": func(t *rapid.T) {
				if run.staying() > 2 {
					run.fleet.Leave(pick(t))
				}
			},
			"cut": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"region-0", "zone-0-0"}).Draw(t, "name")
				run.fleet.SetCut(name, rapid.Bool().Draw(t, "cut"))
			},
			"store": func(t *rapid.T) { run.fleet.Store().Down = rapid.Bool().Draw(t, "down") },
			"":      run.check,
		})
		run.fleet.SetCut("region-0", false)
		run.fleet.SetCut("zone-0-0", false)
		run.fleet.Store().Down = false
		run.settle(t)
		revision := run.write()
		run.fleet.Run(10 * time.Second)
		run.check(t)
		if problem := run.settled(); problem != "" {
			t.Fatalf("not settled: %s", problem)
		}
		if held := run.fleet.Running()[0].Decider.Snapshot().Revision(); held != revision {
			t.Fatalf("revision %d is in force, not %d", held, revision)
		}
	})
}

// TestRegionCut: a region that is apart changes nobody's status,
// costs no more bytes than usual, and comes back at once.
func TestRegionCut(t *testing.T) {
	is := is.New(t)
	run := &trial{fleet: New(options(30, 3))}
	run.fleet.Run(20 * time.Second)
	usual := run.bytes(time.Minute)
	run.fleet.SetCut("region-0", true)
	run.fleet.Run(30 * time.Second)
	for _, node := range run.fleet.Running() {
		want := 20
		if node.Member.Region == "region-0" {
			want = 10
		}
		is.Equal(len(node.Decider.Members().Reachable()), want)
		is.Equal(node.Decider.Members().Table().Live(), 30)
	}
	is.True(run.bytes(5*time.Minute)/5 < usual*12/10)
	run.write()
	run.fleet.SetCut("region-0", false)
	run.fleet.Run(20 * time.Second)
	is.Equal(run.settled(), "")
}

// bytes returns what all nodes send and receive while time passes.
func (r *trial) bytes(duration time.Duration) int64 {
	total := int64(0)
	for _, node := range r.fleet.Running() {
		total -= node.Bytes
	}
	r.fleet.Run(duration)
	for _, node := range r.fleet.Running() {
		total += node.Bytes
	}
	return total
}

// TestReplacedUnderOneAddress: a process that takes over the address of one that
// crashed replaces it, under the same ID and under another.
func TestReplacedUnderOneAddress(t *testing.T) {
	for _, sameID := range []bool{true, false} {
		t.Run(fmt.Sprint(sameID), func(t *testing.T) {
			is := is.New(t)
			run := &trial{fleet: New(options(12, 1))}
			run.fleet.Run(5 * time.Second)
			old := run.fleet.Running()[3]
			run.fleet.Crash(old)
			replacement := *old
			if !sameID {
				replacement.Member.ID = "replacement"
			}
			run.fleet.Restart(&replacement)
			run.fleet.Run(20 * time.Second)
			is.Equal(run.settled(), "")
			held := run.fleet.Running()[0].Decider.Members().Table().Get(old.Member.ID)
			if sameID {
				is.True(held.Incarnation > old.Member.Incarnation)
				is.Equal(held.Status, membership.Alive)
			} else {
				is.True(held.Status.Gone())
			}
		})
	}
}

// TestNewcomer: a process that joins a fleet of many learns all members and the
// whole configuration, while the store is down.
func TestNewcomer(t *testing.T) {
	is := is.New(t)
	run := &trial{fleet: New(options(120, 3))}
	for index := range 150 {
		name := catalog.ServiceName(fmt.Sprintf("service-%d", index))
		run.fleet.Write(name, body(name, 1000+index))
	}
	run.fleet.Run(10 * time.Second)
	run.fleet.Store().Down = true
	newcomer := run.fleet.Join()
	run.fleet.Run(20 * time.Second)
	is.Equal(run.settled(), "")
	is.Equal(newcomer.Decider.Snapshot().Revision(), catalog.Revision(150))
}

// TestStartTogether: processes that start together and know only a few
// addresses find each other.
func TestStartTogether(t *testing.T) {
	is := is.New(t)
	settings := options(1, 3)
	run := &trial{fleet: New(settings)}
	for range 59 {
		run.fleet.start(run.fleet.newMember())
	}
	for _, node := range run.fleet.Running() {
		run.fleet.seed(node)
	}
	run.write()
	run.fleet.Run(time.Minute)
	run.write()
	run.fleet.Run(10 * time.Second)
	is.Equal(run.settled(), "")
}
