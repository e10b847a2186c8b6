// This file starts and stops back ends with their agents and fault proxies, kills, restarts and
// replaces back ends that run in this process, changes the entries of back ends in the service
// objects, and reads their counts.

package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/faultproxy"
	"github.com/burlmill/burlmill/internal/lab/process"
)

// Backend is a back end of the cluster and its agent.
type Backend struct {
	ID          catalog.BackendID
	Service     catalog.ServiceName
	Site        catalog.SiteName
	Address     netip.AddrPort
	Incarnation uint64 // incremented when ReplaceBackend reuses the address
	Agent       *Node
	Proxy       *faultproxy.TCP // between the agent and the back end; nil if there is none

	process *process.Process // nil: the back end runs in this process
	server  *backend.Backend // nil: the back end runs in a separate process
}

func (b *Backend) awaitReady() error {
	if b.process != nil {
		if err := b.process.AwaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return b.Agent.Process.AwaitReady(readyTimeout)
}

func (b *Backend) closeServer() error {
	if b.server == nil {
		return nil
	}
	return b.server.Close()
}

// Counts returns the counters of the back end. Errors are those of backend.FetchCounts.
func (b *Backend) Counts(ctx context.Context) (backend.Counts, error) {
	if b.server != nil {
		return b.server.Counts(), nil
	}
	return backend.FetchCounts(ctx, b.Address)
}

// startBackend starts a back end, its fault proxy if planned, and its agent.
func (c *Cluster) startBackend(ctx context.Context, service catalog.ServiceName, site catalog.SiteName) (*Backend, error) {
	b := c.newBackend(service, site)
	b.Address = netip.AddrPortFrom(c.addresses.Next(), backendPort)
	if err := c.startServer(b); err != nil {
		return nil, err
	}
	if err := c.startProxy(b); err != nil {
		return nil, err
	}
	agent, err := c.startNode(ctx, roleAgent)
	if err != nil {
		return nil, err
	}
	b.Agent = agent
	c.Backends = append(c.Backends, b)
	return b, nil
}

func (c *Cluster) newBackend(service catalog.ServiceName, site catalog.SiteName) *Backend {
	c.backendCount++
	return &Backend{
		ID:          catalog.BackendID(fmt.Sprintf("%s-%d", service, c.backendCount)),
		Service:     service,
		Site:        site,
		Incarnation: 1,
	}
}

// Timeout and interval of the attempts to bind a port that is in use.
const (
	rebindTimeout  = 2 * time.Second
	rebindInterval = 20 * time.Millisecond
)

// startServerInProcess starts the back end in this process. It retries while the port is in use:
// until a new child has called exec, it may still hold a socket that this process has just closed.
func (c *Cluster) startServerInProcess(b *Backend, slots uint32) (err error) {
	for deadline := time.Now().Add(rebindTimeout); ; time.Sleep(rebindInterval) {
		b.server, err = backend.Start(backend.Options{
			ID: b.ID, Service: b.Service, Address: b.Address, Slots: slots, Journal: c.plan.Journal,
		})
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
	}
}

// startServer starts the back end without its agent: in this process if the plan has a journal,
// otherwise in a separate process.
func (c *Cluster) startServer(b *Backend) (err error) {
	slots := c.plan.service(b.Service).Slots
	if c.plan.Journal != nil {
		return c.startServerInProcess(b, slots)
	}
	b.process, err = c.startProcess(process.Command{
		Name: string(b.ID),
		Path: c.labBinary,
		Arguments: []string{
			"backend",
			"--id", string(b.ID),
			"--service", string(b.Service),
			"--address", b.Address.String(),
			"--slots", fmt.Sprint(slots),
		},
	})
	return err
}

// startProxy starts a fault proxy in front of the back end if the plan requests one.
func (c *Cluster) startProxy(b *Backend) (err error) {
	if !c.plan.service(b.Service).FaultProxy {
		return nil
	}
	b.Proxy, err = faultproxy.StartTCP(faultproxy.Options{
		Listen: netip.AddrPortFrom(b.Address.Addr(), proxyPort),
		Target: b.Address,
		Seed:   uint64(c.backendCount),
	})
	return err
}

// agentTarget returns the address at which the agent connects to the back end.
func (b *Backend) agentTarget() netip.AddrPort {
	if b.Proxy != nil {
		return b.Proxy.Address()
	}
	return b.Address
}

// KillBackend closes a back end that runs in this process, which aborts its requests and flows. Its
// agent keeps running. It has no effect on a back end that runs in a separate process.
func (c *Cluster) KillBackend(b *Backend) error { return b.closeServer() }

// RestartBackend restarts, at the same address, a back end that KillBackend closed.
func (c *Cluster) RestartBackend(b *Backend) error { return c.startServer(b) }

// catalogEntry returns the back end's entry for the service object.
func (c *Cluster) catalogEntry(b *Backend) catalog.Backend {
	plan := c.plan.service(b.Service)
	connections := plan.Connections
	if connections == 0 {
		connections = defaultConnections
	}
	return catalog.Backend{
		ID: b.ID, Site: b.Site, Zone: b.Agent.Zone,
		Agent: b.Agent.Data(), Address: b.agentTarget(),
		Weight: 1, Slots: plan.Slots, Connections: connections,
		State: catalog.BackendActive, Incarnation: b.Incarnation,
	}
}

// AddBackend starts a back end with its agent, waits until both are ready and adds the back end to
// its service object. It returns the new revision and does not wait until nodes have applied it.
func (c *Cluster) AddBackend(ctx context.Context, service catalog.ServiceName, site catalog.SiteName) (*Backend, catalog.Revision, error) {
	b, err := c.startBackend(ctx, service, site)
	if err != nil {
		return nil, 0, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, 0, err
	}
	revision, err := c.addToService(ctx, b)
	return b, revision, err
}

// addToService adds the back end's entry to its service object.
func (c *Cluster) addToService(ctx context.Context, b *Backend) (catalog.Revision, error) {
	return c.UpdateService(ctx, b.Service, func(service *catalog.Service) {
		service.Backends = append(service.Backends, c.catalogEntry(b))
	})
}

// SetBackendState changes the state of a back end in its service object, which determines whether
// it receives new requests and flows.
func (c *Cluster) SetBackendState(ctx context.Context, b *Backend, state catalog.BackendState) (catalog.Revision, error) {
	return c.UpdateService(ctx, b.Service, func(service *catalog.Service) {
		for index := range service.Backends {
			if service.Backends[index].ID == b.ID {
				service.Backends[index].State = state
			}
		}
	})
}

// RemoveFromService removes a back end from its service object. The back end and its agent keep
// running.
func (c *Cluster) RemoveFromService(ctx context.Context, b *Backend) (catalog.Revision, error) {
	return c.UpdateService(ctx, b.Service, func(service *catalog.Service) {
		kept := service.Backends[:0]
		for _, entry := range service.Backends {
			if entry.ID != b.ID {
				kept = append(kept, entry)
			}
		}
		service.Backends = kept
	})
}

// StopBackend unregisters the agent of a back end that is no longer in its service object, and
// stops the agent and the back end.
func (c *Cluster) StopBackend(ctx context.Context, b *Backend) error {
	c.Backends = without(c.Backends, b)
	if err := c.UnregisterNode(ctx, b.Agent); err != nil {
		return err
	}
	if err := b.Agent.Process.Stop(stopTimeout); err != nil {
		return err
	}
	if b.process != nil {
		return b.process.Stop(stopTimeout)
	}
	return b.closeServer()
}

// ReplaceBackend replaces a back end that is no longer in its service object by one of another
// service at the same address and with the same agent, and adds the new one to its service object.
// The new one has no fault proxy. The error is of kind fault.Invalid if the back end runs in a
// separate process.
func (c *Cluster) ReplaceBackend(ctx context.Context, former *Backend, service catalog.ServiceName) (*Backend, catalog.Revision, error) {
	if former.server == nil {
		return nil, 0, fault.New(fault.Invalid, "back end %s runs in a separate process", former.ID)
	}
	if err := former.closeServer(); err != nil {
		return nil, 0, err
	}
	next := c.newBackend(service, former.Site)
	next.Address = former.Address
	next.Agent = former.Agent
	next.Incarnation = former.Incarnation + 1
	if err := c.startServer(next); err != nil {
		return nil, 0, err
	}
	c.Backends = append(without(c.Backends, former), next)
	revision, err := c.addToService(ctx, next)
	return next, revision, err
}
