// This file passes received datagrams from the goroutine of the data socket to the event loop. If the
// event loop cannot keep up, searches that have begun are completed before others begin, flows are
// served in turn, and those with a standing queue lose their oldest datagrams.

package agent

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/fairqueue"
	"github.com/burlmill/burlmill/internal/wire"
)

// lane is one of the queues of an inbox.
type lane int

const (
	laneHints     lane = iota // handled first: they spare datagrams in the other lanes a search
	laneForwarded             // from other agents: dropping them wastes the work of these agents
	laneNew                   // from balancers
	laneCount
)

// laneStages holds the metric label value of the wait in each lane.
var laneStages = [laneCount]string{laneHints: "hints", laneForwarded: "forwarded", laneNew: "new"}

const (
	laneCapacity = 4096 // datagrams
	// maxForwardedInRow is the number of forwarded datagrams that are handled while a new one waits.
	// It is about the number of agents that a search passes, so that all searches can be completed.
	maxForwardedInRow = 8
	// maxInboxBatch limits the number of datagrams that are handled between two other events.
	maxInboxBatch = 64
)

// receivedDatagram is a datagram as received from the data socket.
type receivedDatagram struct {
	*buffer.Buffer
	envelope        wire.Envelope
	headerLength    int
	earliestArrival time.Time // see flow.Packet.EarliestArrival
	arrivedAt       time.Time // see wire.Arrival.Waited
	readAt          time.Time // when it was read from the socket
	// enteredAt is the time at which the datagram reached its balancer, without its time in the
	// network. It is arrivedAt if the age is not known.
	enteredAt       time.Time
	readUntil       time.Time // see flow.Packet.ReadUntil; set by inbox.take
	lane            lane      // set by inbox.put
	previousArrival time.Time // earliestArrival of the previous datagram of the lane; set by laneQueue.read
}

// inbox passes received datagrams to the event loop.
type inbox struct {
	lanes [laneCount]*laneQueue
	// ready receives a value when a datagram has been put.
	ready chan struct{}
	// evicted is called for each datagram that a lane removes because it has no room. nil: ignored.
	evicted        func(receivedDatagram)
	forwardedInRow int // forwarded datagrams taken since the latest new one; event loop only
}

// laneQueue is one lane. The goroutine of the data socket puts datagrams into received; only the
// event loop uses the other fields, so that neither waits for the other.
type laneQueue struct {
	received chan receivedDatagram
	queue    *fairqueue.Queue[turnKey, receivedDatagram]
	readAt   time.Time // earliestArrival of the latest datagram taken from received
}

// turnKey identifies the datagrams that share turns and of which the latest one replaces the others.
// The step is a part of it, so that one whose search is complete is not dropped for one that begins.
type turnKey struct {
	flow flow.Key
	step flow.Step
}

// newInbox returns an empty inbox. opened precedes the arrival of any datagram.
func newInbox(opened time.Time) *inbox {
	created := &inbox{ready: make(chan struct{}, 1)}
	for i := range created.lanes {
		created.lanes[i] = &laneQueue{
			received: make(chan receivedDatagram, laneCapacity),
			queue:    fairqueue.New[turnKey, receivedDatagram](laneCapacity, flow.MaxWaitTime),
			readAt:   opened,
		}
	}
	return created
}

func laneOf(route flow.Route) lane {
	switch {
	case route.Step == flow.StepHint:
		return laneHints
	case route.Hops > 1:
		return laneForwarded
	}
	return laneNew
}

// put adds a datagram and reports whether its lane had room. Only one goroutine may call it, in the
// order of arrival.
func (i *inbox) put(datagram receivedDatagram) bool {
	datagram.lane = laneOf(datagram.envelope.Route)
	select {
	case i.lanes[datagram.lane].received <- datagram:
		i.signal()
		return true
	default:
		return false
	}
}

func (i *inbox) signal() {
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the next datagram, and what is to be done with it. ok is false if there is
// none.
func (i *inbox) take(now time.Time) (datagram receivedDatagram, verdict fairqueue.Verdict, ok bool) {
	order := [laneCount]lane{laneHints, laneForwarded, laneNew}
	if i.forwardedInRow >= maxForwardedInRow {
		order = [laneCount]lane{laneHints, laneNew, laneForwarded}
	}
	for _, next := range order {
		if datagram, verdict, ok = i.lanes[next].next(now, i.evicted); ok {
			i.recordTaken(&datagram, verdict)
			return datagram, verdict, true
		}
	}
	return receivedDatagram{}, fairqueue.Serve, false
}

func (i *inbox) recordTaken(datagram *receivedDatagram, verdict fairqueue.Verdict) {
	if verdict != fairqueue.Serve {
		return
	}
	switch datagram.lane {
	case laneForwarded:
		i.forwardedInRow++
	case laneNew:
		i.forwardedInRow = 0
	}
	datagram.readUntil = datagram.earliestArrival
	for _, other := range i.lanes {
		if readUntil, limited := other.readUntil(); limited && readUntil.Before(datagram.readUntil) {
			datagram.readUntil = readUntil
		}
	}
}

// next removes and returns the next datagram of the lane, and what is to be done with it. ok is false
// if there is none.
func (l *laneQueue) next(now time.Time, evicted func(receivedDatagram)) (datagram receivedDatagram, verdict fairqueue.Verdict, ok bool) {
	if l.queue.Len() == 0 && len(l.received) == 1 {
		// Nothing waits but this one, so the queue would return it at once.
		if datagram = l.read(); now.Sub(datagram.arrivedAt) > flow.MaxWaitTime {
			verdict = fairqueue.DropExpired
		}
		return datagram, verdict, true
	}
	for range len(l.received) {
		l.enqueue(evicted)
	}
	return l.queue.Pop(now)
}

// enqueue moves a datagram, which received must contain, to the queue.
func (l *laneQueue) enqueue(evicted func(receivedDatagram)) {
	datagram := l.read()
	key := turnKey{datagram.envelope.Key, datagram.envelope.Route.Step}
	removed, full := l.queue.Push(key, fairqueue.Item[receivedDatagram]{
		Value: datagram, ArrivedAt: datagram.arrivedAt, EnteredAt: datagram.enteredAt,
	})
	if full && evicted != nil {
		evicted(removed)
	}
}

// read returns the next datagram from received, which must contain one.
func (l *laneQueue) read() receivedDatagram {
	datagram := <-l.received
	datagram.previousArrival = l.readAt
	l.readAt = datagram.earliestArrival
	return datagram
}

// readUntil returns a time such that every datagram of the lane that arrived before it has been
// taken. limited is false if the lane is empty.
func (l *laneQueue) readUntil() (until time.Time, limited bool) {
	if oldest, ok := l.queue.Oldest(); ok {
		return oldest.previousArrival, true
	}
	return l.readAt, len(l.received) > 0
}

// receiver puts the datagrams of the data socket into the inbox. It drops those that are malformed,
// or for which the inbox has no room.
type receiver struct {
	decoder *wire.Decoder
	inbox   *inbox
	metrics *metrics
	drops   dropRecorder
}

// receive implements wire.Receiver.
func (r *receiver) receive(datagram []byte, _ netip.AddrPort, arrival wire.Arrival) {
	r.metrics.received.Inc()
	r.metrics.socketWait.Observe(arrival.Waited.Seconds())
	if arrival.Waited > flow.MaxWaitTime {
		r.drops.recordFields(dropWaitTimeout, log.Fields{"waited": arrival.Waited})
		return
	}
	envelope, headerLength, err := r.decoder.Decode(datagram)
	if err == nil && !envelope.HasRoute {
		err = fault.New(fault.Invalid, "datagram of %v without a route", envelope.Key.Caller)
	}
	if err != nil {
		r.drops.record(dropMalformed, err)
		return
	}
	now := time.Now()
	arrivedAt := now.Add(-arrival.Waited)
	received := receivedDatagram{
		Buffer:          buffer.Join(datagram),
		envelope:        envelope,
		headerLength:    headerLength,
		earliestArrival: arrival.Earliest,
		arrivedAt:       arrivedAt,
		enteredAt:       arrivedAt.Add(-envelope.Age),
		readAt:          now,
	}
	if !r.inbox.put(received) {
		r.evict(received)
	}
}

// evict drops a datagram for which the inbox has no room.
func (r *receiver) evict(datagram receivedDatagram) {
	datagram.Release()
	r.drops.recordAged(dropInboxFull, time.Since(datagram.enteredAt))
}
