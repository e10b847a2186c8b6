// This file reads from the kernel how many received datagrams a socket has dropped.

package wire

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"

	"github.com/burlmill/burlmill/fault"
)

// Indexes in the kernel's answer to SO_MEMINFO, and its length (linux/sock_diag.h).
const (
	memoryReceiveBuffer = 1 // size of the receive buffer
	memoryDrops         = 8
	memoryValues        = 9
)

// DroppedDatagrams returns how many received datagrams the kernel has dropped since the socket was
// opened, as the receive buffer was full. The count wraps at 2^32. Errors are of kind
// fault.Unavailable: the system does not count them, or the socket is closed.
func (s *Socket) DroppedDatagrams() (uint64, error) {
	var values [memoryValues]uint32
	length := uint32(unsafe.Sizeof(values))
	var errno syscall.Errno
	err := s.reader.descriptor.Control(func(descriptor uintptr) {
		_, _, errno = unix.Syscall6(unix.SYS_GETSOCKOPT, descriptor, unix.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&values)), uintptr(unsafe.Pointer(&length)), 0)
	})
	switch {
	case err != nil:
		return 0, fault.Wrap(fault.Unavailable, err, "count drops at %v", s.local)
	case errno != 0:
		return 0, fault.Wrap(fault.Unavailable, errno, "count drops at %v", s.local)
	case uintptr(length) < unsafe.Sizeof(values) || values[memoryReceiveBuffer] == 0:
		return 0, fault.New(fault.Unavailable, "count drops at %v: the system does not tell", s.local)
	default:
		return uint64(values[memoryDrops]), nil
	}
}
