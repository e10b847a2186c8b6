// Package process runs burlmill binaries as child processes for tests and experiments. It builds,
// starts, stops, kills and suspends them and keeps their logs. No child outlives the program that
// started it, even if that program is killed.
package process

import (
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// Group builds each binary once, starts child processes and stops them all. It kills all its
// children on Close, SIGINT and SIGTERM. Its methods are safe for concurrent use.
type Group struct {
	directory     string      // of built binaries
	startRequests chan func() // run by handleStartRequests
	signals       chan os.Signal
	goroutines    sync.WaitGroup

	mutex    sync.Mutex
	closed   bool
	children []*Process
	binaries map[string]string // path of the binary by package
}

// Command describes a child process to start.
type Command struct {
	Name        string // in error messages and in the result of Group.Running
	Path        string // of the binary, as returned by Build
	Arguments   []string
	Environment []string // additional "NAME=value" entries
}

// NewGroup returns an empty group, which the caller must close. On SIGINT or SIGTERM, the group
// kills its children, removes the binaries, restores the default handling of the signal and raises
// it again. Errors are of kind fault.Unavailable.
func NewGroup() (*Group, error) {
	directory, err := os.MkdirTemp("", "burlmill-lab-")
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "create directory for binaries")
	}
	group := &Group{
		directory:     directory,
		startRequests: make(chan func()),
		signals:       make(chan os.Signal, 1),
		binaries:      map[string]string{},
	}
	signal.Notify(group.signals, os.Interrupt, syscall.SIGTERM)
	group.goroutines.Go(group.handleStartRequests)
	group.goroutines.Go(group.awaitSignal)
	return group, nil
}

// handleStartRequests starts all children from one operating system thread that exists until Close.
// The kernel sends a child its parent death signal (Pdeathsig) when the thread that started it
// exits, even if the process continues.
func (g *Group) handleStartRequests() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for start := range g.startRequests {
		start()
	}
}

// awaitSignal handles the first SIGINT or SIGTERM as NewGroup describes. It returns early if Close
// closes the channel of signals.
func (g *Group) awaitSignal() {
	received, open := <-g.signals
	if !open {
		return
	}
	g.killChildren()
	_ = os.RemoveAll(g.directory)
	signal.Reset(received)
	_ = syscall.Kill(os.Getpid(), received.(syscall.Signal))
}

// Build compiles the main package, named as for "go build", and returns the path of the binary. It
// builds each package once per group. Errors: fault.Unavailable if the output directory cannot be
// created; otherwise fault.Invalid, with the compiler's output if the build fails.
func (g *Group) Build(mainPackage string) (string, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if path, done := g.binaries[mainPackage]; done {
		return path, nil
	}
	directory, err := os.MkdirTemp(g.directory, "")
	if err != nil {
		return "", fault.Wrap(fault.Unavailable, err, "create build directory for %s", mainPackage)
	}
	// With a trailing separator, go build names the binary after the package.
	output, err := exec.Command("go", "build", "-o", directory+"/", mainPackage).CombinedOutput()
	if err != nil {
		return "", fault.Wrap(fault.Invalid, err, "build %s: %s", mainPackage, output)
	}
	entries, err := os.ReadDir(directory)
	if err != nil || len(entries) != 1 {
		return "", fault.New(fault.Invalid, "build %s: go build did not write exactly one binary; want one main package", mainPackage)
	}
	path := directory + "/" + entries[0].Name()
	g.binaries[mainPackage] = path
	return path, nil
}

// Start starts a child. It fails if the group is closed. Errors are of kind fault.Unavailable.
func (g *Group) Start(command Command) (*Process, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return nil, fault.New(fault.Unavailable, "start %s: the group is closed", command.Name)
	}
	child := newProcess(command)
	started := make(chan error)
	g.startRequests <- func() { started <- startIgnoringHangup(child.command) }
	if err := <-started; err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "start %s", command.Name)
	}
	g.children = append(g.children, child)
	g.goroutines.Go(child.reap)
	return child, nil
}

// hangupDisposition guards this process's disposition of SIGHUP, which children inherit.
var hangupDisposition sync.Mutex

// startIgnoringHangup starts a child that ignores SIGHUP until it installs a handler. The signal
// would otherwise end a child that has just started. This process ignores the signal meanwhile, and
// its earlier calls of signal.Notify for it no longer apply.
func startIgnoringHangup(command *exec.Cmd) error {
	hangupDisposition.Lock()
	defer hangupDisposition.Unlock()
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Ignore(syscall.SIGHUP)
		defer signal.Reset(syscall.SIGHUP)
	}
	return command.Start()
}

// StopAll stops every running child of the group with the function StopAll.
func (g *Group) StopAll(timeout time.Duration) error { return StopAll(g.listChildren(), timeout) }

// StopAll calls Process.Stop concurrently for each of the children that is running, and joins the
// errors. Children that have already exited are skipped, whatever their exit code.
func StopAll(children []*Process, timeout time.Duration) error {
	running := slices.DeleteFunc(slices.Clone(children), (*Process).hasExited)
	errs := make([]error, len(running))
	var stopping sync.WaitGroup
	for number, child := range running {
		stopping.Go(func() { errs[number] = child.Stop(timeout) })
	}
	stopping.Wait()
	return errors.Join(errs...)
}

// Running returns the names of the children that have not exited.
func (g *Group) Running() []string {
	var names []string
	for _, child := range g.listChildren() {
		if !child.hasExited() {
			names = append(names, child.name)
		}
	}
	return names
}

// Close kills every child, waits until all have exited and removes the binaries. Later calls return
// nil. An error means that the binaries could not be removed; it has no kind of package fault.
func (g *Group) Close() error {
	g.mutex.Lock()
	if g.closed {
		g.mutex.Unlock()
		return nil
	}
	g.closed = true
	g.mutex.Unlock()
	g.killChildren()
	signal.Stop(g.signals)
	close(g.signals)
	close(g.startRequests)
	g.goroutines.Wait()
	return os.RemoveAll(g.directory)
}

func (g *Group) listChildren() []*Process {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]*Process(nil), g.children...)
}

func (g *Group) killChildren() {
	for _, child := range g.listChildren() {
		child.Kill()
	}
}
