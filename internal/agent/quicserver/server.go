// Package quicserver serves HTTP/3 to the callers of one back end. quic-go runs over a virtual
// packet connection: datagrams are received and sent through the agent's data socket, which all
// back ends share. Shutdown refuses new requests and waits for the running ones. A server also
// lists its flows and those whose connections have closed.
package quicserver

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
)

const (
	// closedFlowLinger is how long a flow is kept after its last connection
	// closed, so that late datagrams do not open a new flow.
	closedFlowLinger = time.Second
	// keepAliveDivisor is the divisor of the idle timeout that gives the
	// interval of keep-alive pings.
	keepAliveDivisor = 3
)

// Options configure a Server. All fields must be set.
type Options struct {
	Service        netip.AddrPort // address that callers use
	ServerID       uint32         // identifies the back end in connection IDs
	Generation     uint8          // distinguishes servers of one back end that run at the same time
	Sender         returnpath.Sender
	Handler        http.Handler
	RefusalHandler http.Handler // answers requests of new connections during Shutdown
	TLS            *tls.Config
	IdleTimeout    time.Duration // of a connection without datagrams or requests
	// DrainIdleTimeout is how long Shutdown keeps a connection without requests that its
	// caller does not close. A request may still be on its way.
	DrainIdleTimeout time.Duration
}

// Server is the HTTP/3 server of one back end.
type Server struct {
	serverID      uint32
	generation    uint8
	paths         *callerPaths
	packets       *packetConn
	transport     *quic.Transport
	listener      *quic.EarlyListener
	requests      *requestCounter
	server        *http3.Server
	refusalServer *http3.Server // serves connections that are opened during Shutdown
	acceptDone    chan struct{} // closed when the accept loop has returned

	drainIdleTimeout time.Duration

	ignoreNewConnections atomic.Bool // set at the end of Shutdown
}

// Start creates a server and starts serving. Errors are of kind fault.Internal.
func Start(options Options) (*Server, error) {
	paths := &callerPaths{byCaller: map[netip.AddrPort]*callerPath{}}
	packets := newPacketConn(options.Service, options.Sender, paths)
	started := &Server{
		serverID:   options.ServerID,
		generation: options.Generation,
		paths:      paths,
		packets:    packets,
		transport: &quic.Transport{
			Conn:                  packets,
			ConnectionIDGenerator: connectionIDs{options.ServerID, options.Generation},
			ConnContext:           paths.trackConnection,
		},
		requests:   &requestCounter{next: options.Handler},
		acceptDone: make(chan struct{}),

		drainIdleTimeout: options.DrainIdleTimeout,
	}
	// 0-RTT data can be replayed, and requests must not run twice.
	quicConfig := &quic.Config{
		MaxIdleTimeout:  options.IdleTimeout,
		KeepAlivePeriod: options.IdleTimeout / keepAliveDivisor,
		Allow0RTT:       false,
	}
	listener, err := started.transport.ListenEarly(http3.ConfigureTLSConfig(options.TLS), quicConfig)
	if err != nil {
		_ = packets.Close()
		return nil, fault.Wrap(fault.Internal, err, "listen for service %s", options.Service)
	}
	started.listener = listener
	started.server = newHTTPServer(started.requests, options.IdleTimeout)
	started.refusalServer = newHTTPServer(options.RefusalHandler, options.IdleTimeout)
	go started.serve()
	return started, nil
}

func newHTTPServer(handler http.Handler, idleTimeout time.Duration) *http3.Server {
	return &http3.Server{
		Handler:     handler,
		ConnContext: recordHandshakeEnd,
		IdleTimeout: idleTimeout,
		Logger:      slog.New(slog.DiscardHandler),
	}
}

// serve accepts connections until the server is closed. Connections that callers
// open during Shutdown are served by the refusal handler.
func (s *Server) serve() {
	defer close(s.acceptDone)
	// ServeListener returns only when its server is shut down or closed.
	_ = s.server.ServeListener(s.listener)
	_ = s.refusalServer.ServeListener(s.listener)
}

// trackConnection counts the connection while it is open. quic-go calls it for each
// new connection.
func (c *callerPaths) trackConnection(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	address, ok := client.RemoteAddr.(*net.UDPAddr)
	if !ok {
		return nil, fault.New(fault.Internal, "unsupported caller address %v", client.RemoteAddr)
	}
	caller := address.AddrPort()
	path := c.connectionOpened(caller)
	context.AfterFunc(ctx, func() { c.connectionClosed(time.Now(), caller) })
	if path == nil {
		return ctx, nil
	}
	return c.withHandshake(ctx, path), nil
}

// Deliver queues one datagram of the flow, received from the fabric address, and
// takes ownership of its buffer. Errors are of kind fault.Overloaded if the receive
// queue is full, fault.Unavailable if the datagram starts a connection at the end of
// Shutdown, or fault.Invalid.
func (s *Server) Deliver(key flow.Key, from netip.AddrPort, payload *buffer.Buffer) error {
	if s.ignoreNewConnections.Load() && s.startsConnection(key, payload.Bytes) {
		payload.Release()
		return fault.New(fault.Unavailable, "server of service %s is shutting down", key.Service)
	}
	path, err := s.paths.recordArrival(key, from)
	if err != nil {
		payload.Release()
		return err
	}
	if !s.packets.enqueue(receivedDatagram{payload: payload, caller: path.address}) {
		return fault.New(fault.Overloaded, "receive queue of service %s is full", key.Service)
	}
	return nil
}

// Generation returns the generation that the server was started with.
func (s *Server) Generation() uint8 { return s.generation }

// RemoveFlow removes the return path of a closed flow.
func (s *Server) RemoveFlow(key flow.Key) { s.paths.remove(key) }

// ClosedFlows returns the flows whose connections have all been closed for longer
// than closedFlowLinger.
func (s *Server) ClosedFlows(now time.Time) []flow.Key {
	return s.paths.closedBefore(now.Add(-closedFlowLinger))
}

// Shutdown refuses new requests, sends GOAWAY to the callers, waits for running
// requests, for callers to close their connections and for the handshakes in
// progress, and then closes the server. A caller with a request on its way keeps its
// connection open until the request is refused; one that is gone, or that never
// closes, is waited for no longer than DrainIdleTimeout.
// If the context ends first, running requests are aborted and the error is of kind
// fault.Deadline.
func (s *Server) Shutdown(ctx context.Context) error {
	idleContext, cancelIdle := context.WithCancel(ctx)
	shutdownContext, cancelShutdown := context.WithCancel(context.Background())
	defer cancelShutdown()
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		_ = s.server.Shutdown(shutdownContext)
		cancelIdle()
	}()
	s.requests.waitIdle(idleContext, s.drainIdleTimeout)
	if s.completeHandshakes(ctx) {
		s.requests.waitIdle(idleContext, s.drainIdleTimeout)
	}
	running := s.requests.running()
	cancelShutdown()
	<-shutdownDone
	s.shutdownRefusalServer(ctx)
	s.Close()
	if running > 0 {
		return fault.New(fault.Deadline, "%d requests were aborted by the shutdown", running)
	}
	return nil
}

// shutdownRefusalServer sends GOAWAY on the connections that were opened during
// Shutdown and waits for their callers to close them.
func (s *Server) shutdownRefusalServer(ctx context.Context) {
	graceContext, cancel := context.WithTimeout(ctx, s.drainIdleTimeout)
	defer cancel()
	_ = s.refusalServer.Shutdown(graceContext)
}

// Close ends all connections and requests immediately and waits for the handlers.
func (s *Server) Close() {
	_ = s.server.Close()
	_ = s.refusalServer.Close()
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.packets.Close()
	<-s.acceptDone
}

// HasFlow reports whether the server has received a datagram of the flow and has not
// removed the flow since.
func (s *Server) HasFlow(key flow.Key) bool {
	path := s.paths.get(key.Caller)
	return path != nil && path.key == key
}

// Flows returns the flows that have not been removed.
func (s *Server) Flows() []flow.Key { return s.paths.keys() }
