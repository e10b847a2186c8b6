// This file forwards the TCP streams of a service to random balancers, behind a PROXY header. It
// retries failed connections up to maxDialAttempts times, and resets a stream if none succeeds, if
// either direction fails, or when the fabric is closed. It counts the streams and those reset.

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

// Limits and socket options for forwarding the TCP streams of a service.
const (
	maxDialAttempts = 20                    // attempts to connect one stream to a balancer
	dialTimeout     = 2 * time.Second       // timeout of one attempt
	retryDelay      = 10 * time.Millisecond // before the next attempt to accept or connect
	lingerReset     = 0                     // SO_LINGER of 0 s: close sends a reset
	lingerDefault   = -1                    // SO_LINGER off: close sends the remaining data and a FIN
)

// streamPort forwards the TCP streams of one service.
type streamPort struct {
	address  netip.AddrPort
	listener *net.TCPListener
	picker   *picker
	counts   *counters

	mutex      sync.Mutex
	closed     bool
	sockets    map[*net.TCPConn]bool // open sockets of all streams
	goroutines sync.WaitGroup        // one per stream
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

// accept accepts callers' connections until the listener is closed.
func (p *streamPort) accept() {
	for {
		caller, err := p.listener.AcceptTCP()
		switch {
		case err == nil:
			p.counts.streams.Add(1)
			p.goroutines.Go(func() { p.serve(caller) })
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(retryDelay)
		}
	}
}

// serve forwards one stream. It resets the stream unless both directions end with a FIN.
func (p *streamPort) serve(caller *net.TCPConn) {
	defer p.closeSocket(caller)
	if !p.trackSocket(caller) {
		return
	}
	balancer := p.dial()
	if balancer == nil {
		p.counts.streamsRefused.Add(1)
		return
	}
	defer p.closeSocket(balancer)
	if !p.trackSocket(balancer) {
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
	if forwardBothDirections(caller, balancer) {
		_ = caller.SetLinger(lingerDefault)
		_ = balancer.SetLinger(lingerDefault)
		return
	}
	p.counts.streamsCut.Add(1)
}

// dial connects to a random balancer. Each attempt selects a balancer at random, and no data of the
// stream is sent before one succeeds. It returns nil after maxDialAttempts failed attempts or if
// there is no balancer.
func (p *streamPort) dial() *net.TCPConn {
	for range maxDialAttempts {
		balancer, ok := p.picker.pick()
		if !ok {
			return nil
		}
		connection, err := net.DialTimeout("tcp", balancer.String(), dialTimeout)
		if err == nil {
			return connection.(*net.TCPConn)
		}
		time.Sleep(retryDelay)
	}
	return nil
}

// streamSocket is one socket of a stream.
type streamSocket struct {
	socket      *net.TCPConn
	mutex       sync.Mutex
	writeClosed bool // the write side has been shut down
}

// forwardBothDirections forwards both directions of a stream and reports whether both ended with a
// FIN. If one fails, it closes both sockets.
func forwardBothDirections(caller, balancer *net.TCPConn) bool {
	callerSide, balancerSide := &streamSocket{socket: caller}, &streamSocket{socket: balancer}
	up := make(chan bool, 1)
	go func() { up <- forwardDirection(callerSide, balancerSide) }()
	down := forwardDirection(balancerSide, callerSide)
	return <-up && down
}

// forwardDirection forwards one direction of a stream and reports whether it ended with a FIN. If
// not, it closes both sockets.
func forwardDirection(source, destination *streamSocket) bool {
	_, err := io.Copy(destination.socket, source.socket)
	if err == nil && source.wasReset() {
		err = syscall.ECONNRESET
	}
	if err == nil {
		err = destination.closeWrite()
	}
	if err != nil {
		_ = source.socket.Close()
		_ = destination.socket.Close()
	}
	return err == nil
}

// closeWrite shuts down the write side of the socket.
func (s *streamSocket) closeWrite() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	err := s.socket.CloseWrite()
	s.writeClosed = err == nil
	return err
}

// stateClosed is the kernel's TCP_CLOSE state.
const stateClosed = 7

// wasReset reports whether a socket that returned end of file was reset or has been closed locally.
// The kernel reports a reset only once, and a write in the other direction may have consumed the
// error. As long as the write side is open, only a reset puts the socket into TCP_CLOSE.
func (s *streamSocket) wasReset() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.writeClosed {
		return false
	}
	raw, err := s.socket.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == stateClosed
	})
	return reset || err != nil
}

// trackSocket registers a socket to be reset by close. It returns false if close has been called;
// the socket must be passed to closeSocket in either case.
func (p *streamPort) trackSocket(socket *net.TCPConn) bool {
	_ = socket.SetLinger(lingerReset)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sockets[socket] = true
	return !p.closed
}

// closeSocket closes a socket and removes it from the tracked sockets.
func (p *streamPort) closeSocket(socket *net.TCPConn) {
	_ = socket.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.sockets, socket)
}

// close closes the listener, resets every stream and waits for the goroutines that serve them.
func (p *streamPort) close() error {
	err := p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	for socket := range p.sockets {
		_ = socket.Close()
	}
	p.mutex.Unlock()
	p.goroutines.Wait()
	return err
}
