// This file implements the queue of one direction, which sends datagrams and chunks in order of
// their due times, and none while the direction is stalled. If the queue is full, a TCP reader
// blocks and a datagram is dropped.

package faultproxy

import (
	"container/heap"
	"time"
)

// maxQueueLength is the capacity of the arrivals channel of a delayQueue and, separately, of its
// heap. The queue is full once both are.
const maxQueueLength = 4096

// queuedItem is a queued datagram, chunk of a stream, or end of a stream.
type queuedItem struct {
	payload  []byte
	due      time.Time
	sequence uint64 // arrival number; breaks ties of due times
	send     func(payload []byte)
}

// delayQueue queues items until they are due and sends them in order of due time, then of arrival.
type delayQueue struct {
	controls  *controls
	direction Direction
	arrivals  chan queuedItem
	closed    chan struct{}
}

func newDelayQueue(controls *controls, direction Direction) *delayQueue {
	return &delayQueue{
		controls:  controls,
		direction: direction,
		arrivals:  make(chan queuedItem, maxQueueLength),
		closed:    make(chan struct{}),
	}
}

// enqueueOrDrop enqueues an item, or drops it if the queue is full.
func (q *delayQueue) enqueueOrDrop(item queuedItem) {
	select {
	case q.arrivals <- item:
	default:
	}
}

// enqueue enqueues an item and blocks while the queue is full. It returns false if the queue is
// closed.
func (q *delayQueue) enqueue(item queuedItem) bool {
	select {
	case q.arrivals <- item:
		return true
	case <-q.closed:
		return false
	}
}

// run sends items as they fall due, and none while the direction is stalled, until the queue is
// closed. Items that are left in the queue are dropped.
func (q *delayQueue) run() {
	var waiting dueHeap
	nextSequence := uint64(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		q.drainArrivals(&waiting, &nextSequence)
		stalled, changed := q.controls.stalled(q.direction)
		for !stalled && len(waiting) > 0 && !waiting[0].due.After(time.Now()) {
			next := heap.Pop(&waiting).(queuedItem)
			next.send(next.payload)
			stalled, changed = q.controls.stalled(q.direction)
		}
		var due <-chan time.Time
		if !stalled && len(waiting) > 0 {
			timer.Reset(time.Until(waiting[0].due))
			due = timer.C
		}
		arrivals := q.arrivals
		if len(waiting) >= maxQueueLength {
			arrivals = nil
		}
		select {
		case arrived := <-arrivals:
			waiting.add(arrived, &nextSequence)
		case <-due:
		case <-changed:
		case <-q.closed:
			return
		}
	}
}

// drainArrivals moves arrivals to the heap, up to maxQueueLength, before run sends any item. If run
// is scheduled late, it would otherwise send overdue items in order of arrival and undo a
// reordering.
func (q *delayQueue) drainArrivals(waiting *dueHeap, nextSequence *uint64) {
	for len(*waiting) < maxQueueLength {
		select {
		case arrived := <-q.arrivals:
			waiting.add(arrived, nextSequence)
		default:
			return
		}
	}
}

// dueHeap is a heap.Interface with the earliest due item first.
type dueHeap []queuedItem

// add numbers an item in order of arrival and pushes it onto the heap.
func (h *dueHeap) add(arrived queuedItem, nextSequence *uint64) {
	arrived.sequence = *nextSequence
	*nextSequence++
	heap.Push(h, arrived)
}

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].due.Before(h[j].due)
}

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(value any) { *h = append(*h, value.(queuedItem)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
