package handshake

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/flow"
)

// Digests: an agent that is asked about all unknown flows of a zone at once answers with
// a Bloom filter of the flows that it knows. It never denies one that the agent knows; one that it does not
// know looks known by chance, and then the agent is asked exactly.

// Sizes of digests. With 12 bits a flow and 4 of them set for each, a flow that is not known looks known
// once in 150 times, worked out.
const (
	// MaximumFilter is how many bytes a filter has at most: with the rest of the message, one packet of a
	// usual network. From 800 flows on more look known by chance, which costs questions and no certainty.
	MaximumFilter = 1200
	// minimumFilter is how many bytes one has that is not empty: in fewer bits the bits of two
	// keys are seldom independent.
	minimumFilter  = 16
	bitsPerFlow    = 12
	bitsSetPerFlow = 4
)

// keyHash is the hash of a key, which is the same in all processes.
func keyHash(key flow.Key) uint64 {
	var buffer [64]byte
	encoded, _ := key.Caller.AppendBinary(buffer[:0]) // has no error to return
	encoded, _ = key.Service.AppendBinary(encoded)
	return xxhash.Sum64(encoded)
}

// filter is a Bloom filter of keys. An empty one has none.
type filter []byte

// newFilter returns a filter for so many keys that has none yet.
func newFilter(keys int) filter {
	if keys == 0 {
		return nil
	}
	return make(filter, min(max((keys*bitsPerFlow+7)/8, minimumFilter), MaximumFilter))
}

// add puts the key with the hash into the filter, which was made for at least one.
func (f filter) add(hash uint64) {
	for i := range uint64(bitsSetPerFlow) {
		bit := f.bit(hash, i)
		f[bit/8] |= 1 << (bit % 8)
	}
}

// has says whether a key with the hash may be in the filter; if it says false, it is not.
func (f filter) has(hash uint64) bool {
	if len(f) == 0 {
		return false
	}
	for i := range uint64(bitsSetPerFlow) {
		bit := f.bit(hash, i)
		if f[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// bit returns which bit is the hash's i-th: the two halves of the hash stand for independent hashes.
func (f filter) bit(hash, i uint64) uint64 {
	first, second := hash&0xffffffff, hash>>32|1
	return (first + i*second) % uint64(8*len(f))
}

// Summarized answers a census with a digest of the flows that the agent knows.
func (a *Agent) Summarized(now time.Time, from netip.AddrPort, question Summarize) []Action {
	var hashes []uint64
	for key, held := range a.flows {
		if held.state != stateTentative {
			hashes = append(hashes, keyHash(key))
		}
	}
	known := newFilter(len(hashes))
	for _, hash := range hashes {
		known.add(hash)
	}
	a.act(Send{To: from, Message: Digest{Census: question.Census, Filter: known, MayHold: a.unknownHolding(now) != HoldsNot}})
	return a.take()
}
