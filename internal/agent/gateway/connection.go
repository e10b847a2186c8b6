// This file provides the transport for requests to back ends and other agents. It opens a
// connection for each request, limits the time to connect and the size of the response header,
// determines whether any byte of the request was sent, and can prevent that more are sent.

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
	dialTimeout            = 2 * time.Second
	maxResponseHeaderBytes = 1 << 20  // limit for the response header of a back end or agent
	copyBufferSize         = 32 << 10 // bytes
)

// newTransport returns a transport that opens a connection for each request. A back end may close a
// reused connection while a request is written to it. It would then be unknown whether the request
// was run, and net/http would retry some requests.
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
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         copyBufferSize,
	}
}

// requestContextKey is the context key of the request's context.
type requestContextKey struct{}

// requestContext returns the context of the request for which a connection is opened. The context
// that net/http passes to DialContext is not canceled with the request.
func requestContext(ctx context.Context) context.Context {
	if request, ok := ctx.Value(requestContextKey{}).(context.Context); ok {
		return request
	}
	return ctx
}

// sealableConn is a connection that records whether anything was written to it and that can be
// sealed against further writes.
type sealableConn struct {
	net.Conn
	mutex   sync.Mutex
	written bool
	sealed  bool
}

// Write implements net.Conn. It returns net.ErrClosed if the connection is sealed.
func (s *sealableConn) Write(content []byte) (int, error) {
	if !s.markWritten() {
		return 0, net.ErrClosed
	}
	return s.Conn.Write(content)
}

// markWritten records a write and returns true, or returns false if the connection is sealed.
func (s *sealableConn) markWritten() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sealed {
		return false
	}
	s.written = true
	return true
}

// seal prevents further writes and reports whether nothing was written before.
func (s *sealableConn) seal() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sealed = true
	return !s.written
}

// attempt tracks the connection to which one request is written.
type attempt struct {
	mutex      sync.Mutex
	connection *sealableConn
}

// trace returns a context with which the transport reports its connection to the attempt.
func (a *attempt) trace(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, requestContextKey{}, ctx)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConnection})
}

func (a *attempt) gotConnection(info httptrace.GotConnInfo) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connection, _ = info.Conn.(*sealableConn)
}

// sealUnsent reports whether no byte of the request was sent, and seals the connection so that
// none will be. It must be called after the transport has returned an error.
func (a *attempt) sealUnsent() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.connection == nil || a.connection.seal()
}
