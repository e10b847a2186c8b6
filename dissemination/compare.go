// This file selects a peer whose digest differs at the same revision, at most once per
// ComparisonInterval, and compares its objects with the local ones: it selects at most one page of
// objects to send and the objects to request, and merges received ones.

package dissemination

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
)

// BucketCount is the number of hash buckets by which two snapshots are compared.
const BucketCount = 64

// Version identifies one version of one object.
type Version struct {
	Name     catalog.ServiceName
	Revision catalog.Revision
	Hash     uint64 // catalog.Object.Hash
}

// outdatedBy reports whether the object is newer than the version or conflicts with it.
func (v Version) outdatedBy(object *catalog.Object) bool {
	return object.Revision > v.Revision || object.Revision == v.Revision && object.Hash() != v.Hash
}

// outdates reports whether the version is newer than the object or conflicts with it.
func (v Version) outdates(object *catalog.Object) bool {
	return v.Revision > object.Revision || v.Revision == object.Revision && object.Hash() != v.Hash
}

// Difference lists the objects to send to a peer and to request from it so that both hold
// the higher revision of each compared object.
type Difference struct {
	Send    []catalog.Object
	Request []catalog.ServiceName
}

// NextComparison returns a peer that has had the local revision with a different digest
// for at least ComparisonDelay, if a comparison is due. The comparison counts as started.
// Digests can differ at the same revision because processes received different earlier versions
// of an object, which determine its ClaimedAt, because a restored store reused a revision, or
// because processes that run different versions of burlmill accept different objects.
func (m *Machine) NextComparison(now time.Time) (peer string, due bool) {
	if !m.lastComparisonAt.IsZero() && now.Sub(m.lastComparisonAt) < ComparisonInterval {
		return "", false
	}
	for candidate, known := range m.offers {
		if known.differsSince.IsZero() || now.Sub(known.differsSince) < ComparisonDelay || now.Sub(known.receivedAt) > offerExpiry {
			continue
		}
		if peer == "" || candidate < peer {
			peer = candidate
		}
	}
	if peer == "" {
		return "", false
	}
	m.lastComparisonAt = now
	return peer, true
}

// BucketHashes returns, for each bucket, a hash of its object versions.
func (m *Machine) BucketHashes() []uint32 {
	hashes := make([]uint32, BucketCount)
	for _, object := range m.snapshot.Since(0) {
		hashes[bucketOf(object.Name)] ^= uint32(object.Hash())
	}
	return hashes
}

func bucketOf(name catalog.ServiceName) int {
	return int(xxhash.Sum64String(string(name)) % BucketCount)
}

// DifferingVersions returns the buckets whose hashes differ from the peer's, and the local
// object versions in them. Both are nil if the number of hashes is not BucketCount.
func (m *Machine) DifferingVersions(peerHashes []uint32) (differing []int, versions []Version) {
	if len(peerHashes) != BucketCount {
		return nil, nil
	}
	differs := [BucketCount]bool{}
	for bucket, hash := range m.BucketHashes() {
		if hash != peerHashes[bucket] {
			differs[bucket] = true
			differing = append(differing, bucket)
		}
	}
	for _, object := range m.snapshot.Since(0) {
		if differs[bucketOf(object.Name)] {
			versions = append(versions, Version{object.Name, object.Revision, object.Hash()})
		}
	}
	return differing, versions
}

// Compare returns the differences between the snapshot and a peer's versions in the
// differing buckets, with at most one page of objects to send.
func (m *Machine) Compare(differing []int, versions []Version) Difference {
	peerVersions := map[catalog.ServiceName]Version{}
	for _, version := range versions {
		peerVersions[version.Name] = version
	}
	differs := [BucketCount]bool{}
	for _, bucket := range differing {
		if bucket >= 0 && bucket < BucketCount {
			differs[bucket] = true
		}
	}
	var difference Difference
	for _, object := range m.snapshot.Since(0) {
		version := peerVersions[object.Name]
		if differs[bucketOf(object.Name)] && version.outdatedBy(&object) {
			difference.Send = append(difference.Send, object)
		}
		if !version.outdates(&object) {
			delete(peerVersions, object.Name)
		}
	}
	for _, version := range versions {
		if _, missing := peerVersions[version.Name]; missing {
			difference.Request = append(difference.Request, version.Name)
		}
	}
	difference.limitToPage()
	return difference
}

// limitToPage limits the objects to send to MaxPageBytes, but keeps at least one. The next
// comparison covers the others.
func (d *Difference) limitToPage() {
	bytes := 0
	for i, object := range d.Send {
		bytes += objectBytes(object)
		if bytes > MaxPageBytes && i > 0 {
			d.Send = d.Send[:i]
			break
		}
	}
}

// ObjectsByName returns the objects with the given names, up to one page.
func (m *Machine) ObjectsByName(names []catalog.ServiceName) []catalog.Object {
	wanted := map[catalog.ServiceName]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	difference := Difference{}
	for _, object := range m.snapshot.Since(0) {
		if wanted[object.Name] {
			difference.Send = append(difference.Send, object)
		}
	}
	difference.limitToPage()
	return difference.Send
}

// Merge applies objects received in a comparison and keeps the snapshot's revision. Objects
// above that revision are ignored. The error lists rejected objects.
func (m *Machine) Merge(objects []catalog.Object) error {
	var mergeable []catalog.Object
	for _, object := range objects {
		if object.Revision <= m.snapshot.Revision() {
			mergeable = append(mergeable, object)
		}
	}
	if len(mergeable) == 0 {
		return nil
	}
	return m.apply(mergeable, m.snapshot.Revision())
}
