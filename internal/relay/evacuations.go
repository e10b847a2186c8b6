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

// evacuationLoop keeps the evacuations in step with the store while this balancer reads it.
func (b *balancer) evacuationLoop() {
	var retry backoff
	reader := &evacuationReader{node: b.node}
	for b.sleep(readerLook) && !b.holdsConfiguration() {
	}
	for b.context.Err() == nil {
		duty := b.storeDuty()
		if duty.Reading == handshake.ReadsNothing || !b.storeServes() {
			reader.forget()
			b.sleep(readerLook)
			continue
		}
		begun := time.Now()
		err := reader.step(duty.Reading)
		switch {
		case err != nil:
			b.limited.Log(log.WarnLevel, "evacuations-failed", log.Fields{"error": err, "kind": fault.Of(err), "after": reader.latest.Revision()})
			b.sleep(retry.next(mostPause(duty)))
		case time.Since(begun) < evacuationPause:
			b.sleep(evacuationPause)
			retry.reset()
		default:
			retry.reset()
		}
	}
}

// evacuationPause is the time between two calls that are answered at once: a store whose old
// answers lag behind the revision need not wait for one, and changes may come in quick succession. It
// is far below the second within which an evacuation is to be in force.
const evacuationPause = 100 * time.Millisecond

// storeServes says whether the store has answered this process of late. While it does not, only the loop that
// watches the configuration calls it.
func (n *node) storeServes() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.storeFresh(time.Now())
}

// evacuationReader reads the evacuations from the store: first all of them, then what changes.
type evacuationReader struct {
	node   *node
	latest evacuation.Set // as read
	known  bool           // latest can be watched from
}

// forget lets the next step begin anew.
func (r *evacuationReader) forget() { r.known = false }

// step makes one call. Its error is that of the call, or of kind fault.Invalid.
func (r *evacuationReader) step(reading handshake.Reading) error {
	next, err := r.read(reading)
	switch {
	case fault.Of(err) == fault.Stale:
		r.forget() // the store has answered: its history is gone
		next, err = r.list(reading == handshake.ReadsLatest)
	case err != nil:
		return err
	}
	if err != nil {
		return err
	}
	r.latest, r.known = next, true
	r.node.mutex.Lock()
	defer r.node.mutex.Unlock()
	r.node.takeEvacuations(time.Now(), next, "store")
	return nil
}

// read returns the next set. The first list may be old, which costs less: the watch from
// there brings at once what has changed since.
func (r *evacuationReader) read(reading handshake.Reading) (evacuation.Set, error) {
	if !r.known {
		return r.list(true)
	}
	mayBeOld := reading == handshake.ReadsLatest
	ctx, cancel := r.node.watchContext()
	defer cancel()
	begun := time.Now()
	changes, err := r.node.adapter.WatchEvacuations(ctx, r.latest.Revision(), mayBeOld)
	r.node.metrics.called(callName("watch-evacuations", mayBeOld), begun, err)
	if err != nil {
		return evacuation.Set{}, err
	}
	return r.latest.With(changes)
}

// watchContext returns the context of a watch of evacuations. It ends when the store refuses or does not answer the
// shorter watch of the configuration.
func (n *node) watchContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(n.context)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endWatch = cancel
	return ctx, cancel
}

func (r *evacuationReader) list(mayBeOld bool) (evacuation.Set, error) {
	begun := time.Now()
	set, err := r.node.adapter.Evacuations(r.node.context, mayBeOld)
	r.node.metrics.called(callName("list-evacuations", mayBeOld), begun, err)
	return set, err
}

// takeEvacuations takes in a set that was read or told; source says where it came from, for the
// log. What changes is told to others at once. The lock is held.
func (n *node) takeEvacuations(now time.Time, set evacuation.Set, source string) {
	before := n.evacuations.Set()
	if !n.evacuations.Take(now, set) {
		return
	}
	n.log.WithFields(log.Fields{"zones": set.Zones(), "previous": before.Zones(), "revision": set.Revision(), "source": source}).Info("evacuations")
	n.urgent = true
	n.decider.evacuated(set)
}
