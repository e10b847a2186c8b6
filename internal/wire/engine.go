package wire

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// startEngine starts an nbio engine with one poller, which calls onRead for each
// connection that has something to read. It returns when the poller polls: nbio
// forgets a stop that comes earlier, and the poller would then spin for ever.
func startEngine(onRead func(*nbio.Conn)) (*nbio.Engine, error) {
	probe, trigger, err := socketPair()
	if err != nil {
		return nil, fmt.Errorf("socket pair: %w", err)
	}
	defer trigger.Close()
	polling := make(chan struct{})
	var once sync.Once
	engine := nbio.NewEngine(nbio.Config{Name: "wire", NPoller: 1})
	engine.OnRead(func(connection *nbio.Conn) {
		if connection.Session() != nil {
			onRead(connection)
			return
		}
		_ = connection.Close()
		once.Do(func() { close(polling) })
	})
	if err := engine.Start(); err != nil {
		_ = probe.Close()
		return nil, fmt.Errorf("start nbio engine: %w", err)
	}
	if _, err := trigger.Write([]byte{0}); err != nil {
		_ = probe.Close()
		return nil, fmt.Errorf("write to socket pair: %w", err)
	}
	if _, err := engine.AddConn(probe); err != nil {
		return nil, fmt.Errorf("poll socket pair: %w", err)
	}
	<-polling
	return engine, nil
}

// socketPair returns two connections: what is written to one is read from the other.
func socketPair() (probe, trigger net.Conn, err error) {
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	probe, err = connectionOf(descriptors[0])
	if err != nil {
		_ = unix.Close(descriptors[1])
		return nil, nil, err
	}
	trigger, err = connectionOf(descriptors[1])
	if err != nil {
		_ = probe.Close()
		return nil, nil, err
	}
	return probe, trigger, nil
}

// connectionOf takes the descriptor over.
func connectionOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "")
	defer file.Close()
	return net.FileConn(file)
}
