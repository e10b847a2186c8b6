package faultproxy

import (
	"container/heap"
	"time"
)

// lineLength is how many items wait in a line before a TCP reader is held up or
// a datagram is dropped.
const lineLength = 4096

// item is a datagram or a piece of a stream on its way.
type item struct {
	payload []byte
	due     time.Time
	order   uint64 // of arrival; decides between equal due times
	send    func(payload []byte)
}

// line holds items until they are due and sends them in order of their due time.
type line struct {
	controls  *controls
	direction Direction
	arrivals  chan item
	closed    chan struct{}
}

func newLine(controls *controls, direction Direction) *line {
	return &line{
		controls:  controls,
		direction: direction,
		arrivals:  make(chan item, lineLength),
		closed:    make(chan struct{}),
	}
}

// offer takes an item in unless the line is full.
func (l *line) offer(offered item) {
	select {
	case l.arrivals <- offered:
	default:
	}
}

// put takes an item in as soon as there is room; false means the line was closed.
func (l *line) put(offered item) bool {
	select {
	case l.arrivals <- offered:
		return true
	case <-l.closed:
		return false
	}
}

// run sends what is due until the line is closed.
func (l *line) run() {
	var waiting dueHeap
	order := uint64(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.takeArrived(&waiting, &order)
		frozen, changed := l.controls.frozen(l.direction)
		for !frozen && len(waiting) > 0 && !waiting[0].due.After(time.Now()) {
			next := heap.Pop(&waiting).(item)
			next.send(next.payload)
			frozen, changed = l.controls.frozen(l.direction)
		}
		var due <-chan time.Time
		if !frozen && len(waiting) > 0 {
			timer.Reset(time.Until(waiting[0].due))
			due = timer.C
		}
		arrivals := l.arrivals
		if len(waiting) >= lineLength {
			arrivals = nil
		}
		select {
		case arrived := <-arrivals:
			waiting.add(arrived, &order)
		case <-due:
		case <-changed:
		case <-l.closed:
			return
		}
	}
}

// takeArrived takes in all that has arrived already. A line that has not run for a while would otherwise send each
// item as it takes it in, as all of them are due by then, and so undo a reordering.
func (l *line) takeArrived(waiting *dueHeap, order *uint64) {
	for len(*waiting) < lineLength {
		select {
		case arrived := <-l.arrivals:
			waiting.add(arrived, order)
		default:
			return
		}
	}
}

// dueHeap is a heap.Interface with the earliest due item first.
type dueHeap []item

// add puts an item in, numbered in the order of arrival.
func (h *dueHeap) add(arrived item, order *uint64) {
	arrived.order = *order
	*order++
	heap.Push(h, arrived)
}

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].order < h[j].order
	}
	return h[i].due.Before(h[j].due)
}

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(value any) { *h = append(*h, value.(item)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
