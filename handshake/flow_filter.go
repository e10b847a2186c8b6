// This file contains flow filters, the Bloom filters with which agents summarize their recorded
// flows, and answers summary requests with them.

package handshake

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/flow"
)

// A flow filter contains the recorded flows of an agent, except tentative ones. It has no false
// negatives. If it may contain a flow, the agent is queried for that single flow.

// Sizes of flow filters.
const (
	// MaxFilterBytes is the maximum size of a filter in bytes, such that the message fits into one
	// packet. A filter limited by it, from 800 flows on, has more false positives, which cost
	// additional queries.
	MaxFilterBytes = 1200
	// minFilterBytes is the minimum size of a filter that is not empty, in bytes: in a smaller one,
	// the bits of different keys collide too often.
	minFilterBytes = 16
	// With bitsSetPerFlow of bitsPerFlow bits, one unknown flow in 150 is a false positive.
	bitsPerFlow    = 12
	bitsSetPerFlow = 4
)

// flowKeyHash returns the hash of a key. It is the same in all processes.
func flowKeyHash(key flow.Key) uint64 {
	var buffer [64]byte
	encoded, _ := key.Caller.AppendBinary(buffer[:0]) // never returns an error
	encoded, _ = key.Service.AppendBinary(encoded)
	return xxhash.Sum64(encoded)
}

// flowFilter is a Bloom filter of flow keys. The empty filter contains no key.
type flowFilter []byte

// newFlowFilter returns an empty filter sized for the number of keys.
func newFlowFilter(keys int) flowFilter {
	if keys == 0 {
		return nil
	}
	return make(flowFilter, min(max((keys*bitsPerFlow+7)/8, minFilterBytes), MaxFilterBytes))
}

// add adds a key by its hash. The filter must have been made for at least one key.
func (f flowFilter) add(hash uint64) {
	for i := range uint64(bitsSetPerFlow) {
		bit := f.bitIndex(hash, i)
		f[bit/8] |= 1 << (bit % 8)
	}
}

// mayContain reports whether the filter may contain the key with the hash. False is certain.
func (f flowFilter) mayContain(hash uint64) bool {
	if len(f) == 0 {
		return false
	}
	for i := range uint64(bitsSetPerFlow) {
		bit := f.bitIndex(hash, i)
		if f[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// bitIndex returns the index of the i-th bit of a key with the hash, by double hashing with the two
// halves of the hash.
func (f flowFilter) bitIndex(hash, i uint64) uint64 {
	first, second := hash&0xffffffff, hash>>32|1
	return (first + i*second) % uint64(8*len(f))
}

// HandleSummaryRequest answers a SummaryRequest with a filter of the agent's recorded flows, except
// tentative ones.
func (a *Agent) HandleSummaryRequest(
	now time.Time, from netip.AddrPort, request SummaryRequest,
) []Action {
	var hashes []uint64
	for key, tracked := range a.flows {
		if tracked.state != stateTentative {
			hashes = append(hashes, flowKeyHash(key))
		}
	}
	filter := newFlowFilter(len(hashes))
	for _, hash := range hashes {
		filter.add(hash)
	}
	a.emit(Send{To: from, Message: FlowSummary{Round: request.Round, Filter: filter,
		MayHold: a.unknownHolding(now) != HoldsNot}})
	return a.drain()
}
