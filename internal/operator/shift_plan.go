// This file implements PlanShift, which computes the effect of a change of shares on new flows
// without writing anything, and prints the plan. It also parses the stored service for other
// commands.

package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/objects"
	"github.com/burlmill/burlmill/internal/operator/output"
)

// ShiftPlan describes the effect of a change of a service's shares on new flows. Each flow belongs
// to a bucket, and the candidate order of the bucket is the order in which the back ends are
// considered for the flow. Open flows stay on their back ends.
type ShiftPlan struct {
	Service               catalog.ServiceName
	Version               catalog.Revision // version of the object that would be replaced
	Buckets               int              // flow.BucketCount
	OrdersChanged         int              // buckets whose candidate order changes
	FirstCandidateChanged int              // buckets whose first candidate changes
	Backends              []BackendPlan    // in the order of the service object
}

// BackendPlan describes the effect of a change of shares on one back end.
type BackendPlan struct {
	ID          catalog.BackendID
	Site        catalog.SiteName
	FirstBefore int // buckets with this back end as first candidate before the change
	FirstAfter  int // buckets with this back end as first candidate after the change
}

// PlanShift computes the effect of Shift without writing anything. Errors of reading the store keep
// their kind; others are of kind fault.NotFound or fault.Invalid, as for Shift.
func (e *Executor) PlanShift(ctx context.Context, name catalog.ServiceName, shares []catalog.SiteShare) (ShiftPlan, error) {
	current, err := e.readObject(ctx, name)
	if err != nil {
		return ShiftPlan{}, err
	}
	before, err := existingService(name, current)
	if err != nil {
		return ShiftPlan{}, err
	}
	after := before
	after.Shares = slices.Clone(before.Shares)
	if err := setShares(&after, shares); err != nil {
		return ShiftPlan{}, err
	}
	if err := validateService(after); err != nil {
		return ShiftPlan{}, err
	}
	plan := compareCandidateOrders(&before, &after)
	plan.Version = current.Version
	return plan, nil
}

// existingService parses the service that the object contains. The error is of kind fault.NotFound
// if the object does not exist or is deleted, and fault.Invalid if its content is not valid.
func existingService(name catalog.ServiceName, current objects.Object) (catalog.Service, error) {
	if current.Version == 0 || current.Deleted {
		return catalog.Service{}, fault.New(fault.NotFound, "service %q does not exist", name)
	}
	service, err := catalog.ParseService(name, current.Body)
	if err != nil {
		return catalog.Service{}, fmt.Errorf("stored version %d is invalid and cannot be changed: %w", current.Version, err)
	}
	return service, nil
}

func validateService(service catalog.Service) error {
	body, err := json.Marshal(service)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "format service")
	}
	_, err = catalog.ParseService(service.Name, body)
	return err
}

// compareCandidateOrders compares the candidate orders of all buckets of two versions of a service.
// Both must have the same back ends in the same order. The caller sets ShiftPlan.Version.
func compareCandidateOrders(before, after *catalog.Service) ShiftPlan {
	plan := ShiftPlan{Service: after.Name, Buckets: flow.BucketCount}
	for _, backend := range after.Backends {
		plan.Backends = append(plan.Backends, BackendPlan{ID: backend.ID, Site: backend.Site})
	}
	if len(plan.Backends) == 0 {
		return plan
	}
	for bucket := range flow.BucketCount {
		orderBefore := flow.CandidateOrder(before, flow.Bucket(bucket))
		orderAfter := flow.CandidateOrder(after, flow.Bucket(bucket))
		plan.Backends[orderBefore[0]].FirstBefore++
		plan.Backends[orderAfter[0]].FirstAfter++
		if orderBefore[0] != orderAfter[0] {
			plan.FirstCandidateChanged++
		}
		if !slices.Equal(orderBefore, orderAfter) {
			plan.OrdersChanged++
		}
	}
	return plan
}

// Write prints a summary of the plan and a table of its back ends.
func (p *ShiftPlan) Write(writer io.Writer) error {
	fmt.Fprintf(writer, "%s: dry run at version %d, nothing written\n", p.Service, p.Version)
	fmt.Fprintf(writer, "%d of %d rows (%.1f%%) get another first back end, %d change in any place; open flows stay\n",
		p.FirstCandidateChanged, p.Buckets, p.percent(p.FirstCandidateChanged), p.OrdersChanged)
	table := output.NewTableWriter(writer)
	table.WriteRow("BACKEND", "SITE", "FIRST BEFORE", "FIRST AFTER")
	for _, backend := range p.Backends {
		table.WriteRow(string(backend.ID), string(backend.Site), p.formatShare(backend.FirstBefore), p.formatShare(backend.FirstAfter))
	}
	return table.Flush()
}

func (p *ShiftPlan) percent(buckets int) float64 { return float64(buckets) * 100 / float64(p.Buckets) }

func (p *ShiftPlan) formatShare(buckets int) string {
	return fmt.Sprintf("%d (%.1f%%)", buckets, p.percent(buckets))
}
