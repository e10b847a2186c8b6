package membership

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of parts by which two tables are compared.
const BucketCount = 64

// Table holds the latest version of each member. Two tables that have merged
// the same versions, in whatever order, are equal. It is not safe for
// concurrent use.
type Table struct {
	members   map[string]entry
	byControl map[netip.AddrPort]string // id of the live member at the address
	buckets   [BucketCount]uint64       // XOR of the version hashes of live members
	live      int
}

// entry keeps a member with its place on the rings, which depends on its ID alone.
type entry struct {
	member *Member
	point  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[string]entry{}, byControl: map[netip.AddrPort]string{}}
}

// Get returns the member of that ID, nil if it is not known.
func (t *Table) Get(id string) *Member { return t.members[id].member }

// At returns the live member with that control address, nil if there is none.
func (t *Table) At(control netip.AddrPort) *Member {
	id, ok := t.byControl[control]
	if !ok {
		return nil
	}
	return t.Get(id)
}

// Len returns the number of members held, those that are gone included.
func (t *Table) Len() int { return len(t.members) }

// Live returns the number of members that are not gone.
func (t *Table) Live() int { return t.live }

// Merge takes a version in and says whether it replaced what the table held.
func (t *Table) Merge(member *Member) bool {
	held, known := t.members[member.ID]
	if known && !member.Supersedes(held.member) {
		return false
	}
	if known {
		t.withdraw(held)
	} else {
		held.point = xxhash.Sum64String(member.ID)
	}
	t.enter(entry{member: member, point: held.point})
	return true
}

// Forget removes a member.
func (t *Table) Forget(id string) {
	held, known := t.members[id]
	if !known {
		return
	}
	t.withdraw(held)
	delete(t.members, id)
}

func (t *Table) enter(added entry) {
	member := added.member
	t.members[member.ID] = added
	if member.Status.Gone() {
		return
	}
	t.live++
	t.buckets[bucketOf(added.point)] ^= member.versionHash()
	t.byControl[member.Control] = member.ID
}

func (t *Table) withdraw(removed entry) {
	member := removed.member
	if member.Status.Gone() {
		return
	}
	t.live--
	t.buckets[bucketOf(removed.point)] ^= member.versionHash()
	if t.byControl[member.Control] == member.ID {
		delete(t.byControl, member.Control)
	}
}

func bucketOf(point uint64) int { return int(point % BucketCount) }

// Digest returns a hash over all live members. Members that are gone do not
// count, because each node forgets them at a time of its own.
func (t *Table) Digest() uint32 {
	digest := uint64(0)
	for _, bucket := range t.buckets {
		digest = mix(digest ^ bucket)
	}
	return uint32(digest)
}

// Buckets returns one hash for each bucket of live members.
func (t *Table) Buckets() []uint32 {
	hashes := make([]uint32, BucketCount)
	for i, bucket := range t.buckets {
		hashes[i] = uint32(mix(bucket))
	}
	return hashes
}

// InBucket returns the members of one bucket in order of ID, those that are
// gone included.
func (t *Table) InBucket(bucket int) []*Member {
	return t.sorted(func(candidate entry) bool { return bucketOf(candidate.point) == bucket })
}

// All returns every member in order of ID, those that are gone included.
func (t *Table) All() []*Member {
	return t.sorted(func(entry) bool { return true })
}

// Page returns up to limit members whose ID comes after the given one, in order
// of ID, those that are gone included, and the ID to continue after, which is empty at the end.
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
