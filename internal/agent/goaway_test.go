package agent

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/burlmill/burlmill/catalog"
)

// TestRequestOnItsWayDuringShutdownIsRejected guards against an agent that stops and closes a caller's
// connection while a request is on its way to it, in a balancer that is suspended: the caller would
// not learn that its request has not run.
func TestRequestOnItsWayDuringShutdownIsRejected(t *testing.T) {
	for _, holdTime := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
		t.Run(fmt.Sprint(holdTime), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int64
			backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			t.Cleanup(backend.Close)
			agent := startAgent(t, catalog.ProtocolHTTP, backend.Listener.Addr())
			caller := newHoldingCaller(t, agent)
			is.NoErr(caller.get())

			caller.conn.hold()
			failed := make(chan error, 1)
			go func() { failed <- caller.get() }()
			eventually(t, func() bool { return caller.conn.heldCount() > 0 })
			agent.stop()
			eventually(t, agent.coordination.announceShutdownCalled.Load)
			time.Sleep(holdTime)
			is.NoErr(caller.conn.release())
			var rejected *http3.Error
			is.True(errors.As(<-failed, &rejected))
			is.Equal(rejected.ErrorCode, http3.ErrCodeRequestRejected)
			is.Equal(runs.Load(), int64(1))
			agent.waitStopped(t)
		})
	}
}

// holdingCaller is an HTTP/3 client with one connection that does not repeat requests.
type holdingCaller struct {
	conn   *holdingConn
	client *http3.ClientConn
}

// newHoldingCaller connects a caller to the agent.
func newHoldingCaller(t *testing.T, agent *testAgent) *holdingCaller {
	t.Helper()
	created := &holdingCaller{}
	eventually(t, func() bool {
		created.conn = &holdingConn{callerConn: newCallerConn(t, agent), answered: make(chan struct{}), released: true}
		transport := &quic.Transport{Conn: created.conn}
		t.Cleanup(func() { _ = transport.Close() })
		connection, err := transport.Dial(
			t.Context(), net.UDPAddrFromAddrPort(agent.service.Address),
			&tls.Config{InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}}, nil,
		)
		if err != nil {
			return false
		}
		created.client = (&http3.Transport{}).NewClientConn(connection)
		return true
	})
	return created
}

// get sends a request on the connection and reads the response.
func (c *holdingCaller) get() error {
	request, err := http.NewRequest(http.MethodGet, serviceURL, nil)
	if err != nil {
		return err
	}
	response, err := c.client.RoundTrip(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
