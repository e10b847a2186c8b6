// This file contains Run, which starts the balancer process, serves until its context ends and
// shuts it down. The waits for the end of traffic and of open streams are limited. The process is
// ready while it has a configuration and is not shutting down.

// Package balancer implements the balancer process. It receives callers' datagrams from fabrics and
// forwards each to the agent where the lookup of its flow starts. Datagram flows have no state in a
// balancer, so any balancer can handle any datagram. A TCP stream depends on the balancer that
// accepted it, and a planned shutdown waits for open streams.
package balancer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/coordination"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/observability"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/internal/stream"
	"github.com/burlmill/burlmill/internal/wire"
	"github.com/burlmill/burlmill/membership"
)

const (
	flushInterval         = 10 * time.Second // between summaries of suppressed log lines
	shutdownNoticeTimeout = 2 * time.Second  // for notifying the other members
)

// Run serves until the context ends and then shuts down gracefully: it continues to serve until the
// fabrics stop sending or the limit on that wait passes, waits for open streams up to the drain
// limit and leaves the membership. Startup errors are of kind fault.Unavailable.
func Run(ctx context.Context, settings settings.Settings) error {
	events := status.NewEventBuffer()
	logger := events.WrapLogger(logging.New(os.Stdout, settings.Log.Level))
	balancer, err := start(settings, logger.WithField("node", settings.Node.ID), status.NewService(events))
	if err != nil {
		return err
	}
	balancer.serve(ctx)
	return balancer.stop(settings.Flows.DrainLimit)
}

// balancer is a running balancer.
type balancer struct {
	log           log.Interface
	metrics       *metrics
	skipped       *prometheus.CounterVec // malformed entries of the store
	drops         *dropLog
	forwarder     atomic.Pointer[forwarder] // nil until the node has started
	received      atomic.Uint64             // datagrams received
	shuttingDown  atomic.Bool
	socket        *wire.Socket
	node          *coordination.Node
	streams       *stream.Server
	metricsServer io.Closer
}

func start(settings settings.Settings, logger log.Interface, statusService *status.Service) (*balancer, error) {
	registry := observability.NewRegistry()
	b := &balancer{log: logger, metrics: newMetrics(registry), skipped: observability.NewSkippedEntries(), drops: newDropLog(logger)}
	registry.MustRegister(b.skipped)
	if err := b.open(settings, statusService); err != nil {
		return nil, err
	}
	statusService.Bind(status.Identity{ID: settings.Node.ID, DataAddress: b.socket.LocalAddress()}, b.node, nil)
	b.forwarder.Store(newForwarder(b.node, b.socket, b.metrics, b.drops, settings.Flows.CacheSize))
	if err := b.startServers(settings, registry); err != nil {
		b.node.Close()
		return nil, errors.Join(err, b.socket.Close())
	}
	return b, nil
}

// startServers starts the stream listener, at the address of the data socket, and the metrics
// server.
func (b *balancer) startServers(settings settings.Settings, registry *prometheus.Registry) (err error) {
	forwarder := newStreamForwarder(b.node, registry, b.drops)
	if b.streams, err = stream.Listen(b.socket.LocalAddress(), forwarder.serve); err != nil {
		return err
	}
	if b.metricsServer, err = observability.Serve(settings.Node.MetricsAddress, registry, b.ready); err != nil {
		b.streams.Close()
		return err
	}
	return nil
}

// open opens the data socket and joins the other members. The socket is opened first because its
// address is announced to the members.
func (b *balancer) open(settings settings.Settings, statusService *status.Service) (err error) {
	b.socket, err = wire.Listen(settings.Node.DataAddress, b.receive)
	if err != nil {
		return err
	}
	settings.Node.DataAddress = b.socket.LocalAddress()
	path, handler := statusService.Handler()
	b.node, err = coordination.Start(coordination.Options{
		Node:     settings.Node,
		Role:     membership.Balancer,
		Platform: settings.Platform,
		Peers:    settings.Peers,
		Log:      b.log,
		Skipped:  b.skipped,
		Handlers: []coordination.Handler{{Path: path, Handler: handler}},
	})
	if err != nil {
		return errors.Join(err, b.socket.Close())
	}
	return nil
}

// receive handles one datagram from the data socket. It drops datagrams that arrive before the
// forwarder is set.
func (b *balancer) receive(datagram []byte, from netip.AddrPort, arrival wire.Arrival) {
	b.received.Add(1)
	if forwarder := b.forwarder.Load(); forwarder != nil {
		forwarder.receive(datagram, from, arrival.Waited)
	}
}

// ready reports whether the balancer has a configuration and is not shutting down.
func (b *balancer) ready() bool {
	return !b.shuttingDown.Load() && b.node.Snapshot().Revision() > 0
}

// serve logs when the balancer is ready, then logs summaries of suppressed log lines until the
// context ends.
func (b *balancer) serve(ctx context.Context) {
	b.announceReady(ctx)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.drops.flush()
		}
	}
}

// announceReady waits until the balancer is ready and logs that. It returns early if the context
// ends.
func (b *balancer) announceReady(ctx context.Context) {
	changed := make(chan struct{}, 1)
	b.node.Subscribe(func(*catalog.Snapshot) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	for !b.ready() {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	b.log.WithFields(log.Fields{
		"data":     b.socket.LocalAddress(),
		"control":  b.node.ControlAddress(),
		"revision": b.node.Snapshot().Revision(),
	}).Info("ready")
}

// receivedCount returns the number of datagrams received and streams accepted.
func (b *balancer) receivedCount() uint64 { return b.received.Load() + b.streams.Accepted() }

// drainStreams stops accepting streams, waits for the open ones up to the limit and closes the
// rest.
func (b *balancer) drainStreams(limit time.Duration) {
	b.streams.StopAccepting()
	if !b.streams.AwaitIdle(limit) {
		b.log.WithField("streams", b.streams.OpenConnections()).Warn("drain-limit")
	}
	b.streams.Close()
}

// stop announces the shutdown, waits until traffic stops and for open streams up to the drain
// limit, leaves the membership and closes all sockets.
func (b *balancer) stop(drainLimit time.Duration) error {
	b.shuttingDown.Store(true)
	b.log.Info("shutting-down")
	b.node.AnnounceShutdown()
	awaitQuiet(b.receivedCount, quietPeriod, maxQuietWait)
	b.drainStreams(drainLimit)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownNoticeTimeout)
	defer cancel()
	if err := b.node.Shutdown(ctx); err != nil {
		// Failure detection of the other members covers a lost notice.
		b.log.WithError(err).Warn("leave-notice-failed")
	}
	err := errors.Join(b.socket.Close(), b.metricsServer.Close())
	b.drops.flush()
	b.log.Info("stopped")
	return err
}
