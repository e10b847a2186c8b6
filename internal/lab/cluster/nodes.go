// This file starts, stops, kills and restarts balancers and agents, and updates the balancers that
// the fabric sends to. A balancer that is stopped or killed still gets traffic for up to
// fabricUpdateDelay.

package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/process"
)

// Roles of nodes, named like the burlmill commands that run them.
const (
	roleBalancer = "balancer"
	roleAgent    = "agent"
)

// fabricUpdateDelay is how long the fabric keeps sending to a balancer after it receives SIGTERM or
// is killed.
const fabricUpdateDelay = 300 * time.Millisecond

// maxSeeds is the maximum number of seed peers in the arguments of a process.
const maxSeeds = 4

// Node is a balancer or an agent, with fixed addresses and the process that currently runs it.
type Node struct {
	ID      string
	Role    string // balancer or agent
	Zone    catalog.ZoneName
	Address netip.Addr
	Process *process.Process
}

// Data returns the node's UDP data address.
func (n *Node) Data() netip.AddrPort { return netip.AddrPortFrom(n.Address, dataPort) }

// Control returns the node's control address.
func (n *Node) Control() netip.AddrPort { return netip.AddrPortFrom(n.Address, controlPort) }

// Metrics returns the address of the node's metrics endpoint.
func (n *Node) Metrics() netip.AddrPort { return netip.AddrPortFrom(n.Address, metricsPort) }

// Nodes returns the balancers and the back ends' agents.
func (c *Cluster) Nodes() []*Node {
	nodes := append([]*Node(nil), c.Balancers...)
	for _, b := range c.Backends {
		nodes = append(nodes, b.Agent)
	}
	return nodes
}

// startNode adds a new node to the machine list and starts its process.
func (c *Cluster) startNode(ctx context.Context, role string) (*Node, error) {
	node := c.newNode(role)
	if err := c.registerNode(ctx, node); err != nil {
		return nil, err
	}
	return node, c.startNodeProcess(node)
}

func (c *Cluster) newNode(role string) *Node {
	c.nodeCount++
	return &Node{
		ID:      fmt.Sprintf("%s-%d", role, c.nodeCount),
		Role:    role,
		Zone:    c.plan.Zones[c.nodeCount%len(c.plan.Zones)],
		Address: c.addresses.Next(),
	}
}

func (c *Cluster) startNodeProcess(node *Node) (err error) {
	arguments := []string{
		node.Role,
		"--node.id", node.ID,
		"--node.region", region,
		"--node.zone", string(node.Zone),
		"--node.data-address", node.Data().String(),
		"--node.control-address", node.Control().String(),
		"--node.metrics-address", node.Metrics().String(),
		"--platform.url", c.StoreURL,
	}
	for _, seed := range c.seeds(node) {
		arguments = append(arguments, "--peers.seeds", seed.Control().String())
	}
	if c.plan.IdleTimeout > 0 {
		arguments = append(arguments, "--flows.idle-timeout", c.plan.IdleTimeout.String())
	}
	if c.plan.DrainIdleTimeout > 0 {
		arguments = append(arguments, "--flows.drain-idle-timeout", c.plan.DrainIdleTimeout.String())
	}
	node.Process, err = c.startProcess(process.Command{Name: node.ID, Path: c.burlmillBinary, Arguments: arguments})
	return err
}

// seeds returns up to maxSeeds peers, from which the node discovers the others during a store
// outage.
func (c *Cluster) seeds(node *Node) []*Node {
	peers := without(c.Nodes(), node)
	return peers[:min(len(peers), maxSeeds)]
}

func dataAddresses(nodes []*Node) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(nodes))
	for _, node := range nodes {
		addresses = append(addresses, node.Data())
	}
	return addresses
}

// AddBalancer starts another balancer and adds it to the fabric. It does not add the balancer to
// the machine list, so it also works during a store outage: the balancer can get the configuration
// from its peers.
func (c *Cluster) AddBalancer() (*Node, error) {
	node := c.newNode(roleBalancer)
	if err := c.startNodeProcess(node); err != nil {
		return nil, err
	}
	if err := node.Process.AwaitReady(readyTimeout); err != nil {
		return nil, err
	}
	c.Balancers = append(c.Balancers, node)
	c.SyncFabric()
	return node, nil
}

// RemoveBalancer stops a balancer with SIGTERM. The fabric keeps sending to it until
// fabricUpdateDelay has passed or the process has exited.
func (c *Cluster) RemoveBalancer(node *Node) error {
	c.Balancers = without(c.Balancers, node)
	remaining := dataAddresses(c.Balancers)
	updateTimer := time.AfterFunc(fabricUpdateDelay, func() { c.Fabric.SetBalancers(remaining) })
	defer c.SyncFabric()
	defer updateTimer.Stop()
	return node.Process.Stop(stopTimeout)
}

// KillBalancer kills a balancer. The fabric keeps sending to it for fabricUpdateDelay.
func (c *Cluster) KillBalancer(node *Node) {
	node.Process.Kill()
	time.Sleep(fabricUpdateDelay)
	c.Balancers = without(c.Balancers, node)
	c.SyncFabric()
}

// RestartBalancer stops a balancer as RemoveBalancer does and starts it again at the same
// addresses.
func (c *Cluster) RestartBalancer(node *Node) error {
	if err := c.RemoveBalancer(node); err != nil {
		return err
	}
	if err := c.StartStoppedNode(node); err != nil {
		return err
	}
	c.Balancers = append(c.Balancers, node)
	c.SyncFabric()
	return nil
}

// StartStoppedNode starts the process of a stopped node again at the same addresses and waits until
// it is ready.
func (c *Cluster) StartStoppedNode(node *Node) error {
	if err := c.startNodeProcess(node); err != nil {
		return err
	}
	return node.Process.AwaitReady(readyTimeout)
}
