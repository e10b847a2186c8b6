package flow

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Options are the times and conditions of a Decider.
type Options struct {
	// IdleTimeout is how long a flow lives without a datagram.
	IdleTimeout time.Duration
	// DrainIdleTimeout is the same once the agent is leaving, but not for flows
	// of HTTP services, whose connections tell when they are over; 0: no change.
	DrainIdleTimeout time.Duration
	// DecisionLifetime is how long an arbiter keeps a choice, and a back end a
	// refusal. It must exceed the time that a datagram can be under way.
	DecisionLifetime time.Duration
	// Confirmed says whether the agent's peers are known to hold it for alive.
	// Without that it neither arbitrates nor admits, since others may have
	// taken over: it holds the datagram until then. Nil means always.
	Confirmed func(now time.Time) bool
}

// DefaultDecisionLifetime is far above the time that a datagram stays in a
// network or a socket buffer.
const DefaultDecisionLifetime = 10 * time.Second

// Decider holds what one agent knows about flows and decides on each datagram.
// It is not safe for concurrent use.
//
// Why no flow is admitted twice: a flow is admitted only by the choice of its
// arbiter, the same agent for all that hold the same revision of the service.
// A search passes every live agent of the service before it reaches the arbiter,
// and an agent that sees a revision holds it from then on. So when an arbiter
// chooses at some revision, every other agent refuses to arbitrate or to admit
// at a lower one.
type Decider struct {
	self      netip.AddrPort
	liveness  Liveness
	options   Options
	snapshot  *catalog.Snapshot
	flows     map[Key]*flowRecord
	counts    map[backendIdentity]int // open flows of each back end
	decisions expiringMap[Key, backendIdentity]
	refusals  expiringMap[refusal, struct{}]
	hints     hints
	rows      map[catalog.ServiceName]*rowCache
	trust     trust
	leaving   bool
}

// backendIdentity names one host for as long as it exists; another host under
// the same id has another incarnation.
type backendIdentity struct {
	service     catalog.ServiceName
	id          catalog.BackendID
	incarnation uint64
}

// indexOf returns the index of the host in the service object, NoBackend if it is
// not there.
func indexOf(service *catalog.Service, identity backendIdentity) int {
	for index := range service.Backends {
		if identityOf(service, &service.Backends[index]) == identity {
			return index
		}
	}
	return NoBackend
}

func identityOf(service *catalog.Service, backend *catalog.Backend) backendIdentity {
	return backendIdentity{service.Name, backend.ID, backend.Incarnation}
}

// refusal names a flow and a back end that would not admit it. It holds for one
// revision: at a later one the arbiter chooses anew, after every agent has seen it.
type refusal struct {
	key      Key
	backend  backendIdentity
	revision catalog.Revision
}

// flowRecord is one open flow.
type flowRecord struct {
	service  *catalog.Service // as of the admission
	backend  *catalog.Backend // as of the admission
	opened   time.Time
	lastSeen time.Time
}

// NewDecider returns a decider for the agent with the data address self.
func NewDecider(self netip.AddrPort, liveness Liveness, options Options) *Decider {
	if options.DecisionLifetime == 0 {
		options.DecisionLifetime = DefaultDecisionLifetime
	}
	if options.Confirmed == nil {
		options.Confirmed = func(time.Time) bool { return true }
	}
	return &Decider{
		self:      self,
		liveness:  liveness,
		options:   options,
		snapshot:  catalog.Empty(),
		flows:     map[Key]*flowRecord{},
		counts:    map[backendIdentity]int{},
		decisions: newExpiringMap[Key, backendIdentity](options.DecisionLifetime),
		refusals:  newExpiringMap[refusal, struct{}](options.DecisionLifetime),
		hints:     newHints(),
		rows:      map[catalog.ServiceName]*rowCache{},
	}
}

// Leave makes the agent refuse every new flow from now on. It keeps the flows it
// has and still searches and arbitrates for others.
func (d *Decider) Leave() { d.leaving = true }

// Flows returns the number of open flows.
func (d *Decider) Flows() int { return len(d.flows) }

// FlowsOf returns the number of open flows of one back end.
func (d *Decider) FlowsOf(service *catalog.Service, backend *catalog.Backend) int {
	return d.counts[identityOf(service, backend)]
}

// End forgets a flow that is over.
func (d *Decider) End(key Key) {
	record := d.flows[key]
	if record == nil {
		return
	}
	delete(d.flows, key)
	identity := identityOf(record.service, record.backend)
	d.counts[identity]--
	if d.counts[identity] == 0 {
		delete(d.counts, identity)
	}
}

// Expire ends the flows that have been idle for too long and returns their keys.
func (d *Decider) Expire(now time.Time) []Key {
	var idle []Key
	for key, record := range d.flows {
		if now.Sub(record.lastSeen) >= d.idleTimeout(record) {
			idle = append(idle, key)
			d.End(key)
		}
	}
	d.decisions.expire(now)
	d.refusals.expire(now)
	d.hints.known.expire(now)
	return idle
}

func (d *Decider) idleTimeout(record *flowRecord) time.Duration {
	if !d.leaving || d.options.DrainIdleTimeout == 0 || record.service.Protocol == catalog.ProtocolHTTP {
		return d.options.IdleTimeout
	}
	return min(d.options.IdleTimeout, d.options.DrainIdleTimeout)
}

// SetSnapshot takes in a newer configuration and ignores an older one. It
// returns the keys of flows that had to end because their service's or their
// back end's address has passed to another holder: whatever they still carry
// must not reach it.
func (d *Decider) SetSnapshot(snapshot *catalog.Snapshot) []Key {
	if snapshot.Revision() < d.snapshot.Revision() {
		return nil
	}
	d.snapshot = snapshot
	holders := d.addressHolders()
	var ended []Key
	for key, record := range d.flows {
		if d.addressPassedOn(key, record, holders) {
			ended = append(ended, key)
			d.End(key)
		}
	}
	return ended
}

func (d *Decider) addressPassedOn(key Key, record *flowRecord, holders map[netip.AddrPort]backendIdentity) bool {
	service := d.snapshot.ServiceAt(key.Service)
	if service != nil && service.Name != record.service.Name {
		return true
	}
	holder, held := holders[record.backend.Address]
	return held && holder != identityOf(record.service, record.backend)
}

// addressHolders returns which host holds each address behind this agent.
func (d *Decider) addressHolders() map[netip.AddrPort]backendIdentity {
	holders := map[netip.AddrPort]backendIdentity{}
	for _, service := range d.snapshot.Services() {
		for index := range service.Backends {
			backend := &service.Backends[index]
			if backend.Agent == d.self {
				holders[backend.Address] = identityOf(service, backend)
			}
		}
	}
	return holders
}

// Observe must be called at least ten times a second, so that the decider notices
// when its process did not run.
func (d *Decider) Observe(now time.Time) { d.trust.observe(now, d.options.Confirmed(now)) }

// Handle decides on one datagram.
func (d *Decider) Handle(now time.Time, packet Packet) Action {
	d.Observe(now)
	d.trust.noteArrival(now, packet.Arrived)
	if packet.Route.Hops > MaximumHops {
		return Action{Kind: Drop, Reason: DropLoop}
	}
	record := d.flows[packet.Key]
	if record == nil || packet.Route.Step == StepHint {
		return d.handleUnheld(now, packet)
	}
	if d.isOfOtherConnection(record, packet.Payload) {
		if action := d.handleUnheld(now, packet); action.Kind != Drop {
			return action
		}
	}
	record.lastSeen = now
	return Action{Kind: Deliver, Service: record.service, Backend: record.backend, Hint: d.hintFor(now, packet, record)}
}

// handleUnheld decides on a datagram that does not belong to a flow held here.
func (d *Decider) handleUnheld(now time.Time, packet Packet) Action {
	service := d.snapshot.ServiceAt(packet.Key.Service)
	if service == nil {
		return d.handleUnknownService(packet)
	}
	if packet.Route.Revision > service.Revision {
		return Action{Kind: Wait}
	}
	if packet.Route.Step == StepHint {
		d.takeHint(now, packet, service)
		return Action{Kind: Absorb}
	}
	search := search{decider: d, now: now, service: service, key: packet.Key, route: packet.Route}
	search.own = agentSet(service, d.self)
	if search.route.Revision < service.Revision {
		search.restart()
	}
	if index := backendByServerID(service, packet.Payload); index != NoBackend {
		return search.followConnectionID(index)
	}
	if d.trust.isStale(now, packet.Arrived) {
		if d.trust.isPending(now) && search.route.Step != StepSearch {
			return Action{Kind: Hold}
		}
		search.restart()
	}
	return search.run()
}

func (d *Decider) handleUnknownService(packet Packet) Action {
	if packet.Route.Revision > d.snapshot.Revision() {
		return Action{Kind: Wait}
	}
	return Action{Kind: Drop, Reason: DropUnknownService}
}

// row returns the service's row for the bucket.
func (d *Decider) row(service *catalog.Service, bucket Bucket) []int {
	cache := d.rows[service.Name]
	if cache == nil || cache.service != service {
		cache = &rowCache{service: service}
		d.rows[service.Name] = cache
	}
	return cache.row(bucket)
}

// open records a new flow, in place of one that the caller's address had here.
func (d *Decider) open(now time.Time, key Key, service *catalog.Service, index int) Action {
	d.End(key)
	backend := &service.Backends[index]
	d.flows[key] = &flowRecord{service: service, backend: backend, opened: now, lastSeen: now}
	d.counts[identityOf(service, backend)]++
	return Action{Kind: Deliver, Service: service, Backend: backend, New: true}
}

// mayAdmit says whether a back end of this agent takes one more flow.
func (d *Decider) mayAdmit(service *catalog.Service, index int) bool {
	backend := &service.Backends[index]
	return !d.leaving &&
		backend.State == catalog.BackendActive &&
		d.FlowsOf(service, backend) < int(backend.Connections)
}
