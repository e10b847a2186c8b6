// Package fault defines the error kinds of burlmill, creates and wraps errors of a kind, and maps
// each kind to an HTTP status, a connect code and a process exit code. Every error that crosses a
// package boundary has one of these kinds. Other packages define no further kinds.
package fault

import (
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
)

// Kind classifies an error. The zero value is Internal, so an error without a kind is
// reported as a defect and not as a caller's mistake.
type Kind uint8

// Error kinds.
const (
	Internal        Kind = iota // a defect or an unexpected condition in burlmill itself
	Invalid                     // the input violates a rule; a retry without changes cannot succeed
	NotFound                    // the named object does not exist
	Conflict                    // a concurrent write was accepted first
	Stale                       // the input has a lower version than the current one
	Unavailable                 // a peer or the platform is temporarily unreachable
	Overloaded                  // no capacity; the request was not executed and may be retried
	Deadline                    // the time limit was exceeded
	Unauthenticated             // the peer did not authenticate
	OutcomeUnknown              // it is unknown whether the request was executed
	Canceled                    // the caller canceled the request
	kindCount
)

// Codes holds the external representations of one kind.
type Codes struct {
	Name        string       // stable lower-case name, used in logs and metrics
	HTTPStatus  int          // status of an HTTP response
	ConnectCode connect.Code // code of a connect-go response
	ExitCode    int          // exit code of a command
}

var kindCodes = [kindCount]Codes{
	Internal:        {"internal", http.StatusInternalServerError, connect.CodeInternal, 70},
	Invalid:         {"invalid", http.StatusBadRequest, connect.CodeInvalidArgument, 65},
	NotFound:        {"not-found", http.StatusNotFound, connect.CodeNotFound, 66},
	Conflict:        {"conflict", http.StatusConflict, connect.CodeAborted, 73},
	Stale:           {"stale", http.StatusPreconditionFailed, connect.CodeFailedPrecondition, 76},
	Unavailable:     {"unavailable", http.StatusBadGateway, connect.CodeUnavailable, 69},
	Overloaded:      {"overloaded", http.StatusServiceUnavailable, connect.CodeResourceExhausted, 75},
	Deadline:        {"deadline", http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, 74},
	Unauthenticated: {"unauthenticated", http.StatusUnauthorized, connect.CodeUnauthenticated, 77},
	OutcomeUnknown:  {"unknown", http.StatusBadGateway, connect.CodeUnknown, 71},
	Canceled:        {"canceled", 499, connect.CodeCanceled, 72},
}

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := range kindCount {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Codes returns the external representations of the kind. Undefined kinds are treated as
// Internal.
func (k Kind) Codes() Codes {
	if k >= kindCount {
		return kindCodes[Internal]
	}
	return kindCodes[k]
}

// String returns the kind's stable name.
func (k Kind) String() string { return k.Codes().Name }

// Error is an error with a kind. Wrapping it with fmt.Errorf and %w preserves the kind.
type Error struct {
	Kind    Kind
	Message string
	Cause   error // may be nil
}

// Error returns the message, followed by the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, arguments ...any) error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an error of the kind with the given cause. It returns nil if cause is nil.
func Wrap(kind Kind, cause error, format string, arguments ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: kind, Message: fmt.Sprintf(format, arguments...), Cause: cause}
}

// KindOf returns the kind of the outermost Error in err's chain, or Internal if there is none.
func KindOf(err error) Kind {
	var faultError *Error
	if errors.As(err, &faultError) {
		return faultError.Kind
	}
	return Internal
}

// InvalidField returns an Invalid error that names the field, its value and the violated rule.
func InvalidField(field string, value any, rule string) error {
	return New(Invalid, "%s = %q: %s", field, fmt.Sprint(value), rule)
}
