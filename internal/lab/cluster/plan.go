// Package cluster starts a whole small deployment as real processes on loopback
// addresses: the platform's store, back ends, balancers and agents, with the
// fabric in the starting process. Tests and the demo share it.
package cluster

import (
	"fmt"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/burlmill/burlmill/catalog"
)

// ServicePlan is one service and the back ends it begins with.
type ServicePlan struct {
	Name     catalog.ServiceName
	Protocol catalog.Protocol
	Backends int              // number of back ends, each with an agent of its own
	Slots    uint32           // requests that each back end runs at once
	Site     catalog.SiteName // site of all back ends
}

// Plan is the deployment to start.
type Plan struct {
	Zones     []catalog.ZoneName // processes are spread over the zones in turn
	Balancers int
	Services  []ServicePlan
}

// Fixed ports; every process has an address of its own in 127.0.0.0/8.
const (
	servicePort = 4433
	storePort   = 6000
	dataPort    = 7000
	controlPort = 7100
	metricsPort = 7200
	backendPort = 8000
)

// region is the region of every process of a cluster.
const region = "r1"

// clusterCount numbers the clusters of this process.
var clusterCount atomic.Uint32

// addressPlan hands out loopback addresses that no other cluster on this
// machine uses: the second and third octets come from the process id and the
// number of the cluster.
type addressPlan struct {
	prefix string
	next   int
}

func newAddressPlan() *addressPlan {
	number := uint32(os.Getpid())*8 + clusterCount.Add(1)%8
	return &addressPlan{prefix: fmt.Sprintf("127.%d.%d", 1+number/250%250, 1+number%250), next: 1}
}

// take returns the next free address of the plan.
func (p *addressPlan) take() netip.Addr {
	address := netip.MustParseAddr(fmt.Sprintf("%s.%d", p.prefix, p.next))
	p.next++
	return address
}
