package test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
)

// TestPartitions proves that a zone may be cut off and come back: all processes
// of one zone after another stop answering until the others have given them up
// and the configuration has changed, and then go on where they were. Afterwards
// all processes agree on who is alive and on the configuration, no flow whose
// agent was never cut off is broken or seen at two back ends, no request is
// answered wrongly, and none that was answered as not run has run.
func TestPartitions(t *testing.T) {
	t.Parallel()
	d := start(t, cluster.Plan{
		Balancers: 3,
		Services: []cluster.ServicePlan{
			{Name: media, Protocol: catalog.ProtocolUDP, Slots: slots, Sites: one(6)},
			{Name: lessons, Protocol: catalog.ProtocolHTTP, Slots: slots, Sites: one(3)},
		},
	})
	partition := partition{&frozenBackends{deployment: d}}
	open := d.flowLoad(media, 300, 0)
	open.SilenceLimit = waitLimit // the frozen balancer loses a part of all datagrams
	short := d.flowLoad(media, 50, time.Second)
	short.SilenceLimit = open.SilenceLimit
	flows := []*caller.Run{d.startFlows(open), d.startFlows(short)}
	requests := d.startRequests(lessons, 6)
	for number, zone := range zones[:2] {
		partition.cutOff(zone, uint32(number+2))
	}
	for _, load := range flows {
		partition.judgeFlows(load.Stop())
	}
	partition.judgeRequests(requests.Stop())
}

type partition struct{ *frozenBackends }

// cutOff freezes a zone, changes the configuration, and waits until all
// processes agree after the zone has come back.
func (p partition) cutOff(zone catalog.ZoneName, weight uint32) {
	p.t.Helper()
	var present, frozen []*cluster.Node
	for _, node := range p.Nodes() {
		if node.Zone == zone {
			frozen = append(frozen, node)
		} else {
			present = append(present, node)
		}
	}
	for _, member := range p.Backends {
		if member.Agent.Zone == zone {
			p.freeze(member)
		}
	}
	for _, node := range frozen {
		node.Process.Freeze()
	}
	revision, err := p.Change(p.t.Context(), media, func(service *catalog.Service) {
		for index := range service.Backends {
			service.Backends[index].Weight = weight
		}
	})
	p.inForceOn(present, revision, err)
	p.agree(present, len(present))
	time.Sleep(observation) // flows of the frozen agents move
	for _, node := range frozen {
		node.Process.Resume()
	}
	p.inForce(revision, nil)
	p.agree(p.Nodes(), len(p.Nodes()))
}

// agree waits until each of the nodes sees so many alive.
func (p partition) agree(nodes []*cluster.Node, alive int) {
	p.t.Helper()
	begin := time.Now()
	for _, node := range nodes {
		p.await(fmt.Sprintf("%s sees %d nodes alive", node.ID, alive), func() bool { return p.aliveAt(node) == alive })
	}
	p.t.Logf("%d nodes agreed that %d are alive after %s", len(nodes), alive, time.Since(begin))
}

// aliveAt counts the members that a node holds for alive.
func (p partition) aliveAt(node *cluster.Node) int {
	asked, err := p.StartQuery(node, "nodes where status = alive")
	p.is.NoErr(err)
	<-asked.Ended()
	return strings.Count(asked.Log(), ",alive,")
}
