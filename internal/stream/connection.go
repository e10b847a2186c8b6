// This file contains one side of a relayed stream: it opens, resets and closes the connection,
// reads and writes preambles, reads chunks, and distinguishes a reset from the end of the stream.
// Opening a connection and the preambles have timeouts.

// Package stream relays TCP streams. Balancers and agents both use it: each accepts
// connections, reads the PROXY protocol header at their start, opens the next
// connection and forwards bytes both ways until both directions have ended.
//
// A truncated stream never ends with a FIN. SO_LINGER makes the kernel reset every
// connection that is closed, including when the process exits. A connection is closed
// gracefully only after both directions have ended or its stream was refused.
//
// Each direction of a relay has its own goroutine on the Go runtime's poller. The
// nbio poller is unsuitable, because it closes a connection when the peer closes its
// write side (EPOLLRDHUP), which loses the reply on a half-closed connection. A
// direction that waits for bytes holds no buffer.
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

// Limits for opening a connection and for the preamble of its stream, which is a PROXY
// header or a verdict.
const (
	MaxHeader      = 512             // bytes of a PROXY header or a verdict
	headerTimeout  = 5 * time.Second // for reading a header
	verdictTimeout = 5 * time.Second // for reading an agent's verdict
	writeTimeout   = 5 * time.Second // for writing a header or a verdict
	dialTimeout    = 2 * time.Second // for opening a connection
)

// Connection is one side of a relayed stream. Closing it resets it, unless both
// directions of its relay have ended or a refusal was sent.
type Connection struct {
	socket   *net.TCPConn
	raw      syscall.RawConn
	buffered []byte // stream bytes that were read together with the preamble

	writeMutex  sync.Mutex // held while the write side is closed or checked
	writeClosed bool       // the write side has been closed
}

// newConnection takes ownership of the socket. Errors are of kind fault.Unavailable.
func newConnection(socket *net.TCPConn) (*Connection, error) {
	// With a zero linger time the kernel resets the connection whenever it is closed.
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
	dialer := net.Dialer{Timeout: dialTimeout}
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

// closeGracefully closes the connection without a reset. Bytes that were written are
// still delivered.
func (c *Connection) closeGracefully() error {
	const systemDefault = -1
	if err := c.socket.SetLinger(systemDefault); err != nil {
		return err
	}
	return c.socket.Close()
}

// closeWrite closes the write side of the connection.
func (c *Connection) closeWrite() error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	err := c.socket.CloseWrite()
	c.writeClosed = err == nil
	return err
}

// tcpStateClosed is the kernel's TCP_CLOSE.
const tcpStateClosed = 7

// checkEOF distinguishes a clean end of the peer's direction (io.EOF) from a reset
// (ECONNRESET). The kernel reports a reset only once; if a write has consumed that
// error, a read sees an end of file. A socket in the closed state was reset unless
// this side has closed its write side.
func (c *Connection) checkEOF() error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.writeClosed {
		return io.EOF
	}
	end := io.EOF
	err := c.raw.Control(func(descriptor uintptr) {
		information, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && information.State == tcpStateClosed {
			end = unix.ECONNRESET
		}
	})
	if err != nil {
		return err
	}
	return end
}

// readPreamble calls read to parse the preamble of the stream within the time limit,
// and keeps the bytes that were read beyond it for the relay. It returns the error of
// read unchanged; its own errors are of kind fault.Unavailable.
func (c *Connection) readPreamble(limit time.Duration, read func(*bufio.Reader) error) error {
	if err := c.socket.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return fault.Wrap(fault.Unavailable, err, "set read deadline")
	}
	reader := bufio.NewReaderSize(c.socket, MaxHeader)
	if err := read(reader); err != nil {
		return err
	}
	c.buffered, _ = reader.Peek(reader.Buffered()) // cannot fail for buffered bytes
	return fault.Wrap(fault.Unavailable, c.socket.SetReadDeadline(time.Time{}), "set read deadline")
}

// writePreamble sends the preamble of the stream. Errors are of kind fault.Unavailable.
func (c *Connection) writePreamble(content []byte) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fault.Wrap(fault.Unavailable, err, "set write deadline")
	}
	if _, err := c.socket.Write(content); err != nil {
		return fault.Wrap(fault.Unavailable, err, "send to %s", c.RemoteAddress())
	}
	return fault.Wrap(fault.Unavailable, c.socket.SetWriteDeadline(time.Time{}), "set write deadline")
}

// chunkSize is the maximum number of bytes that one direction of a stream buffers.
const chunkSize = 32 << 10

// chunk is a part of a stream that is being forwarded.
type chunk struct {
	content [chunkSize]byte
	length  int
}

var chunkPool = sync.Pool{New: func() any { return new(chunk) }}

// readChunk waits for and returns the next chunk of the stream, or io.EOF at its end. It
// holds no buffer while it waits. The caller returns the chunk to the pool.
func (c *Connection) readChunk() (*chunk, error) {
	var current *chunk
	var readError error
	err := c.raw.Read(func(descriptor uintptr) (done bool) {
		current = chunkPool.Get().(*chunk)
		current.length, readError = readDescriptor(int(descriptor), current.content[:])
		if readError == unix.EAGAIN {
			chunkPool.Put(current)
			return false
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	if readError != nil {
		chunkPool.Put(current)
		return nil, readError
	}
	if current.length == 0 {
		chunkPool.Put(current)
		return nil, c.checkEOF()
	}
	return current, nil
}

// readDescriptor reads once and retries after EINTR.
func readDescriptor(descriptor int, into []byte) (int, error) {
	for {
		length, err := unix.Read(descriptor, into)
		if err != unix.EINTR {
			return length, err
		}
	}
}

// awaitReset waits for a reset after the peer has closed its write side, and returns
// the socket's error. It returns os.ErrDeadlineExceeded at the read deadline.
func (c *Connection) awaitReset() error {
	var reset error
	err := c.raw.Read(func(descriptor uintptr) (done bool) {
		code, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil {
			reset = err
			return true
		}
		if code != 0 {
			reset = unix.Errno(code)
			return true
		}
		return false
	})
	if err != nil {
		return err
	}
	return reset
}
