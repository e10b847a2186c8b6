// This file implements the commands that change services in the platform's store: apply, drain,
// undrain, evacuate, restore and shift. They print a line for each service. Without --yes, evacuate
// prints a plan and fails; with --dry-run, shift only prints a plan.

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/alecthomas/kingpin/v2"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
	"github.com/burlmill/burlmill/internal/operator"
	"github.com/burlmill/burlmill/internal/settings"
)

// addOperatorCommands adds the commands that change services in the platform's store.
func (l *commandLine) addOperatorCommands() {
	l.addCommand("apply", "Write the services in a YAML or JSON file to the platform's store.", applyAction)
	l.addCommand("drain", "Stop new work to a back end.", stateAction((*operator.Executor).Drain))
	l.addCommand("undrain", "Allow new work to a back end again.", stateAction((*operator.Executor).Undrain))
	l.addCommand("evacuate", "Stop new work to all back ends of a zone, of all services.", evacuateAction)
	l.addCommand("restore", "Allow new work to the back ends of an evacuated zone again.", restoreAction)
	l.addCommand("shift", "Set the shares of new flows that sites carry.", shiftAction)
}

// writerFlags are the flags common to all commands that write to the store.
type writerFlags struct {
	platformURL string
	commandID   string
	author      string
}

func bindWriterFlags(clause *kingpin.CmdClause) *writerFlags {
	flags := &writerFlags{}
	clause.Flag("platform.url", "Base URL of the platform's object API.").Required().StringVar(&flags.platformURL)
	clause.Flag("command-id", "Id under which the command is kept with what it writes. "+
		"Give the same one again to repeat a command whose result was unknown. Default: a new one.").StringVar(&flags.commandID)
	clause.Flag("author", "Name under which others see the change.").Default(loginName()).StringVar(&flags.author)
	return flags
}

// loginName returns the login name of the current user, or "" if it cannot be determined.
func loginName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// withExecutor runs a command with an executor and closes the executor's store client afterwards.
// The error is of kind fault.Invalid if the flags are not valid, otherwise that of the command.
func (f *writerFlags) withExecutor(command func(*operator.Executor) error) error {
	if err := settings.CheckPlatformURL(f.platformURL); err != nil {
		return err
	}
	client := objects.NewClient(f.platformURL, objects.Options{})
	defer client.Close()
	executor, err := operator.New(client, operator.Options{Command: objects.CommandID(f.commandID), Author: f.author})
	if err != nil {
		return err
	}
	return command(executor)
}

// printResults prints one line per result and returns the error of the first result that has one.
func printResults(stdout io.Writer, results ...operator.Result) error {
	var first error
	for _, result := range results {
		fmt.Fprintln(stdout, result.String())
		if first == nil {
			first = result.Err
		}
	}
	return first
}

func applyAction(clause *kingpin.CmdClause) action {
	path := clause.Arg("file", "YAML or JSON file with one or more services.").Required().String()
	expect := clause.Flag("expect", "Version at which you last saw a service, 0 if it must not exist; "+
		"any other is a conflict. May be given several times.").PlaceHolder("SERVICE=VERSION").Strings()
	flags := bindWriterFlags(clause)
	return func(ctx context.Context, stdout io.Writer) error {
		services, err := readServices(*path)
		if err != nil {
			return err
		}
		expectations, err := operator.ParseExpectations(*expect)
		if err != nil {
			return err
		}
		return flags.withExecutor(func(executor *operator.Executor) error {
			results, err := executor.Apply(ctx, services, expectations)
			if err != nil {
				return err
			}
			return printResults(stdout, results...)
		})
	}
}

func readServices(path string) ([]catalog.Service, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.NotFound, err, "read services")
	}
	return operator.ParseServices(data)
}

// stateChange is a method of Executor that changes the state of one back end.
type stateChange func(*operator.Executor, context.Context, catalog.ServiceName, catalog.BackendID) operator.Result

func stateAction(change stateChange) func(*kingpin.CmdClause) action {
	return func(clause *kingpin.CmdClause) action {
		service := clause.Arg("service", "Name of the service.").Required().String()
		backend := clause.Arg("backend", "Id of the back end.").Required().String()
		flags := bindWriterFlags(clause)
		return func(ctx context.Context, stdout io.Writer) error {
			return flags.withExecutor(func(executor *operator.Executor) error {
				return printResults(stdout, change(executor, ctx, catalog.ServiceName(*service), catalog.BackendID(*backend)))
			})
		}
	}
}

func evacuateAction(clause *kingpin.CmdClause) action {
	zone := clause.Arg("zone", "Name of the zone.").Required().String()
	yes := clause.Flag("yes", "Do it. Without this the capacity that would be left is printed and nothing is written.").Bool()
	flags := bindWriterFlags(clause)
	return func(ctx context.Context, stdout io.Writer) error {
		return flags.withExecutor(func(executor *operator.Executor) error {
			if !*yes {
				return printEvacuation(ctx, stdout, executor, catalog.ZoneName(*zone))
			}
			results, err := executor.Evacuate(ctx, catalog.ZoneName(*zone))
			if err != nil {
				return err
			}
			return printResults(stdout, results...)
		})
	}
}

// printEvacuation prints the capacity that an evacuation would leave, without writing to the store.
// It never returns nil: after printing the plan, it returns an error of kind fault.Invalid, because
// the evacuation was not confirmed with --yes.
func printEvacuation(ctx context.Context, stdout io.Writer, executor *operator.Executor, zone catalog.ZoneName) error {
	plan, err := executor.PlanEvacuation(ctx, zone)
	if err != nil {
		return err
	}
	if err := plan.Write(stdout); err != nil {
		return err
	}
	return fault.InvalidField("yes", false, "must be given to evacuate the zone; nothing was written")
}

func restoreAction(clause *kingpin.CmdClause) action {
	zone := clause.Arg("zone", "Name of the zone.").Required().String()
	flags := bindWriterFlags(clause)
	return func(ctx context.Context, stdout io.Writer) error {
		return flags.withExecutor(func(executor *operator.Executor) error {
			results, err := executor.Restore(ctx, catalog.ZoneName(*zone))
			if err != nil {
				return err
			}
			return printResults(stdout, results...)
		})
	}
}

func shiftAction(clause *kingpin.CmdClause) action {
	service := clause.Arg("service", "Name of the service.").Required().String()
	texts := clause.Arg("share", "SITE=PERCENT. Sites left out keep their share; all must add up to 100.").Required().Strings()
	dryRun := clause.Flag("dry-run", "Write nothing; print which share of new flows would move.").Bool()
	flags := bindWriterFlags(clause)
	return func(ctx context.Context, stdout io.Writer) error {
		shares, err := operator.ParseShares(*texts)
		if err != nil {
			return err
		}
		return flags.withExecutor(func(executor *operator.Executor) error {
			if *dryRun {
				return printShiftPlan(ctx, stdout, executor, catalog.ServiceName(*service), shares)
			}
			return printResults(stdout, executor.Shift(ctx, catalog.ServiceName(*service), shares))
		})
	}
}

// printShiftPlan prints the changes that a shift would make, without writing them.
func printShiftPlan(ctx context.Context, stdout io.Writer, executor *operator.Executor, name catalog.ServiceName, shares []catalog.SiteShare) error {
	plan, err := executor.PlanShift(ctx, name, shares)
	if err != nil {
		return err
	}
	return plan.Write(stdout)
}
