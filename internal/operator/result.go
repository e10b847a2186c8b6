// This file defines the result of a command for one service, formats it as a line for the operator,
// and derives it from the error of a read or a write.

package operator

import (
	"errors"
	"fmt"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// Status is the outcome of a command for one service.
type Status uint8

// The outcomes. Only Unknown means that the object may or may not have been written.
const (
	NotApplied Status = iota // not written because of an error
	NotTried                 // skipped because an earlier service was not written
	Applied                  // written
	Unchanged                // the store already contains the same service
	Conflict                 // not written because the stored version was not the expected one
	Unknown                  // the write was sent and may have been applied
)

// Result is the result of a command for one service.
type Result struct {
	Service catalog.ServiceName
	Status  Status
	Version catalog.Revision // version with the requested content, if Applied or Unchanged
	Latest  catalog.Revision // newest version known to the command, if Applied or Unchanged
	Err     error            // cause, if NotApplied, Conflict or Unknown
}

// Succeeded reports whether the store contains, or contained at Version, the requested content.
func (r *Result) Succeeded() bool { return r.Status == Applied || r.Status == Unchanged }

// String returns the result as one line without a newline.
func (r *Result) String() string { return fmt.Sprintf("%s: %s", r.Service, r.text()) }

func (r *Result) text() string {
	switch r.Status {
	case Applied:
		return appliedText(r)
	case Unchanged:
		return fmt.Sprintf("unchanged at version %d", r.Version)
	case NotTried:
		return "not tried"
	case Conflict:
		return "conflict: " + conflictText(r.Err)
	case Unknown:
		return fmt.Sprintf("unknown: %v", r.Err)
	}
	return fmt.Sprintf("not applied: %v", r.Err)
}

func appliedText(result *Result) string {
	text := fmt.Sprintf("applied at version %d", result.Version)
	if result.Latest > result.Version {
		text += fmt.Sprintf(", overwritten since by version %d", result.Latest)
	}
	return text
}

func conflictText(err error) string {
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return err.Error()
	}
	if conflict.Current.Deleted {
		return fmt.Sprintf("deleted at version %d by %q with command %q", conflict.Current.Version,
			conflict.Current.Annotations.Author, conflict.Current.Annotations.CommandID)
	}
	return conflict.Error()
}

// failedResult returns the result for an error of a read or a write.
func failedResult(name catalog.ServiceName, err error) Result {
	result := Result{Service: name, Status: NotApplied, Err: err}
	switch fault.KindOf(err) {
	case fault.Conflict:
		result.Status = Conflict
	case fault.OutcomeUnknown:
		result.Status = Unknown
	}
	return result
}
