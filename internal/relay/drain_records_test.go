// The tests in this file guard against drains that are acknowledged without being stored, lost at a
// restart of the agent, overwritten or kept for ever in its record, and against a host that waits
// for a store that does not answer.

package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/instance"
)

// startDrainMaintenance starts maintainDrains, which ends with the test.
func startDrainMaintenance(a *agent) { a.spawn(a.maintainDrains) }

// startAgentWith returns an agent with a new start of its process, before the same store.
func startAgentWith(t *testing.T, store *recordStore) *agent {
	t.Helper()
	return startAgentBefore(t, recordAdapter{Adapter: &ownRecordAdapter{}, records: store})
}

func startAgentBefore(t *testing.T, adapter Adapter) *agent {
	t.Helper()
	a := newAgentWithoutBackend(t, adapter)
	a.flows.Tracker().AwaitDrains()
	a.rewriteRecord = a.rewriteOwnRecord
	startDrainMaintenance(a)
	a.spawn(a.maintainRecord)
	return a
}

// startRestoredAgent returns an agent that has seen a back end and knows the drains of earlier starts.
func startRestoredAgent(t *testing.T, adapter Adapter) *agent {
	t.Helper()
	a := startAgentBefore(t, adapter)
	a.backendSeen.signal()
	a.awaitRestored(t)
	return a
}

// checked passes a healthy answer of the back end with the id to the agent and returns the state.
func (a *agent) checked(id instance.ID) instance.State {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tracker := a.flows.Tracker()
	tracker.Checked(time.Now(), instance.Check{Healthy: true, ID: id})
	a.backendSeen.signal()
	return tracker.State()
}

// awaitRestored waits until the agent knows the drains of earlier starts.
func (a *agent) awaitRestored(t *testing.T) {
	t.Helper()
	waitUntil(t, func() bool {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return !a.flows.Tracker().AwaitsDrains()
	})
}

// TestDrainIsStoredBeforeItIsAcknowledged guards against the acknowledgment of a drain that the next
// start of the agent does not know of.
func TestDrainIsStoredBeforeItIsAcknowledged(t *testing.T) {
	for name, fail := range map[string]func(*recordStore){
		"store answers":     func(*recordStore) {},
		"answer is lost":    func(s *recordStore) { s.loseAnswers = 1 },
		"record of another": func(s *recordStore) { s.revision, s.stored = 7, StoredRecord{Revision: 7} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &recordStore{}
			fail(store)
			a := startAgentWith(t, store)
			is.NoErr(a.Remove(instance.Incarnation{ID: "i-1"}))
			is.Equal(store.drains(), []instance.Drain{{Incarnation: instance.Incarnation{ID: "i-1"}}})
			writes := store.writes
			is.NoErr(a.Remove(instance.Incarnation{ID: "i-1"}))
			is.Equal(store.writes, writes) // a repetition needs no call

			next := startAgentWith(t, store)
			next.awaitRestored(t)
			is.Equal(next.checked("i-1"), instance.Absent)
			is.Equal(next.checked("i-2"), instance.Ready)
		})
	}
}

// TestDrainIsNotAcknowledgedWhileStoreIsDown guards against the acknowledgment of a drain that is
// not stored, and against one that is not acknowledged although it was stored later.
func TestDrainIsNotAcknowledgedWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	store := &recordStore{}
	a := startAgentWith(t, store)
	is.NoErr(a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 1}))
	a.awaitRestored(t)
	is.Equal(a.checked("i-1"), instance.Ready)
	store.set(func(s *recordStore) { s.down = true })
	report := instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 2, Draining: true}
	is.Equal(fault.KindOf(a.Report(report)), fault.Unavailable)
	is.Equal(a.flows.Tracker().State(), instance.Draining) // it applies at once
	store.set(func(s *recordStore) { s.down = false })
	waitUntil(t, func() bool {
		report.Sequence++
		return a.Report(report) == nil
	})
	is.Equal(len(store.drains()), 1)
}

// TestConcurrentWriteKeepsDrains guards against drains that are lost to the publication of the
// record by the same agent.
func TestConcurrentWriteKeepsDrains(t *testing.T) {
	is := is.New(t)
	store := &recordStore{}
	a := startRestoredAgent(t, recordAdapter{Adapter: &ownRecordAdapter{}, records: store})
	_, err := store.replace(a.ownRecord(), store.stored.Revision) // the agent does not know the revision
	is.NoErr(err)
	is.NoErr(a.Remove(instance.Incarnation{ID: "i-1"}))
	is.Equal(len(store.drains()), 1)
}

// TestDrainsAreClearedFromRecord guards against drains that stay in the store after their
// incarnation has ended.
func TestDrainsAreClearedFromRecord(t *testing.T) {
	is := is.New(t)
	store := &recordStore{}
	is.NoErr(startAgentWith(t, store).Remove(instance.Incarnation{ID: "i-1"}))
	a := startAgentWith(t, store)
	a.awaitRestored(t)
	now := time.Now()
	for range 4 { // no instance runs
		now = now.Add(instance.CheckInterval)
		a.mutex.Lock()
		a.flows.Tracker().Checked(now, instance.Check{Refused: true})
		a.mutex.Unlock()
	}
	a.mutex.Lock()
	a.tick(time.Now())
	a.mutex.Unlock()
	waitUntil(t, func() bool { return len(store.drains()) == 0 })
	is.Equal(a.checked("i-1"), instance.Ready) // a later incarnation with the same id
}

// TestShutdownKeepsDrains guards against a planned restart of an agent that loses the drain of its
// running back end, against a vacated record that is not published again, and against one that
// remains after the back end has stopped.
func TestShutdownKeepsDrains(t *testing.T) {
	is := is.New(t)
	store := &recordStore{}
	adapter := &healthAdapter{check: instance.Check{Healthy: true, ID: "i-1"}}
	start := func() *agent { return startRestoredAgent(t, recordAdapter{Adapter: adapter, records: store}) }
	a := start()
	is.NoErr(a.Report(instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: 1}))
	a.checked("i-1")
	is.NoErr(a.Remove(instance.Incarnation{ID: "i-1"}))
	is.True(a.vacateRecord())
	is.True(store.stored.Vacated)
	is.Equal(len(store.drains()), 1)

	next := start()
	is.Equal(next.checked("i-1"), instance.Absent)
	waitUntil(t, func() bool {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		return !store.stored.Vacated
	})
	is.Equal(len(store.drains()), 1)

	adapter.check = instance.Check{Refused: true} // the back end has stopped
	next.deregister()
	is.True(adapter.wasCalled("withdraw"))
}

// TestMalformedRecordDoesNotHoldBackEndForEver guards against a back end that needs more reports
// than others for as long as the agent runs, because the agent's record was malformed at its start.
func TestMalformedRecordDoesNotHoldBackEndForEver(t *testing.T) {
	is := is.New(t)
	store := &recordStore{revision: 7, stored: StoredRecord{Revision: 7}, malformed: true}
	a := startAgentWith(t, store)
	updateDrains := func() (awaits bool) {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.updateDrains(time.Now())
		return a.flows.Tracker().AwaitsDrains()
	}
	is.True(updateDrains())
	is.Equal(a.checked("i-1"), instance.Absent)
	now := time.Now()
	for sequence := range uint64(3) {
		a.mutex.Lock()
		_, err := a.flows.Tracker().Report(now.Add(time.Duration(sequence)*time.Second), instance.Report{ID: "i-1", Service: "lessons", Slots: 3, Sequence: sequence + 1})
		a.mutex.Unlock()
		is.NoErr(err)
	}
	is.Equal(a.checked("i-1"), instance.Ready)
	waitUntil(t, func() bool { return !updateDrains() })
	is.NoErr(a.Remove(instance.Incarnation{ID: "i-1"})) // replaces the malformed record
	is.Equal(len(store.drains()), 1)
}

// TestRestoringDoesNotWaitForUnansweredCall guards against a back end that waits for reads that began
// during an outage of the store, which answers none of them after its recovery.
func TestRestoringDoesNotWaitForUnansweredCall(t *testing.T) {
	is := is.New(t)
	store := &recordStore{}
	is.NoErr(startAgentWith(t, store).Remove(instance.Incarnation{ID: "i-1"}))
	store.set(func(s *recordStore) { s.unanswered = 1 }) // until the test ends
	a := startAgentWith(t, store)
	waitUntil(t, func() bool { return store.remainingUnanswered() == 0 })
	a.mutex.Lock()
	a.recordAnnouncedVersion(2) // the store answers another process
	a.mutex.Unlock()
	a.awaitRestored(t)
	is.Equal(a.checked("i-1"), instance.Absent)
}

// TestPlannedStopStaysOnRecord guards against a planned stop that is not recorded, that the next
// start removes too early, or that stays for ever.
func TestPlannedStopStaysOnRecord(t *testing.T) {
	is := is.New(t)
	store := &recordStore{}
	a := startRestoredAgent(t, recordAdapter{Adapter: &ownRecordAdapter{}, records: store})
	a.mutex.Lock()
	a.shuttingDown = true
	a.recordStop()
	version := a.recordVersion()
	a.mutex.Unlock()
	is.NoErr(a.awaitStored(version))
	is.True(store.record().Stopped)

	next := startAgentWith(t, store)
	next.awaitRestored(t)
	is.NoErr(next.Remove(instance.Incarnation{ID: "i-1"})) // another write of the record
	is.True(store.record().Stopped)
	is.Equal(len(store.record().Drains), 1)
	update := func(now time.Time) {
		next.mutex.Lock()
		defer next.mutex.Unlock()
		next.updateDrains(now)
	}
	update(time.Now())
	is.True(store.record().Stopped)
	update(time.Now().Add(next.settings.Flows.MaxLifetime + time.Second))
	waitUntil(t, func() bool { return !store.record().Stopped })
	is.Equal(len(store.record().Drains), 1)
}

// TestWithdrawnRecordIsNotCreatedAgain guards against the record of an agent that has ended, left by a
// write that was on its way when the record was withdrawn.
func TestWithdrawnRecordIsNotCreatedAgain(t *testing.T) {
	is := is.New(t)
	store := &recordStore{}
	a := startRestoredAgent(t, recordAdapter{Adapter: &ownRecordAdapter{}, records: store})
	a.publishStopped.Store(true)
	store.set(func(s *recordStore) { s.stored = StoredRecord{} }) // withdrawn
	a.mutex.Lock()
	record := a.currentRecord()
	a.mutex.Unlock()
	is.Equal(fault.KindOf(a.replaceRecord(a.context, record)), fault.Canceled)
	is.Equal(store.record().Address, Record{}.Address)
}

// TestRecordOfAnotherMachineIsReplaced guards against an agent that stays without a record because
// another machine with its name has left one.
func TestRecordOfAnotherMachineIsReplaced(t *testing.T) {
	is := is.New(t)
	store := &recordStore{revision: 7, stored: StoredRecord{Record: Record{Address: netip.MustParseAddrPort("10.9.9.9:1")}, Revision: 7}}
	a := startAgentWith(t, store)
	a.backendSeen.signal()
	waitUntil(t, func() bool { return store.record().Address == testPeerAddress })
	is.True(!a.flows.Tracker().AwaitsDrains())
}
