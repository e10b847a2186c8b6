// This file runs the HTTP servers of the store on nbio, and closes connections without a response
// to simulate faults.

package store

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/burlmill/burlmill/catalog"
)

// maxRequestBytes is the largest accepted request body, in bytes.
const maxRequestBytes = 2 * catalog.MaxBodySize

func init() {
	logging.SetLevel(logging.LevelError) // at the default level nbio logs each start and stop
}

// server is an HTTP server on one TCP address.
type server struct {
	engine  *nbhttp.Engine
	address string // with the actual port

	// opened is incremented when a connection is opened and loaded when data arrives. nbio orders
	// the two goroutines only through the kernel, which the race detector cannot see.
	opened atomic.Int64
}

// startServer starts a server on the TCP address and waits until its poller runs. Errors have no
// fault kind.
func startServer(address string, handler http.Handler) (*server, error) {
	return startServerWithHook(address, handler, func([]byte) {})
}

// startServerWithHook is like startServer. The poller calls onData with the data that it has read
// before it handles them.
func startServerWithHook(address string, handler http.Handler, onData func([]byte)) (*server, error) {
	server := &server{}
	server.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:              "store",
		Network:           "tcp",
		Addrs:             []string{address},
		NPoller:           1,
		Handler:           leaveClosingToClient(handler),
		MaxHTTPBodySize:   maxRequestBytes,
		SupportServerOnly: true,
		ServerExecutor:    func(f func()) { go f() }, // watches block and would exhaust a fixed pool
		Listen: func(network, address string) (net.Listener, error) {
			listener, err := net.Listen(network, address)
			if err == nil {
				server.address = listener.Addr().String()
			}
			return listener, err
		},
	})
	server.engine.OnOpen(func(net.Conn) { server.opened.Add(1) })
	server.engine.OnData(func(connection *nbio.Conn, data []byte) {
		server.opened.Load()
		onData(data)
		connection.DataHandler()(connection, data)
	})
	running := make(chan struct{})
	var once sync.Once
	server.engine.OnClose(func(net.Conn, error) { once.Do(func() { close(running) }) })
	if err := server.engine.Start(); err != nil {
		return nil, err
	}
	return server, server.awaitPoller(running)
}

// leaveClosingToClient lets the client close a connection that it does not want to use again. If the
// server closed it in the goroutine of the request, the poller could take an event of the closed
// connection for one of a new connection with the same descriptor, and close that one.
func leaveClosingToClient(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.Close {
			request.Close = false
			response.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(response, request)
	})
}

// awaitPoller waits until the engine's poller runs: it opens and closes a connection, and waits
// for its close event, which closes running. An nbio engine that is stopped before its poller runs
// never stops, since the poller clears the stop flag when it starts.
func (s *server) awaitPoller(running <-chan struct{}) error {
	connection, err := net.Dial("tcp", s.address)
	if err != nil {
		return err
	}
	if err := connection.Close(); err != nil {
		return err
	}
	<-running
	return nil
}

// close closes all connections and cancels the contexts of all requests.
func (s *server) close() { s.engine.Stop() }

// closeConnection closes the connection of a request without a response.
func closeConnection(response http.ResponseWriter) {
	connection, _, err := response.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
