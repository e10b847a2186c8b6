package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/routing"
)

// What the store of the fleet does at its worst, always.
const (
	fleetLag     = 8 * time.Second        // of answers that may be old
	fleetHistory = 20 * time.Second       // that watches can go back
	fleetWrites  = 3 * time.Second        // between two changes of objects that nobody here reads
	storeDelay   = 4 * time.Millisecond   // of an answer
	watchMargin  = 600 * time.Millisecond // that the answer of a watch may take beyond its wait, as in package platform
	// storeKeepAlive is the time after which a keep-alive ends a silent connection, as in package platform.
	storeKeepAlive = 3 * time.Second
	storeLook      = 20 * time.Millisecond // between two looks of a watch for changes
)

// strictStore is a store as strict as its protocol allows: what may be old is old, history is short, and changes of other
// objects raise the revision too.
type strictStore struct {
	mutex    sync.Mutex
	states   []storeState  // the oldest first
	silenced chan struct{} // closed when the connections that are open fall silent
}

// storeState is what the store held from a time on.
type storeState struct {
	from     time.Time
	revision uint64
	changed  uint64 // revision of the configuration's latest change
	version  routing.Version
	zones    evacuation.Set
}

func newStrictStore() *strictStore {
	return &strictStore{
		states:   []storeState{{from: time.Now().Add(-time.Minute), revision: 1, changed: 1, version: 1}},
		silenced: make(chan struct{}),
	}
}

// write makes the next state.
func (s *strictStore) write(change func(*storeState)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := s.states[len(s.states)-1]
	next.revision++
	next.from = time.Now()
	change(&next)
	s.states = append(s.states, next)
}

// configure writes the next version of the configuration and returns it.
func (s *strictStore) configure() (version routing.Version) {
	s.write(func(state *storeState) {
		state.version++
		state.changed = state.revision
		version = state.version
	})
	return version
}

// evacuate writes that the zone is evacuated.
func (s *strictStore) evacuate(zone catalog.ZoneName) {
	s.write(func(state *storeState) { state.zones, _ = evacuation.New(catalog.Revision(state.revision), zone) })
}

// silence lets all connections that are open say nothing more.
func (s *strictStore) silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.silenced)
	s.silenced = make(chan struct{})
}

// state returns what an answer is taken from, and the first revision that can be watched from.
func (s *strictStore) state(mayBeOld bool) (state storeState, oldest uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at := func(age time.Duration) storeState {
		found := s.states[0]
		for _, one := range s.states {
			if time.Since(one.from) >= age {
				found = one
			}
		}
		return found
	}
	oldest = at(fleetHistory).revision
	if mayBeOld {
		return at(fleetLag), oldest
	}
	return at(0), oldest
}

// connection returns a channel that is closed once the connections that are open now fall silent.
func (s *strictStore) connection() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silenced
}

// storeLink is one balancer's way to the store.
type storeLink struct {
	Adapter
	store  *strictStore
	mutex  sync.Mutex
	cut    chan struct{} // closed: nothing passes
	cutOff chan struct{} // closed when calls that wait are ended
	// refuses says that the store turns away what it is asked.
	refuses atomic.Bool
}

func newStoreLink(store *strictStore) *storeLink {
	return &storeLink{store: store, cut: make(chan struct{}), cutOff: make(chan struct{})}
}

// lose lets nothing pass from now on.
func (l *storeLink) lose() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.cut)
}

// regain lets everything pass again; calls that had waited get no answer.
func (l *storeLink) regain() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = make(chan struct{})
}

// refuse lets the store turn away what it is asked from now on, and end the calls that wait.
func (l *storeLink) refuse() {
	l.refuses.Store(true)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.cutOff)
	l.cutOff = make(chan struct{})
}

// lost returns channels that are closed when nothing passes any more, and when calls that wait are ended.
func (l *storeLink) lost() (cut, cutOff <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cut, l.cutOff
}

// errNoAnswer is what a call gets whose limit has passed.
var errNoAnswer = fault.New(fault.Unavailable, "no answer")

// call runs a call on a connection of its own: answer is asked until it says done, or the connection is silent and the
// limit passes.
func (l *storeLink) call(ctx context.Context, limit time.Duration, mayBeOld bool, answer func(state storeState, oldest uint64) (done bool)) error {
	connection, end := l.store.connection(), time.After(limit)
	lost, cutOff := l.lost()
	wake := time.After(storeDelay)
	var unanswered <-chan time.Time // since the connection has fallen silent
	if l.refuses.Load() {
		time.Sleep(storeDelay)
		return fault.New(fault.Overloaded, "refused")
	}
	for {
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.Unavailable, ctx.Err(), "call")
		case <-end:
			return errNoAnswer
		case <-cutOff:
			return fault.New(fault.Unavailable, "reset")
		case <-lost:
			lost, wake, unanswered = nil, nil, time.After(storeKeepAlive)
		case <-connection:
			connection, wake, unanswered = nil, nil, time.After(storeKeepAlive)
		case <-unanswered:
			return fault.New(fault.Unavailable, "connection timed out")
		case <-wake:
			if answer(l.store.state(mayBeOld)) {
				return nil
			}
			wake = time.After(storeLook)
		}
	}
}

// document is what the configuration's object holds.
func (s storeState) document() []byte { return fmt.Appendf(nil, "%d", s.version) }

func (l *storeLink) Read(ctx context.Context, mayBeOld bool) (Document, error) {
	var document Document
	err := l.call(ctx, storeShort, mayBeOld, func(state storeState, _ uint64) bool {
		document = Document{Revision: state.revision, Bytes: state.document()}
		return true
	})
	return document, err
}

func (l *storeLink) Watch(ctx context.Context, revision uint64, wait time.Duration, mayBeOld bool) (Document, error) {
	var document Document
	var gone bool
	begun := time.Now()
	err := l.call(ctx, wait+watchMargin, mayBeOld, func(state storeState, oldest uint64) bool {
		document = Document{Revision: state.revision}
		gone = revision < oldest
		if state.changed > revision {
			document.Bytes = state.document()
		}
		return gone || document.Bytes != nil || time.Since(begun) >= wait
	})
	if gone && err == nil {
		return Document{}, fault.New(fault.Stale, "history is gone")
	}
	return document, err
}

func (l *storeLink) Evacuations(ctx context.Context, mayBeOld bool) (evacuation.Set, error) {
	var set evacuation.Set
	err := l.call(ctx, storeShort, mayBeOld, func(state storeState, _ uint64) bool {
		set, _ = evacuation.New(catalog.Revision(state.revision), state.zones.Zones()...)
		return true
	})
	return set, err
}

func (l *storeLink) WatchEvacuations(ctx context.Context, after catalog.Revision, mayBeOld bool) (evacuation.Changes, error) {
	const wait = 12 * time.Second
	var changes evacuation.Changes
	var gone bool
	begun := time.Now()
	err := l.call(ctx, wait+watchMargin, mayBeOld, func(state storeState, oldest uint64) bool {
		changes = evacuation.Changes{At: catalog.Revision(state.revision)}
		gone = uint64(after) < oldest
		for _, zone := range state.zones.Zones() {
			if state.zones.Revision() > after {
				changes.List = append(changes.List, evacuation.Change{Zone: zone})
			}
		}
		return gone || len(changes.List) > 0 || time.Since(begun) >= wait
	})
	if gone && err == nil {
		return evacuation.Changes{}, fault.New(fault.Stale, "history is gone")
	}
	return changes, err
}

func (l *storeLink) ParseConfiguration(document []byte) (*routing.Table, error) {
	var version uint64
	if _, err := fmt.Sscan(string(document), &version); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "configuration")
	}
	return routing.New(routing.Content{Version: routing.Version(version)})
}
