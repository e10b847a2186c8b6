// This file runs UDP flows that each have their own socket, and replaces each flow that has ended
// by a new one until the run is stopped.

package caller

import (
	"net"
	"time"
)

// maxReplyBytes is the size of the read buffer of a flow: the largest UDP payload over IPv4.
const maxReplyBytes = 65507

// reopenDelay is the delay before retrying to open a socket.
const reopenDelay = 100 * time.Millisecond

// minReadTimeout is the minimum time from the start of a read to its deadline.
const minReadTimeout = time.Millisecond

// StartFlows starts UDP flows that each have their own socket. A flow that cannot open its socket
// is retried and not counted. The run continues until Run.Stop.
func StartFlows(load FlowLoad) *Run {
	run := newRun()
	for number := range load.Flows {
		// Spread the flows' datagrams evenly over the interval.
		offset := load.Interval * time.Duration(number) / time.Duration(load.Flows)
		run.callers.Go(func() { load.runFlows(run, offset) })
	}
	return run
}

// runFlows waits for the offset and then runs one flow after another until the run is stopped.
func (l *FlowLoad) runFlows(run *Run, offset time.Duration) {
	run.sleep(offset)
	for !run.stopped() {
		if err := l.runFlow(run); err != nil {
			run.sleep(reopenDelay)
		}
	}
}

// runFlow opens a socket and runs one flow until it ends. Its goroutine owns the flow's state and
// socket. The error is that of opening the socket.
func (l *FlowLoad) runFlow(run *Run) error {
	socket, err := net.DialUDP("udp", localAddress(l.Address), net.UDPAddrFromAddrPort(l.Address))
	if err != nil {
		return err
	}
	defer socket.Close()
	var flow *flowState
	nextSend := time.Now()
	run.result.update(func(result *Result) { flow = newFlowState(l, nextSend, result) })
	buffer := make([]byte, maxReplyBytes)
	for !flow.ended {
		now := time.Now()
		if run.stopped() {
			flow.startClosing()
		}
		if !now.Before(nextSend) {
			var datagram []byte
			run.result.update(func(result *Result) { datagram = flow.nextDatagram(now, result) })
			_, _ = socket.Write(datagram)
			nextSend = nextSend.Add(l.Interval)
		}
		// With a deadline in the past, Read would fail even if a reply is already queued.
		_ = socket.SetReadDeadline(laterOf(nextSend, now.Add(minReadTimeout)))
		length, err := socket.Read(buffer)
		now = time.Now()
		run.result.update(func(result *Result) {
			if err == nil {
				flow.receive(now, buffer[:length], result)
			}
			flow.checkReplyTimeout(now, result)
		})
	}
	return nil
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
