// This file contains the UDP socket, which sends datagrams and passes received ones to a receiver
// with their arrival. It rejects datagrams that are too long to send.

package wire

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// socketBufferSize is the requested size of the receive and the send buffer, in bytes.
const socketBufferSize = 4 << 20

// Receiver handles one received datagram. The bytes are valid only during the call.
type Receiver func(datagram []byte, from netip.AddrPort, arrival Arrival)

// Arrival states when a datagram arrived at the socket.
type Arrival struct {
	// Earliest is a lower bound of the arrival time: the latest known time at which the socket
	// buffer was empty.
	Earliest time.Time
	// Waited is the time that the datagram spent in the socket buffer, by the system's clock: a step
	// of that clock may change it, but not beyond the time since Earliest. 0 if it is unknown.
	Waited time.Duration
}

// Socket is a UDP socket. Send may be called from any goroutine.
//
// A goroutine that waits in the Go runtime's poller reads the datagrams. An nbio poller would block
// a thread in a system call, which costs thread switches per datagram on a single core.
type Socket struct {
	local       netip.AddrPort
	receive     Receiver
	connection  *net.UDPConn
	reader      datagramReader
	open        atomic.Bool
	receiving   atomic.Bool   // a call of the receiver is in progress
	readDone    chan struct{} // closed when the read goroutine ends
	lastEmptyAt time.Time     // last time the buffer was known to be empty; read goroutine only
	closeOnce   sync.Once
}

// Listen opens a UDP socket at the address; port 0 selects a free port. One goroutine
// per socket calls receive. Errors are of kind fault.Unavailable.
func Listen(address netip.AddrPort, receive Receiver) (*Socket, error) {
	opened := time.Now() // before the first datagram can arrive
	connection, err := net.ListenUDP(network(address), net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "listen on %v", address)
	}
	// Best effort: the kernel caps the sizes at its limits.
	_ = connection.SetReadBuffer(socketBufferSize)
	_ = connection.SetWriteBuffer(socketBufferSize)
	socket := &Socket{
		local:       canonical(connection.LocalAddr().(*net.UDPAddr).AddrPort()),
		receive:     receive,
		connection:  connection,
		readDone:    make(chan struct{}),
		lastEmptyAt: opened,
	}
	if err := socket.reader.init(connection); err != nil {
		_ = connection.Close()
		return nil, fault.Wrap(fault.Unavailable, err, "listen on %v", address)
	}
	socket.open.Store(true)
	go socket.read()
	return socket, nil
}

// network returns the net package's network name for the address's family.
func network(address netip.AddrPort) string {
	if address.Addr().Unmap().Is4() {
		return "udp4"
	}
	return "udp6"
}

// LocalAddress returns the address the socket is bound to.
func (s *Socket) LocalAddress() netip.AddrPort { return s.local }

// Send sends one datagram. Errors: fault.Invalid if the datagram is too long or
// the address is of the wrong family, fault.Unavailable otherwise.
func (s *Socket) Send(datagram []byte, to netip.AddrPort) error {
	if len(datagram) > MaxDatagramBytes {
		return fault.New(fault.Invalid, "datagram of %d bytes exceeds %d bytes", len(datagram), MaxDatagramBytes)
	}
	_, err := s.connection.WriteToUDPAddrPort(datagram, to)
	if err == nil {
		return nil
	}
	return fault.Wrap(sendErrorKind(err), err, "send to %v", to)
}

func sendErrorKind(err error) fault.Kind {
	var addressError *net.AddrError
	if errors.As(err, &addressError) || errors.Is(err, syscall.EMSGSIZE) {
		return fault.Invalid
	}
	return fault.Unavailable
}

// Close closes the socket. The receiver may call it. A receiver call in progress may end after
// Close returns; no further call starts.
func (s *Socket) Close() error {
	var err error
	s.closeOnce.Do(func() {
		s.open.Store(false)
		err = s.connection.SetReadDeadline(time.Unix(0, 0)) // unblocks the read
		if !s.receiving.Load() {
			<-s.readDone
		}
	})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "close %v", s.local)
	}
	return nil
}

// read passes datagrams to the receiver until the socket is closed.
func (s *Socket) read() {
	defer close(s.readDone)
	s.reader.run(s.deliver, func(emptyAt time.Time) { s.lastEmptyAt = emptyAt })
	_ = s.connection.Close() // the socket is no longer used
}

// deliver passes one datagram to the receiver. It reports whether the socket is still open.
// arrivedAt is the arrival time by the system's clock, zero if unknown.
func (s *Socket) deliver(datagram []byte, from netip.AddrPort, arrivedAt time.Time) bool {
	s.receiving.Store(true)
	defer s.receiving.Store(false)
	if !s.open.Load() {
		return false
	}
	s.receive(datagram, from, s.arrival(arrivedAt))
	return s.open.Load()
}

func (s *Socket) arrival(arrivedAt time.Time) Arrival {
	arrival := Arrival{Earliest: s.lastEmptyAt}
	if !arrivedAt.IsZero() {
		now := time.Now()
		arrival.Waited = min(max(now.Sub(arrivedAt), 0), now.Sub(s.lastEmptyAt))
	}
	return arrival
}
