package hollow

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/membership"
)

func nn() int {
	n, _ := strconv.Atoi(os.Getenv("N"))
	if n == 0 {
		n = 300
	}
	return n
}

func goneCount(f *Fleet) (gone, live, inc int) {
	n := f.Running()[0]
	for _, m := range n.Decider.Members().Table().All() {
		if m.Status.Gone() {
			gone++
		} else {
			live++
		}
	}
	return
}
func fill(f *Fleet, n int) {
	for i := range n {
		name := catalog.ServiceName(fmt.Sprintf("service-%d", i))
		f.Write(name, body(name, 1000+i))
	}
	f.Run(20 * time.Second)
}
func digests(f *Fleet) int {
	m := map[uint32]int{}
	for _, n := range f.Running() {
		m[n.Decider.Members().Table().Digest()]++
	}
	return len(m)
}

func TestScratchCut(t *testing.T) {
	f := New(options(nn(), 3))
	fill(f, 20)
	f.SetCut("region-0", true)
	f.Run(15 * time.Second)
	a, b := f.Running()[0], f.Running()[3]
	t.Log(a.Member.Region, b.Member.Region, "reachable", len(a.Decider.Members().Reachable()), len(b.Decider.Members().Reachable()))
	for _, n := range f.Running()[:6] {
		t.Log(n.Member.Region, len(n.Decider.Members().Reachable()))
	}
	measure(t, f, "cut", 5*time.Minute, func() {})
	g, l, _ := goneCount(f)
	t.Log("gone", g, "live", l)
	// replacements on both sides during cut
	for i := range 10 {
		f.Leave(f.Running()[i*7])
		f.Join()
		f.Run(10 * time.Second)
	}
	f.SetCut("region-0", false)
	began := f.Now()
	w := convergence(f, began, func(n *Node) bool { return len(n.Decider.Members().Reachable()) == len(f.Running()) }, 60*time.Second)
	report(t, "heal reach", w)
	t.Log("digests", digests(f))
	measure(t, f, "healed", 1*time.Minute, func() {})
	t.Log("digests", digests(f))
}

func TestScratchZone(t *testing.T) {
	f := New(options(nn(), 3))
	fill(f, 20)
	zone := f.Running()[0].Member.Zone
	lost := map[string]bool{}
	for _, n := range f.Running() {
		if n.Member.Zone == zone {
			f.Crash(n)
			lost[n.Member.ID] = true
		}
	}
	t.Log("lost", len(lost))
	began := f.Now()
	measure(t, f, "zone loss first 30s", 30*time.Second, func() {
		w := convergence(f, began, func(n *Node) bool {
			for id := range lost {
				if m := n.Decider.Members().Table().Get(id); m != nil && !m.Status.Gone() {
					return false
				}
			}
			return true
		}, 30*time.Second)
		report(t, "all dead known", w)
	})
	t.Log("digests", digests(f))
}

func TestScratchCold(t *testing.T) {
	o := options(nn(), 3)
	n := o.Nodes
	o.Nodes = 1
	f := New(o)
	for range n - 1 {
		f.start(f.newMember())
	}
	for _, node := range f.Running() {
		f.seed(node)
	}
	began := f.Now()
	w := convergence(f, began, func(x *Node) bool { return x.Decider.Members().Table().Live() == n }, 90*time.Second)
	report(t, "cold all known", w)
	t.Log("digests", digests(f))
	_ = membership.Alive
}

func TestScratchNewcomer(t *testing.T) {
	f := New(options(nn(), 3))
	fill(f, 5100)
	began := f.Now()
	j := f.Join()
	for f.Now().Sub(began) < 2*time.Minute && (j.Decider.Snapshot().Revision() < 5100 || j.Decider.Members().Table().Live() < nn()) {
		f.Run(100 * time.Millisecond)
	}
	t.Log("newcomer", f.Now().Sub(began), "bytes", j.Bytes, "exchanges", j.Messages, "members", j.Decider.Members().Table().Live(), "rev", j.Decider.Snapshot().Revision())
}
