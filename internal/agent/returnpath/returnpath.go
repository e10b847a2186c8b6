// Package returnpath sends the replies of one flow back to its caller: behind a
// PROXY header that is formatted once, to the fabric address from which the
// flow's latest datagram came.
package returnpath

import (
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/wire"
)

// Sender sends datagrams from the agent's data socket, from any goroutine.
// *wire.Socket is one.
type Sender interface {
	Send(datagram []byte, to netip.AddrPort) error
}

// Path is the way back of one flow. Send and SetReturn may be called from any
// goroutine once Open has returned.
type Path struct {
	header []byte
	to     atomic.Pointer[netip.AddrPort]
}

// Open prepares the path of the flow. Errors are of kind fault.Invalid.
func (p *Path) Open(key flow.Key, to netip.AddrPort) error {
	header, err := wire.FormatEnvelope(wire.Envelope{Key: key})
	if err != nil {
		return err
	}
	p.header = slices.Clip(slices.Clone(header))
	p.to.Store(&to)
	return nil
}

// SetReturn sets the fabric address that replies go to.
func (p *Path) SetReturn(to netip.AddrPort) {
	if *p.to.Load() != to {
		p.to.Store(&to)
	}
}

// Return returns the fabric address that replies go to.
func (p *Path) Return() netip.AddrPort { return *p.to.Load() }

// Header returns the PROXY header of the flow's replies, to be read only.
func (p *Path) Header() []byte { return p.header }

// Send sends one reply. Errors are those of the sender.
func (p *Path) Send(sender Sender, payload []byte) error {
	reply := buffer.Join(p.header, payload)
	defer reply.Release()
	return sender.Send(reply.Bytes, p.Return())
}
