// Package fault holds the closed list of error kinds of burlmill and the one
// table that says how each kind is answered: as an HTTP status, as a connect
// code and as a process exit code. Every error that crosses a package border
// carries one of these kinds; code outside this package never invents another.
package fault

import (
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
)

// Kind is one of the error kinds listed below. The zero value is Internal, so
// that an error without a kind is answered as a defect and not as a caller's mistake.
type Kind uint8

// The closed list of error kinds.
const (
	Internal        Kind = iota // a defect or an unexpected condition in burlmill itself
	Invalid                     // the input breaks a rule; repeating it unchanged cannot help
	NotFound                    // the named thing does not exist
	Conflict                    // another writer came first
	Stale                       // the input carries a lower version than one already in force
	Unavailable                 // a peer or the platform cannot be reached at present
	Overloaded                  // no capacity at present; the work was not run and may be repeated later
	Deadline                    // the time allowed ran out
	Unauthenticated             // the peer did not prove who it is
	Unknown                     // it cannot be told whether the work was run
	Canceled                    // the caller gave up
	kindCount
)

// Answer is what one kind turns into at each border of a process.
type Answer struct {
	Name        string       // stable lower-case name, used in logs and metrics
	HTTPStatus  int          // status of an HTTP answer
	ConnectCode connect.Code // code of a connect-go answer
	ExitCode    int          // exit code of a command
}

var answers = [kindCount]Answer{
	Internal:        {"internal", http.StatusInternalServerError, connect.CodeInternal, 70},
	Invalid:         {"invalid", http.StatusBadRequest, connect.CodeInvalidArgument, 65},
	NotFound:        {"not-found", http.StatusNotFound, connect.CodeNotFound, 66},
	Conflict:        {"conflict", http.StatusConflict, connect.CodeAborted, 73},
	Stale:           {"stale", http.StatusPreconditionFailed, connect.CodeFailedPrecondition, 76},
	Unavailable:     {"unavailable", http.StatusBadGateway, connect.CodeUnavailable, 69},
	Overloaded:      {"overloaded", http.StatusServiceUnavailable, connect.CodeResourceExhausted, 75},
	Deadline:        {"deadline", http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, 74},
	Unauthenticated: {"unauthenticated", http.StatusUnauthorized, connect.CodeUnauthenticated, 77},
	Unknown:         {"unknown", http.StatusBadGateway, connect.CodeUnknown, 71},
	Canceled:        {"canceled", 499, connect.CodeCanceled, 72},
}

// Kinds returns every kind, in the order of the list.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := range kindCount {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Answer returns the row of the table for the kind.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the kind's stable name.
func (k Kind) String() string { return k.Answer().Name }

// Error is an error with a kind. Wrap it with fmt.Errorf and %w to add context.
type Error struct {
	Kind    Kind
	Message string
	Cause   error // may be nil
}

// Error returns the message followed by the cause.
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

// Wrap returns an error of the kind that keeps cause as its cause. A nil cause gives nil.
func Wrap(kind Kind, cause error, format string, arguments ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: kind, Message: fmt.Sprintf(format, arguments...), Cause: cause}
}

// Of returns the kind of the outermost Error in err's chain, Internal if there is none.
func Of(err error) Kind {
	var faultError *Error
	if errors.As(err, &faultError) {
		return faultError.Kind
	}
	return Internal
}

// InvalidField returns an Invalid error that names the field, its value and the rule it breaks.
func InvalidField(field string, value any, rule string) error {
	return New(Invalid, "%s = %q: %s", field, fmt.Sprint(value), rule)
}
