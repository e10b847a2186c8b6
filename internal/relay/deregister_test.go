// The tests in this file guard against records and announcements of agents without a back end,
// against a shutdown that leaves the record of a stopped back end in the store or withdraws that of
// a running one, and against the loss of a record to an earlier withdrawal.

package relay

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/instance"
)

// healthAdapter is an ownRecordAdapter that also returns check as the result of every health check.
type healthAdapter struct {
	ownRecordAdapter
	check instance.Check
}

func (a *healthAdapter) CheckHealth(context.Context, netip.AddrPort, string) instance.Check {
	return a.check
}

// newAgentWithoutBackend returns an agent that has not seen a back end and whose loops are not
// started.
func newAgentWithoutBackend(t *testing.T, adapter Adapter) *agent {
	t.Helper()
	a := &agent{node: newTestNode(t, adapter), backendSeen: newEvent(), backendAbsent: newEvent(), drains: newDrainRecorder(), handlingSince: time.Now()}
	a.flows = handshake.NewAgent(time.Now(), handshake.AgentOptions{
		Service: "lessons", FlowLifetime: time.Minute, ReportInterval: time.Second})
	a.decider = a
	return a
}

// TestRecordOfAgentWithoutBackEndIsWithdrawn guards against a stale record of an agent without a
// back end. When a back end appears, the agent publishes the record without reading it first,
// because the withdrawal may still take effect.
func TestRecordOfAgentWithoutBackEndIsWithdrawn(t *testing.T) {
	is := is.New(t)
	adapter := &healthAdapter{ownRecordAdapter: ownRecordAdapter{publishedRevision: 7}}
	a := newAgentWithoutBackend(t, adapter)
	a.backendAbsent.signal()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.maintainRecord()
	}()
	waitUntil(t, func() bool { return adapter.wasCalled("withdraw") })
	is.Equal(adapter.withdrawnRevision, uint64(7))
	a.backendSeen.signal()
	waitUntil(t, func() bool { return adapter.wasCalled("publish") })
	a.cancel() // ends the checks whether a late withdrawal has removed the record
	<-done
	is.Equal(adapter.calls, []string{"published", "record", "withdraw", "publish"})
}

// wasCalled reports whether the adapter has handled a call with the name.
func (a *ownRecordAdapter) wasCalled(name string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Contains(a.calls, name)
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10 s")
		}
	}
}

// TestAgentWithStoppedBackEndWithdrawsRecord checks that an agent that shuts down withdraws its
// record only if nothing listens at the address of its back end. A back end that accepts
// connections may have open flows even if it is unhealthy.
func TestAgentWithStoppedBackEndWithdrawsRecord(t *testing.T) {
	for name, test := range map[string]struct {
		check     instance.Check
		withdraws bool
	}{
		"nothing listens":  {instance.Check{Refused: true}, true},
		"no valid answer":  {instance.Check{}, false},
		"unhealthy answer": {instance.Check{ID: "i-1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			adapter := &healthAdapter{ownRecordAdapter: ownRecordAdapter{publishedRevision: 7}, check: test.check}
			a := newAgentWithoutBackend(t, recordAdapter{Adapter: adapter, records: &recordStore{}})
			startDrainMaintenance(a)
			is.NoErr(a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 90, Draining: true}))
			a.shuttingDown = true
			a.deregister()
			is.Equal(adapter.wasCalled("withdraw"), test.withdraws)
			is.Equal(a.ownStatus(time.Now()).Drained, test.withdraws)
		})
	}
}

// TestAgentWithoutBackEndDoesNotAnnounceItself checks that an agent does not announce itself while
// its health checks are refused and its back end has not reported. It waits for the first check for
// at most firstCheckTimeout.
func TestAgentWithoutBackEndDoesNotAnnounceItself(t *testing.T) {
	is := is.New(t)
	adapter := &healthAdapter{check: instance.Check{Refused: true}}
	a := newAgentWithoutBackend(t, adapter)
	is.True(!a.announces(a.handlingSince))                           // before the first check
	is.True(a.announces(a.handlingSince.Add(2 * firstCheckTimeout))) // a back end may exist
	a.check("/health")
	is.True(!a.announces(a.handlingSince.Add(2 * firstCheckTimeout)))
	adapter.check = instance.Check{}
	a.check("/health")
	is.True(a.announces(a.handlingSince))
	adapter.check = instance.Check{Refused: true}
	a.check("/health")
	is.True(!a.announces(a.handlingSince))
	a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 1})
	is.True(a.announces(a.handlingSince))
}

// TestRecordIsCheckedAgainAfterWithdrawal guards against the loss of the record to an earlier
// withdrawal that takes effect late.
func TestRecordIsCheckedAgainAfterWithdrawal(t *testing.T) {
	is := is.New(t)
	a := newAgentWithoutBackend(t, &healthAdapter{})
	a.withdrawalRequested.Store(true)
	recheck, err := a.ensurePublished()
	is.NoErr(err)
	is.True(recheck)
}
