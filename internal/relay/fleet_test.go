// This file contains the simulated fleet of the tests in fleet_*_test.go. It runs the nodes of
// balancers, without their flow logic, on a worstCaseStore and an in-memory network in virtual
// time, with the loops, codec and fetches of production code.

package relay

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/wire"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// peerDelay is the latency of a datagram between balancers and of a fetch.
const peerDelay = time.Millisecond

// fleet is a set of balancers and the network between them.
type fleet struct {
	t               *testing.T
	store           *worstCaseStore
	members         []*member
	mutex           sync.Mutex
	outgoingBlocked map[netip.AddrPort]bool // balancers whose outgoing traffic is dropped
}

// member is one balancer or agent, which may be restarted.
type member struct {
	fleet       *fleet
	address     netip.AddrPort
	role        presence.Role    // empty: a balancer
	seeds       []netip.AddrPort // nil: the first two balancers
	link        *storeLink
	node        *node // nil: not running
	handler     http.Handler
	evacuations *evacuationRecorder
}

// newFleet returns a fleet with the given number of running balancers.
func newFleet(t *testing.T, balancers int) *fleet {
	f := &fleet{t: t, store: newWorstCaseStore(), outgoingBlocked: map[netip.AddrPort]bool{}}
	for i := range balancers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 7000)
		f.members = append(f.members, &member{fleet: f, address: address})
	}
	for _, m := range f.members {
		m.start()
	}
	return f
}

// start creates the balancer's node and runs it.
func (m *member) start() {
	if m.link == nil {
		m.link = newStoreLink(m.fleet.store)
	}
	s := settings.Settings{Node: settings.Node{ID: m.address.String(), PeerAddress: m.address}}
	s.Peers.Seeds = m.seeds
	if m.seeds == nil {
		s.Peers.Seeds = []netip.AddrPort{m.fleet.members[0].address, m.fleet.members[1].address}
	}
	role := cmp.Or(m.role, presence.RoleBalancer)
	n := newNode(s, m.link, role, logging.New(io.Discard, "error"))
	n.peerConn = memorySocket{m}
	n.peerClient = &http.Client{Timeout: fetchTimeout, Transport: memoryTransport{m}}
	m.evacuations = &evacuationRecorder{}
	m.handler = n.peerHandler()
	m.fleet.mutex.Lock()
	m.node = n
	m.fleet.mutex.Unlock()
	n.start(m.evacuations)
	if role == presence.RoleBalancer {
		n.spawn(n.watchLoop)
		n.spawn(n.evacuationLoop)
	}
}

// kill stops the balancer's node, if it runs, and waits for its goroutines.
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

// configurationVersion returns the version of the configuration in force at the balancer, 0 if it
// has none or is not running.
func (m *member) configurationVersion() routing.Version {
	if m.node == nil {
		return 0
	}
	return m.node.versionInForce()
}

// watchers returns the balancers that watch the current state of the store.
func (f *fleet) watchers() []*member {
	var watchers []*member
	for _, m := range f.members {
		if m.node == nil {
			continue
		}
		m.node.mutex.Lock()
		watchMode := m.node.watchMode
		m.node.mutex.Unlock()
		if watchMode == handshake.WatchCurrent {
			watchers = append(watchers, m)
		}
	}
	return watchers
}

// stop kills all balancers and waits until datagrams in flight have been dropped.
func (f *fleet) stop() {
	for _, m := range f.members {
		m.kill()
	}
	time.Sleep(2 * peerDelay)
}

// advance sleeps for the duration while unrelated objects change in the store.
func (f *fleet) advance(duration time.Duration) {
	for remaining := duration; remaining > 0; remaining -= storeWriteInterval {
		time.Sleep(min(remaining, storeWriteInterval))
		f.store.write(func(*storeState) {})
	}
}

// awaitVersion waits until the version is in force at all running balancers except the given ones,
// or until the timeout, and returns the elapsed time.
func (f *fleet) awaitVersion(version routing.Version, timeout time.Duration, except []*member) time.Duration {
	start := time.Now()
	for time.Since(start) < timeout {
		behind := 0
		for _, m := range f.members {
			if m.node != nil && !slices.Contains(except, m) && m.configurationVersion() < version {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// blockOutgoing drops the datagrams that the balancer sends to others and the connections that it
// opens. Traffic that others initiate still reaches it.
func (f *fleet) blockOutgoing(m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outgoingBlocked[m.address] = true
}

// unblockOutgoing ends the effect of blockOutgoing.
func (f *fleet) unblockOutgoing(m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.outgoingBlocked, m.address)
}

// reachableNode returns the running node at the address and its handler, nil if there is none or if
// from cannot reach it.
func (f *fleet) reachableNode(from *member, to netip.AddrPort) (*node, http.Handler) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outgoingBlocked[from.address] {
		return nil, nil
	}
	for _, m := range f.members {
		if m.address == to && m.node != nil {
			return m.node, m.handler
		}
	}
	return nil, nil
}

// memorySocket delivers datagrams to the other nodes in memory.
type memorySocket struct{ from *member }

func (s memorySocket) Send(datagram []byte, to netip.AddrPort) error {
	if receiver, _ := s.from.fleet.reachableNode(s.from, to); receiver != nil {
		// time.AfterFunc under synctest can crash the race detector, so a goroutine sleeps instead.
		go func() {
			time.Sleep(peerDelay)
			receiver.receivePeerDatagram(datagram, s.from.address, wire.Arrival{})
		}()
	}
	return nil
}

// DroppedDatagrams returns 0: a memorySocket has no receive buffer that could be full.
func (s memorySocket) DroppedDatagrams() (uint64, error) { return 0, nil }

func (s memorySocket) Close() error { return nil }

// memoryTransport is an http.RoundTripper that serves fetches from the other nodes in memory.
type memoryTransport struct{ from *member }

var errPeerUnreachable = errors.New("peer not reachable")

func (t memoryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	_, handler := t.from.fleet.reachableNode(t.from, netip.MustParseAddrPort(request.URL.Host))
	if handler == nil {
		time.Sleep(fetchDialTimeout)
		return nil, errPeerUnreachable
	}
	time.Sleep(peerDelay)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}
