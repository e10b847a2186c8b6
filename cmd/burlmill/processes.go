package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/burlmill/burlmill/internal/agent"
	"github.com/burlmill/burlmill/internal/balancer"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/settings"
)

// process serves until the context is cancelled and then leaves cleanly.
type process func(context.Context, settings.Settings) error

func (l *commandLine) addProcesses() {
	l.add("balancer", "Run a balancer.", processAction(balancer.Run))
	l.add("agent", "Run an agent beside a back end.", processAction(agent.Run))
}

// processAction configures a command that loads the settings and runs a process.
func processAction(run process) func(*kingpin.CmdClause) action {
	return func(clause *kingpin.CmdClause) action {
		path := clause.Flag("settings", "YAML file with settings. Flags win over it.").PlaceHolder("FILE").String()
		flags := settings.BindFlags(clause)
		return func(ctx context.Context, _ io.Writer) error {
			loaded, err := settings.Load(*path, flags.Overrides())
			if err != nil {
				return err
			}
			// nbio's log belongs to the whole process, so it is routed only here.
			logging.RouteNbio(logging.New(os.Stdout, loaded.Log.Level))
			return run(ctx, loaded)
		}
	}
}
