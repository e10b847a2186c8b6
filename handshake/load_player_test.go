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

// The load player: callers that ask at a rate, with aims, deadlines and further tries, and back ends with
// slots, a queue and service times, in the test world. It tells what callers get.

// loadStep is the time between two rounds of a world with a load; without one it is worldRest.
const loadStep = time.Millisecond

// Times of a caller's tries, as callers on the platform have them.
const (
	loadFirstCopy  = 200 * time.Millisecond // of the opening, after the first
	loadSecondCopy = 600 * time.Millisecond
	loadTryTime    = 1400 * time.Millisecond // after which a try without an accept ends
	loadTries      = 3
	loadResend     = 200 * time.Millisecond // of a request on an open flow without an answer
)

// Of back ends that have just started.
const (
	loadColdTime   = 2 * time.Second
	loadColdFactor = 1.6 // by which they are slower then
)

// loadKind is one kind of request.
type loadKind struct {
	name      string
	perSecond float64
	work      time.Duration // mean, at a warm back end
	aim       time.Duration
	deadline  time.Duration
	priority  uint
	requests  routing.RequestKind
}

// loadResult counts what callers of one kind got.
type loadResult struct{ asked, inAim, late, failed int }

// share returns the part that was answered within its aim.
func (r loadResult) share() float64 { return float64(r.inAim) / math.Max(1, float64(r.asked)) }

func (r *loadResult) add(other loadResult) {
	r.asked += other.asked
	r.inAim += other.inAim
	r.late += other.late
	r.failed += other.failed
}

// loadRequest is one request of a caller, with all its tries.
type loadRequest struct {
	kind   *loadKind
	begun  time.Time // of the first try
	tried  time.Time // when the latest began
	tries  int
	caller *worldCaller // of the latest
	copies uint32       // of its opening
	resent time.Time    // when the request on the open flow was sent last
}

// loadBackend is a back end that takes time.
type loadBackend struct {
	started time.Time
	running int
	waiting []func()
}

// loadPlayer plays callers and back ends.
type loadPlayer struct {
	world    *world
	kinds    []loadKind
	routes   map[netip.AddrPort]*loadKind
	factor   float64 // of the rates of all kinds
	requests []*loadRequest
	backends map[*worldBackend]*loadBackend
	slow     map[*worldAgent]float64 // by which an agent's back end is slower
	taken    map[flow.Key]bool       // requests that a back end has begun
	counted  map[string]*loadResult
	from     time.Time // requests that begin before are not counted, nor those after until
	until    time.Time
	nextPort uint32
	reported time.Time
}

// play lets the kinds of requests come to the world's balancers.
func (w *world) play(kinds []loadKind) *loadPlayer {
	clear(worldBytes)
	p := &loadPlayer{world: w, kinds: kinds, factor: 1, routes: map[netip.AddrPort]*loadKind{}, backends: map[*worldBackend]*loadBackend{},
		slow: map[*worldAgent]float64{}, taken: map[flow.Key]bool{}, counted: map[string]*loadResult{}, from: w.now, until: w.now.Add(time.Hour)}
	var routes []routing.Route
	for i := range p.kinds {
		kind := &p.kinds[i]
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 443)
		p.routes[address] = kind
		p.counted[kind.name] = &loadResult{}
		routes = append(routes, routing.Route{Name: kind.name, Address: address, Priority: kind.priority, Aim: kind.aim,
			Timeout: kind.deadline, Requests: kind.requests,
			Targets: []routing.Target{{Service: worldService, Weight: 1}}})
	}
	table, err := routing.New(routing.Content{Version: w.table.Version() + 1, Routes: routes})
	if err != nil {
		panic(err)
	}
	w.table = table
	for _, balancer := range w.balancers {
		balancer.decider.Configure(table)
	}
	w.load = p
	return p
}

// pass lets the time pass.
func (p *loadPlayer) pass(duration time.Duration) {
	for end := p.world.now.Add(duration); p.world.now.Before(end); {
		p.arrive()
		p.world.pass(loadStep)
		p.report()
		p.requests = slices.DeleteFunc(p.requests, p.step)
	}
}

// arrive lets requests begin by chance, at the rates of their kinds.
func (p *loadPlayer) arrive() {
	for address, kind := range p.sortedRoutes() {
		if p.world.random.Float64() < p.factor*kind.perSecond*loadStep.Seconds() {
			request := &loadRequest{kind: kind, begun: p.world.now}
			p.try(request, address)
			p.requests = append(p.requests, request)
		}
	}
}

// sortedRoutes yields the routes in a fixed order.
func (p *loadPlayer) sortedRoutes() func(func(netip.AddrPort, *loadKind) bool) {
	return func(yield func(netip.AddrPort, *loadKind) bool) {
		for i := range p.kinds {
			if !yield(netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 443), &p.kinds[i]) {
				return
			}
		}
	}
}

// try begins a request's next try, from a new port.
func (p *loadPlayer) try(request *loadRequest, address netip.AddrPort) {
	w := p.world
	p.nextPort++
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(p.nextPort >> 24), byte(p.nextPort >> 16)}), uint16(p.nextPort))
	request.caller = &worldCaller{key: flow.Key{Caller: from, Service: address}, opening: w.random.Uint32()}
	w.callers[request.caller.key] = request.caller
	request.tries++
	request.tried, request.copies, request.resent = w.now, 0, time.Time{}
	w.fromCaller(Datagram{Key: request.caller.key, Kind: Opening, Number: request.caller.opening})
}

// step looks what has become of a request and sends what is due. It says whether the request is over.
func (p *loadPlayer) step(request *loadRequest) bool {
	w, caller := p.world, request.caller
	age := w.now.Sub(request.begun)
	switch {
	case caller.answered > 0:
		p.count(request, func(r *loadResult) {
			if age <= request.kind.aim {
				r.inAim++
			} else {
				r.late++
			}
		})
		return true
	case age > request.kind.deadline, request.tries == loadTries && p.tryIsOver(request):
		p.count(request, func(r *loadResult) { r.failed++ })
		return true
	case p.tryIsOver(request):
		p.try(request, caller.key.Service)
	case caller.openAt == nil:
		p.sendCopy(request)
	default:
		p.resend(request)
	}
	return false
}

// tryIsOver says whether the request's latest try has ended without having opened a flow, or, where the request may be
// repeated, by a reset.
func (p *loadPlayer) tryIsOver(request *loadRequest) bool {
	caller := request.caller
	if caller.reset && request.kind.requests.MayRepeat() {
		return true
	}
	return caller.openAt == nil && (caller.reset || p.world.now.Sub(request.tried) > loadTryTime)
}

func (p *loadPlayer) sendCopy(request *loadRequest) {
	since := p.world.now.Sub(request.tried)
	if request.copies == 0 && since >= loadFirstCopy || request.copies == 1 && since >= loadSecondCopy {
		request.copies++
		p.world.fromCaller(Datagram{Key: request.caller.key, Kind: Opening, Number: request.caller.opening, Copies: request.copies, Age: since})
	}
}

func (p *loadPlayer) resend(request *loadRequest) {
	if request.resent.IsZero() {
		request.resent = p.world.now // the world has sent it with the confirmation
	}
	if p.world.now.Sub(request.resent) >= loadResend {
		request.resent = p.world.now
		p.world.fromCaller(Datagram{Key: request.caller.key, Kind: Data, Confirms: request.caller.number, Payload: 1})
	}
}

func (p *loadPlayer) count(request *loadRequest, outcome func(*loadResult)) {
	if request.begun.Before(p.from) || !request.begun.Before(p.until) {
		return
	}
	result := p.counted[request.kind.name]
	result.asked++
	outcome(result)
}

// countBetween counts only the requests that begin in this span from now on.
func (p *loadPlayer) countBetween(from, until time.Duration) {
	p.from, p.until = p.world.now.Add(from), p.world.now.Add(until)
	for _, result := range p.counted {
		*result = loadResult{}
	}
}

// finish lets the requests that are under way end, without new ones.
func (p *loadPlayer) finish() {
	p.factor = 0
	for len(p.requests) > 0 {
		p.pass(100 * time.Millisecond)
	}
}

// serve lets a back end work on a request and answer it.
func (p *loadPlayer) serve(agent *worldAgent, answer Datagram) {
	if p.taken[answer.Key] {
		return
	}
	p.taken[answer.Key] = true
	backend := p.backendOf(agent.backend)
	run := func() { p.run(agent, backend, answer) }
	if backend.running >= int(agent.backend.slots) {
		backend.waiting = append(backend.waiting, run)
		return
	}
	backend.running++
	run()
}

// run works on a request in a slot and then lets the next one have it.
func (p *loadPlayer) run(agent *worldAgent, backend *loadBackend, answer Datagram) {
	w, held := p.world, agent.backend
	w.queue = append(w.queue, worldEvent{w.now.Add(p.workTime(agent, backend, answer.Key)), func() {
		if !held.alive {
			return
		}
		w.fromBackend(agent, answer)
		if len(backend.waiting) == 0 {
			backend.running--
			return
		}
		next := backend.waiting[0]
		backend.waiting = backend.waiting[1:]
		next()
	}})
}

// workTime draws how long a request takes: from half of its kind's mean to one and a half.
func (p *loadPlayer) workTime(agent *worldAgent, backend *loadBackend, key flow.Key) time.Duration {
	took := float64(p.routes[key.Service].work) * (0.5 + p.world.random.Float64())
	if p.world.now.Sub(backend.started) < loadColdTime {
		took *= loadColdFactor
	}
	if factor := p.slow[agent]; factor > 0 {
		took *= factor
	}
	return time.Duration(took)
}

func (p *loadPlayer) backendOf(held *worldBackend) *loadBackend {
	if p.backends[held] == nil {
		p.backends[held] = &loadBackend{}
	}
	return p.backends[held]
}

// report lets all back ends report about themselves each second.
func (p *loadPlayer) report() {
	w := p.world
	if w.now.Sub(p.reported) < time.Second {
		return
	}
	p.reported = w.now
	for _, agent := range w.agents {
		w.report(agent)
	}
}

// outage takes the power from all processes and back ends for a time; callers go on.
func (p *loadPlayer) outage(duration time.Duration) {
	w := p.world
	for _, balancer := range w.balancers {
		balancer.up = false
	}
	for _, agent := range w.agents {
		agent.up, agent.backend.alive = false, false
	}
	p.pass(duration)
	for _, agent := range w.agents {
		slots := agent.backend.slots
		w.startAgent(agent)
		w.startBackend(agent)
		agent.backend.slots = slots
		agent.backend.cold = w.now.Add(loadColdTime)
		p.backendOf(agent.backend).started = w.now
	}
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
	p.reported = time.Time{}
}

// total returns what callers of all kinds got.
func (p *loadPlayer) total() loadResult {
	var sum loadResult
	for _, result := range p.counted {
		sum.add(*result)
	}
	return sum
}

// String tells what callers got, by kind.
func (p *loadPlayer) String() string {
	var lines []string
	for i := range p.kinds {
		result := p.counted[p.kinds[i].name]
		lines = append(lines, fmt.Sprintf("%s: asked %d, in aim %d (%.3f), late %d, failed %d", p.kinds[i].name,
			result.asked, result.inAim, result.share(), result.late, result.failed))
	}
	return strings.Join(lines, "; ")
}
