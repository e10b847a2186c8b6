// Package backend stands in for one host of a service: an HTTP/1.1 server, whose
// connections can be turned into echo streams, and a UDP echo server at the same
// address, which record in a journal everything that
// runs, so that a judge can tell afterwards what ran, how often and where.
//
// HTTP is served by net/http and not by nbio's nbhttp: nbhttp calls a handler
// only once the whole request body has arrived, does not cancel a request's
// context when its connection goes away, and buffers an answer without pushing
// back on its writer. The lab needs all three.
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

// Options says how a back end starts and behaves.
type Options struct {
	ID        catalog.BackendID
	Service   catalog.ServiceName
	Address   netip.AddrPort // of HTTP and of UDP; port 0 lets the system choose
	Slots     uint32         // requests run at once; more are answered 503; 0: no limit
	ColdStart time.Duration  // time after the start in which requests are slower
	ColdDelay time.Duration  // delay of a request at the start; falls to none over ColdStart
	Journal   *Journal       // shared journal; nil: the back end keeps its own
}

// Counts are totals since the start, and the present load.
type Counts struct {
	Busy      uint32 `json:"busy"`      // requests running now
	PeakBusy  uint32 `json:"peak_busy"` // highest number of requests that ran at once
	Runs      uint64 `json:"runs"`      // requests that began to run
	Shed      uint64 `json:"shed"`      // requests answered 503 because no slot was free
	Flows     uint64 `json:"flows"`     // distinct sources of UDP datagrams
	Datagrams uint64 `json:"datagrams"` // UDP datagrams received
	Streams   uint64 `json:"streams"`   // TCP streams begun
}

// Backend is a running back end. All methods are safe for concurrent use.
type Backend struct {
	options   Options
	address   netip.AddrPort
	started   time.Time
	journal   *Journal
	slots     slots
	endpoints endpoints
	draining  atomic.Bool
	runs      atomic.Uint64
	streams   atomic.Uint64
	stop      context.Context // ends when the back end is closed
	stopNow   context.CancelFunc
	echo      echoServer
	server    *http.Server
	running   sync.WaitGroup
}

// bindAttempts bounds the search for a port that is free for both TCP and UDP.
const bindAttempts = 20

// Start opens both sockets and serves. Errors are of kind fault.Unavailable.
func Start(options Options) (*Backend, error) {
	listener, socket, err := bind(options.Address)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "bind back end %s at %s", options.ID, options.Address)
	}
	backend := &Backend{
		options: options,
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		started: time.Now(),
		journal: options.Journal,
		slots:   slots{limit: options.Slots},
	}
	backend.stop, backend.stopNow = context.WithCancel(context.Background())
	if backend.journal == nil {
		backend.journal = &Journal{}
	}
	backend.echo = echoServer{socket: socket, backend: backend}
	backend.server = &http.Server{Handler: backend.handler()}
	backend.running.Go(func() { _ = backend.server.Serve(listener) })
	backend.running.Go(backend.echo.serve)
	return backend, nil
}

// Address returns the address of HTTP and UDP.
func (b *Backend) Address() netip.AddrPort { return b.address }

// Journal returns the journal the back end writes to.
func (b *Backend) Journal() *Journal { return b.journal }

// Drain makes the health endpoint report that the back end is leaving. The back
// end still takes what it is sent; the journal marks what begins from now on.
func (b *Backend) Drain() { b.draining.Store(true) }

// SetEndpoints changes how the health and load endpoints answer.
func (b *Backend) SetEndpoints(behavior EndpointBehavior) { b.endpoints.set(behavior) }

// Counts returns the totals so far.
func (b *Backend) Counts() Counts {
	busy, peak, shed := b.slots.counts()
	return Counts{
		Busy:      busy,
		PeakBusy:  peak,
		Runs:      b.runs.Load(),
		Shed:      shed,
		Flows:     b.echo.flows.Load(),
		Datagrams: b.echo.datagrams.Load(),
		Streams:   b.streams.Load(),
	}
}

// Shutdown takes no new connection, waits until running requests have ended or
// the context is done, then closes. A context that ends first gives fault.Deadline.
func (b *Backend) Shutdown(ctx context.Context) error {
	err := b.server.Shutdown(ctx)
	return errors.Join(fault.Wrap(fault.Deadline, err, "shut down back end %s", b.options.ID), b.Close())
}

// Close stops at once, cutting whatever runs, and waits for the back end's goroutines.
func (b *Backend) Close() error {
	b.stopNow()
	err := b.server.Close()
	_ = b.echo.socket.Close()
	b.running.Wait()
	return err
}

// bind opens TCP and UDP at the same address.
func bind(address netip.AddrPort) (net.Listener, *net.UDPConn, error) {
	var lastError error
	for range bindAttempts {
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
		lastError = err
		if address.Port() != 0 {
			break
		}
	}
	return nil, nil, lastError
}
