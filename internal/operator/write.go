// This file writes a service to the store, unless it is unchanged, and determines the outcome if a
// reply is lost. It also returns the result of a command that an earlier run has applied.

package operator

import (
	"context"
	"encoding/json"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// writeIfChanged validates the service and writes it on condition that the object is still at the
// version of current. It writes nothing if the object already contains the same service.
func (e *Executor) writeIfChanged(ctx context.Context, current objects.Object, service catalog.Service) Result {
	body, err := json.Marshal(service)
	if err != nil {
		return failedResult(service.Name, fault.Wrap(fault.Internal, err, "format service"))
	}
	if _, err := catalog.ParseService(service.Name, body); err != nil {
		return failedResult(service.Name, err)
	}
	if sameContent(current, body) {
		return Result{Service: service.Name, Status: Unchanged, Version: current.Version, Latest: current.Version}
	}
	return e.putWithRetry(ctx, objects.Write{
		Name:     service.Name,
		Expected: current.Version,
		Body:     body,
		Command:  e.options.Command,
		Author:   e.options.Author,
	})
}

// repeatedResult returns the result of a command that an earlier run applied at the version. If
// requested is not nil and the version is still current but has different content, the result is an
// error of kind fault.Invalid, because the command id was used for another command.
func repeatedResult(current objects.Object, version catalog.Revision, requested *catalog.Service) Result {
	if requested != nil && version == current.Version {
		body, err := json.Marshal(requested)
		if err != nil || !sameContent(current, body) {
			return failedResult(current.Name, fault.InvalidField("command-id", current.Annotations.CommandID,
				"was used before with different content"))
		}
	}
	return Result{Service: current.Name, Status: Applied, Version: version, Latest: current.Version}
}

// sameContent reports whether the object contains the same service as a body formatted by
// json.Marshal.
func sameContent(current objects.Object, body []byte) bool {
	if current.Deleted || len(current.Body) == 0 {
		return false
	}
	service, err := catalog.ParseService(current.Name, current.Body)
	if err != nil {
		return false
	}
	formatted, err := json.Marshal(service)
	return err == nil && string(formatted) == string(body)
}

// putWithRetry sends the write, with retries. The result is Unknown if a copy was sent and its
// outcome could not be determined before Options.RetryTimeout elapsed or ctx ended.
func (e *Executor) putWithRetry(ctx context.Context, write objects.Write) Result {
	attempts := &writeAttempts{store: e.store, write: write}
	version, err := retry(ctx, e.options, func() (catalog.Revision, error) { return attempts.send(ctx) })
	if err != nil && attempts.outcomeUnknown && fault.KindOf(err) != fault.Conflict {
		err = fault.Wrap(fault.OutcomeUnknown, err, "outcome of command %q on version %d is unknown; "+
			"repeat it with the same command id", write.Command, write.Expected)
	}
	if err != nil {
		return failedResult(write.Name, err)
	}
	return Result{Service: write.Name, Status: Applied, Version: version, Latest: max(version, attempts.latest)}
}

// writeAttempts sends copies of one write. All copies have the same command id and expected
// version, so the store applies at most one of them.
type writeAttempts struct {
	store          Store
	write          objects.Write
	outcomeUnknown bool             // a copy was sent and its outcome is unknown
	latest         catalog.Revision // version of the object when it was last read back
}

// send sends one copy of the write. If it fails and the outcome of this or an earlier copy is
// unknown, the outcome is determined by reading the object back: an error for this copy does not
// exclude that an earlier one was applied.
func (a *writeAttempts) send(ctx context.Context) (catalog.Revision, error) {
	version, err := a.store.Put(ctx, a.write)
	if err == nil {
		return version, nil
	}
	if fault.KindOf(err) == fault.OutcomeUnknown {
		a.outcomeUnknown = true
	}
	if !a.outcomeUnknown {
		return 0, err
	}
	return a.resolve(ctx, err)
}

// resolve reads the object back to determine whether any copy was applied. cause is the error of
// the last copy; it is wrapped as fault.OutcomeUnknown if no copy has been applied yet but one
// still may be.
func (a *writeAttempts) resolve(ctx context.Context, cause error) (catalog.Revision, error) {
	outcome, err := a.store.Resolve(ctx, a.write)
	if err != nil {
		return 0, fault.Wrap(fault.OutcomeUnknown, err, "read the object back")
	}
	a.latest = outcome.Current.Version
	switch outcome.Status {
	case objects.Applied:
		return outcome.Version, nil
	case objects.NotApplied:
		return 0, &objects.ConflictError{Current: outcome.Current}
	}
	return 0, fault.Wrap(fault.OutcomeUnknown, cause, "write not applied so far")
}
