package claim

import (
	"slices"
	"time"
)

// envelope is a message on its way.
type envelope struct {
	from, to NodeID
	message  Message
	due      time.Time
}

// weather says how the network treats messages.
type weather struct {
	lossPercent int
	lagPercent  int // of messages that are delayed by a few ticks, some of them for long
}

// send puts a message on the network, or loses it.
func (w *world) send(from NodeID, action Send) {
	if w.random.IntN(100) < w.weather.lossPercent {
		return
	}
	due := w.now
	if w.random.IntN(100) < w.weather.lagPercent {
		ticks := 1 + w.random.IntN(3)
		if w.random.IntN(10) == 0 {
			ticks += w.random.IntN(40)
		}
		due = due.Add(time.Duration(ticks) * unit)
	}
	w.network = append(w.network, envelope{from, action.To, action.Message, due})
}

// deliver takes a message off the network, or a copy of it.
func (w *world) deliver(index int, keep bool) {
	sent := w.network[index]
	if !keep {
		w.network = slices.Delete(w.network, index, index+1)
	}
	from, to := w.node(sent.from), w.node(sent.to)
	if !to.up || from.cut != to.cut {
		return
	}
	if ToCoordinator(sent.message) {
		w.do(to, to.coordinator.Handle(w.now, Received{sent.message}))
		return
	}
	w.do(to, to.replica.Handle(w.now, Received{sent.message}))
}

// tick lets time pass.
func (w *world) tick() {
	w.now = w.now.Add(unit)
	for _, node := range w.nodes {
		if !node.up {
			continue
		}
		if !node.learnAt.IsZero() && !w.now.Before(node.learnAt) {
			w.learn(node)
		}
		w.do(node, node.replica.Handle(w.now, Tick{}))
		w.do(node, node.coordinator.Handle(w.now, Tick{}))
	}
}

// run lets time pass while messages that are due arrive, in any order.
func (w *world) run(ticks int, weather weather) {
	w.weather = weather
	for range ticks {
		w.tick()
		for range 400 {
			due := w.dueMessages()
			if len(due) == 0 {
				break
			}
			w.deliver(due[w.random.IntN(len(due))], false)
		}
	}
	w.weather = clear
}

// clear is a network without faults.
var clear = weather{}

func (w *world) dueMessages() []int {
	var due []int
	for index, sent := range w.network {
		if !sent.due.After(w.now) {
			due = append(due, index)
		}
	}
	return due
}
