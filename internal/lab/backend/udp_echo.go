// This file implements the UDP echo server of a back end. It replies to each datagram, records the
// flows in the journal, and counts datagrams and source addresses.

package backend

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// Sizes used by the UDP echo server.
const (
	echoSocketBufferBytes = 4 << 20 // bytes requested for the kernel buffer of each direction
	maxDatagramBytes      = 65507   // largest UDP payload over IPv4
)

// udpEchoServer is the UDP echo server of a back end: it replies to each datagram with the service
// and the id of the back end, followed by the datagram.
type udpEchoServer struct {
	socket    *net.UDPConn
	backend   *Backend
	sources   atomic.Uint64 // distinct source addresses
	datagrams atomic.Uint64
}

func (e *udpEchoServer) serve() {
	_ = e.socket.SetReadBuffer(echoSocketBufferBytes)
	_ = e.socket.SetWriteBuffer(echoSocketBufferBytes)
	prefix := echoPrefix(e.backend.options.Service, e.backend.options.ID)
	buffer := make([]byte, len(prefix)+maxDatagramBytes)
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
			e.sources.Add(1)
		}
		e.recordFlow(buffer[len(prefix) : len(prefix)+length])
		_, _ = e.socket.WriteToUDPAddrPort(buffer[:len(prefix)+length], source)
	}
}

// recordFlow records the flow named in the payload in the journal. It ignores a payload that is not
// a lab flow datagram.
func (e *udpEchoServer) recordFlow(payload []byte) {
	datagram, err := ParseDatagram(payload)
	if err != nil {
		return
	}
	e.backend.journal.recordFlow(FlowRecord{
		Flow:          datagram.Flow,
		Service:       e.backend.options.Service,
		Backend:       e.backend.options.ID,
		FirstSeen:     time.Now(),
		WhileDraining: e.backend.draining.Load(),
	})
}
