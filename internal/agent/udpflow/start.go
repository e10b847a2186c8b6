package udpflow

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"github.com/burlmill/burlmill/fault"
)

// startTimeout is how long the poller's goroutine may take to begin.
const startTimeout = 10 * time.Second

// started is the session of the connection that awaitLoop is notified by.
type started chan struct{}

// awaitLoop waits until the engine's only poller has begun to run. An engine
// that is stopped before that never ends: nbio v1.6.8 clears the poller's stop
// mark when its loop begins.
func awaitLoop(engine *nbio.Engine) error {
	ours, theirs, err := connectionPair()
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "open socket pair")
	}
	defer ours.Close()
	begun := make(started)
	theirs.SetSession(begun)
	if _, err := engine.AddConn(theirs); err != nil {
		return fault.Wrap(fault.Unavailable, err, "poll socket pair")
	}
	defer theirs.Close()
	if _, err := ours.Write([]byte{0}); err != nil {
		return fault.Wrap(fault.Unavailable, err, "write to socket pair")
	}
	select {
	case <-begun:
		return nil
	case <-time.After(startTimeout):
		return fault.New(fault.Deadline, "poller has not begun within %s", startTimeout)
	}
}

// connectionPair returns the two ends of a stream inside this process.
func connectionPair() (net.Conn, *nbio.Conn, error) {
	descriptors, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	ours, err := connectionOf(descriptors[0])
	if err != nil {
		_ = syscall.Close(descriptors[1])
		return nil, nil, err
	}
	other, err := connectionOf(descriptors[1])
	if err != nil {
		_ = ours.Close()
		return nil, nil, err
	}
	theirs, err := nbio.NBConn(other)
	if err != nil {
		_ = ours.Close()
		_ = other.Close()
		return nil, nil, err
	}
	return ours, theirs, nil
}

// connectionOf takes the descriptor over.
func connectionOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "socketpair")
	defer file.Close()
	return net.FileConn(file)
}
