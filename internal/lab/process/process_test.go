// This file tests with real child processes that a group and its children start, log, suspend,
// resume, stop and are killed as requested, and that no child outlives its parent. It also tests
// that a wait for a log line ends when the child exits, and that a closed group starts no child.

package process_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/process"
)

const (
	waitTimeout = 10 * time.Second // of a call or a condition

	// roleVariable is the environment variable that, with the value parent, makes the test binary
	// call runParent instead of running tests.
	roleVariable = "PROCESS_TEST_ROLE"
)

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) == "parent" {
		runParent()
	}
	goleak.VerifyTestMain(m)
}

// runParent starts a child, prints the child's process id and waits to be killed.
func runParent() {
	group, _ := process.NewGroup()
	path, _ := group.Build("./testdata/child")
	child, err := group.Start(process.Command{Name: "child", Path: path})
	if err != nil {
		os.Exit(1)
	}
	_ = child.AwaitReady(waitTimeout)
	_, _ = os.Stdout.WriteString(strconv.Itoa(child.ID()) + "\n")
	select {}
}

func newGroup(t *testing.T) (*process.Group, string) {
	t.Helper()
	group, err := process.NewGroup()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = group.Close() })
	path, err := group.Build("./testdata/child")
	if err != nil {
		t.Fatal(err)
	}
	return group, path
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// alive reports whether the process exists and is not a zombie.
func alive(id int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	return err == nil && !strings.Contains(string(status), ") Z ")
}

// TestChildLifecycle guards against a missed ready line and against calls that do not suspend,
// resume or stop the child.
func TestChildLifecycle(t *testing.T) {
	is := is.New(t)
	group, path := newGroup(t)
	child, err := group.Start(process.Command{Name: "child", Path: path})
	is.NoErr(err)
	line, err := child.AwaitLine(process.ReadyText, waitTimeout)
	is.NoErr(err)
	is.Equal(line, "event=ready port=1")
	child.Suspend()
	before := ""
	eventually(t, "the suspended child stops writing", func() bool {
		last := before
		before = child.Log()
		time.Sleep(20 * time.Millisecond)
		return last == before
	})
	ticks := child.CountLines("event=tick")
	child.Resume()
	eventually(t, "the child runs again", func() bool { return child.CountLines("event=tick") > ticks })
	is.NoErr(child.Stop(waitTimeout))
	is.Equal(child.ExitCode(), 0)
	is.True(strings.HasSuffix(child.Log(), "event=stopped\n"))
}

// TestSuspendedChildHasStopped guards against a suspension that returns while threads of the child
// still run, so that a test finds a process at work that it believes to be suspended.
func TestSuspendedChildHasStopped(t *testing.T) {
	is := is.New(t)
	group, path := newGroup(t)
	child, err := group.Start(process.Command{Name: "child", Path: path})
	is.NoErr(err)
	is.NoErr(child.AwaitReady(waitTimeout))
	for range 50 {
		child.Suspend()
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", child.ID()))
		is.NoErr(err)
		is.True(len(threads) > 0)
		for _, thread := range threads {
			status, err := os.ReadFile(thread)
			is.NoErr(err)
			is.True(strings.Contains(string(status), ") T "))
		}
		child.Resume()
	}
}

// TestEarlyExitAndKill guards against a wait that misses the exit of the child, a suspended child
// that survives Close of its group, and a start in a closed group.
func TestEarlyExitAndKill(t *testing.T) {
	is := is.New(t)
	group, path := newGroup(t)
	failed, err := group.Start(process.Command{Name: "child", Path: path, Arguments: []string{"fail"}})
	is.NoErr(err)
	is.Equal(fault.KindOf(failed.AwaitReady(waitTimeout)), fault.Unavailable)
	is.Equal(failed.ExitCode(), 3)
	suspended, err := group.Start(process.Command{Name: "child", Path: path})
	is.NoErr(err)
	is.NoErr(suspended.AwaitReady(waitTimeout))
	suspended.Suspend()
	is.NoErr(group.Close()) // kills a suspended child too
	is.True(!alive(suspended.ID()))
	_, err = group.Start(process.Command{Name: "late", Path: path})
	is.Equal(fault.KindOf(err), fault.Unavailable)
}

// TestHangupAtStartEndsNoChild guards against a child that SIGHUP ends before the child has
// installed a handler, and against a child that ignores the signal from then on.
func TestHangupAtStartEndsNoChild(t *testing.T) {
	is := is.New(t)
	group, path := newGroup(t)
	for range 20 {
		child, err := group.Start(process.Command{Name: "child", Path: path})
		is.NoErr(err)
		is.NoErr(syscall.Kill(child.ID(), syscall.SIGHUP))
		is.NoErr(child.AwaitReady(waitTimeout))
		is.NoErr(syscall.Kill(child.ID(), syscall.SIGHUP))
		_, err = child.AwaitLine("event=hangup", waitTimeout)
		is.NoErr(err)
		is.NoErr(child.Stop(waitTimeout))
	}
}

// TestExitStatusTellsSignals guards against an error that does not tell whether a child exited or
// was ended by a signal.
func TestExitStatusTellsSignals(t *testing.T) {
	is := is.New(t)
	group, path := newGroup(t)
	failed, err := group.Start(process.Command{Name: "child", Path: path, Arguments: []string{"fail"}})
	is.NoErr(err)
	is.True(strings.Contains(failed.AwaitReady(waitTimeout).Error(), "(exit status 3)"))
	killed, err := group.Start(process.Command{Name: "child", Path: path})
	is.NoErr(err)
	is.Equal(killed.ExitStatus(), "running")
	killed.Kill()
	is.Equal(killed.ExitStatus(), "signal: killed")
}

// TestNoChildOutlivesItsParent guards against children left running when the program that started
// them is killed or interrupted.
func TestNoChildOutlivesItsParent(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			is := is.New(t)
			parent := exec.Command(os.Args[0])
			parent.Env = append(os.Environ(), roleVariable+"=parent", "TMPDIR="+t.TempDir())
			output, err := parent.StdoutPipe()
			is.NoErr(err)
			is.NoErr(parent.Start())
			buffer := make([]byte, 20)
			length, err := output.Read(buffer)
			is.NoErr(err)
			child, err := strconv.Atoi(strings.TrimSpace(string(buffer[:length])))
			is.NoErr(err)
			is.True(alive(child))
			is.NoErr(parent.Process.Signal(signal))
			_ = parent.Wait()
			eventually(t, "the child has exited", func() bool { return !alive(child) })
		})
	}
}
