package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/routing"
)

// A fleet of balancers' nodes before a strict store, in virtual time: real loops, real codec and real fetches over a
// network in memory. Only what concerns the configuration and the evacuations runs.

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
	peerDelay      = time.Millisecond      // of a datagram, and of an answer to a fetch
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

// fleet is some balancers and the network between them.
type fleet struct {
	t       *testing.T
	store   *strictStore
	members []*member
	mutex   sync.Mutex
	oneWay  map[netip.AddrPort]bool // whose datagrams and connections to others are lost
}

// member is one balancer, through all its starts.
type member struct {
	fleet   *fleet
	address netip.AddrPort
	link    *storeLink
	node    *node // nil: it does not run
	handler http.Handler
	taken   *takenSets
}

// newFleet starts so many balancers at once.
func newFleet(t *testing.T, balancers int) *fleet {
	f := &fleet{t: t, store: newStrictStore(), oneWay: map[netip.AddrPort]bool{}}
	for i := range balancers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), 1}), 7000)
		f.members = append(f.members, &member{fleet: f, address: address})
	}
	for _, m := range f.members {
		m.start()
	}
	return f
}

// start starts the balancer's process.
func (m *member) start() {
	if m.link == nil {
		m.link = newStoreLink(m.fleet.store)
	}
	s := settings.Settings{Node: settings.Node{ID: m.address.String(), PeerAddress: m.address}}
	s.Peers.Seeds = []netip.AddrPort{m.fleet.members[0].address, m.fleet.members[1].address}
	n := newNode(s, m.link, handshake.RoleBalancer, logging.New(io.Discard, "error"))
	n.peers = memorySocket{m}
	n.peerClient = &http.Client{Timeout: fetchTimeout, Transport: memoryTransport{m}}
	m.taken = &takenSets{}
	m.handler = n.peerHandler()
	m.fleet.mutex.Lock()
	m.node = n
	m.fleet.mutex.Unlock()
	n.start(m.taken)
	n.spawn(n.watchLoop)
	n.spawn(n.evacuationLoop)
}

// kill ends the balancer's process.
func (m *member) kill() {
	m.fleet.mutex.Lock()
	n := m.node
	m.node = nil
	m.fleet.mutex.Unlock()
	if n == nil {
		return
	}
	n.cancel()
	n.running.Wait()
}

// holds returns the version in force at the balancer, 0 if it does not run.
func (m *member) holds() routing.Version {
	if m.node == nil {
		return 0
	}
	return m.node.heldVersion()
}

// readers returns the balancers that ask the store for what it holds now.
func (f *fleet) readers() []*member {
	var readers []*member
	for _, m := range f.members {
		if m.node == nil {
			continue
		}
		m.node.mutex.Lock()
		reading := m.node.reading
		m.node.mutex.Unlock()
		if reading == handshake.ReadsCurrent {
			readers = append(readers, m)
		}
	}
	return readers
}

// end ends all processes.
func (f *fleet) end() {
	for _, m := range f.members {
		m.kill()
	}
}

// pass lets time pass, while objects that nobody here reads change in the store.
func (f *fleet) pass(duration time.Duration) {
	for left := duration; left > 0; left -= fleetWrites {
		time.Sleep(min(left, fleetWrites))
		f.store.write(func(*storeState) {})
	}
}

// lateness waits until the version is in force at all balancers that run but the given ones, for so long at most, and
// returns how long it took.
func (f *fleet) lateness(version routing.Version, most time.Duration, but []*member) time.Duration {
	begun := time.Now()
	for time.Since(begun) < most {
		behind := 0
		for _, m := range f.members {
			if m.node != nil && !slices.Contains(but, m) && m.holds() < version {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

// separate lets nothing pass from the balancer to any other; what others send to it passes.
func (f *fleet) separate(m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.oneWay[m.address] = true
}

// join lets everything pass again.
func (f *fleet) join(m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.oneWay, m.address)
}

// reach returns the node that a process reaches at the address, nil if none.
func (f *fleet) reach(from *member, to netip.AddrPort) (*node, http.Handler) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.oneWay[from.address] {
		return nil, nil
	}
	for _, m := range f.members {
		if m.address == to && m.node != nil {
			return m.node, m.handler
		}
	}
	return nil, nil
}

// memorySocket sends datagrams to the other nodes.
type memorySocket struct{ from *member }

func (s memorySocket) Send(datagram []byte, to netip.AddrPort) error {
	if receiver, _ := s.from.fleet.reach(s.from, to); receiver != nil {
		time.AfterFunc(peerDelay, func() { receiver.receivePeer(datagram, s.from.address, time.Time{}) })
	}
	return nil
}

func (s memorySocket) Close() error { return nil }

// memoryTransport carries fetches to the other nodes.
type memoryTransport struct{ from *member }

var errNotReached = errors.New("not reached")

func (t memoryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	_, handler := t.from.fleet.reach(t.from, netip.MustParseAddrPort(request.URL.Host))
	if handler == nil {
		time.Sleep(fetchDialTimeout)
		return nil, errNotReached
	}
	time.Sleep(peerDelay)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}
