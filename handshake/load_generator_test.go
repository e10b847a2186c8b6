// This file generates load on the test world: callers that send requests at a given rate, with
// latency targets, deadlines and retries, and back ends with slots, queues and service times. It
// counts the outcomes of the requests and simulates outages.

package handshake

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/routing"
)

// loadTick is the simulation step of a world under load. The step of other worlds is
// worldTickInterval.
const loadTick = time.Millisecond

// Retransmission and retry settings of callers.
const (
	loadFirstCopyDelay  = 200 * time.Millisecond  // from a try's start to its opening's first copy
	loadSecondCopyDelay = 600 * time.Millisecond  // from a try's start to its second copy
	loadTryTimeout      = 1400 * time.Millisecond // after which an unaccepted try ends
	loadMaxTries        = 3
	loadResendInterval  = 200 * time.Millisecond // between copies of a request on an open flow
)

// Slowdown of back ends that have just started.
const (
	loadColdPeriod = 2 * time.Second
	loadColdFactor = 1.6 // of the service time during loadColdPeriod
)

// loadKind describes one kind of request.
type loadKind struct {
	name          string
	perSecond     float64
	serviceTime   time.Duration // mean service time at a warm back end
	latencyTarget time.Duration
	deadline      time.Duration // after which an unanswered request has failed
	priority      uint
	requestKind   routing.RequestKind
}

// loadResult counts the outcomes of requests of one kind: answered within the latency target,
// answered later, and failed. The field sent is their sum.
type loadResult struct{ sent, inTarget, late, failed int }

// share returns the fraction of the requests that were answered within their latency target.
func (r loadResult) share() float64 { return float64(r.inTarget) / math.Max(1, float64(r.sent)) }

func (r *loadResult) add(other loadResult) {
	r.sent += other.sent
	r.inTarget += other.inTarget
	r.late += other.late
	r.failed += other.failed
}

// loadRequest is a request with all its tries. Each try opens a flow of its own.
type loadRequest struct {
	kind      *loadKind
	startedAt time.Time // start of the first try
	triedAt   time.Time // start of the latest try
	tries     int
	caller    *worldCaller // of the latest try
	copies    uint32       // copies sent of the latest try's opening
	resentAt  time.Time    // when the request was last sent on the open flow; zero: not yet
}

// loadBackend simulates the slots and the queue of a back end.
type loadBackend struct {
	startedAt time.Time // zero: the back end is warm
	running   int       // number of busy slots
	pending   []func()  // functions that start the queued requests
}

// loadGenerator simulates callers and back ends under load.
type loadGenerator struct {
	world      *world
	kinds      []loadKind
	routes     map[netip.AddrPort]*loadKind
	rateFactor float64 // multiplies the rates of all kinds
	requests   []*loadRequest
	backends   map[*worldBackend]*loadBackend
	slowdown   map[*worldAgent]float64 // factor of the service time at an agent's back end
	received   map[flow.Key]bool       // flows whose request a back end has received
	results    map[string]*loadResult
	countFrom  time.Time // requests that start in [countFrom, countUntil) are counted
	countUntil time.Time
	nextPort   uint32
	reportedAt time.Time
}

// generateLoad configures a route for each kind and returns the generator of the requests.
func (w *world) generateLoad(kinds []loadKind) *loadGenerator {
	g := &loadGenerator{world: w, kinds: kinds, rateFactor: 1, routes: map[netip.AddrPort]*loadKind{}, backends: map[*worldBackend]*loadBackend{},
		slowdown: map[*worldAgent]float64{}, received: map[flow.Key]bool{}, results: map[string]*loadResult{}, countFrom: w.now, countUntil: w.now.Add(time.Hour)}
	var routes []routing.Route
	for i := range g.kinds {
		kind := &g.kinds[i]
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 443)
		g.routes[address] = kind
		g.results[kind.name] = &loadResult{}
		routes = append(routes, routing.Route{Name: kind.name, Address: address, Priority: kind.priority, LatencyTarget: kind.latencyTarget,
			Timeout: kind.deadline, RequestKind: kind.requestKind,
			Targets: []routing.Target{{Service: worldService, Weight: 1}}})
	}
	table, err := routing.New(routing.Content{Version: w.table.Version() + 1, Routes: routes})
	if err != nil {
		panic(err)
	}
	w.table = table
	for _, balancer := range w.balancers {
		balancer.logic.Configure(table)
	}
	w.load = g
	return g
}

// advance advances the simulation by the duration.
func (g *loadGenerator) advance(duration time.Duration) {
	for end := g.world.now.Add(duration); g.world.now.Before(end); {
		g.startRequests()
		g.world.advance(loadTick)
		g.report()
		g.requests = slices.DeleteFunc(g.requests, g.step)
	}
}

// startRequests starts requests at random, at the rates of their kinds.
func (g *loadGenerator) startRequests() {
	for address, kind := range g.sortedRoutes() {
		if g.world.random.Float64() < g.rateFactor*kind.perSecond*loadTick.Seconds() {
			request := &loadRequest{kind: kind, startedAt: g.world.now}
			g.startTry(request, address)
			g.requests = append(g.requests, request)
		}
	}
}

// sortedRoutes yields the routes in a fixed order.
func (g *loadGenerator) sortedRoutes() func(func(netip.AddrPort, *loadKind) bool) {
	return func(yield func(netip.AddrPort, *loadKind) bool) {
		for i := range g.kinds {
			if !yield(netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 443), &g.kinds[i]) {
				return
			}
		}
	}
}

// startTry starts the request's next try from a new port.
func (g *loadGenerator) startTry(request *loadRequest, address netip.AddrPort) {
	w := g.world
	g.nextPort++
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(g.nextPort >> 24), byte(g.nextPort >> 16)}), uint16(g.nextPort))
	request.caller = &worldCaller{key: flow.Key{Caller: from, Service: address}, openingNumber: w.random.Uint32()}
	w.callers[request.caller.key] = request.caller
	request.tries++
	request.triedAt, request.copies, request.resentAt = w.now, 0, time.Time{}
	w.sendFromCaller(Datagram{Key: request.caller.key, Kind: Opening, Number: request.caller.openingNumber})
}

// step counts the outcome of a request that has ended; otherwise it sends the datagram or starts
// the try that is due. It reports whether the request has ended.
func (g *loadGenerator) step(request *loadRequest) bool {
	w, caller := g.world, request.caller
	age := w.now.Sub(request.startedAt)
	switch {
	case caller.answers > 0:
		g.count(request, func(r *loadResult) {
			if age <= request.kind.latencyTarget {
				r.inTarget++
			} else {
				r.late++
			}
		})
		return true
	case age > request.kind.deadline, request.tries == loadMaxTries && g.tryHasEnded(request):
		g.count(request, func(r *loadResult) { r.failed++ })
		return true
	case g.tryHasEnded(request):
		g.startTry(request, caller.key.Service)
	case caller.acceptedBy == nil:
		g.sendCopy(request)
	default:
		g.resend(request)
	}
	return false
}

// tryHasEnded reports whether the latest try has ended without opening a flow or, if the request
// may be repeated, by a reset.
func (g *loadGenerator) tryHasEnded(request *loadRequest) bool {
	caller := request.caller
	if caller.reset && request.kind.requestKind.MayRetry() {
		return true
	}
	return caller.acceptedBy == nil && (caller.reset || g.world.now.Sub(request.triedAt) > loadTryTimeout)
}

// sendCopy sends a copy of the latest try's opening if one is due.
func (g *loadGenerator) sendCopy(request *loadRequest) {
	elapsed := g.world.now.Sub(request.triedAt)
	if request.copies == 0 && elapsed >= loadFirstCopyDelay || request.copies == 1 && elapsed >= loadSecondCopyDelay {
		request.copies++
		g.world.sendFromCaller(Datagram{Key: request.caller.key, Kind: Opening, Number: request.caller.openingNumber, Retransmits: request.copies, Age: elapsed})
	}
}

// resend sends the request again on its open flow if that is due.
func (g *loadGenerator) resend(request *loadRequest) {
	if request.resentAt.IsZero() {
		request.resentAt = g.world.now // deliverToCaller has sent it with the confirmation
	}
	if g.world.now.Sub(request.resentAt) >= loadResendInterval {
		request.resentAt = g.world.now
		g.world.sendFromCaller(Datagram{Key: request.caller.key, Kind: Data, Confirms: request.caller.backendNumber, PayloadLength: 1})
	}
}

func (g *loadGenerator) count(request *loadRequest, outcome func(*loadResult)) {
	if request.startedAt.Before(g.countFrom) || !request.startedAt.Before(g.countUntil) {
		return
	}
	result := g.results[request.kind.name]
	result.sent++
	outcome(result)
}

// countBetween clears the counts and counts the requests that start between now+from and now+until.
func (g *loadGenerator) countBetween(from, until time.Duration) {
	g.countFrom, g.countUntil = g.world.now.Add(from), g.world.now.Add(until)
	for _, result := range g.results {
		*result = loadResult{}
	}
}

// finish runs until all pending requests have ended, without starting new ones.
func (g *loadGenerator) finish() {
	g.rateFactor = 0
	for len(g.requests) > 0 {
		g.advance(100 * time.Millisecond)
	}
}

// serve runs a request at the agent's back end, or queues it there if all slots are busy. It
// ignores copies of a request on the same flow.
func (g *loadGenerator) serve(agent *worldAgent, answer Datagram) {
	if g.received[answer.Key] {
		return
	}
	g.received[answer.Key] = true
	backend := g.backendOf(agent.backend)
	run := func() { g.run(agent, backend, answer) }
	if backend.running >= int(agent.backend.slots) {
		backend.pending = append(backend.pending, run)
		return
	}
	backend.running++
	run()
}

// run schedules the answer to a request; the next queued request then gets its slot.
func (g *loadGenerator) run(agent *worldAgent, backend *loadBackend, answer Datagram) {
	w, target := g.world, agent.backend
	w.queue = append(w.queue, worldEvent{w.now.Add(g.drawServiceTime(agent, backend, answer.Key)), func() {
		if !target.alive {
			return
		}
		w.deliverFromBackend(agent, answer)
		if len(backend.pending) == 0 {
			backend.running--
			return
		}
		next := backend.pending[0]
		backend.pending = backend.pending[1:]
		next()
	}})
}

// drawServiceTime draws a request's service time uniformly from 0.5 to 1.5 times its kind's mean. A
// cold or slowed back end multiplies it.
func (g *loadGenerator) drawServiceTime(agent *worldAgent, backend *loadBackend, key flow.Key) time.Duration {
	serviceTime := float64(g.routes[key.Service].serviceTime) * (0.5 + g.world.random.Float64())
	if g.world.now.Sub(backend.startedAt) < loadColdPeriod {
		serviceTime *= loadColdFactor
	}
	if factor := g.slowdown[agent]; factor > 0 {
		serviceTime *= factor
	}
	return time.Duration(serviceTime)
}

func (g *loadGenerator) backendOf(target *worldBackend) *loadBackend {
	if g.backends[target] == nil {
		g.backends[target] = &loadBackend{}
	}
	return g.backends[target]
}

// report delivers the reports of all back ends once a second.
func (g *loadGenerator) report() {
	w := g.world
	if w.now.Sub(g.reportedAt) < time.Second {
		return
	}
	g.reportedAt = w.now
	for _, agent := range w.agents {
		w.report(agent)
	}
}

// outage stops all processes and back ends for the duration and then restarts them; the back ends
// are cold. Callers send requests throughout.
func (g *loadGenerator) outage(duration time.Duration) {
	w := g.world
	for _, balancer := range w.balancers {
		balancer.up = false
	}
	for _, agent := range w.agents {
		agent.up, agent.backend.alive = false, false
	}
	g.advance(duration)
	for _, agent := range w.agents {
		slots := agent.backend.slots
		w.startAgent(agent)
		w.replaceBackendUnreported(agent)
		agent.backend.slots = slots
		agent.backend.coldUntil = w.now.Add(loadColdPeriod)
		g.backendOf(agent.backend).startedAt = w.now
	}
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
	g.reportedAt = time.Time{}
}

// total returns the sum of the results of all kinds.
func (g *loadGenerator) total() loadResult {
	var sum loadResult
	for _, result := range g.results {
		sum.add(*result)
	}
	return sum
}

// String lists the results by kind.
func (g *loadGenerator) String() string {
	var lines []string
	for i := range g.kinds {
		result := g.results[g.kinds[i].name]
		lines = append(lines, fmt.Sprintf("%s: sent %d, in target %d (%.3f), late %d, failed %d", g.kinds[i].name,
			result.sent, result.inTarget, result.share(), result.late, result.failed))
	}
	return strings.Join(lines, "; ")
}
