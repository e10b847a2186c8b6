// This file contains the HTTP client and server over which nodes exchange messages, with limits on
// the duration of an exchange and the size of a message. The server also serves additional handlers
// on the control address.

package coordination

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/gen/burlmill/v1/burlmillv1connect"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
)

// Limits and timeouts of the transport.
const (
	maxMessageBytes       = 1 << 20         // limit of one received message
	idleConnectionTimeout = 2 * time.Minute // after which an unused connection is closed
	maxClients            = 64              // limit of cached clients
	readHeaderTimeout     = 5 * time.Second // for the headers of one request
)

// gzipEncoding is the default compression of connect-go. Client and server disable it, because
// lists are already compressed within the messages, so that the budget counts their compressed
// size.
const gzipEncoding = "gzip"

// client sends requests to other nodes over persistent HTTP/2 connections.
type client struct {
	http    *http.Client
	mutex   sync.Mutex
	clients map[netip.AddrPort]burlmillv1connect.CoordinationServiceClient
}

func newClient() *client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:       protocols,
		IdleConnTimeout: idleConnectionTimeout,
		DialContext:     (&net.Dialer{Timeout: exchange.Timeout}).DialContext,
	}
	return &client{
		http:    &http.Client{Transport: transport},
		clients: map[netip.AddrPort]burlmillv1connect.CoordinationServiceClient{},
	}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// exchange sends one request and returns its response. It enforces exchange.Timeout by cancellation
// rather than by a context deadline, which connect-go would send as a header with every heartbeat.
// Errors are of kind fault.Unavailable.
func (c *client) exchange(ctx context.Context, to netip.AddrPort, request *burlmillv1.ExchangeRequest) (*burlmillv1.ExchangeResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(exchange.Timeout, cancel).Stop()
	response, err := c.clientFor(to).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "exchange with %s", to)
	}
	return response.Msg, nil
}

// clientFor returns the cached client for an address, or a new one. It clears a full cache first.
func (c *client) clientFor(to netip.AddrPort) burlmillv1connect.CoordinationServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if cached := c.clients[to]; cached != nil {
		return cached
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	client := burlmillv1connect.NewCoordinationServiceClient(c.http, "http://"+to.String(),
		connect.WithAcceptCompression(gzipEncoding, nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes))
	c.clients[to] = client
	return client
}

// server serves requests from other nodes and the additional handlers on the control address.
type server struct {
	node     *Node
	listener net.Listener
	http     *http.Server
}

// listen listens on a control address. Errors are of kind fault.Unavailable.
func listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	return listener, fault.Wrap(fault.Unavailable, err, "listen on control address %s", address)
}

func newServer(node *Node, listener net.Listener) *server {
	server := &server{node: node, listener: listener}
	mux := http.NewServeMux()
	path, handler := burlmillv1connect.NewCoordinationServiceHandler(server,
		connect.WithCompression(gzipEncoding, nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes))
	mux.Handle(path, withoutDate(handler))
	for _, extra := range node.options.Handlers {
		mux.Handle(extra.Path, extra.Handler)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.http = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
	return server
}

// withoutDate omits the Date header, which HPACK cannot compress well because it changes every
// second.
func withoutDate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header()["Date"] = nil
		handler.ServeHTTP(writer, request)
	})
}

func (s *server) serve() {
	err := s.http.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.node.options.Log.WithError(err).Error("control-server")
	}
}

func (s *server) close() { _ = s.http.Close() }

// Exchange implements burlmillv1connect.CoordinationServiceHandler.
func (s *server) Exchange(ctx context.Context, request *connect.Request[burlmillv1.ExchangeRequest]) (*connect.Response[burlmillv1.ExchangeResponse], error) {
	responses := make(chan *burlmillv1.ExchangeResponse, 1)
	posted := s.node.post(func(now time.Time) {
		response, output := s.node.decider.HandleRequest(now, request.Msg)
		s.node.apply(output)
		responses <- response
	})
	if !posted {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("node is stopping"))
	}
	select {
	case response := <-responses:
		return connect.NewResponse(response), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.node.context.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("node is stopping"))
	}
}
