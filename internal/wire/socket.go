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

// socketBufferSize is asked of the kernel for each direction, in bytes.
const socketBufferSize = 4 << 20

// Receiver takes one received datagram. The bytes are valid only during the call.
// arrived is the earliest time at which the datagram can have come, however long
// it has waited to be read: the latest one known at which none was waiting.
type Receiver func(datagram []byte, from netip.AddrPort, arrived time.Time)

// Socket is a UDP socket. Send may be called from any goroutine.
//
// Its datagrams are read by a goroutine that waits in the Go runtime's poller, not by nbio: a
// poller of nbio's is a thread that blocks in a system call of its own, so that on a machine
// with one core each datagram costs the runtime two changes of threads (docs/DECISIONS.md).
type Socket struct {
	local      netip.AddrPort
	receive    Receiver
	connection *net.UDPConn
	reader     datagramReader
	open       atomic.Bool
	receiving  atomic.Bool   // the receiver is being called
	done       chan struct{} // closed when nothing is read any more
	emptied    time.Time     // no datagram that came before is unread; of the reading goroutine alone
	close      sync.Once
}

// Listen opens a UDP socket at the address; port 0 takes a free port. receive is
// called from one goroutine, which serves no other socket. Errors are of kind fault.Unavailable.
func Listen(address netip.AddrPort, receive Receiver) (*Socket, error) {
	opened := time.Now() // before the first datagram can arrive
	connection, err := net.ListenUDP(network(address), net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "listen on %v", address)
	}
	// A system that allows less gives what it allows.
	_ = connection.SetReadBuffer(socketBufferSize)
	_ = connection.SetWriteBuffer(socketBufferSize)
	socket := &Socket{
		local:      canonical(connection.LocalAddr().(*net.UDPAddr).AddrPort()),
		receive:    receive,
		connection: connection,
		done:       make(chan struct{}),
		emptied:    opened,
	}
	if err := socket.reader.init(connection); err != nil {
		_ = connection.Close()
		return nil, fault.Wrap(fault.Unavailable, err, "listen on %v", address)
	}
	socket.open.Store(true)
	go socket.read()
	return socket, nil
}

// network returns the name of the network of the address's family.
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
	if len(datagram) > MaximumDatagram {
		return fault.New(fault.Invalid, "datagram of %d bytes exceeds %d bytes", len(datagram), MaximumDatagram)
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

// Close closes the socket. It may be called by the receiver. A call of the receiver that has
// begun may end after Close has returned; no further one begins.
func (s *Socket) Close() error {
	var err error
	s.close.Do(func() {
		s.open.Store(false)
		err = s.connection.SetReadDeadline(time.Unix(0, 0)) // ends the wait for datagrams
		if !s.receiving.Load() {
			<-s.done
		}
	})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "close %v", s.local)
	}
	return nil
}

// read hands the datagrams to the receiver until the socket is closed.
func (s *Socket) read() {
	defer close(s.done)
	s.reader.run(s.deliver, func(now time.Time) { s.emptied = now })
	_ = s.connection.Close() // nothing is done with it any more
}

// deliver hands one datagram to the receiver. It says whether the socket is still open.
func (s *Socket) deliver(datagram []byte, from netip.AddrPort) bool {
	s.receiving.Store(true)
	defer s.receiving.Store(false)
	if !s.open.Load() {
		return false
	}
	s.receive(datagram, from, s.emptied)
	return s.open.Load()
}
