// This file maps failed requests to errors with the kinds of package fault.

package objects

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/burlmill/burlmill/fault"
)

// ConflictError reports that a write was rejected because the object is no longer at
// the expected version. Its kind is fault.Conflict.
type ConflictError struct {
	Current Object // the current object, with its author, command id and history
}

// Error returns the object's name, version, author and command id.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, written by %q with command %q",
		e.Current.Name, e.Current.Version, e.Current.Annotations.Author, e.Current.Annotations.CommandID)
}

// Unwrap returns an error of kind fault.Conflict.
func (e *ConflictError) Unwrap() error {
	return fault.New(fault.Conflict, "version conflict")
}

// operation is the type of a request, which determines the meaning of a failure.
type operation uint8

const (
	readOperation operation = iota
	writeOperation
)

// transportError converts a failure without a complete response into a fault. connected reports
// whether a connection to the platform was open, so that bytes may have been sent.
func (o operation) transportError(ctx context.Context, cause error, connected bool, request string) error {
	if o == writeOperation {
		if !connected || isDialError(cause) {
			return fault.Wrap(fault.Unavailable, cause, "%s: not sent", request)
		}
		return fault.Wrap(fault.OutcomeUnknown, cause, "%s: sent, but no response received", request)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(fault.Canceled, cause, "%s", request)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(fault.Deadline, cause, "%s", request)
	}
	return fault.Wrap(fault.Unavailable, cause, "%s", request)
}

func isDialError(err error) bool {
	var operationError *net.OpError
	return errors.As(err, &operationError) && operationError.Op == "dial"
}

// statusError converts a response with an error status into a fault.
func (o operation) statusError(status int, body []byte, request string) error {
	var problem Problem
	_ = json.Unmarshal(body, &problem) // without a valid body the Problem stays empty
	return fault.New(o.statusKind(status, problem), "%s: platform returned status %d %s", request, status, problem.Error)
}

func (o operation) statusKind(status int, problem Problem) fault.Kind {
	switch status {
	case http.StatusNotFound:
		return fault.NotFound
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.Unauthenticated
	case http.StatusTooManyRequests:
		return fault.Overloaded
	}
	notApplied := problem.Applied != nil && !*problem.Applied
	switch {
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return fault.Invalid
	case o == writeOperation && !notApplied:
		return fault.OutcomeUnknown
	}
	return fault.Unavailable
}

// responseError returns the fault for a malformed or too long response.
func (o operation) responseError(cause error, request string) error {
	if o == writeOperation {
		return fault.Wrap(fault.OutcomeUnknown, cause, "%s: malformed response to a write", request)
	}
	return fault.Wrap(fault.Invalid, cause, "%s: malformed response", request)
}
