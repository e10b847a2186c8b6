// This file starts, drains, shuts down and closes a back end, and returns its counts.

// Package backend implements a test back end of a service: an HTTP/1.1 server, whose connections
// can be upgraded to echo streams, and a UDP echo server at the same address. Both record the
// requests and flows that they receive in a journal, from which a test determines which requests
// ran, how often and at which back end. The back end limits concurrent requests, simulates a cold
// start, and reports its health and load, on request inaccurately.
//
// HTTP is served by net/http and not by nbio's nbhttp: nbhttp calls a handler only after the
// complete request body has arrived, does not cancel a request's context when its connection is
// closed, and buffers a response without applying backpressure to its writer. The lab needs
// incremental bodies, cancellation and backpressure.
package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Options configures a back end.
type Options struct {
	ID        catalog.BackendID
	Service   catalog.ServiceName
	Address   netip.AddrPort // of HTTP and of UDP; port 0 selects a free port
	Slots     uint32         // maximum of concurrent requests, others get status 503; 0: no limit
	ColdStart time.Duration  // period after Start in which requests are delayed
	ColdDelay time.Duration  // delay of a request at Start; decreases linearly to 0 over ColdStart
	Journal   *Journal       // shared journal; nil: the back end creates its own
}

// Counts holds totals since Start, and the current load.
type Counts struct {
	Busy      uint32 `json:"busy"`      // requests running now
	PeakBusy  uint32 `json:"peak_busy"` // highest number of concurrent requests
	Runs      uint64 `json:"runs"`      // requests that started to run
	Shed      uint64 `json:"shed"`      // requests rejected with status 503 because no slot was free
	Flows     uint64 `json:"flows"`     // distinct source addresses of UDP datagrams
	Datagrams uint64 `json:"datagrams"` // UDP datagrams received
	Streams   uint64 `json:"streams"`   // TCP streams started
}

// Backend is a running back end. All methods are safe for concurrent use.
type Backend struct {
	options       Options
	address       netip.AddrPort
	started       time.Time
	journal       *Journal
	slots         slots
	endpointState endpointState
	draining      atomic.Bool
	runs          atomic.Uint64
	streams       atomic.Uint64
	ctx           context.Context // canceled when the back end is closed
	cancel        context.CancelFunc
	echo          udpEchoServer
	server        *http.Server
	tasks         sync.WaitGroup
}

// maxBindAttempts bounds the search for a port that is free for both TCP and UDP.
const maxBindAttempts = 20

// Start opens the TCP and the UDP socket and serves them until Close. Errors are of kind
// fault.Unavailable.
func Start(options Options) (*Backend, error) {
	listener, socket, err := listenTCPAndUDP(options.Address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "bind back end %s at %s", options.ID, options.Address)
	}
	backend := &Backend{
		options: options,
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		started: time.Now(),
		journal: options.Journal,
		slots:   slots{maxBusy: options.Slots},
	}
	backend.ctx, backend.cancel = context.WithCancel(context.Background())
	if backend.journal == nil {
		backend.journal = &Journal{}
	}
	backend.echo = udpEchoServer{socket: socket, backend: backend}
	backend.server = &http.Server{Handler: backend.handler()}
	backend.tasks.Go(func() { _ = backend.server.Serve(listener) })
	backend.tasks.Go(backend.echo.serve)
	return backend, nil
}

// Address returns the address of HTTP and UDP, with the actual port.
func (b *Backend) Address() netip.AddrPort { return b.address }

// Journal returns the journal the back end writes to.
func (b *Backend) Journal() *Journal { return b.journal }

// Drain makes the health and load endpoints report that the back end is draining, subject to
// SetEndpointBehavior. The back end still accepts requests and flows; the journal marks those that
// start after this call.
func (b *Backend) Drain() { b.draining.Store(true) }

// SetEndpointBehavior sets how accurately the health and load endpoints report the state of the
// back end. It does not validate the mode: an unknown mode acts as EndpointsAccurate.
func (b *Backend) SetEndpointBehavior(behavior EndpointBehavior) { b.endpointState.set(behavior) }

// Counts returns the totals since Start, and the current load.
func (b *Backend) Counts() Counts {
	busy, peak, shed := b.slots.counts()
	return Counts{
		Busy:      busy,
		PeakBusy:  peak,
		Runs:      b.runs.Load(),
		Shed:      shed,
		Flows:     b.echo.sources.Load(),
		Datagrams: b.echo.datagrams.Load(),
		Streams:   b.streams.Load(),
	}
}

// Shutdown accepts no new connections, waits until running requests have ended or the context is
// done, then calls Close. It does not wait for echo streams. If the context is done first, the
// error is of kind fault.Deadline.
func (b *Backend) Shutdown(ctx context.Context) error {
	err := b.server.Shutdown(ctx)
	return errors.Join(fault.Wrap(fault.Deadline, err, "shut down back end %s", b.options.ID), b.Close())
}

// Close closes the sockets and all connections, which aborts running requests and streams, and
// waits until the HTTP accept loop and the UDP echo server have returned. Request handlers may
// still be returning.
func (b *Backend) Close() error {
	b.cancel()
	err := b.server.Close()
	_ = b.echo.socket.Close()
	b.tasks.Wait()
	return err
}

// listenTCPAndUDP listens on TCP and UDP at the same address. With port 0 it tries up to
// maxBindAttempts ports.
func listenTCPAndUDP(address netip.AddrPort) (net.Listener, *net.UDPConn, error) {
	var lastErr error
	for range maxBindAttempts {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			return nil, nil, err
		}
		bound := listener.Addr().(*net.TCPAddr).AddrPort()
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(bound))
		if err == nil {
			return listener, socket, nil
		}
		_ = listener.Close()
		lastErr = err
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, lastErr
}
