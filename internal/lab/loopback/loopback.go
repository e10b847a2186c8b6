// Package loopback hands out loopback addresses to tests that must know an address
// before anything listens there, or after nothing does any more.
//
// A port that was found free by listening on it and closing again may be taken by
// another process before it is used. So each process has a loopback address of its
// own, and each port of it is handed out once.
package loopback

import (
	"fmt"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports that are handed out: below those that the kernel gives to connections.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// The second octet of a process's address is one of four that networks leave free; with the other two octets it tells 2^18 process ids apart.
const (
	firstOctet  = 251
	octetsInUse = 4
)

var handedOut atomic.Uint32

// IP returns the loopback address of this process.
func IP() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(firstOctet + pid>>16%octetsInUse), byte(pid >> 8), byte(pid)})
}

// AddrPort returns an address that no other call has returned, for datagrams and for
// streams. It panics when all ports were handed out.
func AddrPort() netip.AddrPort {
	port := firstPort + handedOut.Add(1)
	if port > lastPort {
		panic(fmt.Sprintf("loopback: more than %d addresses", lastPort-firstPort))
	}
	return netip.AddrPortFrom(IP(), uint16(port))
}

// networksPerProcess is how many networks of one process may be in use at once.
const networksPerProcess = 16

var networks atomic.Uint32

// Network hands out addresses for a deployment whose machines all use the same
// ports. No other network on this machine has them: the second and third octets come
// from the process id and the number of the network.
type Network struct {
	prefix string
	next   int
}

// NewNetwork returns a network that has handed out nothing yet.
func NewNetwork() *Network {
	number := uint32(os.Getpid())*networksPerProcess + networks.Add(1)%networksPerProcess
	return &Network{prefix: fmt.Sprintf("127.%d.%d", 1+number/250%250, 1+number%250), next: 1}
}

// Take returns the next address; there are 254 of them.
func (n *Network) Take() netip.Addr {
	addr := netip.MustParseAddr(fmt.Sprintf("%s.%d", n.prefix, n.next))
	n.next++
	return addr
}
