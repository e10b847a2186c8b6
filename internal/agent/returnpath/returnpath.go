// Package returnpath sends the replies of a flow to its caller. Each reply is
// prefixed with a PROXY header, which is formatted once per flow, and is sent to
// the fabric address from which the flow's latest datagram was received.
package returnpath

import (
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/wire"
)

// Sender sends datagrams from the agent's data socket. It is safe for concurrent
// use. *wire.Socket implements it.
type Sender interface {
	Send(datagram []byte, to netip.AddrPort) error
}

// Path is the return path of one flow. Open must be called first; afterwards all
// other methods are safe for concurrent use.
type Path struct {
	header        []byte
	returnAddress atomic.Pointer[netip.AddrPort]
}

// Open initializes the path for the flow. Errors are of kind fault.Invalid.
func (p *Path) Open(key flow.Key, returnAddress netip.AddrPort) error {
	header, err := wire.FormatEnvelope(wire.Envelope{Key: key})
	if err != nil {
		return err
	}
	p.header = slices.Clip(slices.Clone(header))
	p.returnAddress.Store(&returnAddress)
	return nil
}

// SetReturnAddress sets the fabric address to which replies are sent.
func (p *Path) SetReturnAddress(returnAddress netip.AddrPort) {
	if *p.returnAddress.Load() != returnAddress {
		p.returnAddress.Store(&returnAddress)
	}
}

// ReturnAddress returns the fabric address to which replies are sent.
func (p *Path) ReturnAddress() netip.AddrPort { return *p.returnAddress.Load() }

// Header returns the PROXY header of the flow's replies. It must not be modified.
func (p *Path) Header() []byte { return p.header }

// Send sends one reply. It returns the sender's error.
func (p *Path) Send(sender Sender, payload []byte) error {
	reply := buffer.Join(p.header, payload)
	defer reply.Release()
	return sender.Send(reply.Bytes, p.ReturnAddress())
}
