// This file defines the error of an invalid document and its reasons, by which such errors are
// counted, and truncates untrusted text for error messages.

package entry

import (
	"errors"
	"fmt"
	"strings"

	"github.com/burlmill/burlmill/fault"
)

// Reason is the class of a document error. The set is closed because reasons label counters.
type Reason string

const (
	Unreadable  Reason = "unreadable" // not one JSON object in UTF-8
	TooLong     Reason = "too-long"
	Duplicate   Reason = "duplicate" // a key occurs twice in one object
	Missing     Reason = "missing"   // a required field is absent or null
	WrongType   Reason = "type"
	OutOfRange  Reason = "range"
	UnknownName Reason = "unnamed"  // an unknown name, for example of a state or a service
	Mismatch    Reason = "mismatch" // a field contradicts the source of the document
	OtherReason Reason = "other"    // any error that is not an Error
)

func Reasons() []Reason {
	return []Reason{Unreadable, TooLong, Duplicate, Missing, WrongType, OutOfRange, UnknownName, Mismatch, OtherReason}
}

// Error reports an invalid document. Its kind (fault.KindOf) is fault.Invalid.
type Error struct {
	Reason Reason
	cause  error
}

// Error returns the field, its value and the rule that the value violates.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the underlying error, whose kind is fault.Invalid.
func (e *Error) Unwrap() error { return e.cause }

// Maximum lengths in bytes of the parts of an error message.
const (
	maxValueBytes = 64
	maxFieldBytes = 2 * maxValueBytes // label and field name
)

// NewError returns the Error for a field that violates a rule. A long field or value is truncated.
func NewError(reason Reason, field string, value any, rule string) error {
	return &Error{Reason: reason, cause: fault.InvalidField(truncateTo(field, maxFieldBytes), Truncate(fmt.Sprint(value)), rule)}
}

// Truncate truncates untrusted text to the maximum length of a value in an error message, and then
// appends "...". It returns a shorter text unchanged.
func Truncate(text string) string { return truncateTo(text, maxValueBytes) }

func truncateTo(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "..."
}

// excerpt returns the beginning of an encoded value, at most one byte more than Truncate keeps.
// Truncate therefore still appends "..." to a value that was longer.
func excerpt(value []byte) string { return string(value[:min(len(value), maxValueBytes+1)]) }

// ReasonOf returns the reason of the Error in err's chain, or OtherReason if there is none or err
// is nil.
func ReasonOf(err error) Reason {
	var documentError *Error
	if errors.As(err, &documentError) {
		return documentError.Reason
	}
	return OtherReason
}
