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
)

// recordsAdapter is a store of records, of which nothing else is asked.
type recordsAdapter struct {
	Adapter
	mutex     sync.Mutex
	held      uint64 // revision of the record as an old answer has it; 0: none
	fails     int    // calls that fail first
	withdrawn uint64
	calls     []string
}

func (a *recordsAdapter) called(name string) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.calls = append(a.calls, name)
	if a.fails > 0 {
		a.fails--
		return fault.New(fault.Unavailable, "refused")
	}
	return nil
}

func (a *recordsAdapter) Published(context.Context, Record) (uint64, error) {
	return a.held, a.called("published")
}

func (a *recordsAdapter) Publish(context.Context, Record) (uint64, error) {
	return 9, a.called("publish")
}

func (a *recordsAdapter) Withdraw(_ context.Context, _ Record, revision uint64) error {
	a.withdrawn = revision
	return a.called("withdraw")
}

// TestRecordOfAnEarlierStartIsWithdrawn: by an agent that has found no back end since.
func TestRecordOfAnEarlierStartIsWithdrawn(t *testing.T) {
	is := is.New(t)
	adapter := &recordsAdapter{held: 7}
	n := newReadingNode(t, adapter)
	n.withdraw()
	is.Equal(adapter.calls, []string{"published", "withdraw"})
	is.Equal(adapter.withdrawn, uint64(7))
	adapter.held, adapter.calls = 0, nil
	n.withdraw()
	is.Equal(adapter.calls, []string{"published"}) // there is none
}

// TestRecordIsWrittenOnlyIfItIsMissing: looking costs a tenth of writing.
func TestRecordIsWrittenOnlyIfItIsMissing(t *testing.T) {
	is := is.New(t)
	adapter := &recordsAdapter{held: 7}
	n := newReadingNode(t, adapter)
	found, err := n.publishOnce()
	is.NoErr(err)
	is.True(found) // it is looked for once more later
	is.Equal(n.recorded.Load(), uint64(7))
	is.Equal(adapter.calls, []string{"published"})

	adapter.held, adapter.calls, adapter.fails = 0, nil, 1
	_, err = n.publishOnce()
	is.Equal(fault.Of(err), fault.Unavailable)
	found, err = n.publishOnce()
	is.NoErr(err)
	is.True(!found)
	is.Equal(n.recorded.Load(), uint64(9))
	is.Equal(adapter.calls, []string{"published", "published", "publish"})
}

// TestAgentWithoutABackEndIsNotRecorded: its machine may be taken away at once, and the
// record would then keep balancers from telling that a flow is gone.
func TestAgentWithoutABackEndIsNotRecorded(t *testing.T) {
	is := is.New(t)
	adapter := &recordsAdapter{}
	a := newRecordedAgent(t, adapter)
	a.cancel()
	a.keepRecord()
	is.Equal(len(adapter.calls), 0)

	a = newRecordedAgent(t, adapter)
	a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3})
	a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 1})
	a.keepRecord()
	is.Equal(adapter.calls, []string{"published", "publish"})
}

// TestRecordsAreNotReadTwiceForOneQuestion: what was wanted while they were being read has
// been answered by then.
func TestRecordsAreNotReadTwiceForOneQuestion(t *testing.T) {
	is := is.New(t)
	n := newReadingNode(t, &recordsAdapter{})
	b := &balancer{node: n, recordsDue: make(chan struct{}, 1)}
	b.flows = handshake.NewBalancer(time.Now(), handshake.BalancerOptions{Random: rand.New(rand.NewPCG(1, 2))})
	b.flows.Record(time.Now(), time.Now(), []netip.AddrPort{})
	b.wantRecords()
	b.wantRecords() // does not block
	n.cancel()
	is.True(!b.awaitRecordsDue())
}
