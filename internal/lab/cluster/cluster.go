// This file builds the binaries, and starts, stops and closes a cluster: the store, balancers, back
// ends with their agents, services and the fabric. Start fails if a process is not ready, or a node
// has not applied the configuration, within readyTimeout.

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

// Import paths of the binaries that Start builds.
const (
	burlmillPackage = "github.com/burlmill/burlmill/cmd/burlmill"
	labPackage      = "github.com/burlmill/burlmill/cmd/burlmill-lab"
)

// Timeouts for one process.
const (
	readyTimeout = 20 * time.Second // until it is ready
	stopTimeout  = 40 * time.Second // until it has exited after SIGTERM
)

// Cluster is a running cluster. It must be used by one goroutine at a time.
type Cluster struct {
	Fabric       *fabric.Fabric
	StoreClient  *objects.Client
	StoreURL     string // base URL of the store's object API
	StoreProcess *process.Process
	Balancers    []*Node
	Backends     []*Backend

	plan            Plan
	group           *process.Group
	processes       []*process.Process // all processes that the cluster has started
	addresses       *loopback.AddressPool
	storeControlURL string // base URL of the store's control API
	burlmillBinary  string // path
	labBinary       string // path
	nodeCount       int    // nodes created so far
	backendCount    int    // back ends created so far
}

// Start builds the binaries and starts the plan's processes. It returns when all are ready and
// every node has applied the configuration. On an error it closes the cluster.
func Start(ctx context.Context, plan Plan) (*Cluster, error) {
	group := plan.Group
	if group == nil {
		var err error
		if group, err = process.NewGroup(); err != nil {
			return nil, err
		}
	}
	c := &Cluster{plan: plan, group: group, addresses: loopback.NewAddressPool()}
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
	if c.burlmillBinary, err = c.group.Build(burlmillPackage); err != nil {
		return err
	}
	c.labBinary, err = c.group.Build(labPackage)
	return err
}

// startProcess starts a child process that Close kills.
func (c *Cluster) startProcess(command process.Command) (*process.Process, error) {
	child, err := c.group.Start(command)
	if err != nil {
		return nil, err
	}
	c.processes = append(c.processes, child)
	return child, nil
}

func (c *Cluster) startStore(context.Context) (err error) {
	host := c.addresses.Next()
	address := netip.AddrPortFrom(host, storePort).String()
	controlAddress := netip.AddrPortFrom(host, storeControlPort).String()
	c.StoreURL = "http://" + address
	c.storeControlURL = "http://" + controlAddress
	c.StoreClient = objects.NewClient(c.StoreURL, objects.Options{})
	c.StoreProcess, err = c.startProcess(process.Command{
		Name: "store", Path: c.labBinary, Arguments: []string{"store", "--address", address, "--lab-address", controlAddress},
	})
	if err != nil {
		return err
	}
	return c.StoreProcess.AwaitReady(readyTimeout)
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
			Address:  netip.AddrPortFrom(c.addresses.Next(), uint16(servicePort+index)),
		}
		for _, site := range plan.Sites {
			service.Shares = append(service.Shares, catalog.SiteShare{Site: site.Name, Percent: site.Percent})
			for range site.Backends {
				b, err := c.startBackend(ctx, plan.Name, site.Name)
				if err != nil {
					return err
				}
				service.Backends = append(service.Backends, c.catalogEntry(b))
			}
		}
		if err := c.CreateService(ctx, service); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startFabric(ctx context.Context) (err error) {
	changes, err := c.StoreClient.Changes(ctx, 0)
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

// SyncFabric makes the fabric send to the balancers in c.Balancers.
func (c *Cluster) SyncFabric() { c.Fabric.SetBalancers(dataAddresses(c.Balancers)) }

// awaitReady waits until every process is ready and every node has applied the current
// configuration.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, b := range c.Backends {
		if err := b.awaitReady(); err != nil {
			return err
		}
	}
	for _, balancer := range c.Balancers {
		if err := balancer.Process.AwaitReady(readyTimeout); err != nil {
			return err
		}
	}
	changes, err := c.StoreClient.Changes(ctx, 0)
	if err != nil {
		return err
	}
	return AwaitRevision(changes.Revision, readyTimeout, c.Nodes()...)
}

// StopAll stops every running process with SIGTERM. The error joins those of the processes that did
// not exit in time or exited with a code other than 0.
func (c *Cluster) StopAll() error { return process.StopAll(c.processes, stopTimeout) }

// Close kills all processes, stops the fabric, the back ends and the fault proxies in this process,
// and closes the process group unless the plan provided it.
func (c *Cluster) Close() error {
	var errs []error
	if c.Fabric != nil {
		errs = append(errs, c.Fabric.Close())
	}
	if c.StoreClient != nil {
		c.StoreClient.Close()
	}
	for _, child := range c.processes {
		child.Kill()
	}
	for _, b := range c.Backends {
		errs = append(errs, b.closeServer())
		if b.Proxy != nil {
			errs = append(errs, b.Proxy.Close())
		}
	}
	if c.plan.Group == nil {
		errs = append(errs, c.group.Close())
	}
	return errors.Join(errs...)
}

// without returns a copy of the items without the unwanted one.
func without[Item comparable](items []Item, unwanted Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return item == unwanted })
}
