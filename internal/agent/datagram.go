// This file handles received datagrams: for each, it executes the decider's action, which is
// to deliver it to a back end, forward it to another agent, queue it (and request a newer
// configuration if it waits for one), consume it or drop it. It also sends the hints that report to
// another agent which back end has a flow.

package agent

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/wire"
)

// selfAddress is the address of this agent's data socket.
type selfAddress = netip.AddrPort

// dispatch executes the decider's action for a datagram, or drops it if it is too old. It takes
// ownership of the buffer.
func (l *eventLoop) dispatch(now time.Time, entry waitingDatagram) {
	if age := now.Sub(entry.enteredAt); age > flow.MaxAge {
		entry.Release()
		l.drops.recordAged(dropWaitTimeout, age)
		return
	}
	datagram, envelope := entry.Buffer, entry.envelope
	packet := flow.Packet{
		Key:             envelope.Key,
		Route:           envelope.Route,
		Payload:         datagram.Bytes[entry.headerLength:],
		EarliestArrival: entry.earliestArrival,
		ReadUntil:       entry.readUntil,
	}
	action := l.decider.Handle(now, packet)
	switch action.Kind {
	case flow.Deliver:
		if action.Admitted {
			l.admit(now, action, packet, entry)
			return
		}
		l.metrics.deliveryAge.Observe(now.Sub(entry.enteredAt).Seconds())
		datagram.Bytes = packet.Payload
		l.deliver(action, packet, datagram)
		l.sendHint(action.Hint, packet.Key)
	case flow.Forward:
		l.forward(action.Hop, packet, entry.enteredAt)
		datagram.Release()
	case flow.AwaitRevision:
		l.awaitRevision(packet.Route.Revision, entry)
	case flow.AwaitConfirmation:
		l.enqueue(entry)
	case flow.Consume:
		datagram.Release()
	default:
		datagram.Release()
		l.drops.recordAged(dropReason(action.Reason.String()), now.Sub(entry.enteredAt))
	}
}

// admit delivers the first datagram of a flow that the decider has opened, unless the liveness lease
// has been interrupted since the decision: other agents may then have admitted the flow. All steps
// that can take long precede the last check before the delivery.
func (l *eventLoop) admit(decidedAt time.Time, action flow.Action, packet flow.Packet, entry waitingDatagram) {
	if err := l.prepare(action, packet); err != nil {
		entry.Release()
		l.drop(dropDeliveryFailed, err)
		return
	}
	if !l.decider.ConfirmAdmission(time.Now(), packet) {
		l.closeFlows([]flow.Key{packet.Key})
		l.logAdmission("flow-withdrawn", decidedAt, packet, action, entry.enteredAt)
		l.enqueue(entry)
		return
	}
	l.metrics.deliveryAge.Observe(time.Since(entry.enteredAt).Seconds())
	entry.Bytes = entry.Bytes[entry.headerLength:]
	l.deliver(action, packet, entry.Buffer)
	event := "flow-admitted"
	if !l.decider.ConfirmAdmission(time.Now(), packet) {
		event = "flow-withdrawn-late"
		l.closeFlows([]flow.Key{packet.Key})
	}
	l.logAdmission(event, decidedAt, packet, action, entry.enteredAt)
}

// prepare opens what the delivery of the flow's datagrams needs.
func (l *eventLoop) prepare(action flow.Action, packet flow.Packet) error {
	switch action.Service.Protocol {
	case catalog.ProtocolUDP:
		return l.udp.Open(packet.Key, action.Backend.Address, packet.Route.ReplyTo)
	case catalog.ProtocolHTTP:
		err := l.http.prepare(action, packet.Key, packet.Payload)
		l.closeUnservedFlow(packet.Key, err)
		return err
	}
	return nil
}

// logAdmission logs what became of a datagram that opened a flow. decidedAt is the time of the
// decision, enteredAt that at which the datagram reached its balancer.
func (l *eventLoop) logAdmission(event string, decidedAt time.Time, packet flow.Packet, action flow.Action, enteredAt time.Time) {
	line, allowed := l.flowLog.Allow(log.InfoLevel, event)
	if !allowed {
		return
	}
	line.Log(log.Fields{
		"caller":       packet.Key.Caller,
		"address":      packet.Key.Service,
		"backend":      action.Backend.ID,
		"revision":     action.Service.Revision,
		"route":        packet.Route.Revision,
		"step":         packet.Route.Step.String(),
		"hops":         packet.Route.Hops,
		"age":          time.Since(enteredAt),
		"decision_age": time.Since(decidedAt),
		"arrival_age":  time.Since(packet.EarliestArrival),
		"lease_age":    time.Since(l.coordination.ConfirmedSince()),
	})
}

// sendHint sends the hint, an empty datagram of the flow, if the hint is set. It reports to the
// flow's first candidate agent which back end has the flow.
func (l *eventLoop) sendHint(hint flow.Hop, key flow.Key) {
	if hint.To.IsValid() {
		l.forward(hint, flow.Packet{Key: key}, time.Now())
	}
}

// deliver sends the payload to the back end as the service's protocol requires, and drops it if
// that fails. It takes ownership of the buffer.
func (l *eventLoop) deliver(action flow.Action, packet flow.Packet, payload *buffer.Buffer) {
	var err error
	switch action.Service.Protocol {
	case catalog.ProtocolUDP:
		err = l.udp.Deliver(packet.Key, action.Backend.Address, packet.Route.ReplyTo, payload.Bytes)
		payload.Release()
	case catalog.ProtocolHTTP:
		err = l.http.deliver(action, packet.Key, packet.Route.ReplyTo, payload)
		l.closeUnservedFlow(packet.Key, err)
	default:
		payload.Release()
		l.drop(dropUnsupportedProtocol, nil)
		return
	}
	if err != nil {
		l.drop(dropDeliveryFailed, err)
		return
	}
	l.metrics.delivered.Inc()
}

// closeUnservedFlow closes a flow that a late datagram of a closed connection has reopened. No
// server has the flow, so closedFlows would never return it.
func (l *eventLoop) closeUnservedFlow(key flow.Key, err error) {
	if err != nil && fault.KindOf(err) == fault.Unavailable && !l.http.hasFlow(key) {
		l.decider.CloseFlow(key)
	}
}

// forward sends the datagram, which reached its balancer at enteredAt, to another agent.
func (l *eventLoop) forward(hop flow.Hop, packet flow.Packet, enteredAt time.Time) {
	header, err := wire.FormatEnvelope(wire.Envelope{
		Key: packet.Key, Route: hop.Route, HasRoute: true, Age: time.Since(enteredAt),
	})
	if err != nil {
		l.drop(dropMalformed, err)
		return
	}
	datagram := buffer.Join(header, packet.Payload)
	defer datagram.Release()
	if err := l.sender.Send(datagram.Bytes, hop.To); err != nil {
		l.drop(dropSendFailed, err)
		return
	}
	l.metrics.forwarded.Inc()
}

// awaitRevision queues the datagram and requests a configuration of at least that revision. It
// requests none if the queue is full.
func (l *eventLoop) awaitRevision(revision catalog.Revision, entry waitingDatagram) {
	if l.enqueue(entry) {
		l.coordination.Pull(revision)
	}
}

// enqueue queues the datagram until the decision is retried. It reports whether the queue had room;
// if not, the datagram is dropped.
func (l *eventLoop) enqueue(entry waitingDatagram) bool {
	if !l.waiting.push(entry) {
		entry.Release()
		l.drop(dropWaitingFull, nil)
		return false
	}
	return true
}
