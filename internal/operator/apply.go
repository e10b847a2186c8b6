// This file implements Apply, which writes the services of a file to the store, optionally only if
// they are at expected versions. It rejects invalid services and addresses of other services before
// it writes any, and stops at the first service that cannot be written.

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// Expectation is the version that the stored service must have before Apply replaces it; 0 means
// that the service must not exist.
type Expectation struct {
	Service catalog.ServiceName
	Version catalog.Revision
}

// Apply writes the services in the given order, each replacing the stored object. It writes nothing
// and returns an error of kind fault.Invalid if a service is not valid, if its address belongs to
// another service after the preceding services have been written, or if an expectation names none
// of the services. Errors of reading the store keep their kind. A service whose expectation is not
// met is a Conflict. If a service is neither Applied nor Unchanged, the remaining ones are
// NotTried.
func (e *Executor) Apply(ctx context.Context, services []catalog.Service, expectations []Expectation) ([]Result, error) {
	if err := checkExpectations(services, expectations); err != nil {
		return nil, err
	}
	if err := e.checkAgainstStore(ctx, services); err != nil {
		return nil, err
	}
	var results []Result
	stopped := false
	for _, service := range services {
		result := Result{Service: service.Name, Status: NotTried}
		if !stopped {
			result = e.applyOne(ctx, service, expectations)
		}
		stopped = stopped || !result.Succeeded()
		results = append(results, result)
	}
	return results, nil
}

func (e *Executor) applyOne(ctx context.Context, service catalog.Service, expectations []Expectation) Result {
	current, err := e.readObject(ctx, service.Name)
	if err != nil {
		return failedResult(service.Name, err)
	}
	if version, done := current.VersionOf(e.options.Command); done {
		return repeatedResult(current, version, &service)
	}
	for _, expectation := range expectations {
		if expectation.Service == service.Name && !expectation.isMet(current) {
			return failedResult(service.Name, &objects.ConflictError{Current: current})
		}
	}
	return e.writeIfChanged(ctx, current, service)
}

// isMet reports whether the object is at the expected version. A deleted object also meets an
// expectation of 0.
func (e *Expectation) isMet(current objects.Object) bool {
	if current.Deleted {
		return e.Version == 0 || e.Version == current.Version
	}
	return e.Version == current.Version
}

// checkExpectations returns an error of kind fault.Invalid for each expectation that names none of
// the services.
func checkExpectations(services []catalog.Service, expectations []Expectation) error {
	var problems []error
	for _, expectation := range expectations {
		isNamed := func(service catalog.Service) bool { return service.Name == expectation.Service }
		if !slices.ContainsFunc(services, isNamed) {
			problems = append(problems, fault.InvalidField("expect", expectation.Service, "is not among the services to apply"))
		}
	}
	return errors.Join(problems...)
}

// checkAgainstStore adds the services one by one to a snapshot of the store, as every process of
// the deployment will do. It returns an error of kind fault.Invalid that joins the errors of
// services that are not valid or whose address belongs to another service. Invalid objects in the
// store are ignored.
func (e *Executor) checkAgainstStore(ctx context.Context, services []catalog.Service) error {
	changes, err := retry(ctx, e.options, func() (objects.Changes, error) { return e.store.Changes(ctx, 0) })
	if err != nil {
		return fmt.Errorf("read the store: %w", err)
	}
	snapshot, _ := catalog.Empty().With(changes.Objects, changes.Revision)
	var problems []error
	for _, service := range services {
		body, err := json.Marshal(service)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "format service")
		}
		revision := snapshot.Revision() + 1
		object := catalog.Object{Name: service.Name, Revision: revision, Body: body}
		snapshot, err = snapshot.With([]catalog.Object{object}, revision)
		if err != nil {
			problems = append(problems, fmt.Errorf("service %q: %w", service.Name, err))
		}
	}
	return errors.Join(problems...)
}
