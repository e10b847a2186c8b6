// This file contains Node: its start, the loop that runs the state machine, its methods for the
// rest of the process, such as Snapshot, Alive, SelfConfirmed and Pull, and its shutdown, which
// announces to all members that the process stops.

// Package coordination runs the state machine of package exchange in a process. It serves and sends
// exchanges over connect-go, watches the platform's store if this process is one of the store
// watchers of its region, and publishes the current configuration and the reachable members to the
// rest of the process.
package coordination

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/objects"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/membership"
)

// Handler is an additional HTTP handler to serve on the control address.
type Handler struct {
	Path    string // pattern of http.ServeMux
	Handler http.Handler
}

// Options configures a Node. Handlers and Store may be nil; the other fields must be set.
type Options struct {
	Node     settings.Node
	Role     membership.Role
	Platform settings.Platform
	Peers    settings.Peers
	Log      log.Interface
	Handlers []Handler
	Store    Store // if nil, a client of Platform.URL, or no store if the URL is empty
	// Skipped counts the malformed entries of the store; see observability.NewSkippedEntries. It may
	// be nil.
	Skipped *prometheus.CounterVec
}

// Node is the part of a process that communicates with other burlmill processes. All methods are
// safe for concurrent use.
type Node struct {
	options      Options
	decider      *exchange.Decider // owned by the goroutine of run
	events       chan func(now time.Time)
	client       *client
	server       *server
	storeWatcher *storeWatcher
	context      context.Context
	stop         context.CancelFunc
	workers      sync.WaitGroup
	view         atomic.Pointer[view]
	lease        atomic.Pointer[lease] // never nil
	leaseHeld    bool                  // as of the latest call of logLease; used only by run
	log          *logging.Limiter
	watchActive  atomic.Bool  // set by storeWatcher
	lastPullAt   atomic.Int64 // Unix time in nanoseconds of the latest Pull that sent requests

	subscribersMutex sync.Mutex
	subscribers      []func(*catalog.Snapshot)
}

// Start starts a node that serves on the control address and joins the other members. Errors are of
// kind fault.Unavailable if it cannot listen on the address.
func Start(options Options) (*Node, error) {
	if options.Store == nil && options.Platform.URL != "" {
		options.Store = objects.NewClient(options.Platform.URL, objects.Options{})
	}
	listener, err := listen(options.Node.ControlAddress)
	if err != nil {
		return nil, err
	}
	return startWithListener(options, listener), nil
}

// startWithListener starts a node on a listener, whose address replaces the control address of the
// options.
func startWithListener(options Options, listener net.Listener) *Node {
	now := time.Now()
	options.Node.ControlAddress = listener.Addr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{
		options: options,
		decider: exchange.New(now, newSelf(options, now), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		events:  make(chan func(time.Time), eventQueueSize),
		client:  newClient(),
		log: logging.NewLimiter(logging.LimiterOptions{
			Log: options.Log, PerSecond: logLinesPerSecond, Burst: logLineBurst, Now: time.Now,
		}),
		context: ctx,
		stop:    stop,
	}
	node.lease.Store(&lease{})
	node.view.Store(node.buildView())
	node.storeWatcher = newStoreWatcher(node)
	node.server = newServer(node, listener)
	node.workers.Go(node.run)
	node.workers.Go(node.server.serve)
	node.workers.Go(node.discoverSeeds)
	return node
}

// minPullInterval is the minimum time between two calls of Node.Pull that send requests.
const minPullInterval = 200 * time.Millisecond

// eventQueueSize is the capacity of Node.events.
const eventQueueSize = 256

// Limits of the log lines of each event.
const (
	logLinesPerSecond = 25
	logLineBurst      = 50
)

func newSelf(options Options, now time.Time) membership.Member {
	return membership.Member{
		ID:          options.Node.ID,
		Incarnation: uint64(now.UnixMilli()),
		Role:        options.Role,
		Region:      options.Node.Region,
		Zone:        options.Node.Zone,
		Control:     options.Node.ControlAddress,
		Data:        options.Node.DataAddress,
	}
}

// run processes events and ticks until the node stops. Only its goroutine uses the decider.
func (n *Node) run() {
	ticker := time.NewTicker(exchange.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.context.Done():
			n.log.Flush()
			return
		case event := <-n.events:
			event(time.Now())
		case <-ticker.C:
			n.apply(n.decider.Tick(time.Now()))
			n.storeWatcher.update()
		}
		n.publishLease(time.Now())
		n.publish()
	}
}

// post queues an event for the goroutine of run. It returns false if the node has stopped.
func (n *Node) post(event func(now time.Time)) bool {
	select {
	case n.events <- event:
		return true
	case <-n.context.Done():
		return false
	}
}

// apply sends the requests and logs the notices of an output.
func (n *Node) apply(output exchange.Output) {
	for _, send := range output.Sends {
		n.workers.Go(func() { n.exchange(send) })
	}
	for _, notice := range output.Notices {
		n.logNotice(notice)
	}
}

func (n *Node) logNotice(notice exchange.Notice) {
	level := log.WarnLevel
	if notice.Change != nil {
		level = log.InfoLevel // planned restarts change the status too
	}
	line, allowed := n.log.Allow(level, notice.Event)
	if !allowed {
		return
	}
	fields := log.Fields{"node": n.options.Node.ID}
	if notice.Member != nil {
		fields["member"] = notice.Member.ID
	}
	if change := notice.Change; change != nil {
		fields["status"] = change.Member.Status.String()
		fields["previous"] = change.Previous.String()
		fields["incarnation"] = change.Member.Incarnation
		fields["suspected"] = change.Suspected
		fields["age"] = change.SinceContact
		fields["source"] = change.Source
	}
	if notice.Err != nil {
		fields["kind"] = fault.KindOf(notice.Err).String()
		fields["error"] = notice.Err
	}
	line.Log(fields)
}

// exchange sends one request, waits for the outcome and passes it to the decider.
func (n *Node) exchange(send exchange.Send) {
	response, err := n.client.exchange(n.context, send.To, send.Request)
	n.post(func(now time.Time) {
		if err != nil {
			n.apply(n.decider.HandleFailure(now, send.ID))
			return
		}
		n.apply(n.decider.HandleResponse(now, send.ID, response))
	})
}

// Snapshot returns the current configuration, whose revision never decreases.
func (n *Node) Snapshot() *catalog.Snapshot { return n.view.Load().snapshot }

// Alive reports whether the agent with the data address is assumed to be reachable; in an agent,
// whether it may hold a liveness lease. It returns true for an unknown address, such as that of a
// member that was declared dead or left more than membership.RetentionPeriod ago.
func (n *Node) Alive(agent netip.AddrPort) bool {
	_, lost := n.view.Load().unreachable[agent]
	return !lost
}

// Members returns the reachable members, including this process.
func (n *Node) Members() []*membership.Member { return n.view.Load().members }

// ControlAddress returns the address on which the node listens, with the actual port.
func (n *Node) ControlAddress() netip.AddrPort { return n.options.Node.ControlAddress }

// SelfConfirmed reports whether the liveness lease of this process is valid. While it is, no other
// member has declared this process dead, except across a network partition within the region. It
// returns false after the node has stopped. It does not block, because the data path calls it for
// each datagram.
func (n *Node) SelfConfirmed() bool {
	return n.context.Err() == nil && time.Now().Before(n.lease.Load().until)
}

// ConfirmedSince returns the time since which the liveness lease has been valid without
// interruption, or was until it expired. It is zero if the lease has never been valid.
func (n *Node) ConfirmedSince() time.Time { return n.lease.Load().since }

// OfferedRevision returns the highest revision that peers have reported within the past 10 s, as of
// the latest renewal of the liveness lease or later.
func (n *Node) OfferedRevision() catalog.Revision { return n.lease.Load().offered }

// Pull sends heartbeats to all neighbours to find one with a newer configuration, if the revision
// is above the current one. Calls within minPullInterval after one that sent requests do nothing.
func (n *Node) Pull(revision catalog.Revision) {
	if revision <= n.Snapshot().Revision() {
		return
	}
	now, lastPull := time.Now().UnixNano(), n.lastPullAt.Load()
	if now-lastPull < int64(minPullInterval) || !n.lastPullAt.CompareAndSwap(lastPull, now) {
		return
	}
	n.post(func(now time.Time) { n.apply(n.decider.SendHeartbeats(now)) })
}

// Subscribe registers a callback for new snapshots and calls it with the current one. The callback
// must not block or call Subscribe.
func (n *Node) Subscribe(callback func(*catalog.Snapshot)) {
	n.subscribersMutex.Lock()
	defer n.subscribersMutex.Unlock()
	n.subscribers = append(n.subscribers, callback)
	callback(n.Snapshot())
}

// AnnounceShutdown announces to all members that this process accepts no new flows.
func (n *Node) AnnounceShutdown() {
	n.post(func(now time.Time) { n.apply(n.decider.SetStatus(now, membership.Leaving)) })
}

// Shutdown announces to all members that this process stops, waits until the neighbours have
// received the announcement or the context ends, and closes the node. If the context ends first,
// the error is of kind fault.Deadline.
func (n *Node) Shutdown(ctx context.Context) error {
	defer n.Close()
	n.post(func(now time.Time) { n.apply(n.decider.SetStatus(now, membership.Left)) })
	poll := time.NewTicker(exchange.TickInterval)
	defer poll.Stop()
	for {
		result := make(chan bool, 1)
		if !n.post(func(time.Time) { result <- n.decider.StatusAnnounced() }) {
			return nil
		}
		select {
		case announced := <-result:
			if announced {
				return nil
			}
		case <-ctx.Done():
			return fault.Wrap(fault.Deadline, ctx.Err(), "shutdown notice of node %s did not reach all neighbours", n.options.Node.ID)
		}
		<-poll.C
	}
}

// Close stops the node without an announcement. It may be called more than once.
func (n *Node) Close() {
	n.stop()
	n.server.close()
	n.workers.Wait()
	n.client.close()
}
