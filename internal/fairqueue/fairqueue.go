// Package fairqueue implements a bounded queue of datagrams that serves flows in turn and limits how
// long datagrams wait. Like FQ-CoDel (RFC 8290) it gives each flow a queue of its own, detects that
// the queue has not been short for an interval, and then drops the oldest datagrams and serves the
// later ones. Unlike FQ-CoDel it drops all that have waited for longer than the interval except the
// latest of each flow, since many flows do not slow down when datagrams are lost, and gives new flows
// no priority, since any number of them may begin.
//
// The package does no I/O and takes the current time as an argument. Queues are not safe for
// concurrent use.
package fairqueue

import (
	"container/list"
	"slices"
	"time"
)

const (
	// targetWait is the time that datagrams wait in a short queue: the target of RFC 8289.
	targetWait = 5 * time.Millisecond
	// standingInterval is the time for which no datagram waits for less before the queue counts as
	// standing: the interval of RFC 8289.
	standingInterval = 100 * time.Millisecond
	// orderMargin is the error of Item.EnteredAt, which leaves out the time between the measurement of
	// an age and the transmission: a few time slices of the system's scheduler. Datagrams whose times
	// differ by less keep the order in which they were pushed.
	orderMargin = 10 * time.Millisecond
)

// Item is one datagram.
type Item[Value any] struct {
	Value     Value
	ArrivedAt time.Time // when it reached this process, which begins its wait
	EnteredAt time.Time // when it entered the system; the order of datagrams in their flow
}

// Verdict is what is to be done with an item that Pop returns.
type Verdict int

// Verdicts.
const (
	Serve        Verdict = iota // handle it
	DropExpired                 // it has waited longer than the limit
	DropStanding                // the queue is standing, and a later item of the flow is in it
)

// Queue holds the items of all flows. Push adds an item; Pop returns the items of the flows in turn,
// one of each.
type Queue[Key comparable, Value any] struct {
	capacity int
	maxWait  time.Duration
	flows    map[Key]*flowQueue[Key, Value]
	turns    list.List // of *flowQueue: the flows with items, the next one first
	pushed   list.List // of *entry: all items in the order of Push
	// standingAt is the time from which the queue counts as standing; zero if the latest item waited
	// for less than targetWait, or the queue has been empty since.
	standingAt time.Time
}

// entry is an item in the queue.
type entry[Key comparable, Value any] struct {
	Item[Value]
	flow   *flowQueue[Key, Value]
	pushed *list.Element
}

// flowQueue holds the items of one flow.
type flowQueue[Key comparable, Value any] struct {
	key     Key
	turn    *list.Element
	entries []*entry[Key, Value] // not empty; the one that entered first comes first
}

// New returns an empty queue that holds at most capacity items, each for at most maxWait.
func New[Key comparable, Value any](capacity int, maxWait time.Duration) *Queue[Key, Value] {
	return &Queue[Key, Value]{capacity: capacity, maxWait: maxWait, flows: map[Key]*flowQueue[Key, Value]{}}
}

// Len returns the number of items.
func (q *Queue[Key, Value]) Len() int { return q.pushed.Len() }

// Oldest returns the item that was pushed first. It returns false if the queue is empty.
func (q *Queue[Key, Value]) Oldest() (value Value, ok bool) {
	front := q.pushed.Front()
	if front == nil {
		return value, false
	}
	return front.Value.(*entry[Key, Value]).Value, true
}

// Push adds an item to its flow. If the queue is full, it removes and returns the item that was
// pushed first.
func (q *Queue[Key, Value]) Push(key Key, item Item[Value]) (removed Value, full bool) {
	if full = q.Len() >= q.capacity; full {
		removed = q.removeOldest()
	}
	flow := q.flows[key]
	if flow == nil {
		flow = &flowQueue[Key, Value]{key: key}
		flow.turn = q.turns.PushBack(flow)
		q.flows[key] = flow
	}
	added := &entry[Key, Value]{Item: item, flow: flow}
	added.pushed = q.pushed.PushBack(added)
	flow.insert(added)
	return removed, full
}

// insert adds an entry behind those that entered earlier.
func (f *flowQueue[Key, Value]) insert(added *entry[Key, Value]) {
	index := len(f.entries)
	for index > 0 && f.entries[index-1].EnteredAt.Sub(added.EnteredAt) > orderMargin {
		index--
	}
	f.entries = slices.Insert(f.entries, index, added)
}

func (q *Queue[Key, Value]) removeOldest() Value {
	oldest := q.pushed.Front().Value.(*entry[Key, Value])
	q.remove(oldest, slices.Index(oldest.flow.entries, oldest))
	return oldest.Value
}

// remove removes the entry at the index of its flow.
func (q *Queue[Key, Value]) remove(removed *entry[Key, Value], index int) {
	flow := removed.flow
	q.pushed.Remove(removed.pushed)
	flow.entries = slices.Delete(flow.entries, index, index+1)
	if len(flow.entries) == 0 {
		q.turns.Remove(flow.turn)
		delete(q.flows, flow.key)
	}
}

// Pop removes and returns an item of the flow whose turn it is, and what is to be done with it. The
// turn ends with an item that is served. ok is false if the queue is empty.
func (q *Queue[Key, Value]) Pop(now time.Time) (value Value, verdict Verdict, ok bool) {
	front := q.turns.Front()
	if front == nil {
		return value, Serve, false
	}
	flow := front.Value.(*flowQueue[Key, Value])
	first := flow.entries[0]
	q.remove(first, 0)
	verdict = q.judge(now, now.Sub(first.ArrivedAt), len(flow.entries) == 0)
	if verdict == Serve && len(flow.entries) > 0 {
		q.turns.MoveToBack(front)
	}
	return first.Value, verdict, true
}

// judge returns what is to be done with an item that was removed after the given wait. last states
// whether it was the only one of its flow.
func (q *Queue[Key, Value]) judge(now time.Time, waited time.Duration, last bool) Verdict {
	switch {
	case waited < targetWait || q.Len() == 0:
		q.standingAt = time.Time{}
	case q.standingAt.IsZero():
		q.standingAt = now.Add(standingInterval)
	}
	switch {
	case waited > q.maxWait:
		return DropExpired
	case last || waited <= standingInterval || q.standingAt.IsZero() || now.Before(q.standingAt):
		return Serve
	}
	return DropStanding
}
