// This file keeps in the agent's record in the store what the agent's next start and balancers have to
// know: the drains that it acknowledges to its back end, and that it was stopped as planned. A drain
// is acknowledged only after it was stored. A start reads the record and passes its drains to the
// tracker of the back end.

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

// errRecordClosed is returned for a write of the record after deregister has begun to write it.
var errRecordClosed = fault.New(fault.Canceled, "the record is no longer published")

// drainRecorder is the state of storing the record. Its fields are guarded by the agent's lock, except
// due.
type drainRecorder struct {
	due          chan struct{} // signals that the record may have to be written
	otherChanges uint64        // changes of the record besides those of its drains
	stored       uint64        // recordVersion that the store holds
	updated      chan struct{} // closed when stored changes
	unreadable   bool          // the stored record is malformed and has to be replaced
	// stoppedUntil is until when the record says that the agent was stopped as planned, by an
	// earlier start; zero: it does not.
	stoppedUntil time.Time
}

func newDrainRecorder() drainRecorder {
	return drainRecorder{due: make(chan struct{}, 1), updated: make(chan struct{})}
}

// requestRecordWrite makes maintainDrains store the record if the store does not hold it.
func (a *agent) requestRecordWrite() {
	select {
	case a.drains.due <- struct{}{}:
	default: // already requested
	}
}

// maintainDrains stores the record whenever its content changes.
func (a *agent) maintainDrains() {
	pause := backoff{}
	for {
		select {
		case <-a.context.Done():
			return
		case <-a.drains.due:
		}
		pause.reset()
		for !a.storeRecord() {
			if !a.sleep(pause.next(maxRecordBackoff)) {
				return
			}
		}
	}
}

// updateDrains drops what the record no longer has to contain, requests a write if the store does not
// hold the record, and ends the wait for the drains of a malformed one once reports have confirmed
// the back end. The lock is held.
func (a *agent) updateDrains(now time.Time) {
	tracker := a.flows.Tracker()
	tracker.ExpireDrains(now)
	if a.drains.unreadable && tracker.AwaitsDrains() && tracker.State() == instance.Ready {
		tracker.RestoreDrains(now, nil)
	}
	if !a.drains.stoppedUntil.IsZero() && now.After(a.drains.stoppedUntil) {
		a.drains.stoppedUntil = time.Time{}
		a.drains.otherChanges++
	}
	if a.recordWriteDue() {
		a.requestRecordWrite()
	}
}

// drainsKnown reports whether the record may be replaced: its drains are known or cannot be read.
// The lock is held.
func (a *agent) drainsKnown() bool {
	return a.drains.unreadable || !a.flows.Tracker().AwaitsDrains()
}

// recordVersion returns the number of changes of currentRecord. The lock is held.
func (a *agent) recordVersion() uint64 {
	_, changes := a.flows.Tracker().Drains()
	return changes + a.drains.otherChanges
}

// recordWriteDue reports whether the agent's record has to be written. The lock is held.
func (a *agent) recordWriteDue() bool {
	return a.drainsKnown() && a.recordVersion() != a.drains.stored
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
	current := a.currentRecord()
	a.limitedLog.Log(log.InfoLevel, "drains-restored", log.Fields{"drains": len(found.Drains), "kept": len(current.Drains), "revision": found.Revision,
		"backend": tracker.Latest().ID, "state": tracker.State(), "stopped_as_planned": found.Stopped, "age": now.Sub(a.startedAt)})
	if slices.Equal(current.Drains, found.Drains) && current.Stopped == found.Stopped && !found.Vacated {
		a.setStored(a.recordVersion())
	} else {
		a.drains.otherChanges++
		a.requestRecordWrite()
	}
	a.announceBackendState(now)
}

// setStored records that the store holds a version of the record, and wakes the calls that wait for
// it. The lock is held.
func (a *agent) setStored(version uint64) {
	a.drains.stored = version
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

// rewriteOwnRecord makes maintainDrains write the record, and waits for that. If other goroutines wrote
// it too, an earlier content could replace a later one.
func (a *agent) rewriteOwnRecord() (revision uint64, err error) {
	a.mutex.Lock()
	a.drains.otherChanges++
	version := a.recordVersion()
	a.mutex.Unlock()
	err = a.awaitStored(version)
	return a.recordRevision.Load(), err
}

// recordStop makes the agent's record say that the agent is stopped as planned, so that balancers do
// not take the next start of all processes for a failure of all of them. An agent without a record
// has seen no back end. The lock is held.
func (a *agent) recordStop() {
	if a.recordRevision.Load() == 0 {
		return
	}
	a.drains.otherChanges++
	a.requestRecordWrite()
}

// storeRecord writes the agent's record unless the store holds it, and returns false if that failed.
func (a *agent) storeRecord() bool {
	if a.publishStopped.Load() {
		return true // deregister decides what the record contains
	}
	a.mutex.Lock()
	record, version, due := a.currentRecord(), a.recordVersion(), a.recordWriteDue()
	a.mutex.Unlock()
	if !due {
		return true
	}
	startedAt := time.Now()
	err := a.replaceRecord(a.context, record)
	if err != nil {
		a.limitedLog.Log(log.WarnLevel, "drains-write-failed", log.Fields{"drains": len(record.Drains), "stopped": record.Stopped, "error": err, "took": time.Since(startedAt)})
		return false
	}
	a.limitedLog.Log(log.InfoLevel, "drains-stored", log.Fields{"drains": len(record.Drains), "stopped": record.Stopped, "revision": a.recordRevision.Load(), "took": time.Since(startedAt)})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.setStored(version)
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
	case a.publishStopped.Load() && !record.Vacated:
		return errRecordClosed
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

// awaitStored waits until the store holds the version of the record, at most for drainAckTimeout. It
// returns an error of kind fault.Unavailable if it does not.
func (a *agent) awaitStored(version uint64) error {
	timeout := time.NewTimer(drainAckTimeout)
	defer timeout.Stop()
	for {
		a.mutex.Lock()
		stored, updated := a.drainsKnown() && a.drains.stored >= version, a.drains.updated
		a.mutex.Unlock()
		if stored {
			return nil
		}
		a.requestRecordWrite()
		select {
		case <-updated:
		case <-timeout.C:
			return fault.New(fault.Unavailable, "the store has not recorded the change within %v", drainAckTimeout)
		case <-a.context.Done():
			return fault.Wrap(fault.Unavailable, a.context.Err(), "the agent stops")
		}
	}
}

// acknowledgeDrain waits until a drain of the back end that has taken effect is stored with the version
// of the record, and logs the outcome. The caller acknowledges the drain only if no error is returned.
func (a *agent) acknowledgeDrain(kind backendMessageKind, incarnation instance.Incarnation, version uint64) error {
	startedAt := time.Now()
	err := a.awaitStored(version)
	level, fields := log.InfoLevel, log.Fields{"said": kind, "backend": incarnation.ID, "start_time": incarnation.StartedAtText(), "took": time.Since(startedAt)}
	if err != nil {
		level, fields["error"] = log.WarnLevel, err
		a.metrics.unacknowledgedDrains.Inc()
	}
	a.limitedLog.Log(level, "backend-drain", fields)
	return err
}
