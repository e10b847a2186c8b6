// Package agent is the process beside one or more back ends. It receives the
// datagrams of callers from balancers and other agents, decides with package
// flow which of them are for its back ends, and delivers those: as datagrams to
// back ends of udp services, as HTTP/1.1 requests to back ends of http services.
package agent

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/internal/agent/handover"
	"github.com/burlmill/burlmill/internal/coordination"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/membership"
)

// leaveTimeout is how long the last message to the other processes may take.
const leaveTimeout = 2 * time.Second

// Run runs an agent until the context ends. It then takes no new work, finishes
// what it has and returns nil. Errors: fault.Unavailable if a socket cannot be
// had, fault.Internal otherwise.
func Run(ctx context.Context, settings settings.Settings) error {
	events := status.NewEvents()
	logger := events.Record(logging.New(os.Stdout, settings.Log.Level)).WithField("node", settings.Node.ID)
	operators := status.NewService(events)
	path, handler := operators.Handler()
	placement := handover.Start()
	defer placement.Close()
	node, err := coordination.Start(coordination.Options{
		Node:     settings.Node,
		Role:     membership.Agent,
		Platform: settings.Platform,
		Peers:    settings.Peers,
		Log:      logger,
		Handlers: append(placement.Handlers(), coordination.Handler{Path: path, Handler: handler}),
	})
	if err != nil {
		return err
	}
	placement.Bind(node, settings.Node.DataAddress)
	return Serve(ctx, Options{
		Data:             settings.Node.DataAddress,
		Metrics:          settings.Node.MetricsAddress,
		IdleTimeout:      settings.Flows.IdleTimeout,
		DrainIdleTimeout: settings.Flows.DrainIdleTimeout,
		DrainLimit:       settings.Flows.DrainLimit,
		Node:             node,
		Log:              logger,
		Handover:         placement,
		Inspect: func(work status.Work, data netip.AddrPort) {
			operators.Bind(status.Identity{ID: settings.Node.ID, Data: data}, node, work)
		},
	})
}

// Options are what an agent needs. All fields but Metrics, Handover
// and Inspect must be set.
type Options struct {
	Data             netip.AddrPort // address of the data socket, by which the catalog names this agent
	Metrics          netip.AddrPort // address that metrics are served at; invalid: none
	IdleTimeout      time.Duration  // a flow without a datagram for this long is over
	DrainIdleTimeout time.Duration  // the same for a stopping agent; 0: no change
	DrainLimit       time.Duration  // how long a stopping agent waits for its requests and flows
	Node             Coordination
	Log              log.Interface

	// Handover lets requests run at other agents; nil: all run here.
	Handover *handover.Service

	// Inspect is called once, with what operators may ask of the agent and the
	// address of its data socket; nil: nobody asks.
	Inspect func(work status.Work, data netip.AddrPort)
}

// Serve runs an agent on a coordination node, which it closes. Otherwise it is
// like Run.
func Serve(ctx context.Context, options Options) error {
	node, logger := options.Node, options.Log
	defer node.Close()
	running, err := start(options)
	if err != nil {
		return err
	}
	running.owner.run(ctx)
	running.close()
	leaveContext, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := node.Leave(leaveContext); err != nil {
		logger.WithError(err).Warn("leave")
	}
	logger.Info("stopped")
	return nil
}
