package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/fabric"
	"github.com/burlmill/burlmill/internal/lab/process"
	"github.com/burlmill/burlmill/internal/platform"
)

// Import paths of the binaries.
const (
	burlmillPackage = "github.com/burlmill/burlmill/cmd/burlmill"
	labPackage      = "github.com/burlmill/burlmill/cmd/burlmill-lab"
)

// readyLimit bounds the start of one process.
const readyLimit = 20 * time.Second

// stopLimit bounds the clean stop of one process.
const stopLimit = 40 * time.Second

// author is the author of the cluster's own writes to the store.
const author = "lab"

// Node is one burlmill process of the cluster.
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

// MetricsURL returns the URL of the node's metrics.
func (n *Node) MetricsURL() string {
	return "http://" + netip.AddrPortFrom(n.Address, metricsPort).String() + "/metrics"
}

// Backend is one back-end process with the agent beside it.
type Backend struct {
	ID      catalog.BackendID
	Service catalog.ServiceName
	Address netip.AddrPort
	Process *process.Process
	Agent   *Node
}

// Cluster is a running deployment. It is used by one goroutine.
type Cluster struct {
	Fabric    *fabric.Fabric
	Platform  *platform.Client
	StoreURL  string
	Store     *process.Process
	Balancers []*Node
	Backends  []*Backend

	plan      Plan
	group     *process.Group
	addresses *addressPlan
	burlmill  string // path of the burlmill binary
	lab       string // path of the burlmill-lab binary
	started   int    // burlmill processes started so far
}

// Start builds the binaries and starts the plan's processes; it returns when all
// are ready and the configuration is in the store.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	group, err := process.NewGroup()
	if err != nil {
		return nil, err
	}
	c := &Cluster{plan: plan, group: group, addresses: newAddressPlan()}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		c.build, c.startStore, c.startBalancers, c.startServices, c.startFabric, c.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) build(context.Context) (err error) {
	if c.burlmill, err = c.group.Build(burlmillPackage); err != nil {
		return err
	}
	c.lab, err = c.group.Build(labPackage)
	return err
}

func (c *Cluster) startStore(context.Context) (err error) {
	address := netip.AddrPortFrom(c.addresses.take(), storePort)
	c.StoreURL = "http://" + address.String()
	c.Platform = platform.NewClient(c.StoreURL, platform.Options{})
	c.Store, err = c.group.Start(process.Command{
		Name: "store", Path: c.lab, Arguments: []string{"store", "--address", address.String()},
	})
	if err != nil {
		return err
	}
	return c.Store.AwaitReady(readyLimit)
}

func (c *Cluster) startBalancers(ctx context.Context) error {
	for range c.plan.Balancers {
		if _, err := c.AddBalancer(ctx); err != nil {
			return err
		}
	}
	return nil
}

// AddBalancer starts one more balancer. The fabric takes it in with SyncFabric.
func (c *Cluster) AddBalancer(ctx context.Context) (*Node, error) {
	node, err := c.startNode(ctx, "balancer")
	if err != nil {
		return nil, err
	}
	c.Balancers = append(c.Balancers, node)
	return node, nil
}

// startNode starts one burlmill process and puts it on the machine list.
func (c *Cluster) startNode(ctx context.Context, role string) (*Node, error) {
	c.started++
	node := &Node{
		ID:      fmt.Sprintf("%s-%d", role, c.started),
		Role:    role,
		Zone:    c.plan.Zones[c.started%len(c.plan.Zones)],
		Address: c.addresses.take(),
	}
	if err := c.register(ctx, node); err != nil {
		return nil, err
	}
	if err := c.run(node); err != nil {
		return nil, err
	}
	return node, nil
}

// run starts the process of a node.
func (c *Cluster) run(node *Node) (err error) {
	node.Process, err = c.group.Start(process.Command{
		Name: node.ID,
		Path: c.burlmill,
		Arguments: []string{
			node.Role,
			"--node.id", node.ID,
			"--node.region", region,
			"--node.zone", string(node.Zone),
			"--node.data-address", node.Data().String(),
			"--node.control-address", node.Control().String(),
			"--node.metrics-address", netip.AddrPortFrom(node.Address, metricsPort).String(),
			"--platform.url", c.StoreURL,
		},
	})
	return err
}

// Restart starts the process of a node that has ended, under its old addresses.
func (c *Cluster) Restart(node *Node) error {
	if err := c.run(node); err != nil {
		return err
	}
	return node.Process.AwaitReady(readyLimit)
}

func (c *Cluster) startServices(ctx context.Context) error {
	for index, plan := range c.plan.Services {
		service := catalog.Service{
			Name:     plan.Name,
			Protocol: plan.Protocol,
			Address:  netip.AddrPortFrom(c.addresses.take(), uint16(servicePort+index)),
			Shares:   []catalog.SiteShare{{Site: plan.Site, Percent: 100}},
		}
		for range plan.Backends {
			entry, err := c.startBackend(ctx, plan)
			if err != nil {
				return err
			}
			service.Backends = append(service.Backends, entry)
		}
		if err := c.Create(ctx, service); err != nil {
			return err
		}
	}
	return nil
}

// startBackend starts a back end and the agent beside it, and returns the back
// end's entry for the service object.
func (c *Cluster) startBackend(ctx context.Context, plan ServicePlan) (catalog.Backend, error) {
	id := catalog.BackendID(fmt.Sprintf("%s-%d", plan.Name, len(c.Backends)+1))
	address := netip.AddrPortFrom(c.addresses.take(), backendPort)
	child, err := c.group.Start(process.Command{
		Name: string(id),
		Path: c.lab,
		Arguments: []string{
			"backend",
			"--id", string(id),
			"--service", string(plan.Name),
			"--address", address.String(),
			"--slots", fmt.Sprint(plan.Slots),
		},
	})
	if err != nil {
		return catalog.Backend{}, err
	}
	agent, err := c.startNode(ctx, "agent")
	if err != nil {
		return catalog.Backend{}, err
	}
	c.Backends = append(c.Backends, &Backend{ID: id, Service: plan.Name, Address: address, Process: child, Agent: agent})
	return catalog.Backend{
		ID: id, Site: plan.Site, Zone: agent.Zone,
		Agent: agent.Data(), Address: address,
		Weight: 1, Slots: plan.Slots, Connections: 2000,
		State: catalog.BackendActive, Incarnation: 1,
	}, nil
}

// Create writes a new service object.
func (c *Cluster) Create(ctx context.Context, service catalog.Service) error {
	body, err := json.Marshal(service)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode service %s", service.Name)
	}
	_, err = c.Platform.Put(ctx, platform.Write{
		Name: service.Name, Body: body, Command: platform.NewCommandID(), Author: author,
	})
	return err
}

// Change reads a service object, lets edit change it and writes it back.
func (c *Cluster) Change(ctx context.Context, name catalog.ServiceName, edit func(*catalog.Service)) (catalog.Revision, error) {
	object, err := c.Platform.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	service, err := catalog.ParseService(name, object.Body)
	if err != nil {
		return 0, err
	}
	edit(&service)
	body, err := json.Marshal(service)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode service %s", name)
	}
	return c.Platform.Put(ctx, platform.Write{
		Name: name, Expected: object.Version, Body: body, Command: platform.NewCommandID(), Author: author,
	})
}

func (c *Cluster) startFabric(ctx context.Context) (err error) {
	changes, err := c.Platform.Changes(ctx, 0)
	if err != nil {
		return err
	}
	snapshot, err := catalog.Empty().With(changes.Objects, changes.Revision)
	if err != nil {
		return err
	}
	var ports []fabric.ServicePort
	for _, service := range snapshot.Services() {
		ports = append(ports, fabric.ServicePort{Name: service.Name, Address: service.Address})
	}
	c.Fabric, err = fabric.Start(fabric.Options{Services: ports, Seed: 1})
	if err != nil {
		return err
	}
	c.SyncFabric()
	return nil
}

// SyncFabric gives the fabric the present list of balancers.
func (c *Cluster) SyncFabric() {
	addresses := make([]netip.AddrPort, 0, len(c.Balancers))
	for _, balancer := range c.Balancers {
		addresses = append(addresses, balancer.Data())
	}
	c.Fabric.SetBalancers(addresses)
}

func (c *Cluster) awaitReady(context.Context) error {
	for _, member := range c.Backends {
		if err := member.Process.AwaitReady(readyLimit); err != nil {
			return err
		}
		if err := member.Agent.Process.AwaitReady(readyLimit); err != nil {
			return err
		}
	}
	for _, balancer := range c.Balancers {
		if err := balancer.Process.AwaitReady(readyLimit); err != nil {
			return err
		}
	}
	return nil
}

// StopAll stops every process cleanly and reports those that did not stop so.
func (c *Cluster) StopAll() error { return c.group.StopAll(stopLimit) }

// Close ends whatever still runs.
func (c *Cluster) Close() error {
	var errs []error
	if c.Fabric != nil {
		errs = append(errs, c.Fabric.Close())
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
	return errors.Join(append(errs, c.group.Close())...)
}
