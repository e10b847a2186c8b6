// This file implements the agent's event loop, which owns the flows. It handles datagrams,
// configuration changes and status queries, expires flows, retries and drops waiting datagrams,
// determines when the agent is ready, updates metrics, and counts and logs drops. The steps for
// datagrams are in datagram.go, those of the shutdown in shutdown.go.

package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
	"github.com/burlmill/burlmill/internal/agent/tcpflow"
	"github.com/burlmill/burlmill/internal/agent/udpflow"
	"github.com/burlmill/burlmill/internal/fairqueue"
	"github.com/burlmill/burlmill/internal/logging"
)

const (
	// expiryInterval is the interval of checks for idle flows and closed connections.
	expiryInterval = time.Second
	// waitingCheckInterval is the interval of decider ticks and of retries of waiting datagrams.
	waitingCheckInterval = 100 * time.Millisecond
)

// eventLoop is the agent's event loop. Only its goroutine, the one that calls run, accesses the
// decider and the flows. Datagrams and all other events reach it through channels.
type eventLoop struct {
	self              selfAddress
	decider           *flow.Decider
	udp               *udpflow.Flows
	http              *httpBackends
	tcp               *tcpflow.Streams
	waiting           waitingQueue
	sender            returnpath.Sender
	coordination      Coordination
	metrics           *metrics
	log               log.Interface
	drops             dropRecorder
	flowLog           *logging.Limiter // of admitted and expired flows
	inspection        *inspection
	drainLimit        time.Duration
	ready             *atomic.Bool // whether the agent accepts new flows; served at /readyz
	wasReady          bool         // ready was set once; it is not set again during shutdown
	shuttingDown      bool
	drainLimitReached bool

	inbox           *inbox
	snapshotChanges chan struct{} // receives a value when a newer snapshot is in force
}

// run handles events until the context has ended and no flows, streams or requests are left. At
// the drain limit, it aborts those that remain.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.inspection.stopped)
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	waiting := time.NewTicker(waitingCheckInterval)
	defer waiting.Stop()
	stop := ctx.Done()
	var drainDeadline <-chan time.Time
	for !l.shutdownComplete() {
		select {
		case <-l.inbox.ready:
			l.handleInbox()
		case query := <-l.inspection.queries:
			query()
		case <-l.snapshotChanges:
			l.applySnapshot(time.Now())
		case server := <-l.http.stoppedServers:
			l.removeServer(server)
		case <-waiting.C:
			l.decider.Tick(time.Now())
			l.markReadyOnce()
			l.dropExpiredWaiting(time.Now())
			l.retryWaiting(time.Now())
		case <-expiry.C:
			l.expireFlows(time.Now())
		case <-stop:
			stop = nil
			drainDeadline = time.After(l.drainLimit)
			l.beginShutdown()
		case <-drainDeadline:
			l.abortRemaining()
		}
	}
}

// verdictReasons holds the reasons for drops by the inbox.
var verdictReasons = map[fairqueue.Verdict]dropReason{
	fairqueue.DropExpired:  dropWaitTimeout,
	fairqueue.DropStanding: dropStandingQueue,
}

// handleInbox handles up to maxInboxBatch received datagrams.
func (l *eventLoop) handleInbox() {
	for range maxInboxBatch {
		now := time.Now()
		datagram, verdict, ok := l.inbox.take(now)
		if !ok {
			return
		}
		l.metrics.laneWaits[datagram.lane].Observe(now.Sub(datagram.readAt).Seconds())
		if verdict == fairqueue.Serve {
			l.dispatch(now, waitingDatagram{datagram, now})
			continue
		}
		datagram.Release()
		l.drops.recordAged(verdictReasons[verdict], now.Sub(datagram.enteredAt))
	}
	l.inbox.signal()
}

// applySnapshot applies the configuration in force and retries the waiting datagrams.
func (l *eventLoop) applySnapshot(now time.Time) {
	snapshot := l.coordination.Snapshot()
	l.closeFlows(l.decider.SetSnapshot(snapshot))
	l.http.applySnapshot(snapshot)
	l.updateSlotMetrics(snapshot)
	l.retryWaiting(now)
	l.updateSizeMetrics()
}

// retryWaiting repeats the decision for all waiting datagrams.
func (l *eventLoop) retryWaiting(now time.Time) {
	for _, entry := range l.waiting.popAll() {
		l.metrics.queueWait.Observe(now.Sub(entry.queuedAt).Seconds())
		l.dispatch(now, entry)
	}
}

// markReadyOnce marks the agent ready when it first has both a configuration and a valid liveness
// lease. Before that, the agent cannot admit flows.
func (l *eventLoop) markReadyOnce() {
	if l.wasReady || l.shuttingDown || !l.coordination.SelfConfirmed() {
		return
	}
	revision := l.coordination.Snapshot().Revision()
	if revision == 0 {
		return
	}
	l.wasReady = true
	l.ready.Store(true)
	l.log.WithFields(log.Fields{"data": l.self, "revision": revision}).Info("ready")
}

// updateSlotMetrics sets the slots metric of each HTTP back end of this agent.
func (l *eventLoop) updateSlotMetrics(snapshot *catalog.Snapshot) {
	l.metrics.slots.Reset()
	for _, service := range snapshot.Services() {
		for index := range service.Backends {
			backend := &service.Backends[index]
			if service.Protocol == catalog.ProtocolHTTP && backend.Agent == l.self {
				l.metrics.slots.WithLabelValues(
					string(service.Name), string(backend.ID),
				).Set(float64(backend.Slots))
			}
		}
	}
}

// expireFlows closes flows that are idle or whose connections are closed.
func (l *eventLoop) expireFlows(now time.Time) {
	idle := l.decider.Expire(now)
	l.logExpired(idle)
	l.closeFlows(idle)
	l.closeFlows(l.http.closedFlows(now))
	l.updateSizeMetrics()
	l.drops.log.Flush()
	l.flowLog.Flush()
}

// logExpired logs the flows that were idle for too long.
func (l *eventLoop) logExpired(keys []flow.Key) {
	for _, key := range keys {
		if line, allowed := l.flowLog.Allow(log.InfoLevel, "flow-expired"); allowed {
			line.Log(log.Fields{"caller": key.Caller, "address": key.Service})
		}
	}
}

// closeFlows closes the flows in the decider and removes them from the udp and http back ends. It
// does not concern the streams of tcp services, which package tcpflow relays.
func (l *eventLoop) closeFlows(keys []flow.Key) {
	for _, key := range keys {
		l.decider.CloseFlow(key)
		l.udp.CloseFlow(key)
		l.http.removeFlow(key)
	}
}

func (l *eventLoop) dropExpiredWaiting(now time.Time) {
	for _, entry := range l.waiting.popExpired(now) {
		entry.Release()
		l.metrics.queueWait.Observe(now.Sub(entry.queuedAt).Seconds())
		l.drops.recordAged(dropWaitTimeout, now.Sub(entry.enteredAt))
	}
}

func (l *eventLoop) updateSizeMetrics() {
	l.metrics.flows.Set(float64(l.decider.FlowCount()))
	l.metrics.waiting.Set(float64(len(l.waiting.entries)))
}

// drop counts and logs a dropped datagram.
func (l *eventLoop) drop(reason dropReason, err error) { l.drops.record(reason, err) }

// dropRecorder counts dropped datagrams and logs them at a limited rate. It is safe for concurrent
// use.
type dropRecorder struct {
	metrics *metrics
	log     *logging.Limiter
}

func (d dropRecorder) record(reason dropReason, err error) {
	fields := log.Fields{}
	if err != nil {
		fields["error"] = err
	}
	d.recordFields(reason, fields)
}

// recordAged records the drop of a datagram that reached its balancer the given time ago.
func (d dropRecorder) recordAged(reason dropReason, age time.Duration) {
	d.recordFields(reason, log.Fields{"age": age})
}

// recordFields records a drop with the fields of its log line, to which it adds the reason.
func (d dropRecorder) recordFields(reason dropReason, fields log.Fields) {
	d.metrics.dropped.WithLabelValues(string(reason)).Inc()
	fields["reason"] = string(reason)
	d.log.Log(log.WarnLevel, "drop", fields)
}
