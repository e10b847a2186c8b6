package cluster

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/fabric"
	"github.com/burlmill/burlmill/internal/lab/loopback"
	"github.com/burlmill/burlmill/internal/lab/process"
	"github.com/burlmill/burlmill/internal/objects"
)

// Import paths of the binaries.
const (
	burlmillPackage = "github.com/burlmill/burlmill/cmd/burlmill"
	labPackage      = "github.com/burlmill/burlmill/cmd/burlmill-lab"
)

// Limits for one process.
const (
	readyLimit = 20 * time.Second // for its start
	stopLimit  = 40 * time.Second // for its clean stop
)

// Cluster is a running deployment. It is used by one goroutine.
type Cluster struct {
	Fabric    *fabric.Fabric
	Platform  *objects.Client
	StoreURL  string
	Store     *process.Process
	Balancers []*Node
	Backends  []*Backend

	plan      Plan
	group     *process.Group
	processes []*process.Process // all that were started here
	addresses *loopback.Network
	labURL    string // base URL of the store's fault switches
	burlmill  string // path of the burlmill binary
	lab       string // path of the burlmill-lab binary
	started   int    // burlmill processes started so far
	numbered  int    // back ends started so far
}

// Start builds the binaries and starts the plan's processes; it returns when all
// are ready and the configuration is in the store.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	group := plan.Group
	if group == nil {
		var err error
		if group, err = process.NewGroup(); err != nil {
			return nil, err
		}
	}
	c := &Cluster{plan: plan, group: group, addresses: loopback.NewNetwork()}
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

// startProcess starts a child that ends with the cluster.
func (c *Cluster) startProcess(command process.Command) (*process.Process, error) {
	child, err := c.group.Start(command)
	if err != nil {
		return nil, err
	}
	c.processes = append(c.processes, child)
	return child, nil
}

func (c *Cluster) startStore(context.Context) (err error) {
	host := c.addresses.Take()
	address := netip.AddrPortFrom(host, storePort).String()
	labAddress := netip.AddrPortFrom(host, labPort).String()
	c.StoreURL = "http://" + address
	c.labURL = "http://" + labAddress
	c.Platform = objects.NewClient(c.StoreURL, objects.Options{})
	c.Store, err = c.startProcess(process.Command{
		Name: "store", Path: c.lab, Arguments: []string{"store", "--address", address, "--lab-address", labAddress},
	})
	if err != nil {
		return err
	}
	return c.Store.AwaitReady(readyLimit)
}

func (c *Cluster) startBalancers(ctx context.Context) error {
	for range c.plan.Balancers {
		node, err := c.startNode(ctx, roleBalancer)
		if err != nil {
			return err
		}
		c.Balancers = append(c.Balancers, node)
	}
	return nil
}

func (c *Cluster) startServices(ctx context.Context) error {
	for index, plan := range c.plan.Services {
		service := catalog.Service{
			Name:     plan.Name,
			Protocol: plan.Protocol,
			Address:  netip.AddrPortFrom(c.addresses.Take(), uint16(servicePort+index)),
		}
		for _, site := range plan.Sites {
			service.Shares = append(service.Shares, catalog.SiteShare{Site: site.Name, Percent: site.Percent})
			for range site.Backends {
				member, err := c.startBackend(ctx, plan.Name, site.Name)
				if err != nil {
					return err
				}
				service.Backends = append(service.Backends, c.entry(member))
			}
		}
		if err := c.Create(ctx, service); err != nil {
			return err
		}
	}
	return nil
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
func (c *Cluster) SyncFabric() { c.Fabric.SetBalancers(dataAddresses(c.Balancers)) }

// awaitReady waits for every process and until the configuration is in force everywhere.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, member := range c.Backends {
		if err := member.awaitReady(); err != nil {
			return err
		}
	}
	for _, balancer := range c.Balancers {
		if err := balancer.Process.AwaitReady(readyLimit); err != nil {
			return err
		}
	}
	changes, err := c.Platform.Changes(ctx, 0)
	if err != nil {
		return err
	}
	return AwaitRevision(changes.Revision, readyLimit, c.Nodes()...)
}

// StopAll stops every process cleanly and reports those that did not stop so.
func (c *Cluster) StopAll() error { return process.StopAll(c.processes, stopLimit) }

// Close ends whatever still runs.
func (c *Cluster) Close() error {
	var problems []error
	if c.Fabric != nil {
		problems = append(problems, c.Fabric.Close())
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
	for _, child := range c.processes {
		child.Kill()
	}
	for _, member := range c.Backends {
		problems = append(problems, member.closeServer())
		if member.Proxy != nil {
			problems = append(problems, member.Proxy.Close())
		}
	}
	if c.plan.Group == nil {
		problems = append(problems, c.group.Close())
	}
	return errors.Join(problems...)
}

// without returns the items but one.
func without[Item comparable](items []Item, unwanted Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return item == unwanted })
}
