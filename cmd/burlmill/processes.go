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

// process serves until the context is cancelled and then leaves cleanly.
type process func(context.Context, settings.Settings) error

func (l *commandLine) addProcesses() {
	l.add("balancer", "Run a balancer.", processAction(balancer.Run, relay.RunBalancer))
	l.add("agent", "Run an agent beside a back end.", processAction(agent.Run, relay.RunAgent))
}

// relayProcess is the same for a process whose flows open with a handshake.
type relayProcess func(context.Context, settings.Settings, relay.Adapter, *log.Logger, <-chan settings.Settings) error

// processAction configures a command that loads the settings and runs a process.
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
				return runWithQueue(ctx, loaded, *path, load, runRelay)
			}
			// nbio's log belongs to the whole process, so it is routed only here.
			logging.RouteNbio(logging.New(os.Stdout, loaded.Log.Level))
			return run(ctx, loaded)
		}
	}
}

// logCloseTime is how long the end of a process waits for a reader of its log.
const logCloseTime = 500 * time.Millisecond

// runWithQueue runs a process whose log never holds it up.
func runWithQueue(ctx context.Context, loaded settings.Settings, path string, load func() (settings.Settings, error), run relayProcess) error {
	limitHeapGrowth()
	queue := logging.NewQueue(os.Stdout)
	defer queue.Close(logCloseTime)
	logger := logging.New(queue, loaded.Log.Level)
	logging.RouteNbio(logger)
	changes := settings.Watch(ctx, path, load, func(err error) { logger.WithError(err).Error("settings-invalid") })
	return run(ctx, loaded, platform.New(loaded), logger, changes)
}
