// This file implements the table of records: it merges records, ignores those of further processes
// above maxRecords, and removes those of failed processes after FailedRecordTTL. Its digests show
// in which parts two tables differ. The file also computes the point of a process on the ring.

package presence

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the table.
const (
	// FailedRecordTTL is how long the record of a failed process is kept. Until then, it prevents
	// older records, which are in transit or held by a balancer that was partitioned, from showing
	// the process as running. Balancers compare their records within seconds.
	FailedRecordTTL = 60 * time.Second
	// maxRecords limits the size of a table, so that malformed messages cannot exhaust memory.
	maxRecords = 1 << 16
)

// Table holds the newest record of each process. Tables that have merged the same records have the
// same incarnations, stages and failures, whatever the order. Table is not safe for concurrent use.
type Table struct {
	records      map[netip.AddrPort]*Record
	digest       uint32 // of the records not marked failed
	runningCount int    // number of records not marked failed
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[netip.AddrPort]*Record{}}
}

// Get returns the record of the process at the address, or nil. The caller must not change it.
func (t *Table) Get(address netip.AddrPort) *Record { return t.records[address] }

// RunningCount returns the number of records not marked failed.
func (t *Table) RunningCount() int { return t.runningCount }

// Digest returns a hash of the addresses, incarnations and stages in the records not marked failed.
func (t *Table) Digest() uint32 { return t.digest }

// Merge merges a record and reports whether it has changed the table. A changed observation time
// alone does not count.
func (t *Table) Merge(record Record) (changed bool) {
	current := t.records[record.Address]
	switch {
	case current == nil && len(t.records) >= maxRecords:
		return false
	case current == nil || record.isLater(current):
		t.updateDigest(current, -1)
		t.records[record.Address] = &record
		t.updateDigest(&record, 1)
		return true
	case current.Incarnation != record.Incarnation:
		return false
	}
	t.updateDigest(current, -1)
	changed = current.merge(&record)
	t.updateDigest(current, 1)
	return changed
}

// updateDigest adds a record to runningCount and digest (delta 1) or removes it (delta -1). It
// ignores nil and failed records.
func (t *Table) updateDigest(record *Record, delta int) {
	if record == nil || record.Failed {
		return
	}
	t.runningCount += delta
	t.digest ^= record.hash()
}

// hash returns a hash of the address, incarnation and stage.
func (r *Record) hash() uint32 {
	var buffer [48]byte
	encoded, _ := r.Address.AppendBinary(buffer[:0]) // never returns an error
	encoded = binary.BigEndian.AppendUint64(encoded, r.Incarnation)
	return uint32(xxhash.Sum64(append(encoded, byte(r.Stage))))
}

// Expire removes the records of processes that failed more than FailedRecordTTL ago.
func (t *Table) Expire(now time.Time) {
	for address, record := range t.records {
		if record.Failed && now.Sub(record.ObservedAt) > FailedRecordTTL {
			delete(t.records, address)
		}
	}
}

// Part identifies the records of processes whose points begin with the same bits. Tables are
// compared part by part.
type Part struct {
	Bits   uint8  // length of the prefix in bits
	Prefix uint32 // value of the prefix
}

// maxRecordsPerPart is the maximum average number of records in a part, up to MaxPartBits. If one
// record in twenty differs, one part in five does.
const maxRecordsPerPart = 4

// MaxPartBits is the maximum prefix length in bits, enough for maxRecords records.
const MaxPartBits = 14

// PartBits returns the prefix length in bits by which a table with that many records is divided
// into parts.
func PartBits(records int) (bits uint8) {
	for bits < MaxPartBits && records > maxRecordsPerPart<<bits {
		bits++
	}
	return bits
}

// partPrefix returns the prefix of the part to which the process at the address belongs.
func partPrefix(address netip.AddrPort, bits uint8) uint32 {
	if bits == 0 {
		return 0
	}
	return uint32(Point(address) >> (64 - bits))
}

// PartDigests returns the digests of the records not marked failed, for each part with a prefix of
// that many bits, indexed by prefix.
func (t *Table) PartDigests(bits uint8) []uint32 {
	digests := make([]uint32, 1<<bits)
	for address, record := range t.records {
		if !record.Failed {
			digests[partPrefix(address, bits)] ^= record.hash()
		}
	}
	return digests
}

// PartRecords returns all records of a part, including those of failed processes, ordered by
// address.
func (t *Table) PartRecords(part Part) (records []Record) {
	for address, record := range t.records {
		if partPrefix(address, part.Bits) == part.Prefix {
			records = append(records, *record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return a.Address.Compare(b.Address) })
	return records
}

// Point returns the position of the process at the address on the ring: a hash of the address,
// which is the same at all processes.
func Point(address netip.AddrPort) uint64 {
	var buffer [32]byte
	encoded, _ := address.AppendBinary(buffer[:0]) // never returns an error
	return xxhash.Sum64(encoded)
}
