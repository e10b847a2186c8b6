package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout    = 2 * time.Second
	maximumHead    = 1 << 20  // bytes of a back end's answer head
	copyBufferSize = 32 << 10 // bytes
)

// newTransport returns a transport that opens a connection for each request. A
// kept connection may be closed by the back end just as a request is written to
// it; then nobody could tell whether the request was run, and net/http would
// repeat some requests on its own.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(requestContext(ctx), network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: connection}, nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maximumHead,
		ReadBufferSize:         copyBufferSize,
	}
}

// requestContextKey is the key under which a context carries that of its request.
type requestContextKey struct{}

// requestContext returns the context of the request that a connection is opened
// for. The one that net/http passes on is not canceled with the request, for the
// sake of kept connections, of which there are none here.
func requestContext(ctx context.Context) context.Context {
	if request, ok := ctx.Value(requestContextKey{}).(context.Context); ok {
		return request
	}
	return ctx
}

// sealableConn knows whether a byte was written to it, and can be sealed so that
// none ever will be.
type sealableConn struct {
	net.Conn
	mutex   sync.Mutex
	written bool
	sealed  bool
}

// Write writes unless the connection has been sealed.
func (s *sealableConn) Write(content []byte) (int, error) {
	if !s.markWritten() {
		return 0, net.ErrClosed
	}
	return s.Conn.Write(content)
}

func (s *sealableConn) markWritten() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sealed {
		return false
	}
	s.written = true
	return true
}

// seal prevents all writes and says whether there was none before.
func (s *sealableConn) seal() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sealed = true
	return !s.written
}

// attempt follows the one connection that a request is written to.
type attempt struct {
	mutex      sync.Mutex
	connection *sealableConn
}

// trace returns a context by which a transport reports to the attempt.
func (a *attempt) trace(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, requestContextKey{}, ctx)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConnection})
}

func (a *attempt) gotConnection(info httptrace.GotConnInfo) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connection, _ = info.Conn.(*sealableConn)
}

// provesNotRun says whether no byte of the request has left and none will. To
// be called after the transport has returned an error.
func (a *attempt) provesNotRun() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.connection == nil || a.connection.seal()
}
