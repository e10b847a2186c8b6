package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/burlmill/burlmill/catalog"
)

// holdingConn is a callerConn that holds the caller's datagrams back from the one with the given
// number on, until it is released.
type holdingConn struct {
	*callerConn
	from int

	mutex    sync.Mutex
	written  int
	held     [][]byte
	released bool
	answered chan struct{} // closed when the first datagram has been received
	once     sync.Once
}

func (h *holdingConn) ReadFrom(into []byte) (int, net.Addr, error) {
	length, from, err := h.callerConn.ReadFrom(into)
	if err == nil {
		h.once.Do(func() { close(h.answered) })
	}
	return length, from, err
}

func (h *holdingConn) WriteTo(payload []byte, to net.Addr) (int, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.written++
	if h.released || h.written < h.from {
		return h.callerConn.WriteTo(payload, to)
	}
	h.held = append(h.held, append([]byte(nil), payload...))
	return len(payload), nil
}

// hold holds back the caller's datagrams from now on.
func (h *holdingConn) hold() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.released = false
}

func (h *holdingConn) heldCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.held)
}

func (h *holdingConn) release() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.released = true
	for _, payload := range h.held {
		if _, err := h.callerConn.WriteTo(payload, nil); err != nil {
			return err
		}
	}
	return nil
}

// TestShutdownCompletesHandshakes guards against an agent that stops and refuses a caller whose
// handshake is in progress, however far it has got: the caller has sent a part of its first message
// (the server cannot answer yet), or the rest of its handshake is missing.
func TestShutdownCompletesHandshakes(t *testing.T) {
	// holdTime exceeds the time after which a server without requests closes its connections.
	const holdTime = 2500 * time.Millisecond
	for name, from := range map[string]int{"first message incomplete": 2, "last message missing": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			t.Cleanup(backend.Close)
			agent := startAgent(t, catalog.ProtocolHTTP, backend.Listener.Addr())
			eventually(t, func() bool {
				response, err := newHTTPClient(t, newCallerConn(t, agent)).Get(serviceURL)
				if err != nil {
					return false
				}
				_ = response.Body.Close()
				return true
			})

			conn := &holdingConn{callerConn: newCallerConn(t, agent), from: from, answered: make(chan struct{})}
			transport := &quic.Transport{Conn: conn}
			t.Cleanup(func() { _ = transport.Close() })
			dialed := make(chan error, 1)
			go func() {
				connection, err := transport.Dial(
					context.Background(), net.UDPAddrFromAddrPort(agent.service.Address),
					&tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, &quic.Config{HandshakeIdleTimeout: testTimeout},
				)
				if err == nil {
					_ = connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
				}
				dialed <- err
			}()
			<-conn.answered
			agent.stop()
			eventually(t, agent.coordination.announceShutdownCalled.Load)
			time.Sleep(holdTime)
			is.NoErr(conn.release())
			is.NoErr(<-dialed)
			agent.waitStopped(t)
		})
	}
}
