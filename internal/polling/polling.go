// Package polling starts nbio engines so that they can be stopped at any time.
// nbio (v1.6.8) forgets a stop that comes before its poller has begun to poll:
// the stop then waits for ever while the poller spins.
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

// probe marks the connection by which Start sees that the poller polls.
type probe struct{}

// Start starts an engine that has one poller and returns when that polls. It sets
// the engine's OnClose. Errors are of kind fault.Unavailable.
func Start(engine *nbio.Engine) error {
	watched, trigger, err := socketPair()
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "socket pair")
	}
	polled := make(chan struct{})
	var once sync.Once
	engine.OnClose(func(connection *nbio.Conn, _ error) {
		if _, ok := connection.Session().(probe); ok {
			once.Do(func() { close(polled) })
		}
	})
	if err := engine.Start(); err != nil {
		return fault.Wrap(fault.Unavailable, errors.Join(err, watched.Close(), trigger.Close()), "start engine")
	}
	connection, err := nbio.NBConn(watched)
	if err == nil {
		connection.SetSession(probe{})
		_, err = engine.AddConn(connection)
	}
	if closeErr := trigger.Close(); err != nil || closeErr != nil {
		return fault.Wrap(fault.Unavailable, errors.Join(err, closeErr), "poll socket pair")
	}
	<-polled
	return nil
}

// socketPair returns two connections to each other.
func socketPair() (first, second net.Conn, err error) {
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	first, err = connectionOf(descriptors[0])
	if err != nil {
		return nil, nil, errors.Join(err, unix.Close(descriptors[1]))
	}
	second, err = connectionOf(descriptors[1])
	if err != nil {
		return nil, nil, errors.Join(err, first.Close())
	}
	return first, second, nil
}

// connectionOf takes the descriptor over.
func connectionOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "")
	defer file.Close()
	return net.FileConn(file)
}
