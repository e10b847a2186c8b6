package process

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// ReadyLine is part of the line that a burlmill process logs when it serves.
const ReadyLine = "event=ready"

// Process is one child. Its methods are safe for concurrent use.
type Process struct {
	name    string
	command *exec.Cmd
	log     *logBuffer
	ended   chan struct{} // closed when the child is gone
}

func newProcess(command Command) *Process {
	child := &Process{
		name:    command.Name,
		command: exec.Command(command.Path, command.Arguments...),
		log:     newLogBuffer(),
		ended:   make(chan struct{}),
	}
	child.command.Env = append(os.Environ(), command.Environment...)
	child.command.Stdout = child.log
	child.command.Stderr = child.log
	// A group of its own, killed as a whole; and a death with the parent.
	child.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return child
}

func (p *Process) reap() {
	_ = p.command.Wait()
	close(p.ended)
}

func (p *Process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Log returns what the child has written so far to both of its outputs.
func (p *Process) Log() string { return p.log.text() }

// Tail returns the end of what Log returns.
func (p *Process) Tail() string { return p.log.tail() }

// Ended returns a channel that is closed when the child is gone.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitCode returns the child's exit code: -1 while it runs or when a signal ended it.
func (p *Process) ExitCode() int {
	if !p.hasEnded() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// AwaitLine waits until a line of the log contains the text and returns that
// line. Errors: fault.Deadline after the limit, fault.Unavailable when the child
// ends first; both hold the end of the log.
func (p *Process) AwaitLine(text string, limit time.Duration) (string, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		written := p.log.changed()
		if line, found := p.log.lineWith(text); found {
			return line, nil
		}
		select {
		case <-written:
		case <-timer.C:
			return "", fault.New(fault.Deadline, "%s: no line with %q within %s; log: %s", p.name, text, limit, p.log.tail())
		case <-p.ended:
			if line, found := p.log.lineWith(text); found {
				return line, nil
			}
			return "", fault.New(fault.Unavailable, "%s ended with code %d before a line with %q; log: %s", p.name, p.ExitCode(), text, p.log.tail())
		}
	}
}

// AwaitReady waits for ReadyLine, as AwaitLine does.
func (p *Process) AwaitReady(limit time.Duration) error {
	_, err := p.AwaitLine(ReadyLine, limit)
	return err
}

// Stop sends SIGTERM and waits until the child is gone. After the limit it kills
// the child and returns fault.Deadline. An exit code other than 0 gives fault.Internal.
func (p *Process) Stop(limit time.Duration) error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(limit):
		p.Kill()
		return fault.New(fault.Deadline, "%s did not stop within %s; log: %s", p.name, limit, p.log.tail())
	}
	if code := p.ExitCode(); code != 0 {
		return fault.New(fault.Internal, "%s ended with code %d; log: %s", p.name, code, p.log.tail())
	}
	return nil
}

// Kill sends SIGKILL to the child and its descendants and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the child from running (SIGSTOP) until Resume.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen child run on (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// signal reaches the child's process group, unless the child is gone: its id
// could belong to another process by then.
func (p *Process) signal(signal syscall.Signal) {
	if !p.hasEnded() {
		_ = syscall.Kill(-p.ID(), signal)
	}
}

// CountLines returns how many lines of the log contain the text.
func (p *Process) CountLines(text string) int {
	count := 0
	for line := range strings.Lines(p.Log()) {
		if strings.Contains(line, text) {
			count++
		}
	}
	return count
}
