// The tests in this file guard against errors in the store's records of processes: a record that a
// withdrawal leaves in the store, one that is missing after a failed call, one of an agent without
// a back end, a write of a record that the store already has, and a needless read of the agents'
// records.

package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/presence"
)

// ownRecordAdapter is an Adapter that implements only the calls with which a process reads, writes
// and withdraws its own record.
type ownRecordAdapter struct {
	Adapter
	mutex             sync.Mutex
	publishedRevision uint64   // revision that RecordRevision returns; 0: no record
	remainingFailures int      // number of further calls that fail
	withdrawnRevision uint64   // revision passed to Withdraw
	calls             []string // names of the handled calls, as in metrics (RecordRevision: published)
}

// handleCall records a call and returns its error.
func (a *ownRecordAdapter) handleCall(name string) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.calls = append(a.calls, name)
	if a.remainingFailures > 0 {
		a.remainingFailures--
		return fault.New(fault.Unavailable, "store refused the call")
	}
	return nil
}

func (a *ownRecordAdapter) RecordRevision(context.Context, Record) (uint64, error) {
	return a.publishedRevision, a.handleCall("published")
}

func (a *ownRecordAdapter) Publish(context.Context, Record) (uint64, error) {
	return 9, a.handleCall("publish")
}

func (a *ownRecordAdapter) ReadRecord(context.Context, presence.Role, string) (StoredRecord, error) {
	return StoredRecord{Record: Record{Address: testPeerAddress}, Revision: a.publishedRevision}, a.handleCall("record")
}

func (a *ownRecordAdapter) Replace(context.Context, Record, uint64) (uint64, error) {
	return 9, a.handleCall("publish")
}

func (a *ownRecordAdapter) Withdraw(_ context.Context, _ Record, revision uint64) error {
	a.withdrawnRevision = revision
	return a.handleCall("withdraw")
}

// TestRecordOfPreviousIncarnationIsWithdrawn guards against a withdrawal that leaves the record of
// a previous incarnation of the process in the store.
func TestRecordOfPreviousIncarnationIsWithdrawn(t *testing.T) {
	is := is.New(t)
	adapter := &ownRecordAdapter{publishedRevision: 7}
	n := newTestNode(t, adapter)
	n.withdraw()
	is.Equal(adapter.calls, []string{"published", "withdraw"})
	is.Equal(adapter.withdrawnRevision, uint64(7))
	adapter.publishedRevision, adapter.calls = 0, nil
	n.withdraw()
	is.Equal(adapter.calls, []string{"published"}) // there is no record to withdraw
}

// TestRecordIsWrittenOnlyIfItIsMissing guards against a missing record after a failed call, and
// against writes of a record that the store already has. Reads of the store cost less than writes.
func TestRecordIsWrittenOnlyIfItIsMissing(t *testing.T) {
	is := is.New(t)
	adapter := &ownRecordAdapter{publishedRevision: 7}
	n := newTestNode(t, adapter)
	found, err := n.ensurePublished()
	is.NoErr(err)
	is.True(found) // the caller checks the record again later
	is.Equal(n.recordRevision.Load(), uint64(7))
	is.Equal(adapter.calls, []string{"published"})

	adapter.publishedRevision, adapter.calls, adapter.remainingFailures = 0, nil, 1
	_, err = n.ensurePublished()
	is.Equal(fault.KindOf(err), fault.Unavailable)
	found, err = n.ensurePublished()
	is.NoErr(err)
	is.True(!found)
	is.Equal(n.recordRevision.Load(), uint64(9))
	is.Equal(adapter.calls, []string{"published", "published", "publish"})
}

// TestAgentWithoutABackEndIsNotRecorded guards against a record of an agent without a back end. The
// record would stay in the store after the removal of the agent's machine and prevent balancers
// from reporting flows as closed.
func TestAgentWithoutABackEndIsNotRecorded(t *testing.T) {
	is := is.New(t)
	adapter := &ownRecordAdapter{}
	a := newAgentWithoutBackend(t, adapter)
	a.cancel()
	a.maintainRecord()
	is.Equal(len(adapter.calls), 0)

	a = newAgentWithoutBackend(t, adapter)
	a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3})
	a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 1})
	a.maintainRecord()
	is.Equal(adapter.calls, []string{"published", "publish"})
}

// TestRecordsAreNotReadTwiceForOneRequest guards against a balancer that reads the agents' records
// again because of a request for a read that its previous read has already satisfied.
func TestRecordsAreNotReadTwiceForOneRequest(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, &ownRecordAdapter{})
	b := &balancer{node: n, recordsDue: make(chan struct{}, 1)}
	b.flows = handshake.NewBalancer(time.Now(), handshake.BalancerOptions{Random: rand.New(rand.NewPCG(1, 2))})
	b.flows.SetRecords(time.Now(), time.Now(), []netip.AddrPort{})
	b.requestRecords()
	b.requestRecords() // does not block
	n.cancel()
	is.True(!b.awaitRecordsDue())
}
