// This file watches the platform's store while the node is one of the store watchers of its region,
// with backoff after failures, and passes the changes to the state machine. It also sets the seeds
// from the settings and the platform's machine list.

package coordination

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
	"github.com/burlmill/burlmill/internal/entry"
	"github.com/burlmill/burlmill/internal/objects"
)

// Intervals and timeouts of requests to the platform.
const (
	longPollTimeout         = 30 * time.Second       // how long the store may wait for a change
	idlePollDelay           = 500 * time.Millisecond // delay after a poll that returned no changes
	initialRetryDelay       = 500 * time.Millisecond // before jitter
	maxRetryDelay           = 4 * time.Second        // before jitter
	machineListJoinInterval = 2 * time.Second        // between machine list reads before the node has joined
	machineListJoinedDelay  = time.Minute            // added to machineListJoinInterval after the node has joined
	joinTimeout             = 3 * time.Second        // after which a node that has not joined may watch the store
)

// Store is the part of the platform's client that a node uses.
type Store interface {
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (objects.Changes, error)
	Machines(ctx context.Context) ([]objects.Machine, error)
}

// storeWatcher watches the store while this node is one of the store watchers of its region. Only
// the goroutine of Node.run calls update and uses stop.
type storeWatcher struct {
	node      *Node
	startedAt time.Time
	stop      context.CancelFunc // nil while the store is not watched
}

func newStoreWatcher(node *Node) *storeWatcher {
	return &storeWatcher{node: node, startedAt: time.Now()}
}

// update starts watching the store if the node is elected, and stops if it is not. Without a store
// it does nothing.
func (w *storeWatcher) update() {
	if w.node.options.Store == nil {
		return
	}
	elected := w.elected()
	if elected && w.stop == nil {
		ctx, cancel := context.WithCancel(w.node.context)
		w.stop = cancel
		w.node.watchActive.Store(true)
		w.node.workers.Go(func() { w.watch(ctx) })
	}
	if !elected && w.stop != nil {
		w.stop()
		w.stop = nil
		w.node.watchActive.Store(false)
	}
}

// elected reports whether this node is one of the store watchers of its region. It returns false
// until the node has joined or joinTimeout has passed, so that not every node watches the store
// when a fleet starts at once.
func (w *storeWatcher) elected() bool {
	if !w.node.decider.Joined() && time.Since(w.startedAt) < joinTimeout {
		return false
	}
	self := w.node.decider.Members().Self()
	return slices.Contains(exchange.StoreWatchers(w.node.Members(), self.Region, w.node.options.Platform.StoreWatchers), self.ID)
}

// watch polls the store and applies its changes until the context ends. It retries a failed poll
// with exponential backoff.
func (w *storeWatcher) watch(ctx context.Context) {
	logger := w.node.options.Log.WithField("node", w.node.options.Node.ID)
	logger.Info("store-watcher-start")
	defer logger.Info("store-watcher-stop")
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     initialRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxRetryDelay,
	}
	retry.Reset()
	for ctx.Err() == nil {
		after := w.node.Snapshot().Revision()
		changes, err := w.node.options.Store.Watch(ctx, after, longPollTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			delay := retry.NextBackOff()
			logger.WithError(err).WithField("kind", fault.KindOf(err).String()).WithField("retry", delay).Warn("store-unreachable")
			sleep(ctx, delay)
			continue
		}
		retry.Reset()
		w.node.recordSkipped(skippedObject, changes.Skipped)
		w.applyChanges(ctx, changes, after)
	}
}

// applyChanges passes the changes after a revision to the goroutine of Node.run and waits until
// they are applied. Without changes it waits for idlePollDelay.
func (w *storeWatcher) applyChanges(ctx context.Context, changes objects.Changes, after catalog.Revision) {
	if changes.Revision < after {
		w.node.options.Log.WithField("node", w.node.options.Node.ID).
			WithField("store", changes.Revision).WithField("held", after).
			Error("store-revision-decreased")
	}
	if len(changes.Objects) == 0 {
		sleep(ctx, idlePollDelay)
		return
	}
	done := make(chan struct{})
	posted := w.node.post(func(now time.Time) {
		defer close(done)
		w.node.applyStoreChanges(now, changes)
	})
	if !posted {
		return
	}
	select {
	case <-done:
	case <-w.node.context.Done():
	}
}

// applyStoreChanges applies changes, which must contain objects, in the goroutine of Node.run. The
// configuration gets the revision of the last object rather than that of the answer, so that it is
// the same at all store watchers.
func (n *Node) applyStoreChanges(now time.Time, changes objects.Changes) {
	revision := changes.Objects[len(changes.Objects)-1].Revision
	output, err := n.decider.ApplyStoreChanges(now, changes.Objects, revision)
	n.apply(output)
	if err != nil {
		n.countSkipped(skippedObject, err)
		n.log.Log(log.WarnLevel, "objects-refused", log.Fields{"node": n.options.Node.ID, "kind": fault.KindOf(err).String(), "error": err})
	}
	n.publish()
}

// discoverSeeds updates the seeds of the decider from the settings and from the platform's machine
// list. After the node has joined, it reads the list only while the node watches the store.
func (n *Node) discoverSeeds() {
	n.setSeeds(n.options.Peers.Seeds)
	for n.context.Err() == nil && n.options.Store != nil {
		if n.joined() {
			sleep(n.context, machineListJoinedDelay)
		}
		if !n.joined() || n.watchActive.Load() {
			n.refreshSeeds()
		}
		sleep(n.context, machineListJoinInterval)
	}
}

// refreshSeeds sets the seeds to the configured ones and the addresses of the machine list. If the
// list cannot be read, it sets the configured seeds only.
func (n *Node) refreshSeeds() {
	machines, err := n.options.Store.Machines(n.context)
	var skipped *objects.SkippedError
	switch {
	case errors.As(err, &skipped):
		n.recordSkipped(skippedMachine, skipped.Entries)
	case err != nil && n.context.Err() == nil:
		n.options.Log.WithField("node", n.options.Node.ID).WithError(err).Warn("machine-list")
	}
	addresses := slices.Clone(n.options.Peers.Seeds)
	for _, machine := range machines {
		if !slices.Contains(addresses, machine.Control) {
			addresses = append(addresses, machine.Control)
		}
	}
	n.setSeeds(addresses)
}

// Kinds of malformed entries, as values of a label.
const (
	skippedObject  = "object"
	skippedMachine = "machine"
)

// recordSkipped counts and logs malformed entries that were left out of an answer of the store.
func (n *Node) recordSkipped(kind string, skipped []error) {
	for _, err := range skipped {
		n.countSkipped(kind, err)
		n.log.Log(log.WarnLevel, "entry-skipped", log.Fields{"node": n.options.Node.ID, "kind": kind, "error": err})
	}
}

// countSkipped counts a malformed entry, or those whose errors are joined in err.
func (n *Node) countSkipped(kind string, err error) {
	if n.options.Skipped == nil {
		return
	}
	reasons := []error{err}
	if joined, isJoined := err.(interface{ Unwrap() []error }); isJoined {
		reasons = joined.Unwrap()
	}
	for _, reason := range reasons {
		n.options.Skipped.WithLabelValues(kind, string(entry.ReasonOf(reason))).Inc()
	}
}

func (n *Node) setSeeds(addresses []netip.AddrPort) {
	n.post(func(now time.Time) { n.apply(n.decider.SetSeeds(now, addresses)) })
}

// joined reports whether the decider has joined. It returns true if the node has stopped.
func (n *Node) joined() bool {
	result := make(chan bool, 1)
	if !n.post(func(time.Time) { result <- n.decider.Joined() }) {
		return true
	}
	select {
	case joined := <-result:
		return joined
	case <-n.context.Done():
		return true
	}
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
