// This file implements Evacuate and Restore, which disable and enable new flows and requests to the
// back ends of a zone, and the plan of an evacuation.

package operator

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
	"github.com/burlmill/burlmill/internal/operator/output"
)

// EvacuationPlan describes the capacity that would be left of each active service with back ends in
// a zone if the zone were evacuated.
type EvacuationPlan struct {
	Zone     catalog.ZoneName
	Services []EvacuatedServicePlan // sorted by name
}

// EvacuatedServicePlan describes the capacity of one service before and after an evacuation.
type EvacuatedServicePlan struct {
	Service      catalog.ServiceName
	Backends     int    // active back ends
	BackendsLeft int    // active back ends outside the zone
	Slots        uint32 // slots of the active back ends
	SlotsLeft    uint32 // slots of the active back ends outside the zone
}

// PlanEvacuation computes the capacity that Evacuate would leave, without writing anything. Errors
// of reading the store keep their kind. Other errors are of kind fault.Invalid if the zone is not a
// valid name, and fault.NotFound if no active service has back ends in the zone.
func (e *Executor) PlanEvacuation(ctx context.Context, zone catalog.ZoneName) (EvacuationPlan, error) {
	services, err := e.servicesInZone(ctx, zone)
	if err != nil {
		return EvacuationPlan{}, err
	}
	plan := EvacuationPlan{Zone: zone}
	for _, service := range services {
		plan.Services = append(plan.Services, planService(service, zone))
	}
	return plan, nil
}

// planService counts the active back ends of a service and their slots, in total and outside the
// zone. Back ends in zones that are already evacuated do not count as active.
func planService(service *catalog.Service, zone catalog.ZoneName) EvacuatedServicePlan {
	plan := EvacuatedServicePlan{Service: service.Name}
	for _, backend := range service.Backends {
		if backend.State != catalog.BackendActive {
			continue
		}
		plan.Backends++
		plan.Slots += backend.Slots
		if backend.Zone != zone {
			plan.BackendsLeft++
			plan.SlotsLeft += backend.Slots
		}
	}
	return plan
}

// Write prints the plan as a table, followed by a warning for each service that would have no
// active back end left.
func (p *EvacuationPlan) Write(writer io.Writer) error {
	table := output.NewTableWriter(writer)
	table.WriteRow("SERVICE", "BACKENDS", "LEFT", "SLOTS", "LEFT")
	for _, part := range p.Services {
		table.WriteRow(string(part.Service), fmt.Sprint(part.Backends), fmt.Sprint(part.BackendsLeft), fmt.Sprint(part.Slots), fmt.Sprint(part.SlotsLeft))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, part := range p.Services {
		if part.BackendsLeft == 0 {
			fmt.Fprintf(writer, "warning: %s has no back end left that takes new work; its callers will be refused\n", part.Service)
		}
	}
	return nil
}

// servicesInZone returns the active services of the store that have back ends in the zone, sorted
// by name. Errors are as for PlanEvacuation.
func (e *Executor) servicesInZone(ctx context.Context, zone catalog.ZoneName) ([]*catalog.Service, error) {
	if !catalog.ValidName(string(zone)) {
		return nil, fault.InvalidField("zone", zone, fmt.Sprintf("must be 1 to %d lower-case letters, digits, dots or hyphens", catalog.MaxNameLength))
	}
	changes, err := retry(ctx, e.options, func() (objects.Changes, error) { return e.store.Changes(ctx, 0) })
	if err != nil {
		return nil, fmt.Errorf("read the store: %w", err)
	}
	snapshot, _ := catalog.Empty().With(changes.Objects, changes.Revision) // invalid objects are ignored
	var found []*catalog.Service
	for _, service := range snapshot.Services() {
		if slices.ContainsFunc(service.Backends, func(backend catalog.Backend) bool { return backend.Zone == zone }) {
			found = append(found, service)
		}
	}
	if len(found) == 0 {
		return nil, fault.New(fault.NotFound, "no service has back ends in zone %q", zone)
	}
	return found, nil
}

// Evacuate adds the zone to the evacuated zones of each active service that has back ends in the
// zone, so that these back ends accept no new flows or requests. Services are written one by one,
// each on condition that its stored version has not changed. If one cannot be written, the command
// continues with the next. Services for which the zone is already evacuated are Unchanged. Errors
// are as for PlanEvacuation.
func (e *Executor) Evacuate(ctx context.Context, zone catalog.ZoneName) ([]Result, error) {
	return e.updateEvacuatedZones(ctx, zone, func(zones []catalog.ZoneName) []catalog.ZoneName {
		if slices.Contains(zones, zone) {
			return zones
		}
		return append(slices.Clone(zones), zone)
	})
}

// Restore reverts Evacuate: the back ends of the zone accept new flows and requests again, except
// those whose own state is draining. Results and errors are as for Evacuate.
func (e *Executor) Restore(ctx context.Context, zone catalog.ZoneName) ([]Result, error) {
	return e.updateEvacuatedZones(ctx, zone, func(zones []catalog.ZoneName) []catalog.ZoneName {
		return slices.DeleteFunc(slices.Clone(zones), func(evacuated catalog.ZoneName) bool { return evacuated == zone })
	})
}

// updateEvacuatedZones applies change to the evacuated zones of each active service that has back
// ends in the zone.
func (e *Executor) updateEvacuatedZones(ctx context.Context, zone catalog.ZoneName, change func([]catalog.ZoneName) []catalog.ZoneName) ([]Result, error) {
	services, err := e.servicesInZone(ctx, zone)
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, service := range services {
		results = append(results, e.modifyService(ctx, service.Name, func(current *catalog.Service) error {
			current.EvacuatedZones = change(current.EvacuatedZones)
			return nil
		}))
	}
	return results, nil
}
