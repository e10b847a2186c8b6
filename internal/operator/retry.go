// This file retries store operations that fail with a transient error, at growing intervals, until
// Options.RetryTimeout.

package operator

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/burlmill/burlmill/fault"
)

// maxRetryInterval limits the mean time between two attempts. Each interval varies by up to 50
// percent.
const maxRetryInterval = 2 * time.Second

// retry calls the operation, with exponentially growing intervals, until it succeeds, fails with an
// error that is not transient, or the next attempt would start after options.RetryTimeout. It
// returns the last error, or one of kind fault.Canceled if ctx ends.
func retry[T any](ctx context.Context, options Options, operation func() (T, error)) (T, error) {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = options.RetryInterval
	intervals.MaxInterval = maxRetryInterval
	attempt := func() (T, error) {
		value, err := operation()
		if err != nil && !isTransient(fault.KindOf(err)) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}
	value, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(intervals), backoff.WithMaxElapsedTime(options.RetryTimeout))
	if ctx.Err() != nil && errors.Is(err, context.Cause(ctx)) {
		return value, fault.Wrap(fault.Canceled, err, "canceled while retrying")
	}
	return value, err
}

// isTransient reports whether an operation that failed with the kind can succeed when retried.
func isTransient(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.Overloaded, fault.Deadline, fault.OutcomeUnknown:
		return true
	}
	return false
}
