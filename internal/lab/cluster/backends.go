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

// Backend is one back end with the agent beside it.
type Backend struct {
	ID          catalog.BackendID
	Service     catalog.ServiceName
	Site        catalog.SiteName
	Address     netip.AddrPort
	Incarnation uint64
	Agent       *Node
	Proxy       *faultproxy.TCP // between the agent and the back end; nil without one

	process *process.Process // nil: it runs in this process
	server  *backend.Backend // nil: it runs as a process of its own
}

func (b *Backend) awaitReady() error {
	if b.process != nil {
		if err := b.process.AwaitReady(readyLimit); err != nil {
			return err
		}
	}
	return b.Agent.Process.AwaitReady(readyLimit)
}

func (b *Backend) closeServer() error {
	if b.server == nil {
		return nil
	}
	return b.server.Close()
}

// Counts returns what the back end has counted so far.
func (b *Backend) Counts(ctx context.Context) (backend.Counts, error) {
	if b.server != nil {
		return b.server.Counts(), nil
	}
	return backend.FetchCounts(ctx, b.Address)
}

// startBackend starts a back end and the agent beside it.
func (c *Cluster) startBackend(ctx context.Context, service catalog.ServiceName, site catalog.SiteName) (*Backend, error) {
	member := c.newBackend(service, site)
	member.Address = netip.AddrPortFrom(c.addresses.Take(), backendPort)
	if err := c.serve(member); err != nil {
		return nil, err
	}
	if err := c.startProxy(member); err != nil {
		return nil, err
	}
	agent, err := c.startNode(ctx, roleAgent)
	if err != nil {
		return nil, err
	}
	member.Agent = agent
	c.Backends = append(c.Backends, member)
	return member, nil
}

func (c *Cluster) newBackend(service catalog.ServiceName, site catalog.SiteName) *Backend {
	c.numbered++
	return &Backend{
		ID:          catalog.BackendID(fmt.Sprintf("%s-%d", service, c.numbered)),
		Service:     service,
		Site:        site,
		Incarnation: 1,
	}
}

// Times for a port that is in use.
const (
	rebindLimit = 2 * time.Second
	rebindPause = 20 * time.Millisecond
)

// serveHere starts the back end in this process. A port that was closed just now
// may still be held by a child between its fork and its exec.
func (c *Cluster) serveHere(member *Backend, slots uint32) (err error) {
	for deadline := time.Now().Add(rebindLimit); ; time.Sleep(rebindPause) {
		member.server, err = backend.Start(backend.Options{
			ID: member.ID, Service: member.Service, Address: member.Address, Slots: slots, Journal: c.plan.Journal,
		})
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
	}
}

// serve starts the back end itself.
func (c *Cluster) serve(member *Backend) (err error) {
	slots := c.plan.service(member.Service).Slots
	if c.plan.Journal != nil {
		return c.serveHere(member, slots)
	}
	member.process, err = c.startProcess(process.Command{
		Name: string(member.ID),
		Path: c.lab,
		Arguments: []string{
			"backend",
			"--id", string(member.ID),
			"--service", string(member.Service),
			"--address", member.Address.String(),
			"--slots", fmt.Sprint(slots),
		},
	})
	return err
}

// startProxy puts a fault proxy in front of the back end if the plan says so.
func (c *Cluster) startProxy(member *Backend) (err error) {
	if !c.plan.service(member.Service).Proxied {
		return nil
	}
	member.Proxy, err = faultproxy.StartTCP(faultproxy.Options{
		Listen: netip.AddrPortFrom(member.Address.Addr(), proxyPort),
		Target: member.Address,
		Seed:   uint64(c.numbered),
	})
	return err
}

// reached returns the address at which the agent reaches the back end.
func (b *Backend) reached() netip.AddrPort {
	if b.Proxy != nil {
		return b.Proxy.Address()
	}
	return b.Address
}

// KillBackend ends a back end at once, cutting what runs there. Its agent runs
// on. It needs back ends that run in this process.
func (c *Cluster) KillBackend(member *Backend) error { return member.closeServer() }

// RerunBackend starts a back end that has been killed, at its old address.
func (c *Cluster) RerunBackend(member *Backend) error { return c.serve(member) }

// entry returns the back end's entry in the service object.
func (c *Cluster) entry(member *Backend) catalog.Backend {
	plan := c.plan.service(member.Service)
	connections := plan.Connections
	if connections == 0 {
		connections = defaultConnections
	}
	return catalog.Backend{
		ID: member.ID, Site: member.Site, Zone: member.Agent.Zone,
		Agent: member.Agent.Data(), Address: member.reached(),
		Weight: 1, Slots: plan.Slots, Connections: connections,
		State: catalog.BackendActive, Incarnation: member.Incarnation,
	}
}

// AddBackend starts a back end with its agent and adds it to the configuration.
func (c *Cluster) AddBackend(ctx context.Context, service catalog.ServiceName, site catalog.SiteName) (*Backend, catalog.Revision, error) {
	member, err := c.startBackend(ctx, service, site)
	if err != nil {
		return nil, 0, err
	}
	if err := member.awaitReady(); err != nil {
		return nil, 0, err
	}
	revision, err := c.enlist(ctx, member)
	return member, revision, err
}

// enlist adds a back end to its service's object.
func (c *Cluster) enlist(ctx context.Context, member *Backend) (catalog.Revision, error) {
	return c.Change(ctx, member.Service, func(service *catalog.Service) {
		service.Backends = append(service.Backends, c.entry(member))
	})
}

// SetState changes whether a back end may take new work.
func (c *Cluster) SetState(ctx context.Context, member *Backend, state catalog.BackendState) (catalog.Revision, error) {
	return c.Change(ctx, member.Service, func(service *catalog.Service) {
		for index := range service.Backends {
			if service.Backends[index].ID == member.ID {
				service.Backends[index].State = state
			}
		}
	})
}

// Delist takes a back end out of its service's object. It and its agent run on.
func (c *Cluster) Delist(ctx context.Context, member *Backend) (catalog.Revision, error) {
	return c.Change(ctx, member.Service, func(service *catalog.Service) {
		kept := service.Backends[:0]
		for _, entry := range service.Backends {
			if entry.ID != member.ID {
				kept = append(kept, entry)
			}
		}
		service.Backends = kept
	})
}

// Retire stops a back end that is no longer in the configuration, and its agent.
func (c *Cluster) Retire(ctx context.Context, member *Backend) error {
	c.Backends = without(c.Backends, member)
	if err := c.Unregister(ctx, member.Agent); err != nil {
		return err
	}
	if err := member.Agent.Process.Stop(stopLimit); err != nil {
		return err
	}
	if member.process != nil {
		return member.process.Stop(stopLimit)
	}
	return member.closeServer()
}

// Reuse replaces a delisted back end by one of another service at the same
// address and behind the same agent, and adds that to the configuration. It
// needs back ends that run in this process.
func (c *Cluster) Reuse(ctx context.Context, former *Backend, service catalog.ServiceName) (*Backend, catalog.Revision, error) {
	if former.server == nil {
		return nil, 0, fault.New(fault.Invalid, "back end %s runs as a process of its own", former.ID)
	}
	if err := former.closeServer(); err != nil {
		return nil, 0, err
	}
	next := c.newBackend(service, former.Site)
	next.Address = former.Address
	next.Agent = former.Agent
	next.Incarnation = former.Incarnation + 1
	if err := c.serve(next); err != nil {
		return nil, 0, err
	}
	c.Backends = append(without(c.Backends, former), next)
	revision, err := c.enlist(ctx, next)
	return next, revision, err
}
