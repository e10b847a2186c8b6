// This file accepts and counts connections, passes them to a handler, and resets them or waits for
// their end on shutdown.

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
	acceptRetryDelay = 10 * time.Millisecond // before a retry, for example after too many open files
	acceptGrace      = 50 * time.Millisecond // for accepting connections that are already established
	idlePollInterval = 20 * time.Millisecond
)

// Handler serves one accepted connection and returns when its stream has ended. A
// connection that is still open when the context ends or the handler returns is reset.
type Handler func(ctx context.Context, connection *Connection)

// Server accepts connections. All methods are safe for concurrent use.
type Server struct {
	listener     *net.TCPListener
	handle       Handler
	serveContext context.Context
	cancelServe  context.CancelFunc
	accepted     atomic.Uint64
	open         atomic.Int64
	running      sync.WaitGroup
	acceptDone   chan struct{} // closed when the accept loop has returned
}

// Listen starts accepting connections at the address. Errors are of kind
// fault.Unavailable.
func Listen(address netip.AddrPort, handle Handler) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "listen for streams at %s", address)
	}
	server := &Server{listener: listener, handle: handle, acceptDone: make(chan struct{})}
	server.serveContext, server.cancelServe = context.WithCancel(context.Background())
	server.running.Go(server.accept)
	return server, nil
}

// Address returns the listener's address.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() uint64 { return s.accepted.Load() }

// OpenConnections returns the number of connections that are being served.
func (s *Server) OpenConnections() int { return int(s.open.Load()) }

func (s *Server) accept() {
	defer close(s.acceptDone)
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
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) serve(socket *net.TCPConn) {
	defer s.open.Add(-1)
	connection, err := newConnection(socket)
	if err != nil {
		return // the peer has already closed the connection
	}
	defer connection.Abort()
	stop := context.AfterFunc(s.serveContext, connection.Abort)
	defer stop()
	s.handle(s.serveContext, connection)
}

// StopAccepting accepts the connections that are already established, then closes
// the listener and returns.
func (s *Server) StopAccepting() {
	_ = s.listener.SetDeadline(time.Now().Add(acceptGrace)) // fails only if closed
	<-s.acceptDone
}

// AwaitIdle waits until no connection is served. It returns false if that does not
// happen within the limit.
func (s *Server) AwaitIdle(limit time.Duration) bool {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(limit); s.OpenConnections() > 0; <-ticker.C {
		if !time.Now().Before(deadline) {
			return false
		}
	}
	return true
}

// ResetAll resets all open connections and all that are accepted later.
func (s *Server) ResetAll() { s.cancelServe() }

// Close stops accepting, resets all open connections and waits for the handlers. It
// may be called more than once.
func (s *Server) Close() {
	_ = s.listener.Close() // fails only if closed
	s.ResetAll()
	s.running.Wait()
}
