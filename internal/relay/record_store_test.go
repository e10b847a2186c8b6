// This file is the stand-in for a store that holds one agent's record, for the tests of keeping that
// record.

package relay

import (
	"context"
	"slices"
	"sync"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/presence"
)

// recordStore is a store of one record that implements ReadRecord and Replace.
type recordStore struct {
	mutex     sync.Mutex
	stored    StoredRecord // revision 0: none
	revision  uint64
	down      bool // calls fail
	malformed bool // the record cannot be parsed
	// loseAnswers is the number of further writes that take effect without an answer.
	loseAnswers int
	writes      int
	unanswered  int // number of further reads that are never answered
}

// set changes the store.
func (s *recordStore) set(change func(*recordStore)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// drains returns the stored drains.
func (s *recordStore) drains() []instance.Drain {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stored.Drains
}

var errStoreDown = fault.New(fault.Unavailable, "store is down")

func (s *recordStore) read() (StoredRecord, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.down:
		return StoredRecord{}, errStoreDown
	case s.stored.Revision == 0:
		return StoredRecord{}, fault.New(fault.NotFound, "no record")
	case s.malformed:
		return StoredRecord{Revision: s.stored.Revision}, fault.New(fault.Invalid, "malformed record")
	}
	return s.stored, nil
}

func (s *recordStore) replace(record Record, revision uint64) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.down:
		return 0, errStoreDown
	case revision != 0 && s.stored.Revision == 0:
		return 0, fault.New(fault.NotFound, "no record")
	case revision != s.stored.Revision:
		return 0, fault.New(fault.Conflict, "another revision")
	}
	s.revision++
	s.writes++
	s.malformed = false
	s.stored = StoredRecord{Record: record, Revision: s.revision}
	s.stored.Drains = slices.Clone(record.Drains)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, fault.New(fault.Unavailable, "answer lost")
	}
	return s.revision, nil
}

// recordAdapter is an Adapter that reads and replaces records in a recordStore.
type recordAdapter struct {
	Adapter
	records *recordStore
}

// answersRead reports whether the store answers a read; otherwise it waits for the end of the read.
func (a recordAdapter) answersRead(ctx context.Context) bool {
	hangs := false
	a.records.set(func(s *recordStore) {
		if hangs = s.unanswered > 0; hangs {
			s.unanswered--
		}
	})
	if hangs {
		<-ctx.Done()
	}
	return !hangs
}

func (a recordAdapter) ReadRecord(ctx context.Context, _ presence.Role, _ string) (StoredRecord, error) {
	if !a.answersRead(ctx) {
		return StoredRecord{}, ctx.Err()
	}
	return a.records.read()
}

func (a recordAdapter) Replace(_ context.Context, record Record, revision uint64) (uint64, error) {
	return a.records.replace(record, revision)
}

func (a recordAdapter) RecordRevision(ctx context.Context, _ Record) (uint64, error) {
	if !a.answersRead(ctx) {
		return 0, ctx.Err()
	}
	found, err := a.records.read()
	kind := fault.KindOf(err)
	if err != nil && (kind == fault.NotFound || kind == fault.Invalid) || err == nil && found.Address != testPeerAddress {
		return 0, nil
	}
	return found.Revision, err
}

func (a recordAdapter) Publish(_ context.Context, record Record) (uint64, error) {
	return a.records.replace(record, a.records.currentRevision())
}

func (s *recordStore) currentRevision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stored.Revision
}

func (s *recordStore) remainingUnanswered() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.unanswered
}

func (s *recordStore) record() Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stored.Record
}
