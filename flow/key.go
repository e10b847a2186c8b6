// Package flow decides where each datagram of a flow goes: which back ends may
// hold the flow, in which order they are asked, and which one admits it when
// none holds it. All of it is pure: packets, snapshots and a clock go in,
// actions come out, so that balancers, agents, tests and simulations run the
// same code.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by the two addresses its caller sees. The transport is
// implied by the service at the second address.
type Key struct {
	Caller  netip.AddrPort // the caller's address
	Service netip.AddrPort // the service's address
}

// Hash returns a value that depends on nothing but the key, the same in every
// process of every version.
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

// BucketCount is the number of buckets of each service. It bounds the precision
// of a split between sites: one bucket is 100/256, about 0.4 percent.
const BucketCount = 256

// Bucket numbers one part of a service's flows, 0 to BucketCount-1.
type Bucket uint8

// Bucket returns the bucket of the flow.
func (k Key) Bucket() Bucket { return Bucket(k.Hash()) }
