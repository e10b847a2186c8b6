// This file defines the plan of a cluster, and the ports and the region of its processes.

// Package cluster starts a small but complete burlmill cluster on loopback addresses, for tests and
// the demo. The store, balancers and agents run as child processes, and so do the back ends unless
// the plan has a journal. The fabric and the fault proxies run in the starting process.
package cluster

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/process"
)

// SitePlan describes a site of a service.
type SitePlan struct {
	Name     catalog.SiteName
	Percent  uint32 // share of new flows; the shares of a service add up to 100
	Backends int    // initial number of back ends, each with its own agent
}

// ServicePlan describes a service and its sites.
type ServicePlan struct {
	Name        catalog.ServiceName
	Protocol    catalog.Protocol
	Slots       uint32 // concurrent requests per back end
	Connections uint32 // concurrent flows per back end; 0: defaultConnections
	Sites       []SitePlan
	// FaultProxy places a TCP fault proxy between each back end and its agent.
	FaultProxy bool
}

// defaultConnections is the limit on concurrent flows of a back end if the plan sets none.
const defaultConnections = 2000

// Plan describes the cluster to start.
type Plan struct {
	Zones       []catalog.ZoneName // nodes are assigned to the zones in turn
	Balancers   int
	Services    []ServicePlan
	IdleTimeout time.Duration // of flows; 0: the default of package settings
	// DrainIdleTimeout is the idle timeout of flows while a node is shutting down; 0: the default
	// of package settings.
	DrainIdleTimeout time.Duration

	// Journal, if set, makes the back ends run in the starting process and write to it, so that
	// their records remain available after they stop.
	Journal *backend.Journal
	// Group, if set, builds the binaries and starts the processes, so that several clusters can
	// share the binaries. Closing the cluster does not close it.
	Group *process.Group
}

// service returns the plan of a service, or nil if there is none.
func (p *Plan) service(name catalog.ServiceName) *ServicePlan {
	for index := range p.Services {
		if p.Services[index].Name == name {
			return &p.Services[index]
		}
	}
	return nil
}

// Ports of the processes, each of which has its own address in 127.0.0.0/8. The first service uses
// servicePort, the next ones the ports after it.
const (
	servicePort      = 4433
	storePort        = 6000
	storeControlPort = 6100
	dataPort         = 7000
	controlPort      = 7100
	metricsPort      = 7200
	backendPort      = 8000
	proxyPort        = 8100 // fault proxy of a back end
)

// region is the same for all nodes.
const region = "r1"
