package stream

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/fault"
)

const (
	acceptPause = 10 * time.Millisecond // after an error such as too many open files
	acceptGrace = 50 * time.Millisecond // in which connections that have come about are still accepted
	idlePoll    = 20 * time.Millisecond
)

// Handler serves one accepted connection and returns when its stream is over. The
// connection is reset when the context ends and, at the latest, when the handler returns.
type Handler func(ctx context.Context, connection *Connection)

// Server accepts connections. All methods are safe for concurrent use.
type Server struct {
	listener  *net.TCPListener
	handle    Handler
	cutOff    context.Context
	cutOffNow context.CancelFunc
	accepted  atomic.Uint64
	open      atomic.Int64
	running   sync.WaitGroup
	accepting chan struct{} // closed when no further connection is accepted
}

// Listen accepts connections at the address. Errors are of kind fault.Unavailable.
func Listen(address netip.AddrPort, handle Handler) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "listen for streams at %s", address)
	}
	server := &Server{listener: listener, handle: handle, accepting: make(chan struct{})}
	server.cutOff, server.cutOffNow = context.WithCancel(context.Background())
	server.running.Go(server.accept)
	return server, nil
}

// Address returns the address that is listened on.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() uint64 { return s.accepted.Load() }

// Open returns the number of connections that are being served.
func (s *Server) Open() int { return int(s.open.Load()) }

func (s *Server) accept() {
	defer close(s.accepting)
	defer s.listener.Close()
	for {
		socket, err := s.listener.AcceptTCP()
		switch {
		case err == nil:
			s.accepted.Add(1)
			s.open.Add(1)
			s.running.Go(func() { s.serve(socket) })
		case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) serve(socket *net.TCPConn) {
	defer s.open.Add(-1)
	connection, err := newConnection(socket)
	if err != nil {
		return // the peer is gone already
	}
	defer connection.Abort()
	stop := context.AfterFunc(s.cutOff, connection.Abort)
	defer stop()
	s.handle(s.cutOff, connection)
}

// StopAccepting accepts what has come about already and returns when no further
// connection is accepted.
func (s *Server) StopAccepting() {
	_ = s.listener.SetDeadline(time.Now().Add(acceptGrace)) // fails only if closed
	<-s.accepting
}

// AwaitIdle returns when no connection is served, or after the limit. It says
// whether none is.
func (s *Server) AwaitIdle(limit time.Duration) bool {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for deadline := time.Now().Add(limit); s.Open() > 0; <-ticker.C {
		if !time.Now().Before(deadline) {
			return false
		}
	}
	return true
}

// CutOff resets every connection that is served.
func (s *Server) CutOff() { s.cutOffNow() }

// Close stops accepting, resets what is left and waits for the handlers. It may
// be called twice.
func (s *Server) Close() {
	_ = s.listener.Close() // fails only if closed
	s.CutOff()
	s.running.Wait()
}
