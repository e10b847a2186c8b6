// This file contains the simulated fleet: nodes that join by a machine list, crash, restart and
// leave, the network between them with delays, partitions and timeouts, and the counts of their
// exchanges and bytes.

// Package exchange_test runs the deciders of a fleet in one process, on a simulated network in
// virtual time.
package exchange_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/catalog"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
	"github.com/burlmill/burlmill/membership"
)

// Sizes and times of the simulation.
const (
	FramingBytes            = 50               // framing of a request and its response
	refusedDelay            = time.Millisecond // until a request to an unused address fails
	maxSeeds                = 16               // seeds from one read of the machine list
	machineListJoinInterval = 2 * time.Second  // between two reads by a node that has not joined
	machineListInterval     = time.Minute      // between two machine list reads by a store watcher
)

// Options describes a fleet.
type Options struct {
	Nodes            int
	Regions          int
	ZonesPerRegion   int
	StoreWatchers    int           // per region
	IntraZoneDelay   time.Duration // one way, within a zone
	InterZoneDelay   time.Duration // one way, between zones of a region
	InterRegionDelay time.Duration // one way, between regions
	Seed             uint64        // of all random decisions
}

// Fleet simulates a set of nodes and the network between them. It is not safe for concurrent use.
type Fleet struct {
	options      Options
	now          time.Time
	random       *rand.Rand
	queue        eventQueue
	lastSequence uint64
	nodes        []*Node // in order of their start, including stopped nodes
	running      map[netip.AddrPort]*Node
	partitions   map[string]bool // partitioned regions and zones
	isolated     *Node           // separated from all others; nil: none
	failedLink   [2]*Node        // separated from each other; nil: none
	cannotPull   *Node           // its requests for the catalog are lost; nil: none
	store        SimulatedStore
	lastPort     int
}

// Node is one simulated process.
type Node struct {
	Decider  *exchange.Decider
	Member   membership.Member
	Running  bool
	Bytes    int64 // sent and received, with framing
	Messages int64 // exchanges that the node sent or served
}

// New returns a fleet in which every node knows all members.
func New(options Options) *Fleet {
	fleet := &Fleet{
		options:    options,
		now:        time.Unix(1_700_000_000, 0),
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		running:    map[netip.AddrPort]*Node{},
		partitions: map[string]bool{},
		store:      SimulatedStore{objects: map[catalog.ServiceName]catalog.Object{}},
	}
	for range options.Nodes {
		fleet.start(fleet.newMember())
	}
	var members []*membership.Member
	for _, node := range fleet.nodes {
		members = append(members, &node.Member)
	}
	for _, node := range fleet.nodes {
		node.Decider.Bootstrap(fleet.now, members)
		fleet.schedule(machineListInterval, func() { fleet.updateSeeds(node) })
	}
	return fleet
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Running returns the running nodes in order of their start.
func (f *Fleet) Running() []*Node {
	var running []*Node
	for _, node := range f.nodes {
		if node.Running {
			running = append(running, node)
		}
	}
	return running
}

func (f *Fleet) newMember() membership.Member {
	f.lastPort++
	index := f.lastPort
	region := fmt.Sprintf("region-%d", index%f.options.Regions)
	role := membership.Agent
	if index/f.options.Regions%4 == 0 {
		role = membership.Balancer
	}
	address := netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)})
	return membership.Member{
		ID:          fmt.Sprintf("%s-%05d", role, index),
		Incarnation: uint64(f.now.UnixMilli()),
		Role:        role,
		Region:      region,
		Zone:        catalog.ZoneName(fmt.Sprintf("zone-%d-%d", index%f.options.Regions, index/f.options.Regions%f.options.ZonesPerRegion)),
		Control:     netip.AddrPortFrom(address, 7000),
		Data:        netip.AddrPortFrom(address, 7001),
	}
}

// start starts a node that knows no other member.
func (f *Fleet) start(member membership.Member) *Node {
	random := rand.New(rand.NewPCG(f.options.Seed, f.random.Uint64()))
	node := &Node{Decider: exchange.New(f.now, member, random), Member: member, Running: true}
	f.nodes = append(f.nodes, node)
	f.running[member.Control] = node
	f.schedule(time.Duration(f.random.Int64N(int64(exchange.TickInterval))), func() { f.tick(node) })
	return node
}

// Join starts a new node that finds other members through the machine list.
func (f *Fleet) Join() *Node {
	node := f.start(f.newMember())
	f.updateSeeds(node)
	return node
}

// updateSeeds sets the seeds of a node to random addresses of the machine list, which contains
// stopped nodes too, and schedules the next update. After a node has joined, its seeds change only
// while it is a store watcher.
func (f *Fleet) updateSeeds(node *Node) {
	if !node.Running {
		return
	}
	interval := machineListInterval
	if !node.Decider.Joined() {
		interval = machineListJoinInterval
	}
	if !node.Decider.Joined() || f.isStoreWatcher(node) {
		var seeds []netip.AddrPort
		for range maxSeeds {
			seeds = append(seeds, f.nodes[f.random.IntN(len(f.nodes))].Member.Control)
		}
		f.apply(node, node.Decider.SetSeeds(f.now, seeds))
	}
	f.schedule(interval, func() { f.updateSeeds(node) })
}

// Crash stops a node without an announcement.
func (f *Fleet) Crash(node *Node) {
	node.Running = false
	if f.running[node.Member.Control] == node {
		delete(f.running, node.Member.Control)
	}
}

// Restart starts a node with the ID and the addresses of a crashed one and a new incarnation.
func (f *Fleet) Restart(crashed *Node) *Node {
	member := crashed.Member
	member.Incarnation = uint64(f.now.UnixMilli())
	node := f.start(member)
	f.updateSeeds(node)
	return node
}

// Leave announces that a node has left and stops the node one second later.
func (f *Fleet) Leave(node *Node) {
	f.apply(node, node.Decider.SetStatus(f.now, membership.Left))
	f.schedule(time.Second, func() { f.Crash(node) })
}

// SetPartitioned starts or ends a network partition between a region or zone and all others.
func (f *Fleet) SetPartitioned(name string, partitioned bool) { f.partitions[name] = partitioned }

// Run advances virtual time by the duration and runs the events that are due in it.
func (f *Fleet) Run(duration time.Duration) {
	end := f.now.Add(duration)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

func (f *Fleet) tick(node *Node) {
	if !node.Running {
		return
	}
	f.apply(node, node.Decider.Tick(f.now))
	f.schedule(exchange.TickInterval, func() { f.tick(node) })
}

// apply sends the requests of an output.
func (f *Fleet) apply(node *Node, output exchange.Output) {
	for _, send := range output.Sends {
		f.send(node, send)
	}
}

func (f *Fleet) send(from *Node, send exchange.Send) {
	to := f.running[send.To]
	if to == nil {
		f.schedule(refusedDelay, func() { f.fail(from, send.ID) })
		return
	}
	f.schedule(f.delay(from, to), func() { f.deliverRequest(from, to, send) })
}

// deliverRequest passes a request to its receiver. The request times out if the receiver has
// stopped or is separated from the sender.
func (f *Fleet) deliverRequest(from, to *Node, send exchange.Send) {
	if !to.Running || f.separated(from, to) || from == f.cannotPull && send.Request.GetPull() != nil {
		f.schedule(exchange.Timeout, func() { f.fail(from, send.ID) })
		return
	}
	response, output := to.Decider.HandleRequest(f.now, send.Request)
	f.apply(to, output)
	bytes := int64(proto.Size(send.Request) + proto.Size(response) + FramingBytes)
	for _, side := range []*Node{from, to} {
		side.Bytes += bytes
		side.Messages++
	}
	f.schedule(f.delay(from, to), func() { f.deliverResponse(from, to, send.ID, response) })
}

func (f *Fleet) deliverResponse(from, to *Node, id uint64, response *burlmillv1.ExchangeResponse) {
	if f.separated(from, to) {
		f.schedule(exchange.Timeout, func() { f.fail(from, id) })
		return
	}
	if from.Running {
		f.apply(from, from.Decider.HandleResponse(f.now, id, response))
	}
}

func (f *Fleet) fail(node *Node, id uint64) {
	if node.Running {
		f.apply(node, node.Decider.HandleFailure(f.now, id))
	}
}

// separated reports whether a network partition separates two nodes, or one of them is isolated.
func (f *Fleet) separated(a, b *Node) bool {
	if a == f.isolated || b == f.isolated || [2]*Node{a, b} == f.failedLink || [2]*Node{b, a} == f.failedLink {
		return true
	}
	if a.Member.Region != b.Member.Region && (f.partitions[a.Member.Region] || f.partitions[b.Member.Region]) {
		return true
	}
	zoneA, zoneB := string(a.Member.Zone), string(b.Member.Zone)
	return zoneA != zoneB && (f.partitions[zoneA] || f.partitions[zoneB])
}

// delay returns the one-way network delay between two nodes.
func (f *Fleet) delay(a, b *Node) time.Duration {
	switch {
	case a.Member.Region != b.Member.Region:
		return f.options.InterRegionDelay
	case a.Member.Zone != b.Member.Zone:
		return f.options.InterZoneDelay
	default:
		return f.options.IntraZoneDelay
	}
}
