// This file creates an agent's components, connects them, and starts and stops them.

package agent

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/quicserver"
	"github.com/burlmill/burlmill/internal/agent/tcpflow"
	"github.com/burlmill/burlmill/internal/agent/udpflow"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/observability"
	"github.com/burlmill/burlmill/internal/wire"
)

const (
	headerCacheCapacity = 8192 // parsed headers in the decoder's cache

	dropLogRate  = 1 // log entries per second
	dropLogBurst = 5

	flowLogRate  = 25 // log entries per second
	flowLogBurst = 50
)

// process holds the components of a running agent. Components that are not started are nil.
type process struct {
	eventLoop     *eventLoop
	socket        *wire.Socket
	udp           *udpflow.Flows
	http          *httpBackends
	tcp           *tcpflow.Streams
	metricsServer io.Closer
	log           log.Interface
}

func start(options Options) (*process, error) {
	started := &process{log: options.Log}
	if err := started.open(options); err != nil {
		started.close()
		return nil, err
	}
	return started, nil
}

// open starts the components in the order of their dependencies.
func (p *process) open(options Options) (err error) {
	metrics := newMetrics()
	drops := dropRecorder{metrics, newLimiter(p.log, dropLogRate, dropLogBurst)}
	receiver := &receiver{
		decoder: wire.NewDecoder(headerCacheCapacity),
		inbox:   newInbox(time.Now()),
		metrics: metrics,
		drops:   drops,
	}
	receiver.inbox.evicted = receiver.evict
	ready := new(atomic.Bool)
	metrics.registry.MustRegister(options.Collectors...)
	if p.metricsServer, err = observability.Serve(options.MetricsAddress, metrics.registry, ready.Load); err != nil {
		return err
	}
	if p.socket, err = wire.Listen(options.DataAddress, receiver.receive); err != nil {
		return err
	}
	if p.udp, err = udpflow.New(p.socket, metrics); err != nil {
		return err
	}
	if p.http, err = newHTTPBackends(options, p.socket, metrics); err != nil {
		return err
	}
	if p.tcp, err = tcpflow.Start(tcpflow.Options{
		Self:          p.socket.LocalAddress(),
		Configuration: options.Coordination,
		Registerer:    metrics.registry,
		Subsystem:     metricsSubsystem,
		Drops:         drops.log,
	}); err != nil {
		return err
	}
	p.eventLoop = &eventLoop{
		self:            p.socket.LocalAddress(),
		decider:         newDecider(options, p.socket.LocalAddress()),
		udp:             p.udp,
		http:            p.http,
		tcp:             p.tcp,
		sender:          p.socket,
		coordination:    options.Coordination,
		inspection:      newInspection(metrics),
		drainLimit:      options.DrainLimit,
		metrics:         metrics,
		log:             p.log,
		drops:           drops,
		flowLog:         newLimiter(p.log, flowLogRate, flowLogBurst),
		ready:           ready,
		inbox:           receiver.inbox,
		snapshotChanges: make(chan struct{}, 1),
	}
	p.eventLoop.inspection.eventLoop = p.eventLoop
	if options.OnStart != nil {
		options.OnStart(p.eventLoop.inspection, p.eventLoop.self)
	}
	options.Coordination.Subscribe(p.eventLoop.snapshotChanged)
	return nil
}

// close stops the components in the reverse order of their dependencies.
func (p *process) close() {
	if p.tcp != nil {
		p.tcp.Close()
	}
	if p.http != nil {
		p.http.close()
	}
	if p.udp != nil {
		p.udp.Close()
	}
	if p.socket != nil {
		p.logCloseError(p.socket.Close())
	}
	if p.metricsServer != nil {
		p.logCloseError(p.metricsServer.Close())
	}
	if p.eventLoop != nil {
		p.eventLoop.drops.log.Flush()
		p.eventLoop.flowLog.Flush()
	}
}

func (p *process) logCloseError(err error) {
	if err != nil {
		p.log.WithError(err).Warn("close")
	}
}

func newDecider(options Options, self netip.AddrPort) *flow.Decider {
	return flow.NewDecider(self, options.Coordination, flow.Options{
		IdleTimeout:      options.IdleTimeout,
		DrainIdleTimeout: options.drainIdleTimeout(),
		ConfirmedAlive:   func(time.Time) bool { return options.Coordination.SelfConfirmed() },
		ConfirmedSince:   options.Coordination.ConfirmedSince,
		OfferedRevision:  options.Coordination.OfferedRevision,
	})
}

func newHTTPBackends(
	options Options, socket *wire.Socket, metrics *metrics,
) (*httpBackends, error) {
	tlsConfig, err := quicserver.SelfSigned(time.Now())
	if err != nil {
		return nil, err
	}
	requestsContext, cancelRequests := context.WithCancel(context.Background())
	if options.Handover != nil {
		context.AfterFunc(requestsContext, options.Handover.AbortAll)
	}
	return &httpBackends{
		sender:          socket,
		tls:             tlsConfig,
		idleTimeout:     options.IdleTimeout,
		drainTimeout:    options.drainIdleTimeout(),
		metrics:         metrics,
		self:            socket.LocalAddress(),
		handover:        options.Handover,
		byKey:           map[backendKey]*httpBackend{},
		snapshot:        catalog.Empty(),
		requestsContext: requestsContext,
		cancelRequests:  cancelRequests,
		stoppedServers:  make(chan stoppedServer),
	}, nil
}

func newLimiter(logger log.Interface, perSecond float64, burst int) *logging.Limiter {
	return logging.NewLimiter(logging.LimiterOptions{
		Log:       logger,
		PerSecond: perSecond,
		Burst:     burst,
		Now:       time.Now,
	})
}

// snapshotChanged notifies the event loop of a new snapshot. It never blocks.
func (l *eventLoop) snapshotChanged(*catalog.Snapshot) {
	select {
	case l.snapshotChanges <- struct{}{}:
	default:
	}
}
