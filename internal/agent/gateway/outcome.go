// This file defines the outcomes of requests, and writes the responses to requests that failed or
// were refused.

package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// HeaderOutcome is the header with the Outcome of the request. Every response has it.
const HeaderOutcome = "Burlmill-Outcome"

// Outcome states whether a caller's request was run.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeComplete means that the response is that of the back end. If it is truncated, the
	// gateway resets the stream after the header.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means that no byte of the request has reached a back end. The request is safe
	// to retry.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been sent and that no valid response was
	// received.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeReset means that the response was truncated after its header, or that the caller
	// canceled the request. It appears in metrics only.
	OutcomeReset Outcome = "reset"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{OutcomeComplete, OutcomeNotRun, OutcomeUnknown, OutcomeReset}
}

// failure describes why a request has no complete response of the back end.
type failure struct {
	outcome    Outcome
	err        error         // its kind determines the HTTP status
	retryAfter time.Duration // 0: no Retry-After header
}

// writeResponse writes the response for the failure.
func (f failure) writeResponse(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set(HeaderOutcome, string(f.outcome))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(f.retryAfter), 10))
	}
	writer.WriteHeader(fault.KindOf(f.err).Codes().HTTPStatus)
	// The write fails only if the caller has disconnected.
	_, _ = writer.Write([]byte(f.err.Error() + "\n"))
}

// wholeSeconds returns the duration in seconds, the unit of Retry-After, rounded up.
func wholeSeconds(wait time.Duration) int64 {
	return int64((wait + time.Second - 1) / time.Second)
}
