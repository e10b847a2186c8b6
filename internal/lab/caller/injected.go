// This file runs UDP flows without sockets. One goroutine drives all flows of a load, sends their
// datagrams through an Injector and replaces flows that have ended. After a stall it sends one
// datagram of each flow and skips the others that were due.

package caller

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Injector sends the datagrams of flows without sockets; fabric.Fabric implements it.
type Injector interface {
	// Inject sends one datagram. All replies to the key go to the reply function of the first call
	// for the key, until Forget. The function must not retain its argument.
	Inject(key flow.Key, payload []byte, reply func(payload []byte)) error
	// Forget removes the reply function of the key.
	Forget(key flow.Key)
}

const (
	sendTick         = time.Millisecond // interval at which due datagrams are sent
	maxQueuedReplies = 1 << 14          // capacity of the reply queue
	maxSendBatch     = 64               // datagrams sent between two reads of replies; far below maxQueuedReplies
	sourcePortBase   = 20000            // lowest source port; each run uses the next
	sourcePortCount  = 40000            // number of source ports, after which they repeat
	sourceNetwork    = 10 << 24         // 10.0.0.0; each flow uses the next address of 10.0.0.0/8
)

// injectedRuns counts the runs started, to give each run its own source port.
var injectedRuns atomic.Uint32

// injectedFlow is a flow without a socket, whose datagrams go through an Injector.
type injectedFlow struct {
	state *flowState
	key   flow.Key
}

// injectedReply is a reply queued for the driver.
type injectedReply struct {
	flow    *injectedFlow
	payload []byte
}

// injectionDriver runs all flows of a load on one goroutine, which owns their state.
type injectionDriver struct {
	load         FlowLoad
	injector     Injector
	run          *Run
	flows        []*injectedFlow // current flow at each index; nil: none
	replies      chan injectedReply
	done         chan struct{} // closed when the driver stops reading replies
	port         uint16        // source port of all flows of the run
	flowsCreated uint32
	startTime    time.Time
	turns        int64 // datagrams due and processed since the start, including skipped ones
}

// StartInjectedFlows starts flows whose datagrams go through the injector instead of sockets. The
// service must have an IPv4 address. Errors of the injector are ignored; the datagram still counts
// as sent. The run continues until Run.Stop.
func StartInjectedFlows(load FlowLoad, injector Injector) *Run {
	driver := &injectionDriver{
		load:      load,
		injector:  injector,
		run:       newRun(),
		flows:     make([]*injectedFlow, load.Flows),
		replies:   make(chan injectedReply, maxQueuedReplies),
		done:      make(chan struct{}),
		port:      uint16(sourcePortBase + injectedRuns.Add(1)%sourcePortCount),
		startTime: time.Now(),
	}
	driver.run.callers.Go(driver.loop)
	return driver.run
}

func (d *injectionDriver) loop() {
	defer close(d.done)
	ticker := time.NewTicker(sendTick)
	defer ticker.Stop()
	for {
		select {
		case reply := <-d.replies:
			d.receive(reply)
		case <-ticker.C:
			d.receiveQueued()
			d.sendDue(time.Now())
			if d.run.stopped() && d.allFlowsEnded() {
				return
			}
		}
	}
}

func (d *injectionDriver) receive(reply injectedReply) {
	now := time.Now()
	d.run.result.update(func(result *Result) { reply.flow.state.receive(now, reply.payload, result) })
}

// receiveQueued processes all queued replies, so that a slow driver neither ends flows whose
// replies are still queued nor blocks the injector with a full reply queue.
func (d *injectionDriver) receiveQueued() {
	for {
		select {
		case reply := <-d.replies:
			d.receive(reply)
		default:
			return
		}
	}
}

// sendDue sends one datagram of each flow that became due since the last call. The flows are spread
// evenly over the interval. If several datagrams of a flow became due, because the driver stalled
// or could not keep up, only one is sent and the others are skipped, which avoids a burst.
func (d *injectionDriver) sendDue(now time.Time) {
	flows := int64(len(d.flows))
	due := int64(now.Sub(d.startTime)) * flows / int64(d.load.Interval)
	if missed := due - d.turns - flows; missed > 0 {
		rounds := (missed + flows - 1) / flows
		d.turns += rounds * flows
	}
	for ; d.turns < due; d.turns++ {
		d.sendFlow(int(d.turns%flows), now)
		if d.turns%maxSendBatch == 0 {
			d.receiveQueued()
		}
	}
}

// sendFlow sends the next datagram of the flow at the index, after it has replaced a flow that has
// ended.
func (d *injectionDriver) sendFlow(index int, now time.Time) {
	current := d.flows[index]
	var datagram []byte
	d.run.result.update(func(result *Result) {
		if current != nil {
			current.state.checkReplyTimeout(now, result)
		}
		current = d.currentFlow(index, now, result)
		if current != nil {
			datagram = current.state.nextDatagram(now, result)
		}
	})
	if current == nil {
		return
	}
	_ = d.injector.Inject(current.key, datagram, func(payload []byte) {
		select {
		case d.replies <- injectedReply{flow: current, payload: bytes.Clone(payload)}:
		case <-d.done:
		}
	})
}

// currentFlow returns the flow at the index. A flow that has ended is replaced by a new one, or by
// nil once the run is stopped.
func (d *injectionDriver) currentFlow(index int, now time.Time, result *Result) *injectedFlow {
	current := d.flows[index]
	stopped := d.run.stopped()
	if current != nil && !current.state.ended {
		if stopped {
			current.state.startClosing()
		}
		return current
	}
	if current != nil {
		d.injector.Forget(current.key)
	}
	d.flows[index] = nil
	if !stopped {
		d.flows[index] = &injectedFlow{state: newFlowState(&d.load, now, result), key: d.newKey()}
	}
	return d.flows[index]
}

// newKey returns a key with the next source address.
func (d *injectionDriver) newKey() flow.Key {
	d.flowsCreated++
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], sourceNetwork+d.flowsCreated)
	return flow.Key{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4(address), d.port),
		Service: d.load.Address,
	}
}

func (d *injectionDriver) allFlowsEnded() bool {
	for _, current := range d.flows {
		if current != nil {
			return false
		}
	}
	return true
}
