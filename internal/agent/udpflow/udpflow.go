// Package udpflow forwards the flows of UDP services between callers and back ends.
// Each flow has its own connected UDP socket, so that the back end distinguishes
// flows by source address. One nbio poller reads all sockets; flows have no
// goroutines of their own.
package udpflow

import (
	"net/netip"

	"github.com/lesismal/nbio"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
)

// Observer receives the outcome of each reply. Its methods are called from the
// poller and must not block.
type Observer interface {
	// ReplySent is called for each reply that was sent.
	ReplySent()
	// ReplyFailed is called for each reply that could not be sent.
	ReplyFailed(err error)
}

// Flows holds the open flows of one agent. It is not safe for concurrent use. Replies
// are sent from the poller's goroutine.
type Flows struct {
	poller *poller
	open   map[flow.Key]*udpFlow
}

// udpFlow is one flow. Only the goroutine that calls the methods of Flows may use
// the socket field; the poller uses only the path.
type udpFlow struct {
	path   returnpath.Path
	socket *nbio.Conn // nil or closed: reopened by the next datagram
}

// New returns an empty set of flows and starts its poller. Errors are of kind
// fault.Unavailable.
func New(sender returnpath.Sender, observer Observer) (*Flows, error) {
	poller, err := startPoller(sender, observer)
	if err != nil {
		return nil, err
	}
	return &Flows{poller: poller, open: map[flow.Key]*udpFlow{}}, nil
}

// Deliver sends the payload to the back end and sets the fabric address to which
// replies are sent. It opens the flow if necessary. Errors are of kind fault.Unavailable
// if the back end refuses datagrams or no socket can be opened, or fault.Invalid.
func (f *Flows) Deliver(key flow.Key, backend netip.AddrPort, returnAddress netip.AddrPort, payload []byte) error {
	target, err := f.openFlow(key, backend, returnAddress)
	if err != nil {
		return err
	}
	if _, err := target.socket.Write(payload); err != nil {
		return fault.Wrap(fault.Unavailable, err, "send to back end %s", backend)
	}
	return nil
}

// Open opens the flow if necessary, so that the next call of Deliver only sends. Errors are of kind
// fault.Unavailable if no socket can be opened, or fault.Invalid.
func (f *Flows) Open(key flow.Key, backend netip.AddrPort, returnAddress netip.AddrPort) error {
	_, err := f.openFlow(key, backend, returnAddress)
	return err
}

func (f *Flows) openFlow(key flow.Key, backend netip.AddrPort, returnAddress netip.AddrPort) (*udpFlow, error) {
	target, err := f.flowFor(key, returnAddress)
	if err != nil {
		return nil, err
	}
	return target, target.connect(f.poller, backend)
}

func (f *Flows) flowFor(key flow.Key, returnAddress netip.AddrPort) (*udpFlow, error) {
	if existing := f.open[key]; existing != nil {
		existing.path.SetReturnAddress(returnAddress)
		return existing, nil
	}
	opened := &udpFlow{}
	if err := opened.path.Open(key, returnAddress); err != nil {
		return nil, err
	}
	f.open[key] = opened
	return opened, nil
}

// connect opens the flow's socket if it has none. nbio closes a socket when the
// back end's host reports that the port is unreachable.
func (u *udpFlow) connect(poller *poller, backend netip.AddrPort) error {
	if u.socket != nil {
		if closed, _ := u.socket.IsClosed(); !closed {
			return nil
		}
	}
	socket, err := poller.dial(backend, u)
	if err != nil {
		return err
	}
	u.socket = socket
	return nil
}

// CloseFlow closes the flow if it is open.
func (f *Flows) CloseFlow(key flow.Key) {
	existing := f.open[key]
	if existing == nil {
		return
	}
	delete(f.open, key)
	if existing.socket != nil {
		_ = existing.socket.Close()
	}
}

// Len returns the number of open flows.
func (f *Flows) Len() int { return len(f.open) }

// Close closes all flows and stops the poller. It may be called more than once.
func (f *Flows) Close() {
	for key := range f.open {
		f.CloseFlow(key)
	}
	f.poller.stop()
}
