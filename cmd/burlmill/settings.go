// This file implements the commands check and reference, which validate a settings file and print
// the reference page of the settings.

package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/burlmill/burlmill/internal/settings"
)

// addSettings adds the commands that check settings and print their reference.
func (l *commandLine) addSettings() {
	l.addCommand("check", "Check a settings file, together with flags, and list each bad field.", checkAction)
	l.addCommand("reference", "Print the reference page of all settings.", referenceAction)
}

func checkAction(clause *kingpin.CmdClause) action {
	path := clause.Arg("file", "YAML file with settings.").Required().String()
	flags := settings.BindFlags(clause)
	return func(_ context.Context, stdout io.Writer) error {
		if _, err := settings.Load(*path, flags.Overrides()); err != nil {
			return err
		}
		fmt.Fprintln(stdout, "ok")
		return nil
	}
}

func referenceAction(*kingpin.CmdClause) action {
	return func(_ context.Context, stdout io.Writer) error {
		_, err := io.WriteString(stdout, settings.Reference())
		return err
	}
}
