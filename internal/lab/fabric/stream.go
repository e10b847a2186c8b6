package fabric

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/burlmill/burlmill/fault"
	"golang.org/x/sys/unix"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/stream"
)

const (
	streamAttempts  = 20              // balancers tried for one stream, refusing ones
	streamDialLimit = 2 * time.Second // for a connection to a balancer
	acceptPause     = 10 * time.Millisecond
	resetOnClose    = 0  // seconds of linger
	endOnClose      = -1 // linger as the system has it
)

// streamPort carries the TCP streams of one service.
type streamPort struct {
	address  netip.AddrPort
	listener *net.TCPListener
	picker   *picker
	counts   *counters

	mutex   sync.Mutex
	closed  bool
	sockets map[*net.TCPConn]bool
	running sync.WaitGroup
}

func openStreamPort(address netip.AddrPort, picker *picker, counts *counters) (*streamPort, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "listen for streams at %s", address)
	}
	return &streamPort{
		address:  address,
		listener: listener,
		picker:   picker,
		counts:   counts,
		sockets:  map[*net.TCPConn]bool{},
	}, nil
}

// accept takes callers' connections until the listener is closed.
func (p *streamPort) accept() {
	for {
		caller, err := p.listener.AcceptTCP()
		switch {
		case err == nil:
			p.counts.streams.Add(1)
			p.running.Go(func() { p.serve(caller) })
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptPause)
		}
	}
}

// serve carries one stream. It is reset unless both directions end cleanly.
func (p *streamPort) serve(caller *net.TCPConn) {
	defer p.forget(caller)
	if !p.keep(caller) {
		return
	}
	balancer := p.dial()
	if balancer == nil {
		p.counts.streamsRefused.Add(1)
		return
	}
	defer p.forget(balancer)
	if !p.keep(balancer) {
		return
	}
	header, err := stream.FormatHeader(stream.Header{Key: flow.Key{
		Caller:  unmapped(caller.RemoteAddr().(*net.TCPAddr).AddrPort()),
		Service: p.address,
	}})
	if err == nil {
		_, err = balancer.Write(header)
	}
	if err != nil {
		p.counts.streamsRefused.Add(1)
		return
	}
	if carryBoth(caller, balancer) {
		_ = caller.SetLinger(endOnClose)
		_ = balancer.SetLinger(endOnClose)
		return
	}
	p.counts.streamsCut.Add(1)
}

// dial connects to a random balancer, and to others if that one refuses: nothing
// of the stream has been sent then.
func (p *streamPort) dial() *net.TCPConn {
	for range streamAttempts {
		balancer, ok := p.picker.pick()
		if !ok {
			return nil
		}
		connection, err := net.DialTimeout("tcp", balancer.String(), streamDialLimit)
		if err == nil {
			return connection.(*net.TCPConn)
		}
		time.Sleep(acceptPause)
	}
	return nil
}

// side is one socket of a stream.
type side struct {
	socket *net.TCPConn
	mutex  sync.Mutex
	ended  bool // our direction of the socket has been ended
}

// carryBoth carries both directions and says whether both have ended cleanly. If
// one fails, both sockets are closed.
func carryBoth(caller, balancer *net.TCPConn) bool {
	near, far := &side{socket: caller}, &side{socket: balancer}
	up := make(chan bool, 1)
	go func() { up <- carry(near, far) }()
	down := carry(far, near)
	return <-up && down
}

func carry(source, sink *side) bool {
	_, err := io.Copy(sink.socket, source.socket)
	if err == nil && source.wasReset() {
		err = syscall.ECONNRESET
	}
	if err == nil {
		err = sink.end()
	}
	if err != nil {
		_ = source.socket.Close()
		_ = sink.socket.Close()
	}
	return err == nil
}

// end ends our direction of the socket.
func (s *side) end() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	err := s.socket.CloseWrite()
	s.ended = err == nil
	return err
}

// stateClosed is TCP_CLOSE of the kernel's list of states.
const stateClosed = 7

// wasReset says whether a socket that looks ended was reset: the kernel tells a
// reset once, and a write in the other direction may have taken it. Before our own
// direction is ended, only a reset closes a socket.
func (s *side) wasReset() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return false
	}
	raw, err := s.socket.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(descriptor uintptr) {
		information, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && information.State == stateClosed
	})
	return reset || err != nil
}

// keep notes a socket that close has to reset; false means that it came too late.
func (p *streamPort) keep(socket *net.TCPConn) bool {
	_ = socket.SetLinger(resetOnClose)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sockets[socket] = true
	return !p.closed
}

func (p *streamPort) forget(socket *net.TCPConn) {
	_ = socket.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.sockets, socket)
}

// close resets every stream and waits for the goroutines that serve them.
func (p *streamPort) close() error {
	err := p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	for socket := range p.sockets {
		_ = socket.Close()
	}
	p.mutex.Unlock()
	p.running.Wait()
	return err
}
