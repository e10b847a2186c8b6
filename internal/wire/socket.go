package wire

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/polling"
)

const (
	socketBufferSize = 4 << 20 // bytes asked of the kernel for each direction
	readsPerEvent    = 64      // datagrams read before nbio polls again
)

// Receiver takes one received datagram. The bytes are valid only during the call.
// arrived is the earliest time at which the datagram can have come, however long
// it has waited to be read: the latest one known at which none was waiting.
type Receiver func(datagram []byte, from netip.AddrPort, arrived time.Time)

// Socket is a UDP socket driven by nbio. Send may be called from any goroutine.
type Socket struct {
	local      netip.AddrPort
	receive    Receiver
	connection *net.UDPConn // reads and sends
	readiness  *nbio.Conn   // another descriptor of the same socket, watched by nbio
	engine     *nbio.Engine // watches this socket alone
	reader     datagramReader
	open       atomic.Bool // also orders Listen's writes before the poller's reads
	emptied    time.Time   // no datagram that came before is unread; written by the poller alone
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
		emptied:    opened,
	}
	if err := socket.attach(); err != nil {
		_ = connection.Close()
		return nil, fault.Wrap(fault.Unavailable, err, "listen on %v", address)
	}
	return socket, nil
}

// network returns the name of the network of the address's family.
func network(address netip.AddrPort) string {
	if address.Addr().Unmap().Is4() {
		return "udp4"
	}
	return "udp6"
}

// attach lets nbio watch the socket. nbio's own reading keeps an object for each
// address that ever sent a datagram and can only answer those addresses, so nbio
// just says when there is something to read.
func (s *Socket) attach() error {
	if err := s.reader.init(s.connection); err != nil {
		return err
	}
	watched, err := duplicate(s.connection)
	if err != nil {
		return err
	}
	s.readiness, err = nbio.NBConn(watched)
	if err != nil {
		_ = watched.Close()
		return err
	}
	s.engine = nbio.NewEngine(nbio.Config{Name: "wire", NPoller: 1})
	s.engine.OnRead(readSocket)
	if err := polling.Start(s.engine); err != nil {
		_ = s.readiness.Close()
		return err
	}
	s.readiness.SetSession(s)
	s.open.Store(true)
	if _, err := s.engine.AddConn(s.readiness); err != nil {
		s.engine.Stop()
		return err
	}
	return nil
}

// duplicate returns a second connection on the same socket.
func duplicate(connection *net.UDPConn) (net.Conn, error) {
	file, err := connection.File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return net.FileConn(file)
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

// Close closes the socket. A call of the receiver that has begun may end after
// Close has returned; no further one begins.
func (s *Socket) Close() error {
	var err error
	s.close.Do(func() {
		s.open.Store(false)
		err = errors.Join(s.readiness.Close(), s.connection.Close())
		// Stopping waits for the poller, which may be the caller.
		go s.engine.Stop()
	})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "close %v", s.local)
	}
	return nil
}

// readSocket is called by nbio when datagrams are waiting.
func readSocket(connection *nbio.Conn) {
	socket, ok := connection.Session().(*Socket)
	if !ok {
		return
	}
	began := time.Now()
	for range readsPerEvent {
		if !socket.open.Load() {
			return
		}
		datagram, from, ok := socket.reader.next()
		if !ok {
			socket.emptied = began
			return
		}
		socket.receive(datagram, from, socket.emptied)
	}
}
