// This file carries out the actions of the test world's balancers and agents: it delivers their
// messages to each other, and datagrams to back ends and callers.

package handshake

import (
	"fmt"
	"net/netip"
	"time"
)

func (w *world) executeBalancerActions(from *worldBalancer, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			w.observeMessage(action.Message)
			w.sendToAgent(from.address, action)
			w.sendToBalancer(from.address, action)
		case ResetCaller:
			w.handleReset(action)
		}
	}
}

// dropLocations drops the locations that the agents store.
func (w *world) dropLocations() {
	for _, agent := range w.agents {
		agent.logic.locations = newLocationStore(w.now, time.Minute)
	}
}

func (w *world) observeMessage(message Message) {
	if w.onMessage != nil {
		w.onMessage(message)
	}
}

func (w *world) sendToAgent(from netip.AddrPort, send Send) {
	for _, agent := range w.agents {
		if agent.address != send.To {
			continue
		}
		w.schedule(func() {
			handle := func() { w.executeAgentActions(agent, w.handleAtAgent(agent, from, send.Message)) }
			receive := func() {
				switch {
				case !agent.up:
				case agent.suspended:
					agent.inbox = append(agent.inbox, handle)
				default:
					handle()
				}
			}
			if agent.deliveryDelay == 0 {
				receive()
				return
			}
			w.queue = append(w.queue, worldEvent{w.now.Add(agent.deliveryDelay), receive})
		})
	}
}

func (w *world) handleAtAgent(agent *worldAgent, from netip.AddrPort, message Message) []Action {
	switch message := message.(type) {
	case Offer:
		datagram := w.decodeDatagram(message.Bytes)
		return agent.logic.HandleOffer(w.now, from, message, &datagram)
	case Forward:
		datagram := w.decodeDatagram(message.Bytes)
		return agent.logic.HandleForward(w.now, from, &datagram)
	case FlowQuery:
		return agent.logic.HandleQuery(w.now, from, message)
	case Search:
		return agent.logic.HandleSearch(w.now, from, message)
	case SummaryRequest:
		return agent.logic.HandleSummaryRequest(w.now, from, message)
	case FlowSummary:
		return agent.logic.HandleFlowSummary(from, message)
	case FlowQueryAnswer:
		return agent.logic.HandleQueryAnswer(from, message)
	case StoreLocations:
		return agent.logic.HandleStoreLocations(w.now, message)
	case NotHeld:
		return agent.logic.HandleReturnedProbe(from, w.decodeDatagram(message.Bytes).Key)
	case ReservationRequest:
		return agent.logic.HandleReservationRequest(w.now, from, message)
	case ReservationReleased:
		return agent.logic.HandleReservationReleased(w.now, from)
	}
	return nil
}

func (w *world) executeAgentActions(agent *worldAgent, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			w.observeMessage(action.Message)
			w.sendToBalancer(agent.address, action)
			w.sendToAgent(agent.address, action)
		case Deliver:
			w.deliverToBackend(agent, w.decodeDatagram(action.Bytes))
		case Reply:
			w.deliverToCaller(agent.backend, w.decodeDatagram(action.Bytes))
		}
	}
}

func (w *world) sendToBalancer(from netip.AddrPort, send Send) {
	for _, balancer := range w.balancers {
		if balancer.address != send.To {
			continue
		}
		w.deliverToBalancer(balancer, func() {
			w.process(balancer, func() { w.handleAtBalancer(balancer, from, send.Message) })
		})
	}
}

func (w *world) handleAtBalancer(balancer *worldBalancer, from netip.AddrPort, message Message) {
	if notHeld, ok := message.(NotHeld); ok {
		datagram := w.decodeDatagram(notHeld.Bytes)
		w.executeBalancerActions(balancer, balancer.logic.HandleReturned(w.now, from, &datagram, notHeld))
		return
	}
	w.executeBalancerActions(balancer, balancer.logic.HandleMessage(w.now, from, message))
}

// deliverToBackend delivers a datagram to the agent's back end, which answers at once unless
// w.responseTime or w.load delays its data. It sets a violation if the back end receives a new flow
// after its draining was acknowledged, or returns a datagram of a flow that it holds.
func (w *world) deliverToBackend(agent *worldAgent, datagram Datagram) {
	backend := agent.backend
	if !backend.alive {
		return
	}
	w.recordStray(backend, datagram)
	answer := datagram
	switch {
	case datagram.Kind == Opening:
		backend.openingsReceived++
		if backend.drainAcknowledged {
			w.violation = fmt.Sprintf(
				"back end %s received a new flow after its agent acknowledged that it is draining", backend.id)
		}
		if _, known := backend.halfOpen[datagram.Key]; !known {
			backend.halfOpen[datagram.Key] = w.random.Uint32()
			backend.acceptedAt = append(backend.acceptedAt, w.now)
		}
		answer.Kind, answer.Number = Accept, backend.halfOpen[datagram.Key]
	case backend.closed[datagram.Key]:
		answer.Kind, answer.PayloadLength, answer.Number = Reset, 0, backend.halfOpen[datagram.Key]
	case backend.open[datagram.Key]:
		answer.Kind, answer.PayloadLength, answer.Number = Data, 1, backend.halfOpen[datagram.Key]
	case datagram.Confirms == backend.halfOpen[datagram.Key] && backend.halfOpen[datagram.Key] != 0:
		backend.open[datagram.Key] = true
		answer.Kind, answer.PayloadLength, answer.Number = Data, 1, backend.halfOpen[datagram.Key]
	default:
		answer.Returned = true
	}
	if caller := w.callers[datagram.Key]; answer.Returned && caller.acceptedBy == backend &&
		backend.open[datagram.Key] {
		w.violation = "a back end returned a datagram of a flow that it holds"
	}
	answer.Bytes = w.encodeDatagram(answer)
	if w.load != nil && answer.Kind == Data && !answer.Returned {
		w.load.serve(agent, answer)
		return
	}
	if w.responseTime == 0 || answer.Kind != Data || answer.Returned {
		w.deliverFromBackend(agent, answer)
		return
	}
	w.queue = append(w.queue, worldEvent{w.now.Add(w.responseTime), func() { w.deliverFromBackend(agent, answer) }})
}

// deliverFromBackend delivers a back end's datagram to its agent.
func (w *world) deliverFromBackend(agent *worldAgent, answer Datagram) {
	handle := func() { w.executeAgentActions(agent, agent.logic.HandleBackendDatagram(w.now, &answer)) }
	switch {
	case !agent.up:
	case agent.suspended:
		agent.inbox = append(agent.inbox, handle)
	default:
		handle()
	}
}
