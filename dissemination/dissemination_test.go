// This file guards against processes that do not converge to the same configuration or return to a
// lower revision, restored stores that are not reported as fault.Stale, incomplete pulls, and pages
// that exceed their size limit or the budget.

package dissemination

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

var start = time.Unix(1_700_000_000, 0)

func object(name string, revision, port int) catalog.Object {
	body := fmt.Sprintf(`{"name":%q,"protocol":"udp","address":"10.0.0.1:%d","shares":[{"site":"old","percent":100}]}`, name, port)
	return catalog.Object{Name: catalog.ServiceName(name), Revision: catalog.Revision(revision), Body: []byte(body)}
}

func newMachine() *Machine { return NewMachine(NewBudget(start, 1000, 1<<20)) }

// cluster simulates several processes that share a store and a clock.
type cluster struct {
	now              time.Time
	machines         []*Machine
	highestRevisions []catalog.Revision // highest revision observed at each machine
	store            []catalog.Object
	revision         int
}

func (c *cluster) machineName(index int) string { return fmt.Sprintf("machine-%d", index) }

// deliverOffer delivers an offer from one machine to another.
func (c *cluster) deliverOffer(from, to int) {
	c.machines[to].RecordOffer(c.now, c.machineName(from), c.machines[from].Offer())
}

// pull performs the machine's next pull, if one is due. The pull fails if lost is true.
func (c *cluster) pull(index int, lost bool) {
	puller := c.machines[index]
	pull, due := puller.NextPull(c.now)
	if !due {
		return
	}
	from := slices.IndexFunc(c.machines, func(m *Machine) bool { return c.machineName(slices.Index(c.machines, m)) == pull.Peer })
	if lost {
		puller.PullFailed(c.now, pull.Peer)
		return
	}
	page := c.machines[from].Serve(c.now, pull.After)
	_ = puller.ApplyPage(c.now, pull, page) // invalid objects are expected
}

// compare performs the machine's next comparison, if one is due.
func (c *cluster) compare(index int) {
	peer, due := c.machines[index].NextComparison(c.now)
	if !due {
		return
	}
	local := c.machines[index]
	for other := range c.machines {
		if c.machineName(other) != peer {
			continue
		}
		remote := c.machines[other]
		difference := local.Compare(remote.DifferingVersions(local.BucketHashes()))
		_ = remote.Merge(difference.Send)
		_ = local.Merge(remote.ObjectsByName(difference.Request))
	}
}

func (c *cluster) checkRevisions(t *rapid.T) {
	for index, machine := range c.machines {
		revision := machine.Snapshot().Revision()
		if revision < c.highestRevisions[index] {
			t.Fatalf("machine %d: revision decreased from %d to %d", index, c.highestRevisions[index], revision)
		}
		c.highestRevisions[index] = revision
	}
}

// converge runs exchanges between all machines without losses.
func (c *cluster) converge() {
	for range 200 {
		c.now = c.now.Add(time.Second)
		for index := range c.machines {
			for other := range c.machines {
				if other != index {
					c.deliverOffer(other, index)
				}
			}
			c.pull(index, false)
			c.compare(index)
		}
	}
}

// TestConvergence guards against revisions that decrease and machines that do not converge
// after lost pulls, invalid objects and restored stores.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { testConvergence(t, 100) })
}

// TestConvergenceWithConflicts guards against machines that do not converge when services
// claim the same address.
func TestConvergenceWithConflicts(t *testing.T) {
	t.Run("shortest", func(t *testing.T) {
		is := is.New(t)
		simulation := &cluster{now: start, machines: []*Machine{newMachine(), newMachine()}}
		changes := []catalog.Object{object("scores", 1, 3), object("grades", 2, 3), object("scores", 3, 3)}
		for _, change := range changes {
			// The address of grades conflicts with that of scores.
			_ = simulation.machines[0].ApplyStoreChanges([]catalog.Object{change}, change.Revision)
		}
		_ = simulation.machines[1].ApplyStoreChanges(changes[1:], 3)
		simulation.converge()
		is.Equal(simulation.machines[0].Offer(), simulation.machines[1].Offer())
	})
	t.Run("any", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) { testConvergence(t, 0) })
	})
}

// testConvergence checks convergence with services whose port ranges start portGap apart.
// With a gap of 0 their addresses can conflict.
func testConvergence(t *rapid.T, portGap int) {
	simulation := &cluster{now: start}
	count := rapid.IntRange(2, 4).Draw(t, "machines")
	for range count {
		simulation.machines = append(simulation.machines, newMachine())
	}
	simulation.highestRevisions = make([]catalog.Revision, count)
	machineIndex := rapid.IntRange(0, count-1)
	t.Repeat(map[string]func(*rapid.T){
		"write": func(t *rapid.T) {
			simulation.revision++
			index := rapid.IntRange(0, 2).Draw(t, "name")
			name := []string{"lessons", "scores", "grades"}[index]
			port := rapid.IntRange(0, 4).Draw(t, "port")
			if port > 0 { // port 0 is invalid
				port += index * portGap
			}
			written := object(name, simulation.revision, port)
			written.Deleted = rapid.IntRange(0, 4).Draw(t, "deleted") == 0
			simulation.store = slices.DeleteFunc(simulation.store, func(old catalog.Object) bool { return old.Name == written.Name })
			simulation.store = append(simulation.store, written)
		},
		"restore": func(t *rapid.T) {
			simulation.revision = rapid.IntRange(0, simulation.revision).Draw(t, "revision")
			simulation.store = slices.DeleteFunc(simulation.store, func(o catalog.Object) bool { return int(o.Revision) > simulation.revision })
		},
		"read": func(t *rapid.T) {
			watcher := simulation.machines[machineIndex.Draw(t, "machine")]
			restored := int(watcher.Snapshot().Revision()) > simulation.revision
			err := watcher.ApplyStoreChanges(simulation.store, catalog.Revision(simulation.revision))
			if restored != (err != nil && fault.KindOf(err) == fault.Stale) {
				t.Fatalf("store at revision %d: %v", simulation.revision, err)
			}
		},
		"offer": func(t *rapid.T) {
			from, to := machineIndex.Draw(t, "from"), machineIndex.Draw(t, "to")
			if from != to {
				simulation.deliverOffer(from, to)
			}
		},
		"pull": func(t *rapid.T) { simulation.pull(machineIndex.Draw(t, "machine"), rapid.Bool().Draw(t, "lost")) },
		"wait": func(t *rapid.T) { simulation.now = simulation.now.Add(3 * time.Second) },
		"":     simulation.checkRevisions,
	})
	simulation.converge()
	simulation.checkRevisions(t)
	for _, other := range simulation.machines[1:] {
		first := simulation.machines[0].Snapshot()
		if first.Revision() != other.Snapshot().Revision() || first.Digest() != other.Snapshot().Digest() {
			t.Fatalf("machines did not converge: revisions %d and %d, objects %v and %v", first.Revision(), other.Snapshot().Revision(), first.Since(0), other.Snapshot().Since(0))
		}
	}
}

// TestPullInPages guards against pages above MaxPageBytes, incomplete transfers, and large
// pages that are served without budget.
func TestPullInPages(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(start, 1000, 1<<20)
	full := NewMachine(budget)
	var objects []catalog.Object
	for index := range 2000 {
		objects = append(objects, object(fmt.Sprintf("service-%d", index), index+1, index+1))
	}
	is.NoErr(full.ApplyStoreChanges(objects, 2000))
	receiver := newMachine()
	pages := 0
	for receiver.Snapshot().Revision() < 2000 {
		receiver.RecordOffer(start, "full", full.Offer())
		pull, due := receiver.NextPull(start)
		is.True(due)
		page := full.Serve(start, pull.After)
		bytes := 0
		for _, object := range page.Objects {
			bytes += objectBytes(object)
		}
		is.True(bytes <= MaxPageBytes)
		is.NoErr(receiver.ApplyPage(start, pull, page))
		pages++
	}
	is.True(pages > 2)
	is.Equal(receiver.Offer(), full.Offer())

	budget.Spend(start, 2<<20)
	is.True(full.Serve(start, 0).Busy)
	is.Equal(len(full.Serve(start, 1999).Objects), 1)
	is.True(!full.Serve(start.Add(time.Hour), 0).Busy)
}

// TestOfferedRevision guards against an offered revision that lacks the offer of a peer or outlasts it.
func TestOfferedRevision(t *testing.T) {
	is := is.New(t)
	machine := newMachine()
	is.Equal(machine.OfferedRevision(start), catalog.Revision(0))
	machine.RecordOffer(start, "first", Offer{Revision: 7})
	machine.RecordOffer(start.Add(time.Second), "second", Offer{Revision: 5})
	is.Equal(machine.OfferedRevision(start.Add(offerExpiry)), catalog.Revision(7))
	is.Equal(machine.OfferedRevision(start.Add(offerExpiry+1)), catalog.Revision(5))
	machine.RecordOffer(start.Add(2*time.Second), "second", Offer{Revision: 8})
	is.Equal(machine.OfferedRevision(start.Add(2*time.Second)), catalog.Revision(8))
}
