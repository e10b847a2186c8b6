package claim

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
)

// NodeID names the place of a process: messages are sent to it, and whatever
// process runs there at the time receives them.
type NodeID string

// Instance is one run of a process. What it knows is lost when it ends.
type Instance struct {
	Node NodeID `json:"node"`
	// Incarnation differs between all runs at one node; milliseconds since 1970
	// at the start will do.
	Incarnation uint64 `json:"incarnation"`
}

// Compare orders instances by node, then by incarnation.
func (i Instance) Compare(other Instance) int {
	return cmp.Or(cmp.Compare(i.Node, other.Node), cmp.Compare(i.Incarnation, other.Incarnation))
}

// AttemptID names one request as one coordinator received it. A repeat is another
// attempt with the same key. It is never used twice.
type AttemptID struct {
	Coordinator Instance
	Number      uint64 // counts the coordinator's attempts from 1
}

// Compare orders attempts by coordinator, then by number.
func (a AttemptID) Compare(other AttemptID) int {
	return cmp.Or(a.Coordinator.Compare(other.Coordinator), cmp.Compare(a.Number, other.Number))
}

// Key is what the caller repeats a request under. It is scoped by the service.
type Key struct {
	Service catalog.ServiceName
	Value   string // 1 to MaximumKey bytes
}

// MaximumKey is the longest value of a Key, in bytes.
const MaximumKey = 255

// Fingerprint is a hash over what makes two requests the same. The caller of the
// package decides what goes in; see Request.
type Fingerprint [32]byte

// Ballot numbers a proposal. Each proposer uses each of its ballots once.
type Ballot struct {
	Round    uint64 // from 1; 0 is no ballot
	Proposer AttemptID
}

// Compare orders ballots by round, then by proposer.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), b.Proposer.Compare(other.Proposer))
}

// above returns a ballot without a proposer that is higher than all of b's round.
func (b Ballot) above() Ballot { return Ballot{Round: b.Round + 1} }

// spread returns a number below limit that differs between proposers and rounds,
// so that proposers that met do not meet again.
func (b Ballot) spread(limit uint64) uint64 {
	return (xxhash.Sum64String(string(b.Proposer.Coordinator.Node)) + b.Proposer.Number*7 + b.Round*13) % limit
}

// isQuorum says whether the members of which has is true are a quorum: a majority,
// or half of them with the first. Any two quorums have a member in common.
func isQuorum[T any](members []T, has func(T) bool) bool {
	count := 0
	for _, member := range members {
		if has(member) {
			count++
		}
	}
	if 2*count == len(members) {
		return count > 0 && has(members[0])
	}
	return 2*count > len(members)
}
