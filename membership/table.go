// This file implements the table of members: merging, removal and lookup of records, and the hashes
// and pages by which two processes compare and exchange their tables.

package membership

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of hash buckets by which two tables are compared.
const BucketCount = 64

// Table holds the latest version of each member. Tables that have merged the same versions, in
// any order, hold equal versions. A Table is not safe for concurrent use.
type Table struct {
	members   map[string]entry
	byControl map[netip.AddrPort]string // ID of the live member at the address
	buckets   [BucketCount]uint64       // XOR of the version hashes of live members
	liveCount int
}

// entry is a member with the hash of its ID, which determines its bucket and its position on
// the rings.
type entry struct {
	member *Member
	point  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[string]entry{}, byControl: map[netip.AddrPort]string{}}
}

// Get returns the member with the given ID, or nil if it is not known.
func (t *Table) Get(id string) *Member { return t.members[id].member }

// ByControlAddress returns the live member with the given control address, or nil if there
// is none.
func (t *Table) ByControlAddress(control netip.AddrPort) *Member {
	id, ok := t.byControl[control]
	if !ok {
		return nil
	}
	return t.Get(id)
}

// Len returns the number of members, including dead and left ones.
func (t *Table) Len() int { return len(t.members) }

// LiveCount returns the number of members that are neither dead nor left.
func (t *Table) LiveCount() int { return t.liveCount }

// Merge stores a version of a member if the member is new or the version supersedes the stored
// one, and reports whether it did. The caller must not modify the member afterwards.
func (t *Table) Merge(member *Member) bool {
	stored, known := t.members[member.ID]
	if known && !member.Supersedes(stored.member) {
		return false
	}
	if known {
		t.removeFromIndexes(stored)
	} else {
		stored.point = xxhash.Sum64String(member.ID)
	}
	t.addToIndexes(entry{member: member, point: stored.point})
	return true
}

// Remove removes the member with the given ID, if there is one.
func (t *Table) Remove(id string) {
	stored, known := t.members[id]
	if !known {
		return
	}
	t.removeFromIndexes(stored)
	delete(t.members, id)
}

func (t *Table) addToIndexes(added entry) {
	member := added.member
	t.members[member.ID] = added
	if member.Status.Terminal() {
		return
	}
	t.liveCount++
	t.buckets[bucketOf(added.point)] ^= member.versionHash()
	t.byControl[member.Control] = member.ID
}

func (t *Table) removeFromIndexes(removed entry) {
	member := removed.member
	if member.Status.Terminal() {
		return
	}
	t.liveCount--
	t.buckets[bucketOf(removed.point)] ^= member.versionHash()
	if t.byControl[member.Control] == member.ID {
		delete(t.byControl, member.Control)
	}
}

func bucketOf(point uint64) int { return int(point % BucketCount) }

// Digest returns a hash of all live members. Dead and left members are excluded, because
// processes remove them at different times.
func (t *Table) Digest() uint32 {
	digest := uint64(0)
	for _, bucket := range t.buckets {
		digest = mix(digest ^ bucket)
	}
	return uint32(digest)
}

// BucketHashes returns, for each bucket, a hash of its live members.
func (t *Table) BucketHashes() []uint32 {
	hashes := make([]uint32, BucketCount)
	for i, bucket := range t.buckets {
		hashes[i] = uint32(mix(bucket))
	}
	return hashes
}

// BucketMembers returns the members of a bucket, including dead and left ones, sorted by ID.
func (t *Table) BucketMembers(bucket int) []*Member {
	return t.sorted(func(candidate entry) bool { return bucketOf(candidate.point) == bucket })
}

// All returns all members, including dead and left ones, sorted by ID.
func (t *Table) All() []*Member {
	return t.sorted(func(entry) bool { return true })
}

// Page returns up to limit members with an ID greater than after, including dead and left
// ones, sorted by ID. It also returns the ID to continue after, which is empty after the last
// page.
func (t *Table) Page(after string, limit int) (page []*Member, next string) {
	page = t.sorted(func(candidate entry) bool { return candidate.member.ID > after })
	if len(page) <= limit {
		return page, ""
	}
	return page[:limit], page[limit-1].ID
}

func (t *Table) sorted(keep func(entry) bool) []*Member {
	var members []*Member
	for candidate := range maps.Values(t.members) {
		if keep(candidate) {
			members = append(members, candidate.member)
		}
	}
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}
