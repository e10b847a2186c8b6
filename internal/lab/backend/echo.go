package backend

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	echoSocketBuffer = 4 << 20 // bytes asked of the kernel for each direction
	maximumDatagram  = 65507   // bytes
)

// echoServer answers each datagram with the back end's name and the datagram.
type echoServer struct {
	socket    *net.UDPConn
	backend   *Backend
	flows     atomic.Uint64
	datagrams atomic.Uint64
}

func (e *echoServer) serve() {
	_ = e.socket.SetReadBuffer(echoSocketBuffer)
	_ = e.socket.SetWriteBuffer(echoSocketBuffer)
	prefix := echoPrefix(e.backend.options.Service, e.backend.options.ID)
	buffer := make([]byte, len(prefix)+maximumDatagram)
	copy(buffer, prefix)
	seen := map[netip.AddrPort]bool{}
	for {
		length, source, err := e.socket.ReadFromUDPAddrPort(buffer[len(prefix):])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		e.datagrams.Add(1)
		if !seen[source] {
			seen[source] = true
			e.flows.Add(1)
		}
		e.record(buffer[len(prefix) : len(prefix)+length])
		_, _ = e.socket.WriteToUDPAddrPort(buffer[:len(prefix)+length], source)
	}
}

// record notes which lab flow the datagram belongs to; others are only echoed.
func (e *echoServer) record(payload []byte) {
	datagram, err := ParseDatagram(payload)
	if err != nil {
		return
	}
	e.backend.journal.sight(FlowSighting{
		Flow:          datagram.Flow,
		Service:       e.backend.options.Service,
		Backend:       e.backend.options.ID,
		First:         time.Now(),
		WhileDraining: e.backend.draining.Load(),
	})
}
