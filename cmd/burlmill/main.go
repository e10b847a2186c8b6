// Command burlmill runs the load balancer's processes and the operator commands. It parses the
// command line and calls the packages that implement the commands. The first SIGINT or SIGTERM ends
// a command gracefully, the second at once. SIGHUP ends none: settings.Watch receives it in the
// processes that reload their settings. The exit code is 0 on success, otherwise the exit code
// that package fault defines for the kind of the error.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/burlmill/burlmill/fault"
	_ "github.com/burlmill/burlmill/internal/hangup" // receives SIGHUP in all commands
	"github.com/burlmill/burlmill/internal/version"
)

// exitSuccess is the exit code of a command that succeeded.
const exitSuccess = 0

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// action runs one command and prints its result to stdout.
type action func(ctx context.Context, stdout io.Writer) error

// run executes the command selected by the arguments and returns its exit code. Errors are printed
// to stderr.
func run(arguments []string, stdout, stderr io.Writer) int {
	signals := make(chan os.Signal, 2)
	// There is no signal.Stop: a signal between the end of the command and the exit of the process
	// must not replace the command's exit code.
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)

	line := newCommandLine(stdout, stderr)
	selected, err := line.parse(arguments)
	if err == nil && selected != nil {
		err = supervise(signals, func(ctx context.Context) error { return selected(ctx, stdout) })
	}
	if err != nil {
		fmt.Fprintf(stderr, "burlmill: %v\n", err)
		return fault.KindOf(err).Codes().ExitCode
	}
	return exitSuccess
}

// commandLine is the grammar of the command line and the action of each command.
type commandLine struct {
	application *kingpin.Application
	actions     map[string]action // by full command name of kingpin
	stderr      io.Writer         // for problems that do not make a command fail
}

func newCommandLine(stdout, stderr io.Writer) *commandLine {
	application := kingpin.New("burlmill", "A layer-4 load balancer for moving services between data centres.")
	application.UsageWriter(stdout)
	application.ErrorWriter(stderr)
	application.Terminate(func(int) { panic(terminated{}) })
	application.Version(version.String())
	line := &commandLine{application: application, actions: map[string]action{}, stderr: stderr}
	line.addProcesses()
	line.addSettings()
	line.addOperatorCommands()
	line.addQueries()
	return line
}

// addCommand registers a command. configure adds its flags and returns its action.
func (l *commandLine) addCommand(name, help string, configure func(*kingpin.CmdClause) action) {
	clause := l.application.Command(name, help)
	l.actions[clause.FullCommand()] = configure(clause)
}

// terminated is the value of the panic that stops kingpin after it has printed the help or the
// version. Without the panic, kingpin would continue and parse would return an action.
type terminated struct{}

// parse returns the action selected by the arguments, or nil if kingpin has printed the help or the
// version. Errors are of kind fault.Invalid.
func (l *commandLine) parse(arguments []string) (selected action, err error) {
	if len(arguments) == 0 {
		return nil, fault.New(fault.Invalid, "no command given; see burlmill --help")
	}
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(terminated); !ok {
				panic(cause)
			}
		}
	}()
	command, err := l.application.Parse(arguments)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "command line")
	}
	return l.actions[command], nil
}

// supervise runs a command and returns its error. The first signal cancels the command's context.
// On the second signal, supervise returns an error of kind fault.Canceled without waiting for the
// command.
func supervise(signals <-chan os.Signal, command func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- command(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case received := <-signals:
			if ctx.Err() != nil {
				return fault.New(fault.Canceled, "aborted by a second signal (%s)", received)
			}
			cancel()
		}
	}
}
