// Package coordination runs the decider of package exchange in a process: it
// serves and sends exchanges over connect-go, watches the platform's store when
// this process is one of its region's readers, and publishes the configuration
// in force and who is alive to the rest of the process.
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

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
	"github.com/burlmill/burlmill/internal/objects"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/membership"
)

// Handler is a further HTTP handler to serve on the control address.
type Handler struct {
	Path    string // pattern of http.ServeMux
	Handler http.Handler
}

// Options says how a Node works. Store may be nil, the others must be set.
type Options struct {
	Node     settings.Node
	Role     membership.Role
	Platform settings.Platform
	Peers    settings.Peers
	Log      log.Interface
	Handlers []Handler
	Store    Store // nil: a client of Platform.URL, if that is set
}

// Node is the part of a process that talks to other burlmill processes. All
// methods are safe for concurrent use.
type Node struct {
	options Options
	decider *exchange.Decider // owned by the goroutine of run
	events  chan func(now time.Time)
	caller  *caller
	server  *server
	reader  *reader
	context context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	view    atomic.Pointer[view]
	// confirmedUntil is when the lease on being alive ends; never nil.
	confirmedUntil atomic.Pointer[time.Time]
	reading        atomic.Bool  // this node is a reader of the store
	pulled         atomic.Int64 // Unix time in nanoseconds of the latest Pull that asked

	subscribersMutex sync.Mutex
	subscribers      []func(*catalog.Snapshot)
}

// Start begins to serve on the control address and to look for other members.
// Errors are of kind fault.Unavailable when the address cannot be used.
func Start(options Options) (*Node, error) {
	if options.Store == nil && options.Platform.URL != "" {
		options.Store = objects.NewClient(options.Platform.URL, objects.Options{})
	}
	listener, err := listen(options.Node.ControlAddress)
	if err != nil {
		return nil, err
	}
	return startOn(options, listener), nil
}

func startOn(options Options, listener net.Listener) *Node {
	now := time.Now()
	options.Node.ControlAddress = listener.Addr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{
		options: options,
		decider: exchange.New(now, selfOf(options, now), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		events:  make(chan func(time.Time), eventQueue),
		caller:  newCaller(),
		context: ctx,
		stop:    stop,
	}
	node.confirmedUntil.Store(new(time.Time))
	node.view.Store(node.buildView())
	node.reader = newReader(node)
	node.server = newServer(node, listener)
	node.workers.Go(node.run)
	node.workers.Go(node.server.serve)
	node.workers.Go(node.seek)
	return node
}

// pullGap is the least time between two pulls asked for by the data path.
const pullGap = 200 * time.Millisecond

// eventQueue is the number of events that may wait for the owner of the decider.
const eventQueue = 256

func selfOf(options Options, now time.Time) membership.Member {
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

// run owns the decider until the node stops.
func (n *Node) run() {
	ticker := time.NewTicker(exchange.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.context.Done():
			return
		case event := <-n.events:
			event(time.Now())
		case <-ticker.C:
			n.apply(n.decider.Tick(time.Now()))
			n.reader.update()
		}
		n.publishLease(time.Now())
		n.publish()
	}
}

// post hands an event to the owner of the decider. It returns false when the
// node has stopped.
func (n *Node) post(event func(now time.Time)) bool {
	select {
	case n.events <- event:
		return true
	case <-n.context.Done():
		return false
	}
}

// apply does what the decider decided.
func (n *Node) apply(output exchange.Output) {
	for _, send := range output.Sends {
		n.workers.Go(func() { n.call(send) })
	}
	for _, notice := range output.Notices {
		entry := n.options.Log.WithField("node", n.options.Node.ID)
		if notice.Member != nil {
			entry = entry.WithField("member", notice.Member.ID)
		}
		if notice.Err != nil {
			entry = entry.WithField("kind", fault.Of(notice.Err).String()).WithError(notice.Err)
		}
		entry.Warn(notice.Event)
	}
}

// call sends one request and reports its answer or failure to the decider.
func (n *Node) call(send exchange.Send) {
	response, err := n.caller.exchange(n.context, send.To, send.Request)
	n.post(func(now time.Time) {
		if err != nil {
			n.apply(n.decider.Failed(now, send.ID))
			return
		}
		n.apply(n.decider.Answered(now, send.ID, response))
	})
}

// Snapshot returns the configuration in force. It never goes back to a lower revision.
func (n *Node) Snapshot() *catalog.Snapshot { return n.view.Load().snapshot }

// Alive says whether the agent with that data address is believed to run and to
// be reachable. It is true for an address that nothing is known about. A member
// that died or left is known for membership.RetentionTime.
func (n *Node) Alive(agent netip.AddrPort) bool {
	_, lost := n.view.Load().lost[agent]
	return !lost
}

// Members returns the members that can be reached, this process included.
func (n *Node) Members() []*membership.Member { return n.view.Load().members }

// ControlAddress returns the address that is served.
func (n *Node) ControlAddress() netip.AddrPort { return n.options.Node.ControlAddress }

// SelfConfirmed says whether this process's lease on being alive is current:
// nobody can have declared it dead by now. The data path asks for each datagram,
// so it does not wait for the owner of the decider.
func (n *Node) SelfConfirmed() bool {
	return n.context.Err() == nil && time.Now().Before(*n.confirmedUntil.Load())
}

// Pull asks neighbours at once for the configuration if the revision is above
// the one in force. Calls that follow each other within pullGap ask once.
func (n *Node) Pull(at catalog.Revision) {
	if at <= n.Snapshot().Revision() {
		return
	}
	now, last := time.Now().UnixNano(), n.pulled.Load()
	if now-last < int64(pullGap) || !n.pulled.CompareAndSwap(last, now) {
		return
	}
	n.post(func(now time.Time) { n.apply(n.decider.Refresh(now)) })
}

// Subscribe has callback called with each new snapshot, beginning with the one
// in force. The callback must not block.
func (n *Node) Subscribe(callback func(*catalog.Snapshot)) {
	n.subscribersMutex.Lock()
	defer n.subscribersMutex.Unlock()
	n.subscribers = append(n.subscribers, callback)
	callback(n.Snapshot())
}

// AnnounceLeaving tells all members that this process takes no new work.
func (n *Node) AnnounceLeaving() {
	n.post(func(now time.Time) { n.apply(n.decider.SetStatus(now, membership.Leaving)) })
}

// Leave tells all members that this process stops, waits until neighbours have
// heard it or the context ends, and closes the node.
func (n *Node) Leave(ctx context.Context) error {
	defer n.Close()
	n.post(func(now time.Time) { n.apply(n.decider.SetStatus(now, membership.Left)) })
	poll := time.NewTicker(exchange.TickInterval)
	defer poll.Stop()
	for {
		answer := make(chan bool, 1)
		if !n.post(func(time.Time) { answer <- n.decider.StatusTold() }) {
			return nil
		}
		select {
		case told := <-answer:
			if told {
				return nil
			}
		case <-ctx.Done():
			return fault.Wrap(fault.Deadline, ctx.Err(), "no neighbour has heard that node %s left", n.options.Node.ID)
		}
		<-poll.C
	}
}

// Close stops the node without telling anyone. It may be called twice.
func (n *Node) Close() {
	n.stop()
	n.server.close()
	n.workers.Wait()
	n.caller.close()
}
