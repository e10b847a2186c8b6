// This file determines whether and how this process watches the store, records whether the store
// answers it, and with current data, and limits the pauses after failed calls.

package relay

import (
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/handshake"
)

// Intervals of watching the store.
const (
	// storeCheckInterval is the interval between checks whether this process has to watch the
	// store. A call that takes at least as long counts as one that waited for a change.
	storeCheckInterval = 250 * time.Millisecond
	// storeRefusalWindow is the time after a failed call for current data. During it, answers that
	// may be old do not show that the store is available, if other balancers receive current data.
	storeRefusalWindow = 10 * time.Second
	// storeServedWindow is how long the store counts as serving this process after any answer. It
	// exceeds the duration of a watch whose answer may be old, up to 5 s.
	storeServedWindow = 6 * time.Second
)

// maxRetryPause returns the longest pause between retries of a failed call. It is longer if
// other balancers receive current data and this one does not require it.
func maxRetryPause(policy handshake.WatchPolicy) time.Duration {
	if policy.OthersCurrent && policy.Mode != handshake.WatchCurrent {
		return maxStaleReadBackoff
	}
	return maxStoreBackoff
}

// watchPolicy returns whether and how this process watches the store, and logs changes of the mode.
func (n *node) watchPolicy() handshake.WatchPolicy {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	policy := n.computeWatchPolicy(now)
	if policy.Mode != n.watchMode {
		n.watchMode = policy.Mode
		n.log.WithFields(log.Fields{"reads": policy.Mode, "served": n.isStoreAvailable(now), "others_current": policy.OthersCurrent,
			"unfetched": n.hasFailedFetch(), "version": n.table.Version(), "peers": n.peers.CountReachable(now),
			"confirmed_age": n.confirmedAge(now)}).Info("store-watcher")
	}
	return policy
}

// computeWatchPolicy returns whether and how this process watches the store. The lock is held.
func (n *node) computeWatchPolicy(now time.Time) handshake.WatchPolicy {
	return n.peers.WatchPolicy(now, handshake.StoreState{
		Version: n.table.Version(), Served: n.isStoreAvailable(now), FetchFailed: n.hasFailedFetch()})
}

// stillWatchesStoreAfter waits for the pause, with jitter, and reports whether this process still
// has to watch the store. It returns false if the node stops.
func (n *node) stillWatchesStoreAfter(pause time.Duration) bool {
	return n.sleep(jitter(pause)) && n.watchPolicy().Mode != handshake.WatchNone
}

// recordStoreAnswer records that the store has answered. An answer that may be old does not count
// if a call that required current data has failed recently and other balancers receive current
// data.
func (n *node) recordStoreAnswer(mode handshake.WatchMode) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	if mode == handshake.WatchCurrent {
		n.confirmedAt = now
		n.peers.RecordStoreResult(now, true)
	}
	if mode == handshake.WatchCurrent || now.Sub(n.storeFailedAt) > storeRefusalWindow || !n.computeWatchPolicy(now).OthersCurrent {
		n.storeAnsweredAt = now
	}
}

// recordStoreFailure records that a store call has failed. It makes the next status urgent if other
// balancers count this one as a store watcher.
func (n *node) recordStoreFailure(mode handshake.WatchMode) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	if mode == handshake.WatchCurrent {
		n.storeFailedAt = now
		n.failedFetchVersion = 0 // one call per failed fetch, to limit the load of an outage
	}
	if n.hasFreshStoreAnswer(now) {
		n.peers.RecordStoreResult(now, false)
		n.statusUrgent = true
	}
	n.storeAnsweredAt = time.Time{}
	n.evacuationCall.stop() // its connection may be broken as well
}

// isStoreAvailable reports whether the store has answered this process recently. The
// answer may have been old. The lock is held.
func (n *node) isStoreAvailable(now time.Time) bool {
	return !n.storeAnsweredAt.IsZero() && now.Sub(n.storeAnsweredAt) <= storeServedWindow
}

// hasFreshStoreAnswer reports whether the store has recently answered with current data. The
// lock is held.
func (n *node) hasFreshStoreAnswer(now time.Time) bool {
	return n.isStoreAvailable(now) && !n.confirmedAt.IsZero() && now.Sub(n.confirmedAt) <= handshake.ConfirmationTTL
}

// confirmedAge returns the time since the store last answered this process with current data, 0 if
// it never has. The lock is held.
func (n *node) confirmedAge(now time.Time) time.Duration {
	if n.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(n.confirmedAt)
}
