// This file runs the agent: its start, its shutdown within the drain limit, the datagrams
// of the back end, and the messages of other processes. It sends to the back end and to callers,
// determines when statuses are sent, logs changes of the back end's state and registers gauges.
// Datagrams that cannot be parsed are logged and dropped. Health checks, reports and removals of the
// back end are in backend_state.go.

package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/wire"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// Durations of an agent's start and shutdown.
const (
	agentDrainMargin       = 1500 * time.Millisecond // part of the drain limit reserved for closing
	agentDrainPollInterval = 50 * time.Millisecond   // between checks for open flows
	// firstCheckTimeout limits how long the first status is delayed until a health check has
	// completed.
	firstCheckTimeout = 50 * time.Millisecond
)

// agent is a running agent.
type agent struct {
	*node
	flows               *handshake.Agent
	dataSocket          atomic.Pointer[wire.Socket] // sends to the back end and to callers
	outboundSocket      atomic.Pointer[wire.Socket] // receives the back end's datagrams
	loggedLoad          handshake.Load              // load when the state was last logged
	backendIncarnations uint64                      // number of logged incarnation changes
	loggedIncarnation   instance.Incarnation        // of the back end, as last logged
	handlingSince       time.Time                   // start of message handling
	healthChecked       bool                        // a health check has completed
	backendSeen         event                       // first sign that the back end runs
	backendAbsent       event                       // a check confirmed that no back end runs here
	drains              drainRecorder
}

// event occurs at most once and can be waited for. The zero value is not usable.
type event struct {
	once     sync.Once
	occurred chan struct{} // closed when the event occurs
}

func newEvent() event { return event{occurred: make(chan struct{})} }

// hasOccurred reports whether the event has occurred.
func (e *event) hasOccurred() bool {
	select {
	case <-e.occurred:
		return true
	default:
		return false
	}
}

func (e *event) signal() { e.once.Do(func() { close(e.occurred) }) }

// RunAgent serves until the context ends and then shuts down gracefully. It returns an
// error of kind fault.Unavailable if it cannot start, and one of kind fault.Invalid if
// the settings name no service. Of the settings received from changes, it applies those
// that need no restart.
func RunAgent(ctx context.Context, s settings.Settings, adapter Adapter, logger *log.Logger, changes <-chan settings.Settings) error {
	if s.Backend.Service == "" {
		return fault.InvalidField("backend.service", s.Backend.Service, "must be set for an agent if flows.transport is handshake")
	}
	a := &agent{node: newNode(s, adapter, presence.RoleAgent, logger), backendSeen: newEvent(), backendAbsent: newEvent(), drains: newDrainRecorder()}
	a.flows = handshake.NewAgent(time.Now(), handshake.AgentOptions{
		Zone:           s.Node.Zone,
		Service:        s.Backend.Service,
		FlowLifetime:   s.Flows.MaxLifetime,
		ReportInterval: s.Backend.ReportInterval,
	})
	a.flows.Tracker().AwaitDrains()
	a.rewriteRecord = a.rewriteOwnRecord
	incarnation := a.incarnation // changeService may change it
	if err := a.openAll(changes); err != nil {
		return errors.Join(err, a.close())
	}
	a.log.WithFields(log.Fields{"service": s.Backend.Service, "backend": s.Backend.Address, "peer": s.Node.PeerAddress, "incarnation": incarnation}).Info("started")
	<-ctx.Done()
	a.stop()
	return a.closeAll()
}

// openAll opens the agent's sockets and HTTP servers and starts its goroutines.
func (a *agent) openAll(changes <-chan settings.Settings) error {
	if err := a.open(); err != nil {
		return err
	}
	dataSocket, err := wire.Listen(a.settings.Node.DataAddress, func([]byte, netip.AddrPort, wire.Arrival) {})
	if err != nil {
		return err
	}
	outboundSocket, err := wire.Listen(a.settings.Backend.OutboundAddress, a.receiveBackend)
	if err != nil {
		return errors.Join(err, dataSocket.Close())
	}
	a.dataSocket.Store(dataSocket)
	a.addAgentGauges()
	a.handlingSince = time.Now()
	a.start(a)
	a.outboundSocket.Store(outboundSocket) // enables receiveBackend
	if err := a.serve(a.settings.Node.ControlAddress, a.adapter.HostHandler(a)); err != nil {
		return err
	}
	if err := a.serve(a.settings.Node.ReadyAddress, a.adapter.ReadyHandler(a.ready)); err != nil {
		return err
	}
	a.spawn(a.balancerReadLoop)
	a.spawn(a.maintainRecord)
	a.spawn(a.maintainDrains)
	a.spawn(func() { a.reloadLoop(changes, a.changeService) })
	return nil
}

// changeService applies a changed service of the back end: the address has gone to another one. New
// flows of the earlier service are refused from now on, and those of the new service are accepted
// once a back end of it has reported. Other processes take the agent for a new incarnation, so that
// all of them learn its service. The lock is held.
func (a *agent) changeService(changed settings.Settings) {
	service := changed.Backend.Service
	if service == "" || service == a.settings.Backend.Service {
		return
	}
	a.log.WithFields(log.Fields{"service": service, "previous": a.settings.Backend.Service, "backend": a.flows.Tracker().Latest().ID}).Info("service-changed")
	now := time.Now()
	a.settings.Backend.Service = service
	a.flows.SetService(service)
	a.incarnation, a.startedAt = rand.Uint64(), now
	a.announceBackendState(now)
}

// addAgentGauges registers the gauges that only agents have.
func (a *agent) addAgentGauges() {
	a.metrics.addGauge("flows", "Flows known.", a.withLock(func(time.Time) float64 {
		return float64(a.flows.Flows())
	}))
	a.metrics.addGauge("flow_locations", "Stored locations of flows that other agents hold.", a.withLock(func(time.Time) float64 {
		return float64(a.flows.StoredLocations())
	}))
	a.metrics.addGauge("backend_busy", "Requests that the back end works on, and reservations.", a.withLock(func(now time.Time) float64 {
		return float64(a.flows.Load(now).InFlight)
	}))
	a.metrics.addGauge("backend_accepts", "1 if the back end gets new flows.", a.withLock(func(now time.Time) float64 {
		return boolValue(a.flows.Load(now).Accepts)
	}))
	a.metrics.addGauge("balancers_waiting", "Balancers with openings that wait for capacity of the back end.", a.withLock(func(time.Time) float64 {
		return float64(a.flows.WaitingBalancers())
	}))
	a.metrics.addGauge("reservations", "Balancers for which capacity for one request is reserved.", a.withLock(func(time.Time) float64 {
		return float64(a.flows.Reservations())
	}))
}

func (a *agent) ready() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !a.shuttingDown
}

// announces reports whether this agent sends statuses. It sends none while no back end has been
// seen and its address refuses health checks, nor before the first health check has completed or
// firstCheckTimeout has passed.
func (a *agent) announces(now time.Time) bool {
	return !a.flows.BackendPossiblyAbsent() && (a.healthChecked || now.Sub(a.handlingSince) > firstCheckTimeout)
}

// stop refuses new flows and announces the shutdown. It waits until no flow is open and
// handshake.MinAgentShutdownTime has passed, but no longer than the drain limit less
// agentDrainMargin.
func (a *agent) stop() {
	startedAt := time.Now()
	a.mutex.Lock()
	a.shuttingDown = true
	a.statusUrgent = true
	a.peers.BeginShutdown(startedAt)
	a.flows.BeginShutdown()
	a.recordStop()
	a.log.WithField("flows", a.flows.ActiveFlows()).Info("shutting-down")
	a.mutex.Unlock()
	noticeUntil := startedAt.Add(handshake.MinAgentShutdownTime)
	deadline := startedAt.Add(max(0, a.settings.Flows.DrainLimit-agentDrainMargin))
	for time.Now().Before(deadline) && (time.Now().Before(noticeUntil) || a.activeFlows() > 0) {
		a.sleep(agentDrainPollInterval)
	}
}

func (a *agent) activeFlows() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.flows.ActiveFlows()
}

// closeAll withdraws the agent's record if the agent holds no flow, and closes its sockets and HTTP
// servers.
func (a *agent) closeAll() error {
	a.deregister()
	err := errors.Join(a.outboundSocket.Load().Close(), a.dataSocket.Load().Close(), a.close())
	a.log.Info("stopped")
	return err
}

// receiveBackend handles a datagram that the back end has sent. The socket calls it.
func (a *agent) receiveBackend(bytes []byte, from netip.AddrPort, _ wire.Arrival) {
	if a.outboundSocket.Load() == nil {
		return
	}
	a.metrics.backendDatagrams.Inc()
	datagram, err := a.adapter.ParseBackend(bytes)
	if err != nil {
		a.metrics.invalid.WithLabelValues(sourceBackend).Inc()
		a.limitedLog.Log(log.WarnLevel, "datagram-invalid", log.Fields{"from": from, "error": err})
		return
	}
	if !datagram.Returned {
		a.backendSeen.signal()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.perform(a.flows.HandleBackendDatagram(time.Now(), &datagram))
}

// perform executes the actions of the flow logic. The lock is held.
func (a *agent) perform(actions []handshake.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case handshake.Send:
			a.send(action.To, action.Message)
		case handshake.Deliver:
			a.sendData(action.Bytes, a.settings.Backend.Address)
		case handshake.Reply:
			a.sendData(action.Bytes, a.adapter.ReplyAddress(action.Caller, a.settings.Node.DataAddress))
		case handshake.Decision:
			a.recordDecision(action)
		}
	}
}

func (a *agent) sendData(bytes []byte, to netip.AddrPort) {
	if err := a.dataSocket.Load().Send(bytes, to); err != nil {
		a.limitedLog.Log(log.WarnLevel, "send-failed", log.Fields{"to": to, "error": err})
	}
}

func (a *agent) status(now time.Time) handshake.Status {
	return handshake.Status{
		Service: a.settings.Backend.Service,
		Backend: string(a.flows.Tracker().Latest().ID),
		Load:    a.flows.Load(now),
		Drained: a.shuttingDown && a.flows.HoldsNothing(now),
	}
}

func (a *agent) handleConfiguration(time.Time, *routing.Table) {}

func (a *agent) handleEvacuations(set evacuation.Set) { a.flows.SetEvacuations(set) }

// tick performs the actions that are due and starts a health check if one is due. The lock is held.
func (a *agent) tick(now time.Time) {
	a.flows.SetIdleTimeout(a.backendIdleTimeout())
	a.perform(a.flows.Tick(now))
	a.updateBackendState(now)
	tracker := a.flows.Tracker()
	if tracker.ConfirmedAbsent() {
		a.backendAbsent.signal()
	}
	a.updateDrains(now)
	if tracker.CheckDue(now) {
		path := a.healthPath()
		a.spawn(func() { a.check(path) })
	}
}

// updateBackendState logs a change of the back end's incarnation. When the back end starts or stops
// accepting flows, or becomes suspect or trusted again, it also logs the state and makes the status
// urgent. The lock is held.
func (a *agent) updateBackendState(now time.Time) {
	a.recordIncarnation(now)
	load := a.flows.Load(now)
	if load.Accepts == a.loggedLoad.Accepts && load.Suspect == a.loggedLoad.Suspect {
		return
	}
	a.loggedLoad = load
	a.statusUrgent = true
	tracker := a.flows.Tracker()
	a.log.WithFields(log.Fields{"backend": tracker.Latest().ID, "state": tracker.State(), "accepts": load.Accepts,
		"suspect": load.Suspect, "evacuated": a.evacuations.Set().Contains(a.settings.Node.Zone),
		"start_time": tracker.Incarnation().StartedAtText(), "slots": load.Slots, "age": now.Sub(tracker.LastSeen())}).Info("backend-state")
}

// announceBackendState calls updateBackendState and sends the statuses that are due. The lock is
// held.
func (a *agent) announceBackendState(now time.Time) {
	a.updateBackendState(now)
	a.sendStatuses(now)
}

// backendIdleTimeout returns the idle timeout of the back end's flows, 0 if it is not known because no
// configuration is in force or a peer has a newer one. The lock is held.
func (a *agent) backendIdleTimeout() time.Duration {
	if a.table == nil || !a.behindSince.IsZero() {
		return 0
	}
	return cmp.Or(a.table.IdleTimeout(), handshake.DefaultIdleTimeout)
}

// handleRecord does nothing: agents use no records of other processes.
func (a *agent) handleRecord(time.Time, presence.Record) {}

// handleMessage handles a message from another process. The lock is held.
func (a *agent) handleMessage(now time.Time, from netip.AddrPort, message handshake.Message) {
	switch message := message.(type) {
	case handshake.Offer:
		a.peers.RecordForward(now, from)
		a.handleCallerDatagram(message.Bytes, from, func(datagram *handshake.Datagram) []handshake.Action {
			return a.flows.HandleOffer(now, from, message, datagram)
		})
	case handshake.Forward:
		a.peers.RecordForward(now, from)
		a.handleCallerDatagram(message.Bytes, from, func(datagram *handshake.Datagram) []handshake.Action {
			return a.flows.HandleForward(now, from, datagram)
		})
	case handshake.FlowQuery:
		a.perform(a.flows.HandleQuery(now, from, message))
	case handshake.Search:
		a.perform(a.flows.HandleSearch(now, from, message))
	case handshake.SummaryRequest:
		a.perform(a.flows.HandleSummaryRequest(now, from, message))
	case handshake.FlowSummary:
		a.perform(a.flows.HandleFlowSummary(from, message))
	case handshake.FlowQueryAnswer:
		a.perform(a.flows.HandleQueryAnswer(from, message))
	case handshake.StoreLocations:
		a.perform(a.flows.HandleStoreLocations(now, message))
	case handshake.NotHeld:
		a.handleCallerDatagram(message.Bytes, from, func(datagram *handshake.Datagram) []handshake.Action {
			return a.flows.HandleReturnedProbe(from, datagram.Key)
		})
	case handshake.ReservationRequest:
		a.perform(a.flows.HandleReservationRequest(now, from, message))
	case handshake.ReservationReleased:
		a.perform(a.flows.HandleReservationReleased(now, from))
	}
}

// handleCallerDatagram parses a caller's datagram that a balancer has forwarded, and performs the
// actions that decide returns for it.
func (a *agent) handleCallerDatagram(bytes []byte, from netip.AddrPort, decide func(*handshake.Datagram) []handshake.Action) {
	datagram, err := a.adapter.ParseCaller(bytes)
	if err != nil {
		a.limitedLog.Log(log.WarnLevel, "datagram-invalid", log.Fields{"from": from, "error": err})
		return
	}
	a.perform(decide(&datagram))
}
