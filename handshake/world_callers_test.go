// This file simulates the callers of the test world, which open flows and send data, and checks the
// resets and the data that they receive. It also represents datagrams as bytes, sets the request
// kind of the world's route and starts the shutdown of agents.

package handshake

import (
	"fmt"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/routing"
)

// worldCaller is a simulated caller with one flow.
type worldCaller struct {
	key           flow.Key
	openingNumber uint32
	acceptedBy    *worldBackend // back end whose acceptance it confirmed; nil: none yet
	backendNumber uint32        // number of that acceptance, which its data confirms
	answers       int           // number of data datagrams received
	reset         bool          // a balancer has reset the flow
}

// sendFromCaller sends a caller's datagram to w.ingress, or to a random balancer if that is nil.
func (w *world) sendFromCaller(datagram Datagram) {
	datagram.Bytes = w.encodeDatagram(datagram)
	balancer := w.ingress
	if balancer == nil {
		balancer = w.balancers[w.random.IntN(len(w.balancers))]
	}
	w.deliverToBalancer(balancer, func() {
		w.process(balancer, func() {
			w.executeBalancerActions(balancer, balancer.logic.HandleCallerDatagram(w.now, &datagram))
		})
	})
}

// handleReset handles a reset that a balancer sends to a caller. Resetting a flow that is open at a
// running back end is a violation. Resets because of an unreachable agent or a fleet-wide restart
// are checked by checkUnreachableReset and checkRestartReset instead.
func (w *world) handleReset(reset ResetCaller) {
	key := reset.Key
	caller := w.callers[key]
	if caller == nil {
		return
	}
	w.resets++
	if caller.acceptedBy != nil && reset.Confirms != caller.backendNumber {
		return // callers ignore a reset with a number that they have not confirmed
	}
	caller.reset = true
	if reset.AgentUnreachable {
		w.checkUnreachableReset(caller)
		return
	}
	if reset.FleetRestarted {
		w.checkRestartReset(caller)
		return
	}
	if caller.acceptedBy != nil && caller.acceptedBy.alive && caller.acceptedBy.open[key] {
		w.violation = fmt.Sprintf("flow %v was reset while its back end %s held it open", key, caller.acceptedBy.id)
	}
}

// checkUnreachableReset checks the reset of a possibly open flow whose agent is unreachable. It is
// allowed only if the flow's requests may be repeated, and the agent was not shut down and has not
// ticked for UnreachableTimeout. That time is reduced by worldTickInterval, since the agent may
// restart during the same tick.
func (w *world) checkUnreachableReset(caller *worldCaller) {
	if !w.table.Route(caller.key.Service).RequestKind.MayRetry() {
		w.violation = fmt.Sprintf("flow %v was reset, but its requests must not be repeated", caller.key)
	}
	for _, agent := range w.agents {
		if agent.backend != caller.acceptedBy {
			continue
		}
		if agent.shutDown || w.now.Sub(agent.lastTickAt) < UnreachableTimeout-worldTickInterval {
			w.violation = fmt.Sprintf("flow %v was reset: its agent shut down: %v, last ran %v ago",
				caller.key, agent.shutDown, w.now.Sub(agent.lastTickAt))
		}
	}
}

// checkRestartReset checks the reset of a possibly open flow after a fleet-wide restart. It is
// allowed only if the flow's requests may be repeated, and all running processes that send statuses
// to all balancers have started within the last fleetRestartSpan+fleetRestartResetPeriod.
func (w *world) checkRestartReset(caller *worldCaller) {
	if !w.table.Route(caller.key.Service).RequestKind.MayRetry() {
		w.violation = fmt.Sprintf("flow %v was reset, but its requests must not be repeated", caller.key)
	}
	var first, last time.Time
	addStart := func(up bool, startedAt time.Time) {
		if up && (first.IsZero() || startedAt.Before(first)) {
			first = startedAt
		}
		if up && startedAt.After(last) {
			last = startedAt
		}
	}
	for _, agent := range w.agents {
		addStart(agent.up && !agent.statusesDisabled && agent.visibleTo == nil, agent.startedAt)
	}
	for _, balancer := range w.balancers {
		addStart(balancer.up && !balancer.suspended, balancer.startedAt)
	}
	if w.now.Sub(first) > fleetRestartSpan+fleetRestartResetPeriod {
		w.violation = fmt.Sprintf("flow %v was reset: the first process started %v ago, the last %v ago",
			caller.key, w.now.Sub(first), w.now.Sub(last))
	}
}

// setRequestKind sets the request kind of the world's only route at all balancers.
func (w *world) setRequestKind(kind routing.RequestKind) {
	route := *w.table.Route(worldAddress)
	route.RequestKind = kind
	table, err := routing.New(routing.Content{Version: w.table.Version() + 1,
		Routes: []routing.Route{route}})
	if err != nil {
		panic(err)
	}
	w.table = table
	for _, balancer := range w.balancers {
		balancer.logic.Configure(table)
	}
}

// beginShutdown makes an agent announce its shutdown. It does not stop the agent.
func (w *world) beginShutdown(agent *worldAgent) {
	agent.logic.BeginShutdown()
	agent.shutDown = agent.up
}

// deliverToCaller schedules the delivery of a back end's datagram to its caller. The first Accept
// opens the flow at that back end, and the caller sends its first data. Data from any other back
// end is a violation.
func (w *world) deliverToCaller(backend *worldBackend, datagram Datagram) {
	caller := w.callers[datagram.Key]
	w.schedule(func() {
		switch {
		case datagram.Kind == Accept && caller.acceptedBy == nil && !caller.reset:
			caller.acceptedBy, caller.backendNumber = backend, datagram.Number
			w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
		case datagram.Kind == Data && caller.acceptedBy == backend:
			caller.answers++
		case datagram.Kind == Data:
			w.violation = fmt.Sprintf("flow %v received data from back end %s, which does not hold it",
				caller.key, backend.id)
		}
	})
}

func (w *world) newCaller(port uint16) *worldCaller {
	caller := &worldCaller{key: testKey(port), openingNumber: w.random.Uint32()}
	w.callers[caller.key] = caller
	return caller
}

// callersOf returns the callers whose flows are open at the back end, sorted by address.
func (w *world) callersOf(backend *worldBackend) []*worldCaller {
	var callers []*worldCaller
	for _, caller := range w.callers {
		if caller.acceptedBy == backend && backend.open[caller.key] {
			callers = append(callers, caller)
		}
	}
	slices.SortFunc(callers, func(a, b *worldCaller) int { return a.key.Caller.Compare(b.key.Caller) })
	return callers
}

// sendOpening adds a caller and sends its first opening datagram.
func (w *world) sendOpening(port uint16) {
	caller := w.newCaller(port)
	w.sendFromCaller(Datagram{Key: caller.key, Kind: Opening, Number: caller.openingNumber})
}

// openFlow adds a caller, which opens a flow and sends data. The caller resends the opening
// datagram and the data, up to a limit, until the data is answered. openFlow returns whether it
// was.
func (w *world) openFlow(port uint16) bool {
	caller := w.newCaller(port)
	for retransmits := range uint32(4) {
		if caller.acceptedBy == nil && !caller.reset {
			w.sendFromCaller(Datagram{Key: caller.key, Kind: Opening, Number: caller.openingNumber,
				Retransmits: retransmits})
		}
		w.advance(resendInterval)
		if caller.answers > 0 {
			return true
		}
	}
	return w.exchange(caller)
}

// exchange sends data on the caller's open flow, up to maxCallerAttempts times, until it is
// answered. It returns whether it was.
func (w *world) exchange(caller *worldCaller) bool {
	if caller.acceptedBy == nil {
		return false
	}
	before := caller.answers
	for range maxCallerAttempts {
		w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
		w.advance(resendInterval)
		if caller.answers > before {
			return true
		}
	}
	return false
}

// encodeDatagram returns bytes that represent the datagram, which are its formatted fields, and
// stores the datagram under them.
func (w *world) encodeDatagram(datagram Datagram) []byte {
	datagram.Bytes = nil
	bytes := fmt.Appendf(nil, "%+v", datagram)
	w.datagrams[string(bytes)] = datagram
	return bytes
}

func (w *world) decodeDatagram(bytes []byte) Datagram {
	datagram := w.datagrams[string(bytes)]
	datagram.Bytes = bytes
	return datagram
}
