// This file determines from an object's history whether a write without a response was applied.

package objects

import (
	"context"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Status states whether a write without a response was applied.
type Status uint8

// Outcomes of a write.
const (
	Undetermined Status = iota // not applied so far and may still be, or no longer in the history
	Applied                    // applied; later writes may have replaced it
	NotApplied                 // not applied and can no longer be
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Applied:
		return "applied"
	case NotApplied:
		return "not-applied"
	}
	return "still-unknown"
}

// Outcome is the result of Resolve.
type Outcome struct {
	Status  Status
	Version catalog.Revision // version that the write created, if Applied
	Current Object           // the current object; version 0 if it was never written
}

// Resolve reads the object and determines whether the write was applied. The
// write must have been sent with a unique command id. Errors are those of Get
// other than NotFound; the outcome of the write then remains unknown.
func (c *Client) Resolve(ctx context.Context, write Write) (Outcome, error) {
	current, err := c.Get(ctx, write.Name)
	if err != nil && fault.KindOf(err) != fault.NotFound {
		return Outcome{}, err
	}
	return resolve(write, current), nil
}

// resolve determines the outcome from the object's history. A write applies only to
// the version that it expects, and versions are never reused. If the object is past
// that version and the write is not in the history, it can no longer be applied.
// Otherwise a delayed write may still arrive. Repeating it with the same command and
// expected version is safe, because at most one copy is applied.
func resolve(write Write, current Object) Outcome {
	if version, applied := current.VersionOf(write.Command); applied {
		return Outcome{Status: Applied, Version: version, Current: current}
	}
	if current.Version > write.Expected && current.historyCovers(write.Expected) {
		return Outcome{Status: NotApplied, Current: current}
	}
	return Outcome{Status: Undetermined, Current: current}
}
