// Package polling starts nbio engines so that they can be stopped at any time.
// It works around a race in nbio v1.6.8: a stop before the poller polls for the
// first time is lost, so that Stop blocks forever while the poller spins.
package polling

import (
	"errors"
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"github.com/burlmill/burlmill/fault"
)

// startProbe marks the connection with which Start detects that the poller is running.
type startProbe struct{}

// Start starts an engine with one poller and returns when the poller is running.
// It sets the engine's OnClose. Errors are of kind fault.Unavailable.
func Start(engine *nbio.Engine) error {
	watched, trigger, err := socketPair()
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "socket pair")
	}
	running := make(chan struct{})
	var once sync.Once
	engine.OnClose(func(connection *nbio.Conn, _ error) {
		if _, ok := connection.Session().(startProbe); ok {
			once.Do(func() { close(running) })
		}
	})
	if err := engine.Start(); err != nil {
		return fault.Wrap(fault.Unavailable, errors.Join(err, watched.Close(), trigger.Close()), "start engine")
	}
	connection, err := nbio.NBConn(watched)
	if err == nil {
		connection.SetSession(startProbe{})
		_, err = engine.AddConn(connection)
	}
	if closeErr := trigger.Close(); err != nil || closeErr != nil {
		return fault.Wrap(fault.Unavailable, errors.Join(err, closeErr), "poll socket pair")
	}
	<-running
	return nil
}

// socketPair returns the two ends of a Unix stream connection.
func socketPair() (first, second net.Conn, err error) {
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	first, err = newConn(descriptors[0])
	if err != nil {
		return nil, nil, errors.Join(err, unix.Close(descriptors[1]))
	}
	second, err = newConn(descriptors[1])
	if err != nil {
		return nil, nil, errors.Join(err, first.Close())
	}
	return first, second, nil
}

// newConn returns a connection that uses the socket. It takes ownership of the descriptor.
func newConn(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "")
	defer file.Close()
	return net.FileConn(file)
}
