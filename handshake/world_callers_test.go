package handshake

import (
	"fmt"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/routing"
)

// The callers of the test world.

// worldCaller is one caller's flow.
type worldCaller struct {
	key      flow.Key
	opening  uint32
	openAt   *worldBackend // back end whose number it acknowledged
	number   uint32
	answered int  // datagrams of its back end
	reset    bool // by the system
}

// fromCaller sends a caller's datagram through any balancer that is up.
func (w *world) fromCaller(datagram Datagram) {
	datagram.Bytes = encodeWorld(datagram)
	balancer := w.router
	if balancer == nil {
		balancer = w.balancers[w.random.IntN(len(w.balancers))]
	}
	w.reach(balancer, func() {
		w.process(balancer, func() { w.performBalancer(balancer, balancer.decider.FromCaller(w.now, &datagram)) })
	})
}

// resetCaller notes a reset of the system's own. It breaks the promise when the
// flow is open at a back end that lives.
func (w *world) resetCaller(reset ResetCaller) {
	key := reset.Key
	caller := w.callers[key]
	if caller == nil {
		return
	}
	w.resets++
	if caller.openAt != nil && reset.Confirms != caller.number {
		return // callers ignore a reset that is far from what they have confirmed
	}
	caller.reset = true
	if reset.Away {
		w.checkBrokenOff(caller)
		return
	}
	if reset.Restarted {
		w.checkRestarted(caller)
		return
	}
	if caller.openAt != nil && caller.openAt.alive && caller.openAt.open[key] {
		w.violation = fmt.Sprintf("flow %v was reset while its back end %s held it", key, caller.openAt.id)
	}
}

// checkBrokenOff checks that a flow which may still be open was reset for want of its agent: its requests may be
// repeated, and the agent has not run for long (one that
// starts anew this very moment cannot be known), and has not stopped on purpose.
func (w *world) checkBrokenOff(caller *worldCaller) {
	if !w.table.Route(caller.key.Service).Requests.MayRepeat() {
		w.violation = fmt.Sprintf("flow %v was broken off, and its request may run only once", caller.key)
	}
	for _, agent := range w.agents {
		if agent.backend != caller.openAt {
			continue
		}
		if agent.left || w.now.Sub(agent.ran) < AwayTime-worldRest {
			w.violation = fmt.Sprintf("flow %v was broken off: agent left %v, ran %v ago", caller.key, agent.left, w.now.Sub(agent.ran))
		}
	}
}

// checkRestarted checks that a flow which may still be open was reset because all processes have started anew:
// its requests may be repeated, and no process that runs has run for longer than since they did.
func (w *world) checkRestarted(caller *worldCaller) {
	if !w.table.Route(caller.key.Service).Requests.MayRepeat() {
		w.violation = fmt.Sprintf("flow %v was broken off, and its request may run only once", caller.key)
	}
	var first, last time.Time
	note := func(up bool, begun time.Time) {
		if up && (first.IsZero() || begun.Before(first)) {
			first = begun
		}
		if up && begun.After(last) {
			last = begun
		}
	}
	for _, agent := range w.agents {
		note(agent.up && !agent.mute && agent.heardBy == nil, agent.begun)
	}
	for _, balancer := range w.balancers {
		note(balancer.up && !balancer.frozen, balancer.begun)
	}
	if w.now.Sub(first) > togetherSpan+togetherTime {
		w.violation = fmt.Sprintf("flow %v was broken off: processes run since %v and %v ago", caller.key, w.now.Sub(first), w.now.Sub(last))
	}
}

// setRequests configures what may be done to the requests of the world's route.
func (w *world) setRequests(kind routing.RequestKind) {
	route := *w.table.Route(worldAddress)
	route.Requests = kind
	table, err := routing.New(routing.Content{Version: w.table.Version() + 1, Routes: []routing.Route{route}})
	if err != nil {
		panic(err)
	}
	w.table = table
	for _, balancer := range w.balancers {
		balancer.decider.Configure(table)
	}
}

// leave lets an agent that runs say that it leaves; it is to be stopped after.
func (w *world) leave(agent *worldAgent) {
	agent.decider.Leave()
	agent.left = agent.up
}

// toCaller delivers a back end's datagram: the caller opens its flow at the first
// back end that accepts it.
func (w *world) toCaller(backend *worldBackend, datagram Datagram) {
	caller := w.callers[datagram.Key]
	w.later(func() {
		switch {
		case datagram.Kind == Accept && caller.openAt == nil && !caller.reset:
			caller.openAt, caller.number = backend, datagram.Number
			w.fromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.number, Payload: 1})
		case datagram.Kind == Data && caller.openAt == backend:
			caller.answered++
		case datagram.Kind == Data:
			w.violation = fmt.Sprintf("flow %v got data of back end %s, which does not hold it", caller.key, backend.id)
		}
	})
}

func (w *world) newCaller(port uint16) *worldCaller {
	caller := &worldCaller{key: holdKey(port), opening: w.random.Uint32()}
	w.callers[caller.key] = caller
	return caller
}

// callersOf returns the callers whose flows are open at the back end, in order of port.
func (w *world) callersOf(backend *worldBackend) []*worldCaller {
	var callers []*worldCaller
	for _, caller := range w.callers {
		if caller.openAt == backend && backend.open[caller.key] {
			callers = append(callers, caller)
		}
	}
	slices.SortFunc(callers, func(a, b *worldCaller) int { return a.key.Caller.Compare(b.key.Caller) })
	return callers
}

// begin lets a caller send its first opening datagram.
func (w *world) begin(port uint16) {
	caller := w.newCaller(port)
	w.fromCaller(Datagram{Key: caller.key, Kind: Opening, Number: caller.opening})
}

// call lets a caller open a flow and exchange one datagram. It says whether it was answered.
func (w *world) call(port uint16) bool {
	caller := w.newCaller(port)
	for copies := range uint32(4) {
		if caller.openAt == nil && !caller.reset {
			w.fromCaller(Datagram{Key: caller.key, Kind: Opening, Number: caller.opening, Copies: copies})
		}
		w.pass(resendPause)
		if caller.answered > 0 {
			return true
		}
	}
	return w.exchange(caller)
}

// exchange sends a datagram on an open flow until it is answered.
func (w *world) exchange(caller *worldCaller) bool {
	if caller.openAt == nil {
		return false
	}
	before := caller.answered
	for range callerPatience {
		w.fromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.number, Payload: 1})
		w.pass(resendPause)
		if caller.answered > before {
			return true
		}
	}
	return false
}

// worldBytes keeps the datagrams of the test world by the bytes that stand for them.
var worldBytes = map[string]Datagram{}

func encodeWorld(datagram Datagram) []byte {
	datagram.Bytes = nil
	bytes := fmt.Appendf(nil, "%+v", datagram)
	worldBytes[string(bytes)] = datagram
	return bytes
}

func decodeWorld(bytes []byte) Datagram {
	datagram := worldBytes[string(bytes)]
	datagram.Bytes = bytes
	return datagram
}
