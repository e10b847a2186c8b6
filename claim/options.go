package claim

import (
	"time"

	"github.com/burlmill/burlmill/fault"
)

// Options are shared by all coordinators and replicas that work together.
type Options struct {
	// Retention is how long a claim is remembered after its request was answered
	// or last known to run. A repeat after that time is a new request. It must be
	// longer than any request runs without its coordinator reaching the replicas.
	Retention time.Duration
	// ClaimTimeout is how long a coordinator tries to claim a key.
	ClaimTimeout time.Duration
	// RetryInterval is the time between repeats of a message without a reply.
	RetryInterval time.Duration
	// RetryAfter is the advice to callers whose request may be repeated.
	RetryAfter time.Duration
	// Memory bounds what a replica remembers, in bytes. Past it, new keys are
	// refused; no claim is dropped before Retention has passed.
	Memory int
	// AnswerLimit is the longest answer that is stored whole, in bytes. Of longer
	// ones the length and the digest are stored.
	AnswerLimit int
	// Attempts bounds the attempts that a coordinator has open at once, each of
	// which may hold an answer of AnswerLimit until the replicas have confirmed it.
	Attempts int
}

// DefaultOptions returns options for processes in one region.
func DefaultOptions() Options {
	return Options{
		Retention:     2 * time.Hour,
		ClaimTimeout:  2 * time.Second,
		RetryInterval: 50 * time.Millisecond,
		RetryAfter:    2 * time.Second,
		Memory:        8 << 20,
		AnswerLimit:   16 << 10,
		Attempts:      512,
	}
}

// Least ratios between the durations in Options.
const (
	minimumRetriesPerTimeout = 4
	minimumTimeoutsRetained  = 40
)

// Validate checks the options. Errors are of kind fault.Invalid.
func (o Options) Validate() error {
	switch {
	case o.RetryInterval <= 0:
		return fault.InvalidField("retry interval", o.RetryInterval, "must be above 0")
	case o.ClaimTimeout < minimumRetriesPerTimeout*o.RetryInterval:
		return fault.InvalidField("claim timeout", o.ClaimTimeout, "must be at least 4 retry intervals")
	case o.Retention < minimumTimeoutsRetained*o.ClaimTimeout:
		return fault.InvalidField("retention", o.Retention, "must be at least 40 claim timeouts")
	case o.RetryAfter <= 0:
		return fault.InvalidField("retry after", o.RetryAfter, "must be above 0")
	case o.Memory <= 0:
		return fault.InvalidField("memory", o.Memory, "must be above 0")
	case o.AnswerLimit < 0:
		return fault.InvalidField("answer limit", o.AnswerLimit, "must not be negative")
	case o.Attempts <= 0:
		return fault.InvalidField("attempts", o.Attempts, "must be above 0")
	}
	return nil
}

// recordLifetime is how long a replica keeps a claim after it was last written.
// The request may be dispatched up to ClaimTimeout later.
func (o *Options) recordLifetime() time.Duration { return o.Retention + 2*o.ClaimTimeout }

// promiseLifetime is how long a replica keeps a record without a claim that blocks
// others. It may be short: what was promised is remembered for all keys together.
func (o *Options) promiseLifetime() time.Duration { return 4 * o.ClaimTimeout }

// contactLease is how long a replica votes after it last had contact with a quorum
// of its view and of the service's agents.
func (o *Options) contactLease() time.Duration { return o.Retention / 4 }

// foundingWait is how long agents must have been without a view before they may
// found a new chain: the last vote of the old one is then older than Retention.
func (o *Options) foundingWait() time.Duration {
	return o.recordLifetime() + o.contactLease() + o.promiseLifetime()
}
