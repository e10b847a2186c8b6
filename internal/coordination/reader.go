package coordination

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
	"github.com/burlmill/burlmill/internal/objects"
)

// Times of reading from the platform.
const (
	watchWait       = 30 * time.Second       // of one long poll
	readGap         = 500 * time.Millisecond // least time between two polls without news
	firstRetry      = 500 * time.Millisecond
	maximumRetry    = 4 * time.Second // up to 6 s as it is drawn: what the store confirms as it is back is to be in force 8 s later. With 15 s it was up to 22 s late
	machineRefresh  = 2 * time.Second // between two readings of the machine list while this node knows nobody
	machineInterval = time.Minute     // between two readings of the machine list by a reader
	joinPatience    = 3 * time.Second // after which a node that found no peer may read the store
)

// Store is what a node needs of the platform's client.
type Store interface {
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (objects.Changes, error)
	Machines(ctx context.Context) ([]objects.Machine, error)
}

// reader watches the store while this node is one of its region's readers. Its
// fields are owned by the goroutine of Node.run.
type reader struct {
	node    *Node
	started time.Time
	stop    context.CancelFunc // nil: not reading
}

func newReader(node *Node) *reader { return &reader{node: node, started: time.Now()} }

// update starts or stops reading according to the members now alive.
func (r *reader) update() {
	if r.node.options.Store == nil {
		return
	}
	elected := r.elected()
	if elected && r.stop == nil {
		ctx, cancel := context.WithCancel(r.node.context)
		r.stop = cancel
		r.node.reading.Store(true)
		r.node.workers.Go(func() { r.watch(ctx) })
	}
	if !elected && r.stop != nil {
		r.stop()
		r.stop = nil
		r.node.reading.Store(false)
	}
}

// elected says whether this node is a reader. A node that has found no peer yet
// waits before it turns to the store, so that a fleet that starts together
// learns who reads before all of it does.
func (r *reader) elected() bool {
	if !r.node.decider.Joined() && time.Since(r.started) < joinPatience {
		return false
	}
	self := r.node.decider.Members().Self()
	return slices.Contains(exchange.Readers(r.node.Members(), self.Region, r.node.options.Platform.Readers), self.ID)
}

// watch passes changes on to the decider until the context ends.
func (r *reader) watch(ctx context.Context) {
	log := r.node.options.Log.WithField("node", r.node.options.Node.ID)
	log.Info("store-reader-start")
	defer log.Info("store-reader-stop")
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     firstRetry,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maximumRetry,
	}
	retry.Reset()
	for ctx.Err() == nil {
		after := r.node.Snapshot().Revision()
		changes, err := r.node.options.Store.Watch(ctx, after, watchWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			delay := retry.NextBackOff()
			log.WithError(err).WithField("kind", fault.Of(err).String()).WithField("retry", delay).Warn("store-unreachable")
			sleep(ctx, delay)
			continue
		}
		retry.Reset()
		r.take(ctx, changes, after)
	}
}

// take hands changes to the decider and waits until they are in force.
func (r *reader) take(ctx context.Context, changes objects.Changes, after catalog.Revision) {
	if changes.Revision < after {
		r.node.options.Log.WithField("node", r.node.options.Node.ID).
			WithField("store", changes.Revision).WithField("held", after).
			Error("store-went-back")
	}
	if len(changes.Objects) == 0 {
		sleep(ctx, readGap)
		return
	}
	done := make(chan struct{})
	posted := r.node.post(func(now time.Time) {
		defer close(done)
		r.node.storeChanged(now, changes)
	})
	if !posted {
		return
	}
	select {
	case <-done:
	case <-r.node.context.Done():
	}
}

// storeChanged runs in the goroutine of Node.run. The configuration's revision
// is that of its latest object, so that all readers agree on it.
func (n *Node) storeChanged(now time.Time, changes objects.Changes) {
	revision := changes.Objects[len(changes.Objects)-1].Revision
	output, err := n.decider.StoreChanged(now, changes.Objects, revision)
	n.apply(output)
	if err != nil {
		n.options.Log.WithField("node", n.options.Node.ID).WithError(err).
			WithField("kind", fault.Of(err).String()).Warn("objects-refused")
	}
	n.publish()
}

// seek names seeds to the decider: the configured ones and the platform's
// machine list. The list is read until a peer has told all members; then only
// the region's readers go on reading it.
func (n *Node) seek() {
	n.seeds(n.options.Peers.Seeds)
	for n.context.Err() == nil && n.options.Store != nil {
		if n.joined() {
			sleep(n.context, machineInterval)
		}
		if !n.joined() || n.reading.Load() {
			n.seekMachines()
		}
		sleep(n.context, machineRefresh)
	}
}

func (n *Node) seekMachines() {
	machines, err := n.options.Store.Machines(n.context)
	if err != nil && n.context.Err() == nil {
		n.options.Log.WithField("node", n.options.Node.ID).WithError(err).Warn("machine-list")
	}
	addresses := slices.Clone(n.options.Peers.Seeds)
	for _, machine := range machines {
		if !slices.Contains(addresses, machine.Control) {
			addresses = append(addresses, machine.Control)
		}
	}
	n.seeds(addresses)
}

func (n *Node) seeds(addresses []netip.AddrPort) {
	n.post(func(now time.Time) { n.apply(n.decider.Seeds(now, addresses)) })
}

func (n *Node) joined() bool {
	answer := make(chan bool, 1)
	if !n.post(func(time.Time) { answer <- n.decider.Joined() }) {
		return true
	}
	select {
	case joined := <-answer:
		return joined
	case <-n.context.Done():
		return true
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
