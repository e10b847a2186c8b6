// The tests in this file guard against a read of the first configuration that blocks on an
// unanswered call, retries after a refusal or does not end. The file also contains newTestNode and
// configurationAdapter for other tests.

package relay

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// configurationAdapter is a store that serves only reads of the configuration. The zero value
// answers all of them.
type configurationAdapter struct {
	Adapter
	unansweredReads atomic.Int64 // number of initial reads that are not answered
	calls           atomic.Int64
	err             error // returned by the answered reads
}

func (a *configurationAdapter) ReadConfiguration(ctx context.Context, _ bool) (Document, error) {
	if a.calls.Add(1) <= a.unansweredReads.Load() {
		<-ctx.Done()
		return Document{}, ctx.Err()
	}
	return Document{Revision: 7}, a.err
}

// newTestNode returns a balancer's node that uses the adapter and stops at the end of the test.
// testPeerAddress is the address of newTestNode's nodes.
var testPeerAddress = netip.MustParseAddrPort("127.0.0.1:1")

func newTestNode(t *testing.T, adapter Adapter) *node {
	t.Helper()
	s := settings.Settings{Node: settings.Node{ID: "balancer", PeerAddress: testPeerAddress}}
	n := newNode(s, adapter, presence.RoleBalancer, logging.New(io.Discard, "error"))
	t.Cleanup(func() {
		n.cancel()
		n.running.Wait()
	})
	return n
}

// TestFirstReadDoesNotWaitForUnansweredCall guards against blocking on reads that began during an
// outage of the store. The store does not answer them after its recovery either.
func TestFirstReadDoesNotWaitForUnansweredCall(t *testing.T) {
	is := is.New(t)
	adapter := &configurationAdapter{}
	adapter.unansweredReads.Store(2)
	n := newTestNode(t, adapter)
	document, err := n.firstDocument(&storeHealth{node: n}, false)
	is.NoErr(err)
	is.Equal(document.Revision, uint64(7))
	is.Equal(adapter.calls.Load(), int64(3))
}

// TestFirstReadReturnsRefusal checks that a refusal by the store is returned without a retry, so
// that the caller applies its backoff.
func TestFirstReadReturnsRefusal(t *testing.T) {
	is := is.New(t)
	refusal := errors.New("429 Too Many Requests")
	adapter := &configurationAdapter{err: refusal}
	n := newTestNode(t, adapter)
	_, err := n.firstDocument(&storeHealth{node: n}, false)
	is.True(errors.Is(err, refusal))
	is.Equal(adapter.calls.Load(), int64(1))
}

// TestFirstReadEndsWhenPeerSendsConfiguration checks that the read of the first configuration ends
// when a peer has sent one or the node stops.
func TestFirstReadEndsWhenPeerSendsConfiguration(t *testing.T) {
	is := is.New(t)
	adapter := &configurationAdapter{}
	adapter.unansweredReads.Store(1 << 30)
	n := newTestNode(t, adapter)
	table, err := routing.New(routing.Content{Version: 1})
	is.NoErr(err)
	time.AfterFunc(10*time.Millisecond, func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.table = table
	})
	_, err = n.firstDocument(&storeHealth{node: n}, false)
	is.True(err != nil)

	n = newTestNode(t, adapter)
	time.AfterFunc(10*time.Millisecond, n.cancel)
	_, err = n.firstDocument(&storeHealth{node: n}, false)
	is.True(errors.Is(err, context.Canceled))
}
