// Package balancer is the process that takes callers' datagrams from fabrics and
// sends each on to the agent where the search for its flow begins. It keeps no
// state that a flow of datagrams needs: any balancer can handle any datagram. A
// TCP stream lives in the balancer that has accepted it, which on a planned stop
// waits for it.
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
	flushInterval = 10 * time.Second // between summaries of log lines left out
	leaveLimit    = 2 * time.Second  // for telling the other members
)

// Run serves until the context ends; it then keeps serving until the fabrics
// have stopped sending, waits for its streams up to the drain limit, leaves
// cleanly and returns nil. Errors at the start are of kind fault.Unavailable.
func Run(ctx context.Context, settings settings.Settings) error {
	events := status.NewEvents()
	logger := events.Record(logging.New(os.Stdout, settings.Log.Level))
	balancer, err := start(settings, logger.WithField("node", settings.Node.ID), status.NewService(events))
	if err != nil {
		return err
	}
	balancer.serve(ctx)
	return balancer.stop(settings.Flows.DrainLimit)
}

// balancer is a running balancer.
type balancer struct {
	log       log.Interface
	metrics   *metrics
	drops     *dropLog
	forwarder atomic.Pointer[forwarder] // set when the node has started
	received  atomic.Uint64             // datagrams so far
	leaving   atomic.Bool
	socket    *wire.Socket
	node      *coordination.Node
	streams   *stream.Server
	observer  io.Closer
}

func start(settings settings.Settings, logger log.Interface, operators *status.Service) (*balancer, error) {
	registry := observability.NewRegistry()
	b := &balancer{log: logger, metrics: newMetrics(registry), drops: newDropLog(logger)}
	if err := b.open(settings, operators); err != nil {
		return nil, err
	}
	operators.Bind(status.Identity{ID: settings.Node.ID, Data: b.socket.LocalAddress()}, b.node, nil)
	b.forwarder.Store(newForwarder(b.node, b.socket, b.metrics, b.drops, settings.Flows.CacheSize))
	if err := b.openRest(settings, registry); err != nil {
		b.node.Close()
		return nil, errors.Join(err, b.socket.Close())
	}
	return b, nil
}

// openRest accepts streams at the address of the data socket, and serves the metrics.
func (b *balancer) openRest(settings settings.Settings, registry *prometheus.Registry) (err error) {
	forwarder := newStreamForwarder(b.node, registry, b.drops)
	if b.streams, err = stream.Listen(b.socket.LocalAddress(), forwarder.serve); err != nil {
		return err
	}
	if b.observer, err = observability.Serve(settings.Node.MetricsAddress, registry, b.ready); err != nil {
		b.streams.Close()
		return err
	}
	return nil
}

// open opens the data socket and joins the other members. The socket comes
// first, because members are told its address.
func (b *balancer) open(settings settings.Settings, operators *status.Service) (err error) {
	b.socket, err = wire.Listen(settings.Node.DataAddress, b.receive)
	if err != nil {
		return err
	}
	settings.Node.DataAddress = b.socket.LocalAddress()
	path, handler := operators.Handler()
	b.node, err = coordination.Start(coordination.Options{
		Node:     settings.Node,
		Role:     membership.Balancer,
		Platform: settings.Platform,
		Peers:    settings.Peers,
		Log:      b.log,
		Handlers: []coordination.Handler{{Path: path, Handler: handler}},
	})
	if err != nil {
		return errors.Join(err, b.socket.Close())
	}
	return nil
}

// receive is called by the socket.
func (b *balancer) receive(datagram []byte, from netip.AddrPort, _ time.Time) {
	b.received.Add(1)
	if forwarder := b.forwarder.Load(); forwarder != nil {
		forwarder.receive(datagram, from)
	}
}

// ready says whether the balancer can do its work: it knows a configuration and
// has not been told to stop.
func (b *balancer) ready() bool {
	return !b.leaving.Load() && b.node.Snapshot().Revision() > 0
}

// serve returns when the context ends.
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

// announceReady logs the event ready as soon as the balancer is.
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

// arrivals returns how many datagrams and streams have come so far.
func (b *balancer) arrivals() uint64 { return b.received.Load() + b.streams.Accepted() }

// drainStreams accepts no further stream and waits for the open ones.
func (b *balancer) drainStreams(limit time.Duration) {
	b.streams.StopAccepting()
	if !b.streams.AwaitIdle(limit) {
		b.log.WithField("streams", b.streams.Open()).Warn("drain-limit")
	}
	b.streams.Close()
}

// stop waits for the open streams up to the limit, leaves the other members and
// closes everything.
func (b *balancer) stop(drainLimit time.Duration) error {
	b.leaving.Store(true)
	b.log.Info("leaving")
	b.node.AnnounceLeaving()
	awaitQuiet(b.arrivals, quietPeriod, quietLimit)
	b.drainStreams(drainLimit)
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	if err := b.node.Leave(ctx); err != nil {
		// The others will notice by themselves.
		b.log.WithError(err).Warn("leave-unheard")
	}
	err := errors.Join(b.socket.Close(), b.observer.Close())
	b.drops.flush()
	b.log.Info("stopped")
	return err
}
