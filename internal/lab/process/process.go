// This file implements Process: it returns and searches the log of a child, waits for a log line
// and for the exit of the child, stops the child with SIGTERM or, after a timeout, SIGKILL, and
// kills, suspends and resumes it. The kernel kills the child if this program terminates.

package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// ReadyText is the part of a log line by which a child reports that it is ready to serve.
const ReadyText = "event=ready"

// suspendPollInterval is the interval at which Suspend checks whether the child has stopped.
const suspendPollInterval = time.Millisecond

// Process is a child process. Its methods are safe for concurrent use.
type Process struct {
	name      string
	command   *exec.Cmd
	log       *logBuffer    // standard output and standard error
	exited    chan struct{} // closed when the child has exited
	suspended atomic.Bool   // by the latest call of Suspend or Resume
}

func newProcess(command Command) *Process {
	child := &Process{
		name:    command.Name,
		command: exec.Command(command.Path, command.Arguments...),
		log:     newLogBuffer(),
		exited:  make(chan struct{}),
	}
	child.command.Env = append(os.Environ(), command.Environment...)
	child.command.Stdout = child.log
	child.command.Stderr = child.log
	// The child gets its own process group, so that its descendants can be signaled with it. The
	// kernel kills it if this program terminates.
	child.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return child
}

// reap waits for the exit of the child. It must be called exactly once, after the start.
func (p *Process) reap() {
	_ = p.command.Wait()
	close(p.exited)
}

func (p *Process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ID returns the process id. It is also the id of the child's process group.
func (p *Process) ID() int { return p.command.Process.Pid }

// Log returns what the child has written so far to standard output and standard error.
func (p *Process) Log() string { return p.log.text() }

// LogTail returns the last part of the log, at most maxTailBytes.
func (p *Process) LogTail() string { return p.log.tail() }

// Exited returns a channel that is closed when the child has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the child's exit code, or -1 while it runs or if a signal terminated it.
func (p *Process) ExitCode() int {
	if !p.hasExited() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// ExitStatus describes for error messages and logs how the child ended, for example "exit status 1"
// or "signal: killed", or returns "running".
func (p *Process) ExitStatus() string {
	if !p.hasExited() {
		return "running"
	}
	return p.command.ProcessState.String()
}

// AwaitLine waits until a complete line of the log contains the text and returns the first such
// line. Errors: fault.Deadline after the timeout, fault.Unavailable if the child exits first; both
// contain the end of the log.
func (p *Process) AwaitLine(text string, timeout time.Duration) (string, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		written := p.log.nextWrite()
		if line, found := p.log.findLine(text); found {
			return line, nil
		}
		select {
		case <-written:
		case <-timer.C:
			return "", fault.New(fault.Deadline, "%s did not log a line with %q within %s; log: %s", p.name, text, timeout, p.log.tail())
		case <-p.exited:
			if line, found := p.log.findLine(text); found {
				return line, nil
			}
			return "", fault.New(fault.Unavailable, "%s ended (%s) before it logged a line with %q; log: %s", p.name, p.ExitStatus(), text, p.log.tail())
		}
	}
}

// AwaitReady waits until the child has logged a line that contains ReadyText. Errors are those of
// AwaitLine.
func (p *Process) AwaitReady(timeout time.Duration) error {
	_, err := p.AwaitLine(ReadyText, timeout)
	return err
}

// Stop sends SIGTERM to the child, but not to the rest of its process group, and waits until it has
// exited. After the timeout it kills the process group and returns fault.Deadline. An exit code
// other than 0 is reported as fault.Internal. Both errors contain the end of the log.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.Kill()
		return fault.New(fault.Deadline, "%s did not stop within %s; log: %s", p.name, timeout, p.log.tail())
	}
	if p.ExitCode() != 0 {
		return fault.New(fault.Internal, "%s ended (%s); log: %s", p.name, p.ExitStatus(), p.log.tail())
	}
	return nil
}

// Kill sends SIGKILL to the child's process group and waits until the child has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Suspend suspends the child's process group (SIGSTOP) until Resume. It returns when the child no
// longer runs: until one of its threads has received the signal, the others continue.
func (p *Process) Suspend() {
	p.suspended.Store(true)
	p.signal(syscall.SIGSTOP)
	for p.suspended.Load() && !p.hasExited() && !allThreadsStopped(p.ID()) {
		time.Sleep(suspendPollInterval)
	}
}

// Resume continues the child's process group after Suspend (SIGCONT).
func (p *Process) Resume() {
	p.suspended.Store(false)
	p.signal(syscall.SIGCONT)
}

// allThreadsStopped reports whether no thread of the process runs or can run: each is stopped, or
// has exited.
func allThreadsStopped(id int) bool {
	states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", id))
	if err != nil {
		panic(err) // malformed pattern
	}
	return !slices.ContainsFunc(states, func(path string) bool {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false // the thread has exited
		}
		// The state follows the name, which is in parentheses and may contain any character.
		text := string(stat)
		state := text[strings.LastIndex(text, ")")+1:]
		return !strings.HasPrefix(state, " T") && !strings.HasPrefix(state, " Z")
	})
}

// signal sends the signal to the child's process group, unless the child has exited: the id of a
// process that has exited may belong to another one.
func (p *Process) signal(signal syscall.Signal) {
	if !p.hasExited() {
		_ = syscall.Kill(-p.ID(), signal)
	}
}

// CountLines returns how many lines of the log contain the text. It counts an incomplete last line.
func (p *Process) CountLines(text string) int {
	count := 0
	for line := range strings.Lines(p.Log()) {
		if strings.Contains(line, text) {
			count++
		}
	}
	return count
}
