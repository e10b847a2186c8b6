// This file implements Decider, which holds and counts the open flows of an agent, decides what the
// agent does with each datagram, and closes flows that are idle or whose address now belongs to
// another service or back end. It admits no new flows during shutdown, or at a back end that is
// draining or has its maximum number of flows.

package flow

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Options configure a Decider.
type Options struct {
	// IdleTimeout is the time without a datagram after which a flow is over. It is closed
	// MaxAge later, as datagrams may still be on their way.
	IdleTimeout time.Duration
	// DrainIdleTimeout is the idle timeout while the agent is shutting down, if it is shorter than
	// IdleTimeout; 0 means IdleTimeout. It does not apply to flows of HTTP services, whose
	// connections are closed explicitly.
	DrainIdleTimeout time.Duration
	// DecisionLifetime is how long an arbiter keeps its choice of a back end, and an agent its
	// refusal to admit a flow. It must exceed the time that a datagram can spend in the network and
	// in socket buffers. 0 means DefaultDecisionLifetime.
	DecisionLifetime time.Duration
	// ConfirmedAlive reports whether the agent's peers are known to consider it alive. While it
	// returns false, the agent neither arbitrates nor admits flows and returns AwaitConfirmation
	// instead, because other agents may have taken over. Nil means that the agent is always
	// confirmed.
	ConfirmedAlive func(now time.Time) bool
	// ConfirmedSince returns the time since which ConfirmedAlive has been true without interruption,
	// or was until its latest end. Other agents may have taken over before. Nil means that only
	// stalls of the process interrupt it.
	ConfirmedSince func() time.Time
	// OfferedRevision returns the highest revision of the configuration that the peers which confirm
	// the agent as alive are known to hold. After an interruption, the agent does not arbitrate
	// before it holds that revision. Nil means that it is never known.
	OfferedRevision func() catalog.Revision
}

// MaxWaitTime is the time after which a process drops a datagram that waits in its socket or in one
// of its queues. A later one might open a flow again that has ended.
const MaxWaitTime = 2 * time.Second

// DefaultDecisionLifetime is the default of Options.DecisionLifetime.
const DefaultDecisionLifetime = 10 * time.Second

// Decider holds the flow state of one agent and decides what the agent does with each datagram. It
// is not safe for concurrent use.
//
// A flow is admitted at most once while the agent that has it is alive. Only the flow's arbiter
// chooses the back end that admits it, and all agents with the same revision of the service and the
// same view of liveness determine the same arbiter. A search passes every live agent of the service
// before it reaches the arbiter, and an agent never goes back to an older revision. When an arbiter
// makes its choice, all other live agents have therefore reached the arbiter's revision, or an earlier
// one with the same list of back ends and thus the same arbiter. They neither arbitrate nor admit the
// flow of a datagram that has an older revision than theirs: they restart its search, or send it to
// the arbiter again. An agent that was not considered alive is not passed meanwhile, so it must receive
// the revision of its peers before it arbitrates or counts as passed again.
type Decider struct {
	self         netip.AddrPort
	liveness     Liveness
	options      Options
	snapshot     *catalog.Snapshot
	flows        map[Key]*flowRecord
	flowCounts   map[backendIdentity]int           // number of open flows by back end
	decisions    expiringMap[Key, backendIdentity] // choices as the arbiter, by flow
	refusals     expiringMap[refusal, struct{}]
	hints        expiringMap[Key, backendIdentity] // received; the back end that has the flow
	orderCaches  map[catalog.ServiceName]*orderCache
	histories    map[catalog.ServiceName]*serviceHistory
	staleness    staleness
	currentSince time.Time // confirmedSince when the agent last held the revision of its peers
	shuttingDown bool
}

// backendIdentity identifies a back end across revisions of its service. A later back end with the
// same id has a different incarnation.
type backendIdentity struct {
	service     catalog.ServiceName
	id          catalog.BackendID
	incarnation uint64
}

// indexOf returns the index of the back end in the service object, NoBackend if the service does
// not contain it.
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

// refusal identifies a flow, a back end that refused to admit it and the revision of the service at
// which it did. At a later revision the back end may admit the flow.
type refusal struct {
	key      Key
	backend  backendIdentity
	revision catalog.Revision
}

// flowRecord is one open flow.
type flowRecord struct {
	service    *catalog.Service // as of the admission
	backend    *catalog.Backend // as of the admission
	openedAt   time.Time
	lastSeenAt time.Time
	latestHint *sentHint // nil if no hint was sent
}

// NewDecider returns a decider for the agent with the data address self.
func NewDecider(self netip.AddrPort, liveness Liveness, options Options) *Decider {
	if options.DecisionLifetime == 0 {
		options.DecisionLifetime = DefaultDecisionLifetime
	}
	if options.ConfirmedAlive == nil {
		options.ConfirmedAlive = func(time.Time) bool { return true }
	}
	return &Decider{
		self:        self,
		liveness:    liveness,
		options:     options,
		snapshot:    catalog.Empty(),
		flows:       map[Key]*flowRecord{},
		flowCounts:  map[backendIdentity]int{},
		decisions:   newExpiringMap[Key, backendIdentity](options.DecisionLifetime),
		refusals:    newExpiringMap[refusal, struct{}](options.DecisionLifetime),
		hints:       newExpiringMap[Key, backendIdentity](hintLifetime),
		orderCaches: map[catalog.ServiceName]*orderCache{},
	}
}

// BeginShutdown starts the shutdown of the agent: it admits no new flows, keeps its open flows, and
// still forwards searches, arbitrates, and opens the flows of QUIC connections that exist at its
// back ends.
func (d *Decider) BeginShutdown() { d.shuttingDown = true }

// FlowCount returns the number of open flows.
func (d *Decider) FlowCount() int { return len(d.flows) }

// BackendFlowCount returns the number of open flows of one back end.
func (d *Decider) BackendFlowCount(service *catalog.Service, backend *catalog.Backend) int {
	return d.flowCounts[identityOf(service, backend)]
}

// CloseFlow removes an open flow. It does nothing if the flow is unknown.
func (d *Decider) CloseFlow(key Key) {
	record := d.flows[key]
	if record == nil {
		return
	}
	delete(d.flows, key)
	identity := identityOf(record.service, record.backend)
	d.flowCounts[identity]--
	if d.flowCounts[identity] == 0 {
		delete(d.flowCounts, identity)
	}
}

// SetSnapshot applies a configuration unless it is older than the current one. A flow is closed if
// the address of its service now belongs to another service, or the address of its back end to
// another back end behind this agent, so that no datagram reaches the wrong one. SetSnapshot
// returns the keys of the closed flows.
func (d *Decider) SetSnapshot(snapshot *catalog.Snapshot) []Key {
	if snapshot.Revision() < d.snapshot.Revision() {
		return nil
	}
	d.updateHistories(snapshot)
	d.snapshot = snapshot
	backends := d.backendsByAddress()
	var closed []Key
	for key, record := range d.flows {
		if d.addressReassigned(key, record, backends) {
			closed = append(closed, key)
			d.CloseFlow(key)
		}
	}
	return closed
}

func (d *Decider) addressReassigned(key Key, record *flowRecord, backends map[netip.AddrPort]backendIdentity) bool {
	service := d.snapshot.ServiceAt(key.Service)
	if service != nil && service.Name != record.service.Name {
		return true
	}
	current, found := backends[record.backend.Address]
	return found && current != identityOf(record.service, record.backend)
}

// backendsByAddress returns the back ends behind this agent by their addresses.
func (d *Decider) backendsByAddress() map[netip.AddrPort]backendIdentity {
	backends := map[netip.AddrPort]backendIdentity{}
	for _, service := range d.snapshot.Services() {
		for index := range service.Backends {
			backend := &service.Backends[index]
			if backend.Agent == d.self {
				backends[backend.Address] = identityOf(service, backend)
			}
		}
	}
	return backends
}

// Tick detects stalls of the process from the time between calls, and times at which the agent is
// not confirmed alive. It must be called at least ten times a second.
func (d *Decider) Tick(now time.Time) {
	d.staleness.observe(now, d.options.ConfirmedAlive(now), d.confirmedSince())
}

// confirmedSince returns the end of the latest interruption during which peers may have considered
// this agent dead. It is zero if there was none.
func (d *Decider) confirmedSince() time.Time {
	if d.options.ConfirmedSince == nil {
		return d.staleness.stalledUntil
	}
	return d.options.ConfirmedSince()
}

// isCurrent reports whether the agent has held the revision of its peers since the latest
// interruption. While peers considered it dead, they may have admitted flows to back ends that its
// configuration lacks, which its searches would not reach.
func (d *Decider) isCurrent() bool {
	since := d.confirmedSince()
	if since.Equal(d.currentSince) {
		return true
	}
	if d.options.OfferedRevision == nil || d.options.OfferedRevision() > d.snapshot.Revision() {
		return false
	}
	d.currentSince = since
	return true
}

// ConfirmAdmission reports whether a datagram for which Handle opened a flow may be delivered. The
// process may have been suspended since Handle, while other agents took over, so it must be called
// with the current time immediately before the delivery, and again after it. If the result is
// false, the flow is closed, and the datagram must be handled again.
func (d *Decider) ConfirmAdmission(now time.Time, packet Packet) bool {
	d.Tick(now)
	if d.options.ConfirmedAlive(now) && !d.staleness.isStale(now, packet.EarliestArrival) {
		return true
	}
	d.CloseFlow(packet.Key)
	return false
}

// Handle decides what the agent does with one datagram.
func (d *Decider) Handle(now time.Time, packet Packet) Action {
	d.Tick(now)
	d.staleness.recordRead(now, packet)
	if packet.Route.Hops > MaxHops {
		return Action{Kind: Drop, Reason: DropLoop}
	}
	record := d.flows[packet.Key]
	if record == nil || packet.Route.Step == StepHint {
		return d.handleUnknownFlow(now, packet)
	}
	if d.belongsToOtherConnection(record, packet.Payload) {
		if action := d.handleUnknownFlow(now, packet); action.Kind != Drop {
			return action
		}
	}
	record.lastSeenAt = now
	return Action{Kind: Deliver, Service: record.service, Backend: record.backend, Hint: d.hintFor(now, packet, record)}
}

// handleUnknownFlow handles a hint, or a datagram that does not belong to an open flow of this
// agent.
func (d *Decider) handleUnknownFlow(now time.Time, packet Packet) Action {
	service := d.snapshot.ServiceAt(packet.Key.Service)
	if service == nil {
		return d.handleUnknownService(packet)
	}
	if packet.Route.Revision > service.Revision {
		return Action{Kind: AwaitRevision}
	}
	if packet.Route.Step == StepHint {
		d.storeHint(now, packet, service)
		return Action{Kind: Consume}
	}
	search := search{decider: d, now: now, service: service, key: packet.Key, route: packet.Route}
	search.ownBackends = backendsBehind(service, d.self)
	if search.route.Revision < service.Revision {
		search.update()
	}
	if index := backendByServerID(service, packet.Payload); index != NoBackend {
		return search.followConnectionID(index)
	}
	if d.staleness.isStale(now, packet.EarliestArrival) {
		if d.staleness.mayHaveUnreadBacklog(now) && search.route.Step != StepSearch {
			return Action{Kind: AwaitConfirmation}
		}
		search.restart()
		search.stale = true
	}
	return search.run()
}

func (d *Decider) handleUnknownService(packet Packet) Action {
	if packet.Route.Revision > d.snapshot.Revision() {
		return Action{Kind: AwaitRevision}
	}
	return Action{Kind: Drop, Reason: DropUnknownService}
}

// candidateOrder returns the cached candidate order of the service for the bucket.
func (d *Decider) candidateOrder(service *catalog.Service, bucket Bucket) []int {
	cache := d.orderCaches[service.Name]
	if cache == nil || cache.service != service {
		cache = &orderCache{service: service}
		d.orderCaches[service.Name] = cache
	}
	return cache.candidateOrder(bucket)
}

// openFlow records a new flow. It replaces an earlier flow with the same key.
func (d *Decider) openFlow(now time.Time, key Key, service *catalog.Service, index int) Action {
	d.CloseFlow(key)
	backend := &service.Backends[index]
	d.flows[key] = &flowRecord{service: service, backend: backend, openedAt: now, lastSeenAt: now}
	d.flowCounts[identityOf(service, backend)]++
	return Action{Kind: Deliver, Service: service, Backend: backend, NewFlow: true}
}

// mayAdmit reports whether a back end of this agent can admit another flow.
func (d *Decider) mayAdmit(service *catalog.Service, index int) bool {
	backend := &service.Backends[index]
	return !d.shuttingDown &&
		backend.State == catalog.BackendActive &&
		d.BackendFlowCount(service, backend) < int(backend.Connections)
}
