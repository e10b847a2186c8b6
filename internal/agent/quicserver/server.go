// Package quicserver serves HTTP/3 to the callers of one back end. quic-go runs
// over a virtual connection: the datagrams come from the agent's data socket,
// where those of all back ends arrive, and leave through it.
package quicserver

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
)

const (
	// goAwayGrace is how long callers have to close their connections after
	// the last request, once they have been told that the server goes away.
	goAwayGrace = time.Second
	// closedFlowLinger is how long a flow is kept after its connection has
	// ended, so that late datagrams do not look like a new flow.
	closedFlowLinger = time.Second
	// keepAliveFraction is the part of the idle timeout after which a quiet
	// connection is kept open by a ping.
	keepAliveFraction = 3
)

// Options are what a Server needs. All fields must be set.
type Options struct {
	Service     netip.AddrPort // address that callers use
	ServerID    uint32         // id that connection ids name the back end by
	Generation  uint8          // tells servers of one back end apart that run at the same time
	Sender      returnpath.Sender
	Handler     http.Handler
	Refusal     http.Handler // answers requests of new connections during Shutdown
	TLS         *tls.Config
	IdleTimeout time.Duration // a connection without a datagram or a request for this long is over
}

// Server is the HTTP/3 server of one back end.
type Server struct {
	generation uint8
	paths      *callerPaths
	connection *packetConn
	transport  *quic.Transport
	listener   *quic.EarlyListener
	requests   *requestCounter
	server     *http3.Server
	refusing   *http3.Server // takes connections that come during Shutdown
	served     chan struct{} // closed when the accept loop has ended
}

// Start begins to serve. Errors are of kind fault.Internal.
func Start(options Options) (*Server, error) {
	paths := &callerPaths{byCaller: map[netip.AddrPort]*callerPath{}}
	connection := newPacketConn(options.Service, options.Sender, paths)
	started := &Server{
		generation: options.Generation,
		paths:      paths,
		connection: connection,
		transport: &quic.Transport{
			Conn:                  connection,
			ConnectionIDGenerator: connectionIDs{options.ServerID, options.Generation},
			ConnContext:           paths.follow,
		},
		requests: &requestCounter{next: options.Handler},
		served:   make(chan struct{}),
	}
	// Requests may not be run twice, so none is taken from replayable early data.
	quicConfig := &quic.Config{
		MaxIdleTimeout:  options.IdleTimeout,
		KeepAlivePeriod: options.IdleTimeout / keepAliveFraction,
		Allow0RTT:       false,
	}
	listener, err := started.transport.ListenEarly(http3.ConfigureTLSConfig(options.TLS), quicConfig)
	if err != nil {
		_ = connection.Close()
		return nil, fault.Wrap(fault.Internal, err, "listen for service %s", options.Service)
	}
	started.listener = listener
	started.server = newHTTPServer(started.requests, options.IdleTimeout)
	started.refusing = newHTTPServer(options.Refusal, options.IdleTimeout)
	go started.serve()
	return started, nil
}

func newHTTPServer(handler http.Handler, idleTimeout time.Duration) *http3.Server {
	return &http3.Server{
		Handler:     handler,
		IdleTimeout: idleTimeout,
		Logger:      slog.New(slog.DiscardHandler),
	}
}

// serve takes connections until the server is closed. A caller whose flow is
// still held may open a new connection during Shutdown; it is told at once that
// its requests are not run.
func (s *Server) serve() {
	defer close(s.served)
	// Both always return an error, and do so when they are shut down or closed.
	_ = s.server.ServeListener(s.listener)
	_ = s.refusing.ServeListener(s.listener)
}

// follow counts the connection for as long as it is open.
func (c *callerPaths) follow(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	address, ok := client.RemoteAddr.(*net.UDPAddr)
	if !ok {
		return nil, fault.New(fault.Internal, "address %v of a caller", client.RemoteAddr)
	}
	caller := address.AddrPort()
	c.connectionOpened(caller)
	context.AfterFunc(ctx, func() { c.connectionClosed(time.Now(), caller) })
	return ctx, nil
}

// Deliver hands over one datagram of the flow, which came from the fabric
// address, and takes its buffer over. Errors: fault.Overloaded if too many
// datagrams wait, or fault.Invalid.
func (s *Server) Deliver(key flow.Key, from netip.AddrPort, payload *buffer.Buffer) error {
	path, err := s.paths.arrive(key, from)
	if err != nil {
		payload.Release()
		return err
	}
	if !s.connection.put(received{payload: payload, caller: path.address}) {
		return fault.New(fault.Overloaded, "receive queue of service %s is full", key.Service)
	}
	return nil
}

// Generation returns the generation that the server was started with.
func (s *Server) Generation() uint8 { return s.generation }

// End forgets the way back to the caller of a flow that is over.
func (s *Server) End(key flow.Key) { s.paths.forget(key) }

// Ended returns the flows whose connections have all ended a short time ago.
func (s *Server) Ended(now time.Time) []flow.Key {
	return s.paths.emptiedBefore(now.Add(-closedFlowLinger))
}

// Shutdown takes no new request, tells the callers so, waits until the requests that
// run are answered and callers had time to close their connections, and then
// closes the server. A context that ends first cuts the requests off; the error
// is then of kind fault.Deadline.
func (s *Server) Shutdown(ctx context.Context) error {
	waiting, allClosed := context.WithCancel(ctx)
	shutdown, closeNow := context.WithCancel(context.Background())
	defer closeNow()
	told := make(chan struct{})
	go func() {
		defer close(told)
		_ = s.server.Shutdown(shutdown)
		allClosed()
	}()
	s.requests.waitIdle(waiting, goAwayGrace)
	running := s.requests.running()
	closeNow()
	<-told
	s.endRefusing(ctx)
	s.Close()
	if running > 0 {
		return fault.New(fault.Deadline, "%d requests were cut off", running)
	}
	return nil
}

// endRefusing tells the callers whose connections came during Shutdown to go away,
// and gives them time to read that their requests were refused.
func (s *Server) endRefusing(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, goAwayGrace)
	defer cancel()
	_ = s.refusing.Shutdown(limited)
}

// Close ends all connections and requests at once and waits for the handlers.
func (s *Server) Close() {
	_ = s.server.Close()
	_ = s.refusing.Close()
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.connection.Close()
	<-s.served
}

// Holds says whether the server has had a datagram of the flow.
func (s *Server) Holds(key flow.Key) bool {
	held := s.paths.get(key.Caller)
	return held != nil && held.key == key
}

// Flows returns the flows that have not been ended.
func (s *Server) Flows() []flow.Key { return s.paths.keys() }
