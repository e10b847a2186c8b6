// This file keeps the set of evacuated zones current: balancers that watch the store read it there,
// with backoff after failures, and all other processes receive it with the statuses of peers. Only
// a newer set is applied.

package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
)

// evacuationLoop keeps the evacuations in sync with the store while this process watches it.
func (n *node) evacuationLoop() {
	var retry backoff
	watcher := &evacuationWatcher{node: n}
	lastMode := handshake.WatchNone // mode of the last call
	for n.sleep(storeCheckInterval) && !n.hasConfiguration() {
	}
	for n.context.Err() == nil {
		policy := n.watchPolicy()
		if policy.Mode == handshake.WatchNone || !n.mayReadEvacuations() {
			watcher.reset()
			n.sleep(storeCheckInterval)
			continue
		}
		if policy.Mode > lastMode {
			watcher.reset() // earlier answers may be old
		}
		lastMode = policy.Mode
		startedAt := time.Now()
		call := n.newStoreCall(&n.evacuationCall, policy)
		changed, err := watcher.poll(call.context, policy.Mode)
		if call.canceled() {
			watcher.reset()
			continue
		}
		pause := retry.pauseAfter(policy.Mode, time.Since(startedAt), changed)
		if err != nil {
			watcher.reset() // the next call is a list, which returns sooner than a watch
			n.limitedLog.Log(log.WarnLevel, "evacuations-failed", log.Fields{"error": err, "kind": fault.KindOf(err), "after": watcher.latest.Revision()})
			pause = retry.next(maxRetryPause(policy))
		}
		n.pauseBeforeCall(pause, policy)
	}
}

// mayReadEvacuations reports whether evacuationLoop may call the store: the store has answered this
// process recently. Otherwise only watchLoop calls it.
func (n *node) mayReadEvacuations() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isStoreAvailable(time.Now())
}

// evacuationWatcher reads the evacuations from the store: first the whole set, then changes.
type evacuationWatcher struct {
	node   *node
	latest evacuation.Set // last set read
	known  bool           // whether a watch can start from latest
}

// reset makes the next poll list the whole set.
func (w *evacuationWatcher) reset() { w.known = false }

// poll makes one call, and lists the whole set if the revision was compacted. It reports
// whether the evacuated zones have changed. The error is that of the call, or of kind
// fault.Invalid.
func (w *evacuationWatcher) poll(ctx context.Context, mode handshake.WatchMode) (changed bool, err error) {
	allowStale := mode == handshake.WatchLatest
	next, err := w.readNext(ctx, allowStale)
	if fault.KindOf(err) == fault.Stale {
		w.reset() // the store answered: the revision was compacted
		next, err = w.list(ctx, allowStale)
	}
	if err != nil {
		return false, err
	}
	w.latest, w.known = next, true
	w.node.mutex.Lock()
	defer w.node.mutex.Unlock()
	return w.node.applyEvacuations(time.Now(), next, sourceStore), nil
}

// readNext returns the next set, by a list or a watch.
func (w *evacuationWatcher) readNext(ctx context.Context, allowStale bool) (evacuation.Set, error) {
	if !w.known {
		return w.list(ctx, allowStale)
	}
	startedAt := time.Now()
	changes, err := w.node.adapter.WatchEvacuations(ctx, w.latest.Revision(), allowStale)
	w.node.metrics.observeStoreCall(callName("watch-evacuations", allowStale), startedAt, err)
	if err := w.node.handleSkipped(entryEvacuation, err); err != nil {
		return evacuation.Set{}, err
	}
	return w.latest.With(changes)
}

func (w *evacuationWatcher) list(ctx context.Context, allowStale bool) (evacuation.Set, error) {
	startedAt := time.Now()
	set, err := w.node.adapter.Evacuations(ctx, allowStale)
	w.node.metrics.observeStoreCall(callName("list-evacuations", allowStale), startedAt, err)
	return set, w.node.handleSkipped(entryEvacuation, err)
}

// applyEvacuations applies a set from the store or from a peer if it is newer, and reports
// whether the evacuated zones have changed. A change makes the status urgent. source is for
// the log. The lock is held.
func (n *node) applyEvacuations(now time.Time, set evacuation.Set, source string) (changed bool) {
	previous := n.evacuations.Set()
	if !n.evacuations.Update(now, set) {
		return false
	}
	n.log.WithFields(log.Fields{"zones": set.Zones(), "previous": previous.Zones(), "revision": set.Revision(), "source": source}).Info("evacuations")
	n.statusUrgent = true
	n.decider.handleEvacuations(set)
	return true
}
