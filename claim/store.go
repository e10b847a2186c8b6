package claim

import (
	"maps"
	"slices"
	"time"
)

// memory counts the bytes of all records of one replica.
type memory struct {
	limit int
	used  int
}

// has says whether so many more bytes may be taken.
func (m *memory) has(bytes int) bool { return m.used+bytes <= m.limit }

// storedRecord is a record with the time at which it expires.
type storedRecord struct {
	Record
	expires time.Time
}

// recordStore holds the records of one service. They go only by expiry. What was
// promised stays promised: a record begins with a promise above those of all records
// that have gone.
type recordStore struct {
	options *Options
	memory  *memory
	records map[string]*storedRecord
	floor   Ballot // lower ballots are refused under any key
}

func newRecordStore(options *Options, memory *memory) *recordStore {
	return &recordStore{options: options, memory: memory, records: map[string]*storedRecord{}}
}

// get returns the record under the key, nil if there is none.
func (s *recordStore) get(now time.Time, key string) *storedRecord {
	record := s.records[key]
	if record == nil || now.Before(record.expires) {
		return record
	}
	s.remove(record)
	return nil
}

// getOrAdd returns the record under the key, nil if there is no room for a new one.
func (s *recordStore) getOrAdd(now time.Time, key string) *storedRecord {
	if record := s.get(now, key); record != nil {
		return record
	}
	if !s.memory.has(recordOverhead + len(key)) {
		return nil
	}
	return s.add(now, key)
}

func (s *recordStore) add(now time.Time, key string) *storedRecord {
	added := &storedRecord{Record: Record{Key: key, Promised: s.floor}, expires: now}
	s.records[key] = added
	s.memory.used += added.size()
	return added
}

func (s *recordStore) remove(record *storedRecord) {
	s.memory.used -= record.size()
	delete(s.records, record.Key)
	s.raiseFloor(record.Promised.above())
}

// raiseFloor refuses lower ballots under all keys without a record.
func (s *recordStore) raiseFloor(floor Ballot) {
	if floor.Compare(s.floor) > 0 {
		s.floor = floor
	}
}

// promise records that lower ballots are refused. It does not make a claim last longer.
func (s *recordStore) promise(now time.Time, record *storedRecord, ballot Ballot) {
	if ballot.Compare(record.Promised) > 0 {
		record.Promised = ballot
	}
	s.keep(record, now.Add(s.options.promiseLifetime()))
}

// write changes the claim. A claim that blocks others lasts for the retention from
// now on, and any other only for as long as its ballot matters.
func (s *recordStore) write(now time.Time, record *storedRecord, apply func(*Claim)) {
	before := record.size()
	apply(&record.Claim)
	s.memory.used += record.size() - before
	record.expires = now.Add(s.options.promiseLifetime())
	if record.Claim.blocks() {
		record.expires = now.Add(s.options.recordLifetime())
	}
}

// keep puts the expiry off.
func (s *recordStore) keep(record *storedRecord, until time.Time) {
	if until.After(record.expires) {
		record.expires = until
	}
}

// merge takes in a copy from another replica. It needs no room: a claim that
// others hold must not be lost here.
func (s *recordStore) merge(now time.Time, other *Record) {
	record := s.get(now, other.Key)
	if record == nil {
		record = s.add(now, other.Key)
	}
	before := record.size()
	record.Claim.merge(&other.Claim)
	if other.Promised.Compare(record.Promised) > 0 {
		record.Promised = other.Promised
	}
	s.memory.used += record.size() - before
	s.keep(record, now.Add(other.Remaining))
}

// page returns records in order of key, those after the given one, until they
// fill the page. more says that others follow.
func (s *recordStore) page(now time.Time, after string) (page []Record, more bool) {
	size := 0
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		record := s.records[key]
		if key <= after || !now.Before(record.expires) {
			continue
		}
		if size > 0 && size+record.size() > pageSize {
			return page, true
		}
		size += record.size()
		copied := record.Record
		copied.Remaining = record.expires.Sub(now)
		page = append(page, copied)
	}
	return page, false
}

// pageSize bounds the records in one StatePage, in bytes.
const pageSize = 256 << 10

// sweep removes what has expired.
func (s *recordStore) sweep(now time.Time) {
	for _, record := range s.records {
		if !now.Before(record.expires) {
			s.remove(record)
		}
	}
}
