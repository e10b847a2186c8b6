package test

import (
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/cluster"
)

// TestNewMembersLeaveNoFlowUnanswered proves that a back end that is added, and
// an agent that is restarted, take their part of new flows without leaving one
// unanswered for longer than silenceLimit.
func TestNewMembersLeaveNoFlowUnanswered(t *testing.T) {
	t.Parallel()
	d := start(t, cluster.Plan{
		Balancers:   3,
		IdleTimeout: 2 * time.Second,
		Services:    []cluster.ServicePlan{{Name: media, Protocol: catalog.ProtocolUDP, Slots: slots, Sites: one(3)}},
	})
	run := d.startFlows(d.flowLoad(media, 100, time.Second))
	for range 2 {
		added, revision, err := d.AddBackend(t.Context(), media, oldSite)
		d.inForce(revision, err)
		d.await("the added back end has new flows", d.workedSince(added))
	}
	for _, member := range d.Backends[:2] {
		d.is.NoErr(member.Agent.Process.Stop(waitLimit))
		d.is.NoErr(d.Rerun(member.Agent))
		d.await("the restarted agent has new flows", d.workedSince(member))
	}
	d.judgeFlows(run.Stop())
}
