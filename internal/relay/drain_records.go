// This file keeps the drains that an agent acknowledges to its back end in the agent's record in the
// store, so that the agent's next start knows them. A drain is acknowledged only after it was
// stored. A start reads the record and passes its drains to the tracker of the back end.

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/instance"
)

// Limits of reading and writing the drains.
const (
	// drainAckTimeout is how long the acknowledgment of a drain waits for the store. Back ends
	// repeat a call that is not acknowledged within a second.
	drainAckTimeout = 800 * time.Millisecond
	// maxRecordBackoff limits the pause between calls for the record that fail or are not answered.
	// A back end that has to be confirmed by its reports meanwhile takes no longer.
	maxRecordBackoff = 2 * time.Second
)

// drainRecorder is the state of storing the drains. Its fields are guarded by the agent's lock,
// except due.
type drainRecorder struct {
	due        chan struct{} // signals that the drains may have to be written
	stored     uint64        // changes of instance.Tracker.Drains that the store holds
	updated    chan struct{} // closed when stored changes
	unreadable bool          // the stored record is malformed and has to be replaced
	outdated   bool          // the stored record has to be replaced even if no drain has changed
	// stoppedUntil is until when the record says that the agent was stopped as planned, by an
	// earlier start; zero: it does not.
	stoppedUntil time.Time
}

func newDrainRecorder() drainRecorder {
	return drainRecorder{due: make(chan struct{}, 1), updated: make(chan struct{})}
}

// requestDrainWrite makes maintainDrains store the drains if the store does not hold them.
func (a *agent) requestDrainWrite() {
	select {
	case a.drains.due <- struct{}{}:
	default: // already requested
	}
}

// maintainDrains stores the drains whenever they change.
func (a *agent) maintainDrains() {
	pause := backoff{}
	for {
		select {
		case <-a.context.Done():
			return
		case <-a.drains.due:
		}
		pause.reset()
		for !a.storeDrains() {
			if !a.sleep(pause.next(maxRecordBackoff)) {
				return
			}
		}
	}
}

// updateDrains drops drains that have no further use, requests a write if the store does not hold
// the drains, and ends the wait for those of earlier starts if these do not matter any more. The
// lock is held.
func (a *agent) updateDrains(now time.Time) {
	tracker := a.flows.Tracker()
	tracker.ExpireDrains(now)
	if a.drains.unreadable && tracker.AwaitsDrains() && tracker.State() == instance.Ready {
		tracker.RestoreDrains(now, nil) // reports have confirmed the back end
	}
	if !a.drains.stoppedUntil.IsZero() && now.After(a.drains.stoppedUntil) {
		a.drains.stoppedUntil = time.Time{}
		a.drains.outdated = true
	}
	if a.drainWriteDue() {
		a.requestDrainWrite()
	}
}

// drainsKnown reports whether the record may be replaced: its drains are known or cannot be read.
// The lock is held.
func (a *agent) drainsKnown() bool {
	return a.drains.unreadable || !a.flows.Tracker().AwaitsDrains()
}

// drainWriteDue reports whether the agent's record has to be written. The lock is held.
func (a *agent) drainWriteDue() bool {
	_, changes := a.flows.Tracker().Drains()
	return a.drainsKnown() && (a.drains.outdated || changes != a.drains.stored)
}

// acknowledgedDrains returns the drains that the agent's record has to contain.
func (a *agent) acknowledgedDrains() []instance.Drain {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	drains, _ := a.flows.Tracker().Drains()
	return drains
}

// readOwnRecord reads the current record of this agent. The result is the zero value if there is
// none, or if it is that of another machine with the same name.
func (a *agent) readOwnRecord(ctx context.Context) (StoredRecord, error) {
	startedAt := time.Now()
	found, err := a.adapter.ReadRecord(ctx, a.role, a.settings.Node.ID)
	a.metrics.observeStoreCall("record", startedAt, err)
	switch {
	case err != nil && fault.KindOf(err) == fault.NotFound:
		return StoredRecord{}, nil
	case err == nil && found.Address != a.settings.Node.PeerAddress:
		return StoredRecord{}, nil
	case err == nil:
		a.raiseRecordRevision(found.Revision)
	}
	return found, err
}

// restoreDrains reads the agent's record until the store answers, and passes the drains in it to the
// tracker. It returns false if the agent stops before. If the record is malformed, the tracker
// awaits the drains until updateDrains ends that, and the next write replaces the record.
func (a *agent) restoreDrains() bool {
	type answer struct {
		record    StoredRecord
		malformed error
	}
	found, answered := readUntilAnswered(a.node, func(ctx context.Context) (answer, error) {
		record, err := a.readOwnRecord(ctx)
		if err != nil && fault.KindOf(err) == fault.Invalid {
			return answer{malformed: err}, nil
		}
		return answer{record: record}, err
	})
	switch {
	case !answered:
		return false
	case found.malformed != nil:
		a.limitedLog.Log(log.ErrorLevel, "drains-unreadable", log.Fields{"error": found.malformed})
		a.mutex.Lock()
		a.drains.unreadable = true
		a.mutex.Unlock()
	default:
		a.applyStoredDrains(found.record)
	}
	return true
}

// applyStoredDrains passes the drains in the agent's record to the tracker, if that still awaits
// them. If the record has to be changed, it requests a write.
func (a *agent) applyStoredDrains(found StoredRecord) {
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tracker := a.flows.Tracker()
	if tracker.AwaitsDrains() {
		tracker.RestoreDrains(now, found.Drains)
	}
	if found.Stopped {
		a.drains.stoppedUntil = now.Add(a.settings.Flows.MaxLifetime)
	}
	drains, changes := tracker.Drains()
	a.limitedLog.Log(log.InfoLevel, "drains-restored", log.Fields{"drains": len(found.Drains), "kept": len(drains), "revision": found.Revision,
		"backend": tracker.Latest().ID, "state": tracker.State(), "stopped_as_planned": found.Stopped, "age": now.Sub(a.startedAt)})
	if slices.Equal(drains, found.Drains) && !found.Vacated {
		a.setStoredDrains(changes)
	} else {
		a.drains.outdated = true
		a.requestDrainWrite()
	}
	a.announceBackendState(now)
}

// setStoredDrains records that the store holds the drains as of the change, and wakes the calls that
// wait for it. The lock is held.
func (a *agent) setStoredDrains(changes uint64) {
	a.drains.stored, a.drains.outdated = changes, false
	close(a.drains.updated)
	a.drains.updated = make(chan struct{})
}

// currentRecord returns the record that the store has to hold. The lock is held.
func (a *agent) currentRecord() Record {
	record := a.ownRecord()
	record.Drains, _ = a.flows.Tracker().Drains()
	record.Stopped = a.shuttingDown || !a.drains.stoppedUntil.IsZero()
	return record
}

// recordStop writes to the agent's record that the agent is being stopped as planned, so that
// balancers do not take the next start of all processes for a failure of all of them.
func (a *agent) recordStop() {
	if a.recordRevision.Load() == 0 {
		return // without a record, the agent has seen no back end
	}
	a.mutex.Lock()
	record := a.currentRecord()
	a.mutex.Unlock()
	if err := a.replaceRecord(a.context, record); err != nil {
		a.limitedLog.Log(log.WarnLevel, "stop-unrecorded", log.Fields{"error": err})
	}
}

// storeDrains writes the drains to the agent's record unless the store holds them, and returns false
// if that failed.
func (a *agent) storeDrains() bool {
	if a.publishStopped.Load() {
		return true // deregister decides what the record contains
	}
	a.mutex.Lock()
	record := a.currentRecord()
	_, changes := a.flows.Tracker().Drains()
	due := a.drainWriteDue()
	a.mutex.Unlock()
	if !due {
		return true
	}
	startedAt := time.Now()
	err := a.replaceRecord(a.context, record)
	if err != nil {
		a.limitedLog.Log(log.WarnLevel, "drains-write-failed", log.Fields{"drains": len(record.Drains), "error": err, "took": time.Since(startedAt)})
		return false
	}
	a.limitedLog.Log(log.InfoLevel, "drains-stored", log.Fields{"drains": len(record.Drains), "revision": a.recordRevision.Load(), "took": time.Since(startedAt)})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.setStoredDrains(changes)
	return true
}

// replaceRecord writes the agent's record in place of the stored one. If that is not the one that
// the agent knows, for example because the answer to an earlier write was lost, it reads the record
// and tries once more.
func (a *agent) replaceRecord(ctx context.Context, record Record) error {
	err := a.replaceRevision(ctx, record, a.recordRevision.Load())
	kind := fault.KindOf(err)
	if err == nil || kind != fault.Conflict && kind != fault.NotFound {
		return err
	}
	startedAt := time.Now()
	found, err := a.adapter.ReadRecord(ctx, a.role, a.settings.Node.ID)
	a.metrics.observeStoreCall("record", startedAt, err)
	if err != nil && fault.KindOf(err) != fault.NotFound && fault.KindOf(err) != fault.Invalid {
		return err
	}
	switch {
	case err == nil && found.holds(record):
		a.raiseRecordRevision(found.Revision)
		return nil
	case found.Revision == 0 && a.publishStopped.Load() && !record.Vacated:
		return nil // the record has been withdrawn meanwhile
	}
	return a.replaceRevision(ctx, record, found.Revision)
}

// replaceRevision writes the agent's record in place of the one with the revision; 0: there is none.
func (a *agent) replaceRevision(ctx context.Context, record Record, revision uint64) error {
	call := "replace"
	if revision == 0 {
		call = "publish"
	}
	startedAt := time.Now()
	written, err := a.adapter.Replace(ctx, record, revision)
	a.metrics.observeStoreCall(call, startedAt, err)
	if err == nil {
		a.raiseRecordRevision(written)
	}
	return err
}

// awaitDrainStored waits until the store holds the tracker's drains as of the change, at most for
// drainAckTimeout. It returns an error of kind fault.Unavailable if it does not.
func (a *agent) awaitDrainStored(changes uint64) error {
	timeout := time.NewTimer(drainAckTimeout)
	defer timeout.Stop()
	for {
		a.mutex.Lock()
		stored, updated := a.drainsKnown() && a.drains.stored >= changes, a.drains.updated
		a.mutex.Unlock()
		if stored {
			return nil
		}
		a.requestDrainWrite()
		select {
		case <-updated:
		case <-timeout.C:
			return fault.New(fault.Unavailable, "the drain is in force, but the store has not recorded it within %v", drainAckTimeout)
		case <-a.context.Done():
			return fault.Wrap(fault.Unavailable, a.context.Err(), "the agent stops")
		}
	}
}

// acknowledgeDrain waits until a drain of the back end that has taken effect is stored, and logs the
// outcome. The caller acknowledges the drain only if no error is returned.
func (a *agent) acknowledgeDrain(kind backendMessageKind, incarnation instance.Incarnation, changes uint64) error {
	startedAt := time.Now()
	err := a.awaitDrainStored(changes)
	level, fields := log.InfoLevel, log.Fields{"said": kind, "backend": incarnation.ID, "start_time": incarnation.StartedAtText(), "took": time.Since(startedAt)}
	if err != nil {
		level, fields["error"] = log.WarnLevel, err
		a.metrics.unacknowledgedDrains.Inc()
	}
	a.limitedLog.Log(level, "backend-drain", fields)
	return err
}
