package claim

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestKeyRunsAtMostOnce lets several coordinators claim the same keys while
// messages are lost, doubled and reordered, processes crash and start without
// their memory, agents come and go, the network and the store fail, and time
// passes. The world checks each run and each answer; at the end all faults stop,
// and the service must answer again.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t.Fatalf, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "nodes"))
		w.run(20, clear)
		w.slowStore = true
		for range 3 {
			t.Repeat(actionsOf(w))
		}
		w.heal()
		w.run(int(testOptions.foundingWait()/unit)+200, clear)
		w.mustAnswer("fresh", VerdictReplay)
	})
}

// mustAnswer checks that a key is answered everywhere: once it runs, if it has not
// run yet, and then with the verdict.
func (w *world) mustAnswer(key string, want Verdict) {
	for round, node := range w.nodes {
		if !node.up {
			continue
		}
		id := w.begin(node, key)
		for range 6 {
			w.run(1, clear)
			w.finishAll()
		}
		attempt := w.attempts[id]
		if attempt.replied == want || round == 0 && attempt.completed {
			continue
		}
		w.fatal("node %d: verdict %v with %d replicas serving", round, attempt.replied, w.serving())
	}
}

// heal ends all faults and all requests.
func (w *world) heal() {
	w.outage, w.network = false, nil
	for _, node := range w.nodes {
		node.cut = false
		if !node.up {
			w.start(node)
		}
	}
	w.finishAll()
	w.changed()
	w.run(30, clear)
}

func (w *world) finishAll() {
	for _, id := range w.order {
		if w.attempts[id].pending != nil {
			w.execute(id, true)
		}
		if w.attempts[id].running {
			w.complete(id, true)
		}
	}
}

// draws holds the generators of the state machine.
type draws struct{ w *world }

func (d draws) node(t *rapid.T) *testNode {
	return d.w.nodes[rapid.IntRange(0, len(d.w.nodes)-1).Draw(t, "node")]
}

func (d draws) key(t *rapid.T) string {
	return rapid.SampledFrom([]string{"one", "two"}).Draw(t, "key")
}

func (d draws) attempt(t *rapid.T, fits func(*testAttempt) bool) AttemptID {
	var fitting []AttemptID
	for _, id := range d.w.order {
		if fits(d.w.attempts[id]) {
			fitting = append(fitting, id)
		}
	}
	if len(fitting) == 0 {
		t.Skip("no attempt")
	}
	return rapid.SampledFrom(fitting).Draw(t, "attempt")
}

func (d draws) weather(t *rapid.T) weather {
	percent := rapid.SampledFrom([]int{0, 0, 20, 60})
	return weather{percent.Draw(t, "loss"), percent.Draw(t, "lag")}
}

func (d draws) run(t *rapid.T) { d.w.run(rapid.IntRange(1, 8).Draw(t, "ticks"), d.weather(t)) }

// race begins the same key at several nodes at once, while one replica may be cut
// off and another may have just started.
func (d draws) race(t *rapid.T) {
	key := d.key(t)
	cut := d.node(t)
	cut.cut = rapid.Bool().Draw(t, "cut")
	if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
		d.restart(t)
		d.w.run(rapid.IntRange(0, 20).Draw(t, "pause"), clear)
	}
	for range rapid.IntRange(1, 3).Draw(t, "attempts") {
		if node := d.node(t); node.up {
			d.w.begin(node, key)
		}
	}
	d.run(t)
	d.executeAll(t)
	d.run(t)
	cut.cut = false
}

func (d draws) executeAll(t *rapid.T) {
	for _, id := range d.w.order {
		if d.w.attempts[id].pending != nil {
			d.w.execute(id, rapid.IntRange(0, 3).Draw(t, "run") > 0)
		}
	}
}

func (d draws) restart(t *rapid.T) {
	node := d.node(t)
	if node.up {
		d.w.crash(node)
	}
	d.w.start(node)
	d.w.changed()
}

// fault changes what works.
func (d draws) fault(t *rapid.T) {
	node := d.node(t)
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		node.cut = !node.cut
	case 1:
		if node.up {
			d.w.crash(node)
		}
	case 2:
		node.agent.Active = !node.agent.Active
	case 3:
		d.w.outage = !d.w.outage
	case 4:
		if len(d.w.delayed) > 0 {
			d.w.delayed[0]()
			d.w.delayed = d.w.delayed[1:]
		}
	default:
		d.restart(t)
	}
	d.w.changed()
}

func actionsOf(w *world) map[string]func(*rapid.T) {
	d := draws{w}
	deliver := func(t *rapid.T) {
		if len(w.network) == 0 {
			t.Skip("no message")
		}
		index := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
		w.deliver(index, rapid.Bool().Draw(t, "twice"))
	}
	return map[string]func(*rapid.T){
		"begin": func(t *rapid.T) {
			if node := d.node(t); node.up {
				w.begin(node, d.key(t))
			}
		},
		"race":    d.race,
		"race2":   d.race,
		"execute": d.executeAll,
		"run":     d.run,
		"deliver": deliver,
		"fault":   d.fault,
		"finish": func(t *rapid.T) {
			id := d.attempt(t, func(a *testAttempt) bool { return a.running })
			w.complete(id, rapid.Bool().Draw(t, "whole"))
		},
		"cancel": func(t *rapid.T) {
			id := d.attempt(t, func(a *testAttempt) bool { return a.ranAt.IsZero() && a.replied == 0 && a.pending == nil })
			node := w.node(id.Coordinator.Node)
			w.do(node, node.coordinator.Handle(w.now, Canceled{id}))
		},
		"wait": func(t *rapid.T) { w.run(rapid.IntRange(10, 250).Draw(t, "ticks"), clear) },
	}
}

// TestReplicaIsReplacedWithinSeconds checks that the service goes on at once when
// one replica starts anew, when one is gone for good, and when the whole service
// moves to other agents.
func TestReplicaIsReplacedWithinSeconds(t *testing.T) {
	is := is.New(t)
	w := newWorld(t.Fatalf, 1, 6)
	w.run(40, clear)
	is.Equal(w.serving(), ReplicaCount)
	w.mustAnswer("before", VerdictReplay)
	for _, node := range w.nodes { // one after the other, as in an upgrade
		w.crash(node)
		w.start(node)
		w.run(40, clear)
		is.Equal(w.serving(), ReplicaCount)
	}
	w.mustAnswer("before", VerdictReplay)
	for _, node := range w.nodes[:3] {
		node.agent.Active = false
	}
	w.changed()
	w.run(60, clear)
	for _, node := range w.nodes[:3] {
		is.True(!node.replica.Needed(w.now))
		w.crash(node)
		node.removed = true
	}
	w.changed()
	w.run(60, clear)
	is.Equal(w.serving(), ReplicaCount)
	w.mustAnswer("before", VerdictReplay)
}
