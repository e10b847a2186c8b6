// This file runs the balancer: its start, its shutdown within the drain limit, its readiness, the
// datagrams of callers and the messages of other processes. It sends and counts resets to callers,
// logs their requests and changes of readiness, and registers gauges. Datagrams that cannot be
// parsed are logged and dropped.

package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/wire"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// Durations of a balancer's shutdown (handshake.BalancerShutdown).
const (
	shutdownPollInterval = 50 * time.Millisecond   // between checks whether it is complete
	shutdownMargin       = 1500 * time.Millisecond // part of the drain limit reserved for closing
)

// balancer is a running balancer.
type balancer struct {
	*node
	flows        *handshake.Balancer
	dataSocket   atomic.Pointer[wire.Socket]
	wasReady     bool
	lastCallerAt time.Time                   // when the latest datagram of a caller was received
	shutdown     *handshake.BalancerShutdown // nil before the shutdown
	recordsDue   chan struct{}               // signals that the records of agents are needed
	dropsUnknown bool                        // the system does not count dropped datagrams
}

// RunBalancer serves until the context ends and then shuts down gracefully. It returns an
// error of kind fault.Unavailable if it cannot start. Of the settings received from
// changes, it applies those that need no restart.
func RunBalancer(ctx context.Context, s settings.Settings, adapter Adapter, logger *log.Logger, changes <-chan settings.Settings) error {
	b := &balancer{node: newNode(s, adapter, presence.RoleBalancer, logger), recordsDue: make(chan struct{}, 1)}
	b.flows = handshake.NewBalancer(time.Now(), handshake.BalancerOptions{
		Zone:          s.Node.Zone,
		Region:        s.Node.Region,
		ColdOvershoot: s.Flows.ColdOvershoot,
		ColdSlack:     s.Flows.ColdSlack,
		Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err := b.openAll(changes); err != nil {
		return errors.Join(err, b.close())
	}
	b.log.WithFields(log.Fields{"data": s.Node.DataAddress, "peer": s.Node.PeerAddress, "incarnation": b.incarnation}).Info("started")
	<-ctx.Done()
	b.stop()
	return b.closeAll()
}

func (b *balancer) openAll(changes <-chan settings.Settings) error {
	if err := b.open(); err != nil {
		return err
	}
	dataSocket, err := wire.Listen(b.settings.Node.DataAddress, b.receiveCaller)
	if err != nil {
		return err
	}
	b.addBalancerGauges()
	b.start(b)
	b.dataSocket.Store(dataSocket) // enables receiveCaller
	if err := b.serve(b.settings.Node.ReadyAddress, b.adapter.ReadyHandler(b.ready)); err != nil {
		return err
	}
	b.spawn(b.watchLoop)
	b.spawn(b.evacuationLoop)
	b.spawn(b.maintainRecord)
	b.spawn(b.balancerReadLoop)
	b.spawn(b.agentReadLoop)
	b.spawn(func() { b.reloadLoop(changes, nil) })
	return nil
}

// addBalancerGauges registers the gauges that only balancers have.
func (b *balancer) addBalancerGauges() {
	b.metrics.addGauge("flows", "Flows known.", b.withLock(func(time.Time) float64 {
		return float64(b.flows.Flows())
	}))
	b.metrics.addGauge("openings_held", "Openings that wait for an agent.", b.withLock(func(time.Time) float64 {
		return float64(b.flows.Queued())
	}))
	b.metrics.addGauge("ready", "1 if callers' datagrams are to come here.", b.withLock(func(now time.Time) float64 {
		return boolValue(b.acceptsCallers(now))
	}))
}

// stop announces the shutdown to the platform and to peers, and forwards datagrams until callers
// send no more to this balancer, within the drain limit.
func (b *balancer) stop() {
	b.log.Info("shutting-down")
	now := time.Now()
	b.mutex.Lock()
	b.shuttingDown = true
	b.statusUrgent = true
	b.shutdown = handshake.NewBalancerShutdown(now, b.settings.Node.Zone, b.settings.Flows.DrainLimit-shutdownMargin)
	b.mutex.Unlock()
	for b.sleep(shutdownPollInterval) && !b.shutdownDone() {
	}
}

// shutdownDone reports whether the shutdown is complete.
func (b *balancer) shutdownDone() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.shutdown.Step(time.Now(), b.peers, b.lastCallerAt)
}

func (b *balancer) closeAll() error {
	err := b.dataSocket.Load().Close()
	err = errors.Join(err, b.close())
	b.log.Info("stopped")
	return err
}

// ready reports whether the platform should route callers' datagrams here.
func (b *balancer) ready() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.acceptsCallers(time.Now())
}

// acceptsCallers reports whether the balancer can serve callers and its shutdown still
// permits it. The lock is held.
func (b *balancer) acceptsCallers(now time.Time) bool {
	return b.flows.Ready(now) && (b.shutdown == nil || b.shutdown.Ready())
}

// receiveCaller handles a datagram from a caller. The socket calls it.
func (b *balancer) receiveCaller(bytes []byte, from netip.AddrPort, _ wire.Arrival) {
	if b.dataSocket.Load() == nil {
		return
	}
	b.metrics.callerDatagrams.Inc()
	datagram, err := b.adapter.ParseCaller(bytes)
	if err != nil {
		b.metrics.invalid.WithLabelValues(sourceCaller).Inc()
		b.limitedLog.Log(log.WarnLevel, "datagram-invalid", log.Fields{"from": from, "error": err})
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.lastCallerAt = now
	b.perform(b.flows.HandleCallerDatagram(now, &datagram))
	b.logRequest(&datagram)
}

// logRequest logs the id of a request that begins in the datagram, with the agent of its
// flow and the configuration version by which the flow was offered, so that operators can
// trace a request to its flow. The lock is held.
func (b *balancer) logRequest(datagram *handshake.Datagram) {
	requestID := b.adapter.RequestID(datagram)
	if requestID == "" {
		return
	}
	line, admitted := b.limitedLog.Allow(log.InfoLevel, "request")
	if !admitted {
		return
	}
	placement := b.flows.Placement(datagram.Key)
	fields := log.Fields{"request": requestID, "caller": datagram.Key.Caller, "address": datagram.Key.Service, "version": b.table.Version()}
	if placement.Version != 0 {
		fields["service"], fields["offered_version"] = placement.Service, placement.Version
	}
	if placement.Agent.IsValid() {
		fields["peer"] = placement.Agent
	}
	line.Log(fields)
}

// perform executes the actions of the flow logic. The lock is held.
func (b *balancer) perform(actions []handshake.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case handshake.Send:
			b.send(action.To, action.Message)
		case handshake.ResetCaller:
			b.countReset(action)
			b.reply(action.Key.Caller, b.adapter.FormatReset(action.Key, action.Confirms))
		case handshake.Decision:
			b.recordDecision(action)
		}
	}
}

// countReset counts a reset by its reason and by the route's kind of requests.
func (b *balancer) countReset(reset handshake.ResetCaller) {
	requests := routing.RequestKindUnknown
	if route := b.table.Route(reset.Key.Service); route != nil {
		requests = route.RequestKind
	}
	b.metrics.resets.WithLabelValues(reset.Reason(), requests.String()).Inc()
}

func (b *balancer) reply(caller netip.AddrPort, bytes []byte) {
	to := b.adapter.ReplyAddress(caller, b.settings.Node.DataAddress)
	if err := b.dataSocket.Load().Send(bytes, to); err != nil {
		b.limitedLog.Log(log.WarnLevel, "send-failed", log.Fields{"to": to, "error": err})
	}
}

// boolValue returns 1 for true and 0 for false, as the value of a gauge.
func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (b *balancer) status(time.Time) handshake.Status { return handshake.Status{} }

func (b *balancer) announces(time.Time) bool { return true }

func (b *balancer) handleEvacuations(set evacuation.Set) { b.flows.SetEvacuations(set) }

func (b *balancer) handleConfiguration(_ time.Time, table *routing.Table) { b.flows.Configure(table) }

// tick performs the actions that are due. The lock is held.
func (b *balancer) tick(now time.Time) {
	b.recordDroppedMessages()
	b.perform(b.flows.Tick(now))
	b.logReadiness(now)
	if b.flows.RecordsDue(now) {
		b.requestRecords()
	}
}

// recordDroppedMessages passes the number of messages that the peer socket has dropped to the
// decider. The lock is held.
func (b *balancer) recordDroppedMessages() {
	if b.dropsUnknown {
		return
	}
	dropped, err := b.peerConn.DroppedDatagrams()
	if err != nil {
		b.dropsUnknown = true
		b.log.WithError(err).Warn("drops-unknown")
		return
	}
	b.flows.RecordDroppedMessages(dropped)
}

// logReadiness logs when the balancer becomes ready or unready. The lock is held.
func (b *balancer) logReadiness(now time.Time) {
	ready := b.acceptsCallers(now)
	if ready == b.wasReady {
		return
	}
	b.wasReady = ready
	b.log.WithFields(log.Fields{"ready": ready, "shutting_down": b.shuttingDown, "version": b.table.Version(),
		"sees_agents": b.flows.AgentTable().AnyReachable(now), "peers": b.peers.CountReachable(now)}).Info("readiness")
}

// handleRecord applies a changed record of another process. The lock is held.
func (b *balancer) handleRecord(now time.Time, record presence.Record) {
	b.flows.HandleRecord(now, record)
}

// handleMessage handles a message from another process. The lock is held.
func (b *balancer) handleMessage(now time.Time, from netip.AddrPort, message handshake.Message) {
	switch message := message.(type) {
	case handshake.Status:
		b.flows.HandleStatus(now, from, message)
	case handshake.NotHeld:
		datagram, err := b.adapter.ParseCaller(message.Bytes)
		if err != nil {
			b.limitedLog.Log(log.WarnLevel, "datagram-invalid", log.Fields{"from": from, "error": err})
			return
		}
		b.perform(b.flows.HandleReturned(now, from, &datagram, message))
	default:
		b.perform(b.flows.HandleMessage(now, from, message))
	}
}
