// This file defines the key of a flow, its hash, which is the same in all processes, and the hash
// bucket of the flow.

// Package flow decides where each datagram of a flow goes: in which order the agents of a service
// are searched for the flow, and which back end admits the flow if none has it. The package does no
// I/O and does not read the clock, so that balancers, agents, tests and simulations run the same
// code.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by the addresses of its caller and its service. The service determines the
// transport protocol.
type Key struct {
	Caller  netip.AddrPort // source address
	Service netip.AddrPort // destination address
}

// Hash returns a hash of the key that is the same in all processes and versions.
func (k Key) Hash() uint64 {
	var buffer [36]byte
	encoded := appendAddrPort(buffer[:0], k.Caller)
	encoded = appendAddrPort(encoded, k.Service)
	return xxhash.Sum64(encoded)
}

func appendAddrPort(buffer []byte, address netip.AddrPort) []byte {
	bytes := address.Addr().As16()
	buffer = append(buffer, bytes[:]...)
	return binary.BigEndian.AppendUint16(buffer, address.Port())
}

// BucketCount is the number of hash buckets of each service. Buckets are the granularity of the
// split between sites: about 0.4 percent of the flows.
const BucketCount = 256

// Bucket is the index of a hash bucket of a service's flows, 0 to BucketCount-1.
type Bucket uint8

// Bucket returns the bucket of the flow.
func (k Key) Bucket() Bucket { return Bucket(k.Hash()) }
