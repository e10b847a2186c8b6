// This file implements Drain, Undrain and Shift, each of which changes one stored service, and
// modifyService, with which they, Evacuate and Restore read, change and write back a service. A
// conflict is reported and not retried.

package operator

import (
	"context"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Drain sets the state of the back end to draining, so that it accepts no new flows or requests.
// The error of the result is of kind fault.NotFound if the service or the back end does not exist.
func (e *Executor) Drain(ctx context.Context, service catalog.ServiceName, backend catalog.BackendID) Result {
	return e.setState(ctx, service, backend, catalog.BackendDraining)
}

// Undrain sets the state of the back end to active, so that it accepts new flows and requests
// again. Errors are as for Drain.
func (e *Executor) Undrain(ctx context.Context, service catalog.ServiceName, backend catalog.BackendID) Result {
	return e.setState(ctx, service, backend, catalog.BackendActive)
}

func (e *Executor) setState(ctx context.Context, name catalog.ServiceName, id catalog.BackendID, state catalog.BackendState) Result {
	return e.modifyService(ctx, name, func(service *catalog.Service) error {
		hasID := func(backend catalog.Backend) bool { return backend.ID == id }
		index := slices.IndexFunc(service.Backends, hasID)
		if index < 0 {
			return fault.New(fault.NotFound, "service %q has no back end %q", name, id)
		}
		service.Backends[index].State = state
		return nil
	})
}

// Shift sets the shares of the given sites and leaves the other shares unchanged. The error of the
// result is of kind fault.NotFound if the service or a site does not exist, and fault.Invalid if
// the shares of the service would not add up to 100 percent.
func (e *Executor) Shift(ctx context.Context, name catalog.ServiceName, shares []catalog.SiteShare) Result {
	return e.modifyService(ctx, name, func(service *catalog.Service) error {
		return setShares(service, shares)
	})
}

func setShares(service *catalog.Service, shares []catalog.SiteShare) error {
	for _, share := range shares {
		if err := setShare(service, share); err != nil {
			return err
		}
	}
	return nil
}

func setShare(service *catalog.Service, share catalog.SiteShare) error {
	isOfSite := func(existing catalog.SiteShare) bool { return existing.Site == share.Site }
	index := slices.IndexFunc(service.Shares, isOfSite)
	if index < 0 {
		return fault.New(fault.NotFound, "service %q has no site %q", service.Name, share.Site)
	}
	service.Shares[index] = share
	return nil
}

// modifyService reads the service, changes it and writes it back on condition that the stored
// version has not changed. If an earlier run of the command has written the service, it writes
// nothing and returns the result of that write. It does not retry after a conflict, because the
// concurrent write may have made the opposite change.
func (e *Executor) modifyService(ctx context.Context, name catalog.ServiceName, change func(*catalog.Service) error) Result {
	current, err := e.readObject(ctx, name)
	if err != nil {
		return failedResult(name, err)
	}
	if version, done := current.VersionOf(e.options.Command); done {
		return repeatedResult(current, version, nil)
	}
	service, err := existingService(name, current)
	if err != nil {
		return failedResult(name, err)
	}
	if err := change(&service); err != nil {
		return failedResult(name, err)
	}
	return e.writeIfChanged(ctx, current, service)
}
