// Package cluster starts a whole small deployment as real processes on loopback
// addresses: the platform's store, back ends, balancers and agents, with the
// fabric in the starting process. Tests and the demo share it.
package cluster

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/process"
)

// SitePlan is one site of a service and the back ends it begins with.
type SitePlan struct {
	Name     catalog.SiteName
	Percent  uint32 // share of new flows; those of a service add up to 100
	Backends int    // number of back ends, each with an agent of its own
}

// ServicePlan is one service and its sites.
type ServicePlan struct {
	Name        catalog.ServiceName
	Protocol    catalog.Protocol
	Slots       uint32 // requests that each back end runs at once
	Connections uint32 // flows that each back end holds at once; 0: defaultConnections
	Sites       []SitePlan
	// Proxied puts a fault proxy between each back end's TCP port and its agent.
	Proxied bool
}

// defaultConnections is the limit on flows of a back end whose plan has none.
const defaultConnections = 2000

// Plan is the deployment to start.
type Plan struct {
	Zones       []catalog.ZoneName // processes are spread over the zones in turn
	Balancers   int
	Services    []ServicePlan
	IdleTimeout time.Duration // of flows; 0: the default of package settings
	// DrainIdleTimeout is that of a stopping agent's flows; 0: the default.
	DrainIdleTimeout time.Duration

	// Journal, if set, makes the back ends run in the starting process and write
	// to it, so that what they recorded outlives them.
	Journal *backend.Journal
	// Group, if set, is where processes are started and binaries built once for
	// several clusters. It stays open when the cluster is closed.
	Group *process.Group
}

// service returns the plan of a service, nil if there is none.
func (p *Plan) service(name catalog.ServiceName) *ServicePlan {
	for index := range p.Services {
		if p.Services[index].Name == name {
			return &p.Services[index]
		}
	}
	return nil
}

// Fixed ports; every process has an address of its own in 127.0.0.0/8.
const (
	servicePort = 4433
	storePort   = 6000
	labPort     = 6100
	dataPort    = 7000
	controlPort = 7100
	metricsPort = 7200
	backendPort = 8000
	proxyPort   = 8100 // of the fault proxy in front of a back end
)

// region is the region of every process of a cluster.
const region = "r1"
