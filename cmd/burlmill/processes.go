// This file implements the commands balancer and agent. Each loads the settings and runs the
// process of the configured transport. A process of the handshake transport also queues its log
// lines, limits its heap growth and receives changed settings.

package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"

	"github.com/burlmill/burlmill/internal/agent"
	"github.com/burlmill/burlmill/internal/balancer"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/relay"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/platform"
)

// process runs a balancer or an agent until the context is canceled and then shuts it down
// gracefully.
type process func(context.Context, settings.Settings) error

// addProcesses adds the commands that run a balancer or an agent.
func (l *commandLine) addProcesses() {
	l.addCommand("balancer", "Run a balancer.", processAction(balancer.Run, relay.RunBalancer))
	l.addCommand("agent", "Run an agent beside a back end.", processAction(agent.Run, relay.RunAgent))
}

// relayProcess is like process, but for the handshake transport. It also receives changed settings
// while it runs.
type relayProcess func(context.Context, settings.Settings, relay.Adapter, *log.Logger, <-chan settings.Settings) error

// processAction configures a command that loads the settings and runs the process of the configured
// transport.
func processAction(run process, runRelay relayProcess) func(*kingpin.CmdClause) action {
	return func(clause *kingpin.CmdClause) action {
		path := clause.Flag("settings", "YAML file with settings. Flags win over it.").PlaceHolder("FILE").String()
		flags := settings.BindFlags(clause)
		return func(ctx context.Context, _ io.Writer) error {
			loaded, err := settings.Load(*path, flags.Overrides())
			if err != nil {
				return err
			}
			if loaded.Flows.Transport == settings.TransportHandshake {
				load := func() (settings.Settings, error) { return settings.Load(*path, flags.Overrides()) }
				return runRelayProcess(ctx, loaded, *path, load, runRelay)
			}
			// The logger of the network library nbio is global, so it is set here, once per
			// process.
			logging.RouteNbio(logging.New(os.Stdout, loaded.Log.Level))
			return run(ctx, loaded)
		}
	}
}

// logCloseTimeout limits the time for writing the queued log lines when a relay process exits.
const logCloseTimeout = 500 * time.Millisecond

// runRelayProcess runs a process of the handshake transport. Log lines are queued, so that slow log
// output does not block the process. load reads the settings again when the file at path changes.
func runRelayProcess(ctx context.Context, loaded settings.Settings, path string, load func() (settings.Settings, error), run relayProcess) error {
	limitHeapGrowth()
	queue := logging.NewQueue(os.Stdout)
	defer queue.Close(logCloseTimeout)
	logger := logging.New(queue, loaded.Log.Level)
	logging.RouteNbio(logger)
	changes := settings.Watch(ctx, path, load, func(err error) { logger.WithError(err).Error("settings-invalid") })
	return run(ctx, loaded, platform.New(loaded), logger, changes)
}
