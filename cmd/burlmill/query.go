// This file implements the commands query and status, which query running nodes and print the
// answer, and to stderr why it is incomplete.

package main

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/burlmill/burlmill/internal/operator/fanout"
	"github.com/burlmill/burlmill/internal/operator/output"
	"github.com/burlmill/burlmill/internal/operator/overview"
)

// addQueries adds the commands that query running nodes: query and status.
func (l *commandLine) addQueries() {
	l.addCommand("query", "Ask running nodes, such as: flows where service = \"lessons\" and age > 10m order by age desc limit 20.", l.queryAction)
	l.addCommand("status", "Show the configuration in force, the nodes, and the services with their back ends.", l.statusAction)
}

// queryFlags are the flags common to all commands that query running nodes.
type queryFlags struct {
	entryPoints []string // each one or more addresses, separated by commas
	timeout     time.Duration
	maxBytes    int
}

func bindQueryFlags(clause *kingpin.CmdClause) *queryFlags {
	flags := &queryFlags{}
	clause.Flag("node", "Control address of any node; several are tried at once. May be given several times or with commas.").
		Required().PlaceHolder("ADDRESS[,ADDRESS…]").StringsVar(&flags.entryPoints)
	clause.Flag("timeout", "How long to wait for all nodes together.").
		Default(fanout.DefaultTimeout.String()).DurationVar(&flags.timeout)
	return flags
}

// withClient runs a command with a client for queries and closes the client afterwards.
func (f *queryFlags) withClient(command func(*fanout.Client) error) error {
	entryPoints, err := fanout.ParseEntryPoints(strings.Split(strings.Join(f.entryPoints, ","), ","))
	if err != nil {
		return err
	}
	client := fanout.New(fanout.Options{EntryPoints: entryPoints, Timeout: f.timeout, MaxBytes: f.maxBytes})
	defer client.Close()
	return command(client)
}

func (l *commandLine) queryAction(clause *kingpin.CmdClause) action {
	text := clause.Arg("query", "What to ask.").Required().String()
	format := clause.Flag("output", "Form of the rows: table, json or csv.").
		Default(string(output.Table)).Enum(output.Formats()...)
	flags := bindQueryFlags(clause)
	maxBytes := clause.Flag("limit-bytes", "Largest size of all rows that are fetched.").Default("1MiB").Bytes()
	return func(ctx context.Context, stdout io.Writer) error {
		flags.maxBytes = int(*maxBytes)
		return flags.withClient(func(client *fanout.Client) error {
			answer, err := client.Query(ctx, *text)
			if err != nil {
				return err
			}
			output.WriteProblems(l.stderr, &answer)
			return output.Write(stdout, output.Format(*format), &answer)
		})
	}
}

func (l *commandLine) statusAction(clause *kingpin.CmdClause) action {
	flags := bindQueryFlags(clause)
	return func(ctx context.Context, stdout io.Writer) error {
		return flags.withClient(func(client *fanout.Client) error {
			page, err := overview.Collect(ctx, client)
			if err != nil {
				return err
			}
			page.WriteProblems(l.stderr)
			return page.Write(stdout)
		})
	}
}
