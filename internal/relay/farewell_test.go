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

// healthAdapter is a store of records, and a back end that answers health checks.
type healthAdapter struct {
	recordsAdapter
	check instance.Check
}

func (a *healthAdapter) CheckHealth(context.Context, netip.AddrPort, string) instance.Check {
	return a.check
}

// newRecordedAgent returns an agent that knows no back end yet.
func newRecordedAgent(t *testing.T, adapter Adapter) *agent {
	t.Helper()
	a := &agent{node: newReadingNode(t, adapter), backend: newSighting(), nobody: newSighting(), began: time.Now()}
	a.flows = handshake.NewAgent(time.Now(), handshake.AgentOptions{Service: "lessons", FlowLifetime: time.Minute, ReportInterval: time.Second})
	a.decider = a
	return a
}

// TestRecordOfAMissingBackEndIsWithdrawn: its machine may be taken away without a word. Once a back end is there, the record is
// written anew, as the withdrawal may be done late.
func TestRecordOfAMissingBackEndIsWithdrawn(t *testing.T) {
	is := is.New(t)
	adapter := &healthAdapter{recordsAdapter: recordsAdapter{held: 7}}
	a := newRecordedAgent(t, adapter)
	a.nobody.note()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		a.keepRecord()
	}()
	waitUntil(t, func() bool { return adapter.made("withdraw") })
	is.Equal(adapter.withdrawn, uint64(7))
	a.backend.note()
	waitUntil(t, func() bool { return adapter.made("publish") })
	a.cancel() // it would look again: the removal may be done late
	<-kept
	is.Equal(adapter.calls, []string{"published", "withdraw", "publish"})
}

// made says whether the call was made.
func (a *recordsAdapter) made(name string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Contains(a.calls, name)
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("it did not happen in time")
		}
	}
}

// TestAgentWhoseBackEndHasEndedWithdraws: it has not seen the back end begin, but nothing listens at its address any
// more. Beside one that answers, however ill, flows may be open.
func TestAgentWhoseBackEndHasEndedWithdraws(t *testing.T) {
	for name, test := range map[string]struct {
		check     instance.Check
		withdraws bool
	}{
		"nothing listens":   {instance.Check{Refused: true}, true},
		"it does not say":   {instance.Check{}, false},
		"it says it leaves": {instance.Check{ID: "i-1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			adapter := &healthAdapter{recordsAdapter: recordsAdapter{held: 7}, check: test.check}
			a := newRecordedAgent(t, adapter)
			is.NoErr(a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 90, Leaving: true}))
			a.leaving = true
			a.sayFarewell()
			is.Equal(adapter.made("withdraw"), test.withdraws)
			is.Equal(a.ownStatus(time.Now()).HoldsNothing, test.withdraws)
		})
	}
}

// TestAgentBesideNobodyTellsNothing: until the back end gives a sign, or does not refuse a health check.
func TestAgentBesideNobodyTellsNothing(t *testing.T) {
	is := is.New(t)
	adapter := &healthAdapter{check: instance.Check{Refused: true}}
	a := newRecordedAgent(t, adapter)
	is.True(!a.tells(a.began))                        // before the first check
	is.True(a.tells(a.began.Add(2 * firstCheckTime))) // which takes long: a back end may hang there
	a.check("/health")
	is.True(!a.tells(a.began.Add(2 * firstCheckTime)))
	adapter.check = instance.Check{}
	a.check("/health")
	is.True(a.tells(a.began))
	adapter.check = instance.Check{Refused: true}
	a.check("/health")
	is.True(!a.tells(a.began))
	a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 1})
	is.True(a.tells(a.began))
}

// TestRecordIsLookedForAgainAfterItsRemoval: a removal without an answer may be done late.
func TestRecordIsLookedForAgainAfterItsRemoval(t *testing.T) {
	is := is.New(t)
	a := newRecordedAgent(t, &healthAdapter{})
	a.withdrawn.Store(true)
	again, err := a.publishOnce()
	is.NoErr(err)
	is.True(again)
}
