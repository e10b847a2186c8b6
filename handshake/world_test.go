// This file simulates balancers and agents with back ends in virtual time, the test world.
// Datagrams and messages are delayed by up to two milliseconds and may be lost; processes
// may be suspended. Violations of invariants are recorded.

package handshake

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

const (
	worldService       = catalog.ServiceName("lessons")
	worldTickInterval  = 10 * time.Millisecond  // interval between ticks of all processes
	resendInterval     = 200 * time.Millisecond // interval at which a caller resends a datagram
	reportSequenceStep = 10                     // sequence number increment per report
	convergenceTime    = 2 * time.Second        // until all processes have received all statuses
	maxCallerAttempts  = 30                     // attempts after which a caller gives up
)

var worldAddress = netip.MustParseAddrPort("198.18.0.1:443")

// worldBackend is a simulated back end. It stores its own flows.
type worldBackend struct {
	id                instance.ID
	startedAt         time.Time     // start time by its own clock; zero: not reported
	previous          *worldBackend // the agent's previous back end with the same ID
	slots             uint32
	coldUntil         time.Time   // until then its reports state that it is cold
	acceptedAt        []time.Time // when it accepted new flows
	sequence          uint64
	draining          bool
	drainAcknowledged bool // the agent has acknowledged a draining report
	alive             bool
	halfOpen          map[flow.Key]uint32 // number with which each flow was accepted
	open              map[flow.Key]bool
	closed            map[flow.Key]bool // closed flows, whose datagrams it answers with a reset
	openingsReceived  int               // number of opening datagrams received
}

// worldAgent is a simulated agent with its back end.
type worldAgent struct {
	address          netip.AddrPort
	logic            *Agent
	backend          *worldBackend
	up               bool
	starts           int       // number of starts
	startedAt        time.Time // time of the latest start
	zone             catalog.ZoneName
	view             evacuation.View
	suspended        bool
	inbox            []func()       // events received while it was suspended
	recordWithdrawn  bool           // it has withdrawn its record
	visibleTo        *worldBalancer // the only balancer that receives its statuses; nil: all
	statusesDisabled bool           // it sends no statuses
	deliveryDelay    time.Duration  // added to the delivery of messages to it
	shutDown         bool           // it has announced its shutdown and has not restarted since
	lastTickAt       time.Time      // time of its latest tick
}

// worldBalancer is a simulated balancer.
type worldBalancer struct {
	address   netip.AddrPort
	logic     *Balancer
	up        bool
	starts    int       // number of starts
	startedAt time.Time // time of the latest start
	suspended bool
	view      evacuation.View
	inbox     []func() // events received while it was suspended
	// knowsDrops states that it counts the messages that its socket drops: inboxDrops.
	knowsDrops bool
	inboxDrops uint64
	busyUntil  time.Time // its processor is busy until then, if world.processingTime is set
}

// world is a simulated fleet with its callers.
type world struct {
	now               time.Time
	random            *rand.Rand
	table             *routing.Table
	balancers         []*worldBalancer
	ingress           *worldBalancer // receives all callers' datagrams; nil: a random balancer does
	agents            []*worldAgent
	callers           map[flow.Key]*worldCaller
	queue             []worldEvent
	loss              float64 // probability that a message or datagram is lost
	nextTick          time.Time
	load              *loadGenerator // simulates load and back ends' service times; nil: none
	violation         string         // describes the latest violation of an invariant; empty: none
	resets            int            // number of resets sent to callers
	responseTime      time.Duration  // time a back end takes to answer a request
	onMessage         func(Message)  // called with each message between processes, if set
	sequenceStep      uint64         // sequence increment per report
	storedEvacuations evacuation.Set // as stored; the first two balancers watch the store
	storeDown         bool
	options           BalancerOptions          // of balancers; Zone and Random are overwritten
	beforeReports     func()                   // called by losePower before the reports, if set
	strays            map[flow.Key][]time.Time // times at which datagrams reached other back ends
	processingTime    time.Duration            // of a balancer, per datagram or message
	datagrams         map[string]Datagram      // by the bytes that represent them
}

// worldEvent is an event that is due at a point in time.
type worldEvent struct {
	at  time.Time
	run func()
}

// newWorld returns a world with running balancers and agents. Each agent has a back end that has
// not reported yet, and a record that all balancers have read.
func newWorld(seed uint64, balancers, agents int) *world {
	w := &world{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)),
		callers: map[flow.Key]*worldCaller{}, sequenceStep: reportSequenceStep, strays: map[flow.Key][]time.Time{}, datagrams: map[string]Datagram{}}
	table, err := routing.New(routing.Content{Version: 1, Routes: []routing.Route{{Name: "r",
		Address: worldAddress, Targets: []routing.Target{{Service: worldService, Weight: 1}}}}})
	if err != nil {
		panic(err)
	}
	w.table = table
	w.addBalancers(balancers)
	for i := range agents {
		agent := &worldAgent{zone: "a",
			address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", 1+i/250, i%250+1)),
			backend: newWorldBackend(instance.ID(fmt.Sprintf("i-%d", i)))}
		w.agents = append(w.agents, agent)
		w.startAgent(agent)
	}
	for _, balancer := range w.balancers {
		balancer.logic.SetRecords(w.now, w.now, w.recorded())
	}
	return w
}

// addBalancers starts additional balancers.
func (w *world) addBalancers(count int) {
	for range count {
		balancer := &worldBalancer{
			address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", len(w.balancers)+1)),
		}
		w.balancers = append(w.balancers, balancer)
		w.startBalancer(balancer)
	}
}

// recorded returns the addresses of all agents that have a record in the store.
func (w *world) recorded() []netip.AddrPort {
	var recorded []netip.AddrPort
	for _, agent := range w.agents {
		if !agent.recordWithdrawn {
			recorded = append(recorded, agent.address)
		}
	}
	return recorded
}

func (w *world) startBalancer(balancer *worldBalancer) {
	options := w.options
	options.Zone, options.Random = "a", rand.New(rand.NewPCG(w.random.Uint64(), 1))
	balancer.logic = NewBalancer(w.now, options)
	balancer.logic.Configure(w.table)
	balancer.logic.SetRecords(w.now, w.now, w.recorded())
	balancer.up, balancer.suspended, balancer.inbox = true, false, nil
	balancer.view = evacuation.View{}
	balancer.starts++
	balancer.startedAt = w.now
}

func (w *world) startAgent(agent *worldAgent) {
	agent.view = evacuation.View{}
	agent.logic = NewAgent(w.now, AgentOptions{Zone: agent.zone, Service: worldService,
		FlowLifetime: time.Minute, ReportInterval: time.Second})
	agent.up, agent.suspended, agent.inbox = true, false, nil
	agent.starts++
	agent.startedAt = w.now
}

// schedule runs the function after a short random delay, or drops it with the probability w.loss.
func (w *world) schedule(run func()) {
	if w.random.Float64() < w.loss {
		return
	}
	delay := time.Duration(500+w.random.IntN(1500)) * time.Microsecond
	w.queue = append(w.queue, worldEvent{w.now.Add(delay), run})
}

// advance advances the virtual time, delivers due events and ticks all processes.
func (w *world) advance(duration time.Duration) {
	step := worldTickInterval
	if w.load != nil {
		step = loadTick
	}
	for end := w.now.Add(duration); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.deliverDue()
		if w.now.Before(w.nextTick) {
			continue
		}
		w.nextTick = w.now.Add(worldTickInterval)
		w.tick()
	}
}

func (w *world) deliverDue() {
	for again := true; again; {
		again = false
		pending := w.queue
		w.queue = nil
		for _, event := range pending {
			if event.at.After(w.now) {
				w.queue = append(w.queue, event)
				continue
			}
			event.run()
			again = true
		}
	}
}

func (w *world) tick() {
	for i, balancer := range w.balancers {
		if balancer.up && !balancer.suspended {
			if balancer.knowsDrops {
				balancer.logic.RecordDroppedMessages(balancer.inboxDrops)
			}
			w.executeBalancerActions(balancer, balancer.logic.Tick(w.now))
			w.pollEvacuations(i, balancer)
			w.broadcastStatus(balancer)
			w.broadcastEvacuations(balancer)
			w.readRecords(balancer)
		}
	}
	for _, agent := range w.agents {
		w.tickAgent(agent)
	}
}

func (w *world) tickAgent(agent *worldAgent) {
	if !agent.up || agent.suspended {
		return
	}
	agent.lastTickAt = w.now
	agent.shutDown = agent.shutDown && agent.logic.shuttingDown
	w.executeAgentActions(agent, agent.logic.Tick(w.now))
	if agent.logic.Tracker().CheckDue(w.now) {
		agent.logic.Tracker().Checked(w.now, agent.backend.check())
	}
	w.updateRecord(agent)
	if agent.logic.BackendPossiblyAbsent() {
		return // without a back end it sends no statuses
	}
	status := Status{ID: string(agent.backend.id), Role: presence.RoleAgent, Zone: agent.zone,
		Evacuations: agent.view.Announced(), Incarnation: uint64(agent.starts), Service: worldService,
		Backend: string(agent.logic.Tracker().Latest().ID), Load: agent.logic.Load(w.now),
		ShuttingDown: agent.logic.shuttingDown,
		Drained:      agent.logic.shuttingDown && agent.logic.HoldsNothing(w.now),
		Uptime:       max(1, w.now.Sub(agent.startedAt))}
	for _, balancer := range w.balancers {
		if !agent.statusesDisabled && (agent.visibleTo == nil || agent.visibleTo == balancer) {
			w.deliverToBalancer(balancer, func() {
				balancer.logic.HandleStatus(w.now, agent.address, status)
				w.updateBalancerEvacuations(balancer, status.Evacuations)
			})
		}
	}
}

// broadcastStatus sends a balancer's status to the other balancers.
func (w *world) broadcastStatus(from *worldBalancer) {
	evacuations := from.view.Announced()
	for _, to := range w.balancers {
		if to != from {
			w.deliverToBalancer(to, func() {
				to.logic.HandleStatus(w.now, from.address, Status{Role: presence.RoleBalancer, Zone: "a",
					Uptime: max(1, w.now.Sub(from.startedAt))})
				w.updateBalancerEvacuations(to, evacuations)
			})
		}
	}
}

// report sends a report of the agent's back end. It returns whether the agent acknowledged it.
func (w *world) report(agent *worldAgent) bool {
	backend := agent.backend
	if !agent.up || agent.suspended || !backend.alive {
		return false
	}
	backend.sequence += w.sequenceStep
	_, err := agent.logic.Tracker().Report(w.now, backend.report(w.now))
	backend.drainAcknowledged = backend.drainAcknowledged || err == nil && backend.draining
	return err == nil
}

// deliverToBalancer runs the handler on the balancer after the network delay. A suspended balancer
// runs it when it resumes; a stopped one drops it.
func (w *world) deliverToBalancer(balancer *worldBalancer, handle func()) {
	w.schedule(func() {
		switch {
		case !balancer.up:
		case balancer.suspended:
			balancer.inbox = append(balancer.inbox, handle)
		default:
			handle()
		}
	})
}

// process runs the handler of a received datagram or message when the balancer's processor has
// finished the earlier ones. Statuses take no processor time, as the simulation sends them far more
// often than a real fleet does.
func (w *world) process(balancer *worldBalancer, handle func()) {
	if w.processingTime == 0 {
		handle()
		return
	}
	if balancer.busyUntil.Before(w.now) {
		balancer.busyUntil = w.now
	}
	balancer.busyUntil = balancer.busyUntil.Add(w.processingTime)
	starts := balancer.starts
	w.queue = append(w.queue, worldEvent{balancer.busyUntil, func() {
		if balancer.up && balancer.starts == starts {
			handle()
		}
	}})
}

// resumeBalancer resumes a suspended balancer, which then handles what it received meanwhile.
func (w *world) resumeBalancer(balancer *worldBalancer) {
	balancer.suspended = false
	for _, handle := range balancer.inbox {
		handle()
	}
	balancer.inbox = nil
}

// dropInbox drops what a suspended balancer has received so far.
func (w *world) dropInbox(balancer *worldBalancer) {
	balancer.inboxDrops += uint64(len(balancer.inbox))
	balancer.inbox = nil
}
