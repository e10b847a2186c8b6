package wire

import (
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// datagramReader reads datagrams that are already waiting, without blocking and
// without allocating. The libraries' calls do one or the other: net's wait for a
// datagram, those of syscall and unix allocate the sender's address. A
// datagramReader belongs to one goroutine.
type datagramReader struct {
	descriptor syscall.RawConn
	buffer     []byte
	source     unix.RawSockaddrAny
	length     uintptr
	failure    syscall.Errno
	readOnce   func(descriptor uintptr) bool // the method value, built once
}

// init prepares the reader for the connection.
func (r *datagramReader) init(connection *net.UDPConn) error {
	descriptor, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	r.descriptor = descriptor
	r.buffer = make([]byte, MaximumDatagram+1) // one more, to notice longer ones
	r.readOnce = r.receive
	return nil
}

// next returns one waiting datagram and its sender, or false if there is none.
// The bytes are valid until the next call.
func (r *datagramReader) next() (datagram []byte, from netip.AddrPort, ok bool) {
	for {
		if err := r.descriptor.Read(r.readOnce); err != nil {
			return nil, netip.AddrPort{}, false // closed
		}
		switch r.failure {
		case 0:
			return r.buffer[:r.length], r.sender(), true
		case unix.EINTR:
		default:
			return nil, netip.AddrPort{}, false
		}
	}
}

// receive makes one system call. It reports that it is done in any case, so that
// the runtime never waits for the descriptor.
func (r *datagramReader) receive(descriptor uintptr) bool {
	sourceLength := uint32(unix.SizeofSockaddrAny)
	r.length, _, r.failure = unix.Syscall6(unix.SYS_RECVFROM, descriptor,
		uintptr(unsafe.Pointer(unsafe.SliceData(r.buffer))), uintptr(len(r.buffer)), unix.MSG_DONTWAIT,
		uintptr(unsafe.Pointer(&r.source)), uintptr(unsafe.Pointer(&sourceLength)))
	return true
}

// sender returns the address that the last datagram came from.
func (r *datagramReader) sender() netip.AddrPort {
	if r.source.Addr.Family == unix.AF_INET {
		source := (*unix.RawSockaddrInet4)(unsafe.Pointer(&r.source))
		return netip.AddrPortFrom(netip.AddrFrom4(source.Addr), hostOrder(source.Port))
	}
	source := (*unix.RawSockaddrInet6)(unsafe.Pointer(&r.source))
	address := netip.AddrFrom16(source.Addr).Unmap()
	if source.Scope_id != 0 {
		address = address.WithZone(strconv.FormatUint(uint64(source.Scope_id), 10))
	}
	return netip.AddrPortFrom(address, hostOrder(source.Port))
}

// hostOrder converts a port as the kernel stores it.
func hostOrder(port uint16) uint16 {
	var bytes [2]byte
	binary.NativeEndian.PutUint16(bytes[:], port)
	return binary.BigEndian.Uint16(bytes[:])
}
