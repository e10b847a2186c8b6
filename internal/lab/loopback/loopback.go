// Package loopback allocates loopback addresses for tests that need an address before a process
// listens there, or after it has stopped listening.
//
// A port found free by opening and closing a listener may be taken by another process before it is
// used. Therefore each process has its own loopback address and allocates each port of it once.
//
// For a deployment whose machines all use the same ports, an AddressPool allocates an IP address
// for each machine.
package loopback

import (
	"fmt"
	"net/netip"
	"os"
	"sync/atomic"
)

// Allocated ports are from portBase+1 to maxPort, below the kernel's default ephemeral ports.
const (
	portBase = 10_000
	maxPort  = 32_000
)

// The second octet of a process's address is one of secondOctets values that no AddressPool uses.
// With the last two octets it encodes the low 18 bits of the process id.
const (
	minSecondOctet = 251
	secondOctets   = 4
)

var allocatedPorts atomic.Uint32

// ProcessIP returns the loopback address of this process, derived from its process id. It is the
// same for each call.
func ProcessIP() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(minSecondOctet + pid>>16%secondOctets), byte(pid >> 8), byte(pid)})
}

// NewAddrPort returns an address that no other call in this process returns, for UDP and TCP. It
// panics if all ports have been allocated.
func NewAddrPort() netip.AddrPort {
	port := portBase + allocatedPorts.Add(1)
	if port > maxPort {
		panic(fmt.Sprintf("loopback: all %d ports of this process are allocated", maxPort-portBase))
	}
	return netip.AddrPortFrom(ProcessIP(), uint16(port))
}

// maxPoolsPerProcess is the number of pools that a process can have before addresses repeat.
const maxPoolsPerProcess = 16

var poolCount atomic.Uint32

// AddressPool allocates IP addresses for a deployment whose machines all use the same ports. It is
// not safe for concurrent use.
//
// The second and third octets are derived from the process id and the number of the pool. They are
// unique among maxPoolsPerProcess pools of each of the processes whose ids differ by less than
// 3906.
type AddressPool struct {
	prefix string
	next   int
}

// NewAddressPool returns a new pool. Its addresses repeat those of the pool maxPoolsPerProcess
// earlier.
func NewAddressPool() *AddressPool {
	number := uint32(os.Getpid())*maxPoolsPerProcess + poolCount.Add(1)%maxPoolsPerProcess
	return &AddressPool{prefix: fmt.Sprintf("127.%d.%d", 1+number/250%250, 1+number%250), next: 1}
}

// Next allocates the next address of the pool. It must not be called more than 254 times.
func (p *AddressPool) Next() netip.Addr {
	addr := netip.MustParseAddr(fmt.Sprintf("%s.%d", p.prefix, p.next))
	p.next++
	return addr
}
