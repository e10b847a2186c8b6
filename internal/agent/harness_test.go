// This file provides the helpers of the tests in this package: a fake of Coordination, a running
// agent with one service, and a wait for a condition. TestMain fails the tests if they leak
// goroutines.

package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second

// eventually fails the test if the condition does not become true within testTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
	}
}

// fakeCoordination serves a snapshot set by the test and records calls. All agents are alive.
type fakeCoordination struct {
	mutex                  sync.Mutex
	snapshot               *catalog.Snapshot
	subscribers            []func(*catalog.Snapshot)
	pulledRevision         atomic.Uint64 // latest requested revision
	announceShutdownCalled atomic.Bool
	shutdownCalled         atomic.Bool
}

func (f *fakeCoordination) Snapshot() *catalog.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.snapshot
}

func (f *fakeCoordination) Subscribe(callback func(*catalog.Snapshot)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.subscribers = append(f.subscribers, callback)
	callback(f.snapshot)
}

func (f *fakeCoordination) Pull(at catalog.Revision)          { f.pulledRevision.Store(uint64(at)) }
func (f *fakeCoordination) Alive(netip.AddrPort) bool         { return true }
func (f *fakeCoordination) SelfConfirmed() bool               { return true }
func (f *fakeCoordination) ConfirmedSince() time.Time         { return time.Time{} }
func (f *fakeCoordination) OfferedRevision() catalog.Revision { return 0 }
func (f *fakeCoordination) AnnounceShutdown()                 { f.announceShutdownCalled.Store(true) }
func (f *fakeCoordination) Shutdown(context.Context) error {
	f.shutdownCalled.Store(true)
	return nil
}
func (f *fakeCoordination) Close() {}

// putService adds or replaces a service and publishes the new snapshot.
func (f *fakeCoordination) putService(t *testing.T, service catalog.Service) {
	t.Helper()
	body, err := json.Marshal(service)
	if err != nil {
		t.Fatal(err)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	revision := f.snapshot.Revision() + 1
	next, err := f.snapshot.With(
		[]catalog.Object{{Name: service.Name, Revision: revision, Body: body}}, revision,
	)
	if err != nil {
		t.Fatal(err)
	}
	f.snapshot = next
	for _, callback := range f.subscribers {
		callback(next)
	}
}

// testAgent is a running agent with one service.
type testAgent struct {
	coordination *fakeCoordination
	address      netip.AddrPort
	service      catalog.Service
	stop         context.CancelFunc
	stopped      chan error
}

// startAgent starts an agent for a service with one back end at the address.
func startAgent(t *testing.T, protocol catalog.Protocol, backend net.Addr) *testAgent {
	t.Helper()
	agent := &testAgent{
		coordination: &fakeCoordination{snapshot: catalog.Empty()},
		address:      loopback.NewAddrPort(),
		stopped:      make(chan error, 1),
	}
	agent.service = catalog.Service{
		Name:     "lesson",
		Protocol: protocol,
		Address:  netip.MustParseAddrPort("192.0.2.1:443"),
		Shares:   []catalog.SiteShare{{Site: "old", Percent: 100}},
		Backends: []catalog.Backend{
			testBackend("b1", agent.address, netip.MustParseAddrPort(backend.String())),
		},
	}
	agent.coordination.putService(t, agent.service)
	var ctx context.Context
	ctx, agent.stop = context.WithCancel(context.Background())
	options := Options{
		DataAddress:  agent.address,
		IdleTimeout:  time.Minute,
		DrainLimit:   drainLimitFor(protocol),
		Coordination: agent.coordination,
		Log:          &log.Logger{Handler: discard.New()},
	}
	go func() {
		err := Serve(ctx, options)
		if err != nil {
			t.Errorf("agent: %v", err)
		}
		agent.stopped <- err
	}()
	return agent
}

// drainLimitFor returns a short limit for udp services, because their open flows keep the agent
// from draining before the limit.
func drainLimitFor(protocol catalog.Protocol) time.Duration {
	if protocol == catalog.ProtocolUDP {
		return time.Second
	}
	return testTimeout
}

func testBackend(id catalog.BackendID, agent, address netip.AddrPort) catalog.Backend {
	return catalog.Backend{
		ID: id, Site: "old", Zone: "z1", Agent: agent, Address: address,
		Weight: 1, Slots: 7, Connections: 100, State: catalog.BackendActive,
	}
}

// waitStopped checks that Serve returns nil and that the agent has announced its shutdown and sent
// the shutdown notice.
func (a *testAgent) waitStopped(t *testing.T) {
	t.Helper()
	is := is.New(t)
	select {
	case err := <-a.stopped:
		is.NoErr(err)
	case <-time.After(2 * testTimeout):
		t.Fatal("agent did not stop")
	}
	is.True(a.coordination.announceShutdownCalled.Load())
	is.True(a.coordination.shutdownCalled.Load())
}
