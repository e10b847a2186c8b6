// This file reads batches of datagrams, their senders' addresses and arrival times from a UDP socket
// with recvmmsg, without allocating, and reports when the socket buffer is empty.

package wire

import (
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// maxBatch is the maximum number of datagrams per system call. A call that returns fewer shows
// that the socket buffer is empty.
const maxBatch = 8

// datagramReader reads batches of datagrams with recvmmsg and without allocating; net reads one
// datagram per call, and x/net allocates the senders' addresses. A datagramReader is not safe for
// concurrent use.
type datagramReader struct {
	descriptor syscall.RawConn
	messages   [maxBatch]mmsghdr
	buffers    [maxBatch][]byte
	vectors    [maxBatch]unix.Iovec
	sources    [maxBatch]unix.RawSockaddrAny
	controls   [maxBatch][controlBytes]byte
}

const (
	timestampBytes = int(unsafe.Sizeof(unix.Timespec{}))
	// controlBytes is the space for the control message with the arrival time.
	controlBytes = 64
)

// mmsghdr is the kernel's mmsghdr.
type mmsghdr struct {
	header unix.Msghdr
	length uint32
}

// init prepares the reader for the connection.
func (r *datagramReader) init(connection *net.UDPConn) error {
	descriptor, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	r.descriptor = descriptor
	// Best effort: without it, arrival times are unknown.
	_ = descriptor.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	for i := range r.messages {
		r.buffers[i] = make([]byte, MaxDatagramBytes+1) // one byte more, to detect longer datagrams
		r.vectors[i].Base = unsafe.SliceData(r.buffers[i])
		r.vectors[i].SetLen(len(r.buffers[i]))
		header := &r.messages[i].header
		header.Iov = &r.vectors[i]
		header.SetIovlen(1)
		header.Name = (*byte)(unsafe.Pointer(&r.sources[i]))
		header.Control = &r.controls[i][0]
	}
	return nil
}

// deliverFunc handles one datagram. arrivedAt is zero if it is unknown. It returns false if no more
// datagrams are to be read.
type deliverFunc func(datagram []byte, from netip.AddrPort, arrivedAt time.Time) bool

// run reads until the connection is closed, its deadline passes or deliver returns false. The
// datagram passed to deliver is valid only during the call. run calls onEmpty with the start time
// of each system call that shows that the socket buffer is empty.
func (r *datagramReader) run(deliver deliverFunc, onEmpty func(time.Time)) {
	// An error means that the connection is closed or its deadline has passed.
	_ = r.descriptor.Read(func(descriptor uintptr) bool { return !r.drain(descriptor, deliver, onEmpty) })
}

// drain reads until the socket buffer is empty. It returns false if deliver does.
func (r *datagramReader) drain(descriptor uintptr, deliver deliverFunc, onEmpty func(time.Time)) bool {
	for {
		startedAt := time.Now()
		count, errno := r.receive(descriptor)
		switch errno {
		case 0:
		case unix.EINTR, unix.ECONNREFUSED: // ECONNREFUSED belongs to an earlier send
			continue
		default: // EAGAIN: the socket buffer is empty
			onEmpty(startedAt)
			return true
		}
		for i := range count {
			if !deliver(r.buffers[i][:r.messages[i].length], senderAddress(&r.sources[i]), r.arrivedAt(i)) {
				return false
			}
		}
		if count < maxBatch {
			onEmpty(startedAt)
			return true
		}
	}
}

// receive reads up to maxBatch datagrams with one system call, without blocking.
func (r *datagramReader) receive(descriptor uintptr) (count int, errno syscall.Errno) {
	for i := range r.messages {
		r.messages[i].header.Namelen = unix.SizeofSockaddrAny
		r.messages[i].header.SetControllen(controlBytes)
	}
	received, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, descriptor,
		uintptr(unsafe.Pointer(&r.messages[0])), maxBatch, unix.MSG_DONTWAIT, 0, 0)
	return int(received), errno
}

// arrivedAt returns the arrival time of a datagram of the latest batch, zero if it is unknown.
func (r *datagramReader) arrivedAt(index int) time.Time {
	length := min(r.messages[index].header.Controllen, controlBytes)
	if length < unix.SizeofCmsghdr {
		return time.Time{} // ParseOneSocketControlMessage fails on an empty buffer
	}
	header, data, _, err := unix.ParseOneSocketControlMessage(r.controls[index][:length])
	if err != nil || header.Level != unix.SOL_SOCKET || header.Type != unix.SO_TIMESTAMPNS || len(data) < timestampBytes {
		return time.Time{}
	}
	timestamp := (*unix.Timespec)(unsafe.Pointer(unsafe.SliceData(data)))
	return time.Unix(timestamp.Unix())
}

// senderAddress converts a socket address to the sender's address and port.
func senderAddress(source *unix.RawSockaddrAny) netip.AddrPort {
	if source.Addr.Family == unix.AF_INET {
		source := (*unix.RawSockaddrInet4)(unsafe.Pointer(source))
		return netip.AddrPortFrom(netip.AddrFrom4(source.Addr), toHostOrder(source.Port))
	}
	source6 := (*unix.RawSockaddrInet6)(unsafe.Pointer(source))
	address := netip.AddrFrom16(source6.Addr).Unmap()
	if source6.Scope_id != 0 {
		address = address.WithZone(strconv.FormatUint(uint64(source6.Scope_id), 10))
	}
	return netip.AddrPortFrom(address, toHostOrder(source6.Port))
}

// toHostOrder converts a port from network to host byte order.
func toHostOrder(port uint16) uint16 {
	var bytes [2]byte
	binary.NativeEndian.PutUint16(bytes[:], port)
	return binary.BigEndian.Uint16(bytes[:])
}
