// This file implements the virtual packet connection between quic-go and the agent's data socket.
// Received datagrams are dropped if its queue is full.

package quicserver

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
)

// queueCapacity is the maximum number of datagrams of one back end that wait to be
// read by quic-go. Further datagrams are dropped, as by a full socket buffer.
const queueCapacity = 1024

// receivedDatagram is one datagram from a caller.
type receivedDatagram struct {
	payload *buffer.Buffer
	caller  *net.UDPAddr
}

// packetConn is the net.PacketConn on which quic-go serves the callers of one back
// end. It has no socket of its own: datagrams are received and sent through the
// agent's data socket. It does not embed *net.UDPConn, because quic-go would call
// methods of the socket that bypass packetConn.
type packetConn struct {
	local  *net.UDPAddr // the service's address
	sender returnpath.Sender
	paths  *callerPaths
	queue  chan receivedDatagram

	deadline  *readDeadline
	closeOnce sync.Once
	closed    chan struct{}
}

var _ net.PacketConn = (*packetConn)(nil)

func newPacketConn(local netip.AddrPort, sender returnpath.Sender, paths *callerPaths) *packetConn {
	return &packetConn{
		local:    net.UDPAddrFromAddrPort(local),
		sender:   sender,
		paths:    paths,
		queue:    make(chan receivedDatagram, queueCapacity),
		closed:   make(chan struct{}),
		deadline: newReadDeadline(),
	}
}

// enqueue queues a datagram and takes ownership of its buffer. It returns false if the
// queue is full.
func (p *packetConn) enqueue(datagram receivedDatagram) bool {
	select {
	case p.queue <- datagram:
		return true
	default:
		datagram.payload.Release()
		return false
	}
}

// queued returns the number of datagrams that quic-go has not read yet.
func (p *packetConn) queued() int { return len(p.queue) }

// ReadFrom waits for the next datagram. It returns os.ErrDeadlineExceeded after the
// read deadline and net.ErrClosed after Close.
func (p *packetConn) ReadFrom(into []byte) (int, net.Addr, error) {
	select {
	case <-p.deadline.done():
		return 0, nil, os.ErrDeadlineExceeded
	case <-p.closed:
		return 0, nil, net.ErrClosed
	case datagram := <-p.queue:
		length := copy(into, datagram.payload.Bytes)
		datagram.payload.Release()
		return length, datagram.caller, nil
	}
}

// WriteTo sends a datagram to the caller at the address. As with UDP, it returns no
// error if the caller is unknown or the datagram is lost.
func (p *packetConn) WriteTo(payload []byte, address net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	caller, ok := address.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError(address.String())
	}
	if path := p.paths.get(caller.AddrPort()); path != nil {
		_ = path.Send(p.sender, payload)
	}
	return len(payload), nil
}

// Close makes pending and later reads and writes return net.ErrClosed.
func (p *packetConn) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// LocalAddr returns the service's address.
func (p *packetConn) LocalAddr() net.Addr { return p.local }

// SetDeadline sets the read deadline; writes never block.
func (p *packetConn) SetDeadline(deadline time.Time) error { return p.SetReadDeadline(deadline) }

// SetWriteDeadline does nothing, since writes never block.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline sets the deadline of pending and later reads. A zero time means
// no deadline.
func (p *packetConn) SetReadDeadline(deadline time.Time) error {
	p.deadline.set(deadline)
	return nil
}

// SetReadBuffer does nothing. quic-go logs a warning if the method is missing.
func (p *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing. quic-go logs a warning if the method is missing.
func (p *packetConn) SetWriteBuffer(int) error { return nil }
