package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
)

// Which zones are evacuated. The balancers that read the configuration from the store read the
// evacuations too, by a watch of their own; all other processes hear of them with the
// statuses, which carry the newest set. A change is told at once.

// evacuationLoop keeps the evacuations in step with the store while this process reads it.
func (n *node) evacuationLoop() {
	var retry backoff
	reader := &evacuationReader{node: n}
	latest := handshake.ReadsNothing // how the store was read last
	for n.sleep(readerLook) && !n.holdsConfiguration() {
	}
	for n.context.Err() == nil {
		duty := n.storeDuty()
		if duty.Reading == handshake.ReadsNothing || !n.storeServes() {
			reader.forget()
			n.sleep(readerLook)
			continue
		}
		if duty.Reading > latest {
			reader.forget() // what was read until now may be old
		}
		latest = duty.Reading
		begun := time.Now()
		wait := n.beginWait(&n.evacuationWait, duty)
		news, err := reader.step(wait.context, duty.Reading)
		if wait.ended() {
			reader.forget()
			continue
		}
		pause := retry.pauseAfter(duty.Reading, time.Since(begun), news)
		if err != nil {
			reader.forget() // the next call is a short one
			n.limited.Log(log.WarnLevel, "evacuations-failed", log.Fields{"error": err, "kind": fault.Of(err), "after": reader.latest.Revision()})
			pause = retry.next(mostPause(duty))
		}
		n.pauseReading(pause, duty)
	}
}

// storeServes says whether the store has answered this process of late. While it does not, only the loop that
// watches the configuration calls it.
func (n *node) storeServes() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.storeServed(time.Now())
}

// evacuationReader reads the evacuations from the store: first all of them, then what changes.
type evacuationReader struct {
	node   *node
	latest evacuation.Set // as read
	known  bool           // latest can be watched from
}

// forget lets the next step begin anew.
func (r *evacuationReader) forget() { r.known = false }

// step makes one call, and a second one where the history is gone. It says whether other zones are evacuated now. Its
// error is that of the call, or of kind fault.Invalid.
func (r *evacuationReader) step(ctx context.Context, reading handshake.Reading) (news bool, err error) {
	mayBeOld := reading == handshake.ReadsLatest
	next, err := r.read(ctx, mayBeOld)
	if fault.Of(err) == fault.Stale {
		r.forget() // the store has answered: its history is gone
		next, err = r.list(ctx, mayBeOld)
	}
	if err != nil {
		return false, err
	}
	r.latest, r.known = next, true
	r.node.mutex.Lock()
	defer r.node.mutex.Unlock()
	return r.node.takeEvacuations(time.Now(), next, sourceStore), nil
}

// read returns the next set.
func (r *evacuationReader) read(ctx context.Context, mayBeOld bool) (evacuation.Set, error) {
	if !r.known {
		return r.list(ctx, mayBeOld)
	}
	begun := time.Now()
	changes, err := r.node.adapter.WatchEvacuations(ctx, r.latest.Revision(), mayBeOld)
	r.node.metrics.called(callName("watch-evacuations", mayBeOld), begun, err)
	if err := r.node.passOver(entryEvacuation, err); err != nil {
		return evacuation.Set{}, err
	}
	return r.latest.With(changes)
}

func (r *evacuationReader) list(ctx context.Context, mayBeOld bool) (evacuation.Set, error) {
	begun := time.Now()
	set, err := r.node.adapter.Evacuations(ctx, mayBeOld)
	r.node.metrics.called(callName("list-evacuations", mayBeOld), begun, err)
	return set, r.node.passOver(entryEvacuation, err)
}

// takeEvacuations takes in a set that was read or told; source says where it came from, for the
// log. What changes is told to others at once. It says whether other zones are evacuated now. The lock is held.
func (n *node) takeEvacuations(now time.Time, set evacuation.Set, source string) (changed bool) {
	before := n.evacuations.Set()
	if !n.evacuations.Take(now, set) {
		return false
	}
	n.log.WithFields(log.Fields{"zones": set.Zones(), "previous": before.Zones(), "revision": set.Revision(), "source": source}).Info("evacuations")
	n.urgent = true
	n.decider.evacuated(set)
	return true
}
