// Package stream relays TCP streams. A balancer and an agent use it alike: each
// accepts connections, reads the PROXY protocol header at their beginning, opens
// the next connection and carries bytes both ways until both directions have
// ended.
//
// A stream that is cut anywhere is never ended as if it were whole: every
// connection is set to be reset when it is closed, also by the end of the
// process, and is ended cleanly only after both directions have been.
//
// Each direction of a relay has a goroutine on Go's own poller. nbio v1.6.8 does
// not serve here: its poller closes a connection as soon as the peer has ended
// its direction (EPOLLRDHUP), so the answer to a half-closed stream would be lost.
// A direction that waits for bytes holds no buffer.
package stream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/burlmill/burlmill/fault"
)

// Bounds on the beginning of a stream.
const (
	MaximumHeader = 512             // bytes of the PROXY header or the verdict
	headerLimit   = 5 * time.Second // for a header to arrive
	verdictLimit  = 5 * time.Second // for an agent's verdict to arrive
	writeLimit    = 5 * time.Second // for a header or a verdict to be sent
	dialLimit     = 2 * time.Second // for a connection to come about
)

// Connection is one side of a relayed stream. It is reset when closed, unless
// both directions of its relay have ended.
type Connection struct {
	socket *net.TCPConn
	raw    syscall.RawConn
	early  []byte // bytes of the stream that were read together with its beginning

	ending  sync.Mutex // held while this side's direction is ended
	sentEnd bool       // this side's direction has been ended
}

// newConnection takes the socket over.
func newConnection(socket *net.TCPConn) (*Connection, error) {
	// From here on the kernel resets the connection however it is closed.
	if err := socket.SetLinger(0); err != nil {
		_ = socket.Close()
		return nil, fault.Wrap(fault.Unavailable, err, "set up connection")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		_ = socket.Close()
		return nil, fault.Wrap(fault.Unavailable, err, "set up connection")
	}
	return &Connection{socket: socket, raw: raw}, nil
}

// Dial opens a connection. Errors are of kind fault.Unavailable.
func Dial(ctx context.Context, address netip.AddrPort) (*Connection, error) {
	dialer := net.Dialer{Timeout: dialLimit}
	socket, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "connect to %s", address)
	}
	return newConnection(socket.(*net.TCPConn))
}

// RemoteAddress returns the address of the peer.
func (c *Connection) RemoteAddress() netip.AddrPort {
	return c.socket.RemoteAddr().(*net.TCPAddr).AddrPort()
}

// Abort resets the connection. It may be called more than once, from any goroutine.
func (c *Connection) Abort() {
	_ = c.socket.Close()
}

// end closes the connection after both directions have ended; what was written
// still arrives.
func (c *Connection) end() error {
	const systemDefault = -1
	if err := c.socket.SetLinger(systemDefault); err != nil {
		return err
	}
	return c.socket.Close()
}

// endSending ends the direction towards the peer.
func (c *Connection) endSending() error {
	c.ending.Lock()
	defer c.ending.Unlock()
	err := c.socket.CloseWrite()
	c.sentEnd = err == nil
	return err
}

// stateClosed is TCP_CLOSE of the kernel's list of states.
const stateClosed = 7

// checkEnd says whether the end of what the peer sends is a clean one. The kernel
// tells a reset once, and a write in the other direction may have taken it; then a
// read sees nothing but an end. Before this side has ended its own direction, a
// socket that is closed nevertheless was reset.
func (c *Connection) checkEnd() error {
	c.ending.Lock()
	defer c.ending.Unlock()
	if c.sentEnd {
		return io.EOF
	}
	end := io.EOF
	err := c.raw.Control(func(descriptor uintptr) {
		information, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && information.State == stateClosed {
			end = unix.ECONNRESET
		}
	})
	if err != nil {
		return err
	}
	return end
}

// beginning lets read take the beginning of the stream and keeps what came with
// it for the relay.
func (c *Connection) beginning(limit time.Duration, read func(*bufio.Reader) error) error {
	if err := c.socket.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return fault.Wrap(fault.Unavailable, err, "read deadline")
	}
	reader := bufio.NewReaderSize(c.socket, MaximumHeader)
	if err := read(reader); err != nil {
		return err
	}
	c.early, _ = reader.Peek(reader.Buffered()) // cannot fail for so many bytes
	return fault.Wrap(fault.Unavailable, c.socket.SetReadDeadline(time.Time{}), "read deadline")
}

// write sends bytes that precede the stream.
func (c *Connection) write(content []byte) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return fault.Wrap(fault.Unavailable, err, "write deadline")
	}
	if _, err := c.socket.Write(content); err != nil {
		return fault.Wrap(fault.Unavailable, err, "send to %s", c.RemoteAddress())
	}
	return fault.Wrap(fault.Unavailable, c.socket.SetWriteDeadline(time.Time{}), "write deadline")
}

// pieceLength is how much one direction of a stream holds at most, in bytes.
const pieceLength = 32 << 10

// piece is a part of a stream on its way.
type piece struct {
	content [pieceLength]byte
	length  int
}

var pieces = sync.Pool{New: func() any { return new(piece) }}

// next waits for the next part of the stream, io.EOF at its end. The buffer is
// taken only when there is something to read.
func (c *Connection) next() (*piece, error) {
	var taken *piece
	var readError error
	err := c.raw.Read(func(descriptor uintptr) (done bool) {
		taken = pieces.Get().(*piece)
		taken.length, readError = readDescriptor(int(descriptor), taken.content[:])
		if readError == unix.EAGAIN {
			pieces.Put(taken)
			return false
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	if readError != nil {
		pieces.Put(taken)
		return nil, readError
	}
	if taken.length == 0 {
		pieces.Put(taken)
		return nil, c.checkEnd()
	}
	return taken, nil
}

// readDescriptor reads once, again after an interruption.
func readDescriptor(descriptor int, into []byte) (int, error) {
	for {
		length, err := unix.Read(descriptor, into)
		if err != unix.EINTR {
			return length, err
		}
	}
}

// awaitReset waits, after the peer has ended its direction, for a reset, which it
// returns, or for the read deadline, which gives os.ErrDeadlineExceeded.
func (c *Connection) awaitReset() error {
	var reset error
	err := c.raw.Read(func(descriptor uintptr) (done bool) {
		number, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil {
			reset = err
			return true
		}
		if number != 0 {
			reset = unix.Errno(number)
			return true
		}
		return false
	})
	if err != nil {
		return err
	}
	return reset
}
