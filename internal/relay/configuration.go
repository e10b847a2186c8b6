// This file reads the configuration from the store, applies it, and watches it for changes,
// as long as the watch policy requires this process to watch the store. It sets the timeouts of
// watches, retries with backoff after failures, and logs outages of the store, a missing
// configuration and compacted revisions.

package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/routing"
)

// Server-side timeouts of a watch of the configuration. A broken connection is detected only when
// the watch times out, so the timeout of watches that require current data is short. It is
// randomized for each call, since each change ends the watches of all processes at the same time.
const (
	currentWatchTimeout = time.Second
	currentWatchJitter  = currentWatchTimeout / 4 // maximum random reduction of currentWatchTimeout
	staleWatchTimeout   = 4 * time.Second         // of watches that accept stale answers (WatchLatest)
)

func watchTimeout(mode handshake.WatchMode) time.Duration {
	if mode == handshake.WatchCurrent {
		return currentWatchTimeout - rand.N(currentWatchJitter)
	}
	return staleWatchTimeout
}

// storeHealth logs outages of the store and their end.
type storeHealth struct {
	node   *node
	lostAt time.Time // start of the outage; zero if there is none
}

// recordOutcome records the error of a call, nil if the store answered, and logs the start and the
// end of an outage.
func (h *storeHealth) recordOutcome(err error) {
	switch {
	case err == nil && !h.lostAt.IsZero():
		h.node.log.WithField("outage", time.Since(h.lostAt)).Info("store-recovered")
		h.lostAt = time.Time{}
	case err != nil && h.lostAt.IsZero() && h.node.context.Err() == nil:
		h.lostAt = time.Now()
		h.node.log.WithError(err).WithField("kind", fault.KindOf(err)).Warn("store-lost")
	}
}

// firstReadDelay is the mean delay before the first call to the store, during which a process
// may receive the configuration from its peers and determine its rank among the store watchers.
const firstReadDelay = 60 * time.Millisecond

// watchLoop reads the configuration and watches it for changes, while the watch policy requires it,
// until the node stops.
func (n *node) watchLoop() {
	health := &storeHealth{node: n}
	var retry backoff
	var revision uint64             // start of the next watch; 0 if the next call is a read
	lastMode := handshake.WatchNone // mode of the last call
	n.sleep(jitter(firstReadDelay))
	for n.context.Err() == nil {
		policy := n.watchPolicy()
		if policy.Mode == handshake.WatchNone {
			revision = 0
			n.sleep(storeCheckInterval)
			continue
		}
		if policy.Delay > 0 && !n.stillWatchesStoreAfter(policy.Delay) {
			continue
		}
		if policy.Mode > lastMode {
			revision = 0 // the earlier mode accepted stale answers
		}
		lastMode = policy.Mode
		startedAt := time.Now()
		call := n.newStoreCall(&n.configurationCall, policy)
		document, err := n.nextDocument(call.context, revision, policy.Mode, health)
		if call.canceled() || errors.Is(err, errPeerAnsweredFirst) {
			revision = 0
			continue
		}
		n.logCallOutcome(health, err, revision, policy.Mode)
		if err == nil {
			n.recordStoreAnswer(policy.Mode)
			revision = max(revision, document.Revision)
			// applyDocument applies the document before the pause; a new version resets the backoff.
			n.pauseBeforeCall(retry.pauseAfter(policy.Mode, time.Since(startedAt), n.applyDocument(document)), policy)
			continue
		}
		// The next call is a read: a watch that is started during an outage is not answered.
		revision = 0
		switch fault.KindOf(err) {
		case fault.Stale: // the revision was compacted; recorded neither as an answer nor as a failure
		case fault.NotFound: // the store has no configuration
			n.recordStoreAnswer(policy.Mode)
		default:
			n.recordStoreFailure(policy.Mode)
		}
		n.pauseBeforeCall(retry.next(maxRetryPause(policy)), policy)
	}
}

// logCallOutcome passes the outcome of a call to health. The errors fault.Stale (the revision was
// compacted) and fault.NotFound (there is no configuration) are answers of a working store: they
// are logged, but are not failures.
func (n *node) logCallOutcome(health *storeHealth, err error, revision uint64, mode handshake.WatchMode) {
	if fault.KindOf(err) == fault.NotFound {
		health.recordOutcome(nil)
		n.limitedLog.Log(log.InfoLevel, "configuration-missing", log.Fields{"reads": mode})
		return
	}
	if fault.KindOf(err) != fault.Stale {
		health.recordOutcome(err)
		return
	}
	health.recordOutcome(nil)
	n.limitedLog.Log(log.InfoLevel, "store-history-compacted", log.Fields{"after": revision, "reads": mode, "error": err})
}

// applyDocument applies a document of the store if it is newer, and reports whether the version in
// force increased. It ignores an empty document.
func (n *node) applyDocument(document Document) (changed bool) {
	if document.Bytes == nil {
		return false
	}
	previous := n.versionInForce()
	_ = n.configure(document.Bytes, sourceStore) // configure logs the error
	return n.versionInForce() > previous
}

// versionInForce returns the version of the configuration in force, 0 if there is none.
func (n *node) versionInForce() routing.Version {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.Version()
}

// nextDocument reads the configuration if the revision is 0, and otherwise watches it for a change
// after the revision.
func (n *node) nextDocument(ctx context.Context, revision uint64, mode handshake.WatchMode, health *storeHealth) (Document, error) {
	allowStale := mode == handshake.WatchLatest
	switch {
	case revision == 0 && !n.hasConfiguration():
		return n.firstDocument(health, allowStale)
	case revision == 0:
		return n.read(ctx, allowStale)
	default:
		startedAt := time.Now()
		document, err := n.adapter.WatchConfiguration(ctx, revision, watchTimeout(mode), allowStale)
		n.metrics.observeStoreCall(callName("watch", allowStale), startedAt, err)
		return document, n.handleSkipped(entryConfiguration, err)
	}
}

func (n *node) read(ctx context.Context, allowStale bool) (Document, error) {
	startedAt := time.Now()
	document, err := n.adapter.ReadConfiguration(ctx, allowStale)
	n.metrics.observeStoreCall(callName("read", allowStale), startedAt, err)
	return document, err
}

// callName returns the name of a call in metrics, with a suffix if it accepts stale answers.
func callName(name string, allowStale bool) string {
	if allowStale {
		return name + "-latest"
	}
	return name
}
