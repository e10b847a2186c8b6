// This file implements Service, which holds this agent's back ends, sends load reports at
// intervals, frees the slots of expired reservations, and aborts the requests of other agents at
// shutdown.

// Package handover lets a request run at any back end of its service. A hand-over is the request of
// one agent to another agent of the same service to run a request. Agents send each other load
// reports, reserve slots at each other, and forward each request to the agent at which they have
// reserved a slot. Package placement selects the back end, package gateway runs the request.
package handover

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/agent/gateway"
	"github.com/burlmill/burlmill/membership"
	"github.com/burlmill/burlmill/placement"
)

const (
	reportInterval = time.Second            // between reports to other agents
	expiryInterval = 250 * time.Millisecond // between checks for expired reservations
)

// Node provides the configuration and the members of the cluster. *coordination.Node implements it.
type Node interface {
	// Snapshot returns the configuration in force.
	Snapshot() *catalog.Snapshot
	// Members returns the reachable members, including this process.
	Members() []*membership.Member
}

// backendName is the pair of service name and back-end id that identifies a back end.
type backendName struct {
	service catalog.ServiceName
	backend catalog.BackendID
}

// localBackend is a back end of this agent.
type localBackend struct {
	gateway   *gateway.Gateway
	loadTable *placement.LoadTable
}

// Service shares the slots of this agent's back ends with other agents. All methods are safe for
// concurrent use.
type Service struct {
	node   atomic.Pointer[boundNode]
	client *client
	events chan func(now time.Time)

	// Only the goroutine of run accesses locals, reservations and reporter.
	locals       map[backendName]*localBackend
	reservations *Reservations[*gateway.Gateway]
	reporter     *Reporter

	peerSlots atomic.Int64 // slots that are reserved or used by other agents
	context   context.Context
	stop      context.CancelFunc
	workers   sync.WaitGroup
}

// boundNode is a Node with this agent's data address.
type boundNode struct {
	Node
	self netip.AddrPort
}

// Start returns a running service without back ends. It must be closed after use.
func Start() *Service {
	ctx, stop := context.WithCancel(context.Background())
	service := &Service{
		client:       newClient(),
		events:       make(chan func(time.Time)),
		locals:       map[backendName]*localBackend{},
		reservations: NewReservations[*gateway.Gateway](),
		reporter:     NewReporter(),
		context:      ctx,
		stop:         stop,
	}
	service.workers.Go(service.run)
	return service
}

// Bind sets the node and this agent's data address, by which the catalog identifies it. Before
// that, the service sends no reports and hands over no requests.
func (s *Service) Bind(node Node, self netip.AddrPort) {
	s.node.Store(&boundNode{node, self})
}

// PeerSlots returns the number of slots that are reserved or used by other agents.
func (s *Service) PeerSlots() int { return int(s.peerSlots.Load()) }

// AbortAll cancels the running requests of other agents and refuses further ones.
func (s *Service) AbortAll() { s.stop() }

// Close calls AbortAll, waits for the service to stop and closes its connections. It may be called
// more than once.
func (s *Service) Close() {
	s.AbortAll()
	s.workers.Wait()
	s.client.close()
}

// run handles events until the service stops.
func (s *Service) run() {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-s.context.Done():
			s.expire(time.Now().Add(reservationTTL)) // expires all reservations
			return
		case event := <-s.events:
			event(time.Now())
		case <-expiry.C:
			s.expire(time.Now())
		case <-report.C:
			s.report()
		}
	}
}

// do calls the function in the goroutine of run and waits for it to return. It returns false if the
// service has stopped and the function was not called.
func (s *Service) do(event func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case s.events <- func(now time.Time) { event(now); close(done) }:
		<-done
		return true
	case <-s.context.Done():
		return false
	}
}

// expire frees the slots of expired reservations.
func (s *Service) expire(now time.Time) {
	for _, expired := range s.reservations.Expire(now) {
		s.releaseSlot(expired)
	}
}

// releaseSlot frees a reserved slot that was not used.
func (s *Service) releaseSlot(reserved *gateway.Gateway) {
	reserved.Release()
	s.peerSlots.Add(-1)
}

// Attach adds a back end of this agent and returns its peers.
func (s *Service) Attach(service catalog.ServiceName, backend catalog.BackendID, added *gateway.Gateway) gateway.Peers {
	name := backendName{service, backend}
	s.do(func(time.Time) { s.locals[name] = &localBackend{added, placement.NewLoadTable(backend)} })
	return &peers{service: s, local: name}
}

// Detach removes a back end unless a newer gateway has replaced it.
func (s *Service) Detach(service catalog.ServiceName, backend catalog.BackendID, removed *gateway.Gateway) {
	name := backendName{service, backend}
	s.do(func(time.Time) {
		if attached := s.locals[name]; attached != nil && attached.gateway == removed {
			delete(s.locals, name)
		}
	})
}
