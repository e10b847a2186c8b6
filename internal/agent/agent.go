// Package agent implements the agent, the process that runs next to one or more back ends. An agent
// receives callers' datagrams from balancers and other agents and uses package flow to decide which
// of them are for its back ends. It delivers these as datagrams to back ends of udp services, and
// as HTTP/1.1 requests to back ends of http services. It relays streams of tcp services with
// package tcpflow. Run and Serve run an agent until their context ends, and then drain and stop it.
package agent

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/internal/agent/handover"
	"github.com/burlmill/burlmill/internal/coordination"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/observability"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/membership"
)

// shutdownNoticeTimeout bounds the sending of the shutdown notice to the other processes.
const shutdownNoticeTimeout = 2 * time.Second

// Run runs an agent until the context ends. It then accepts no new flows or requests, waits for
// open ones to finish, aborts those that remain at the drain limit, and returns nil. Errors:
// fault.Unavailable if a socket cannot be opened, fault.Internal otherwise.
func Run(ctx context.Context, settings settings.Settings) error {
	events := status.NewEventBuffer()
	logger := events.WrapLogger(logging.New(os.Stdout, settings.Log.Level)).
		WithField("node", settings.Node.ID)
	statusService := status.NewService(events)
	path, handler := statusService.Handler()
	skipped := observability.NewSkippedEntries()
	handoverService := handover.Start()
	defer handoverService.Close()
	node, err := coordination.Start(coordination.Options{
		Node:     settings.Node,
		Role:     membership.Agent,
		Platform: settings.Platform,
		Peers:    settings.Peers,
		Log:      logger,
		Skipped:  skipped,
		Handlers: append(handoverService.Handlers(), coordination.Handler{Path: path, Handler: handler}),
	})
	if err != nil {
		return err
	}
	handoverService.Bind(node, settings.Node.DataAddress)
	return Serve(ctx, Options{
		DataAddress:      settings.Node.DataAddress,
		MetricsAddress:   settings.Node.MetricsAddress,
		IdleTimeout:      settings.Flows.IdleTimeout,
		DrainIdleTimeout: settings.Flows.DrainIdleTimeout,
		DrainLimit:       settings.Flows.DrainLimit,
		Coordination:     node,
		Collectors:       []prometheus.Collector{skipped},
		Log:              logger,
		Handover:         handoverService,
		OnStart: func(inspector status.AgentInspector, data netip.AddrPort) {
			statusService.Bind(status.Identity{ID: settings.Node.ID, DataAddress: data}, node, inspector)
		},
	})
}

// Options configures an agent. MetricsAddress, DrainIdleTimeout, Collectors, Handover and OnStart are
// optional; all other fields must be set.
type Options struct {
	DataAddress    netip.AddrPort // data socket; identifies this agent in the catalog
	MetricsAddress netip.AddrPort // listen address for metrics; the zero value disables them
	IdleTimeout    time.Duration  // idle time after which a flow expires
	// DrainIdleTimeout is the idle timeout of udp flows during shutdown, and of connections without
	// requests while their back end drains, if it is shorter than IdleTimeout. 0 means IdleTimeout.
	DrainIdleTimeout time.Duration
	DrainLimit       time.Duration          // maximum duration of the drain during shutdown
	Collectors       []prometheus.Collector // further metrics to serve
	Coordination     Coordination
	Log              log.Interface

	// Handover lets requests run at other agents. If nil, all requests run locally.
	Handover *handover.Service

	// OnStart is called once during startup with the agent's inspector and the address of its data
	// socket. If nil, the agent answers no status queries.
	OnStart func(inspector status.AgentInspector, data netip.AddrPort)
}

// drainIdleTimeout returns the effective DrainIdleTimeout.
func (o *Options) drainIdleTimeout() time.Duration {
	if o.DrainIdleTimeout == 0 {
		return o.IdleTimeout
	}
	return min(o.DrainIdleTimeout, o.IdleTimeout)
}

// Serve runs an agent on the coordination node in the options and closes the node before it
// returns. Otherwise it behaves like Run.
func Serve(ctx context.Context, options Options) error {
	node, logger := options.Coordination, options.Log
	defer node.Close()
	running, err := start(options)
	if err != nil {
		return err
	}
	running.eventLoop.run(ctx)
	running.close()
	noticeContext, cancel := context.WithTimeout(context.Background(), shutdownNoticeTimeout)
	defer cancel()
	if err := node.Shutdown(noticeContext); err != nil {
		logger.WithError(err).Warn("leave-failed")
	}
	logger.Info("stopped")
	return nil
}
