// Package operator implements the commands that change the configuration: apply, drain, undrain,
// evacuate, restore and shift. A command reads an object from the platform's store, computes the
// new object, and writes it on condition that the stored version has not changed. If the reply to a
// write is lost, the object is read back to determine the outcome. An outcome that cannot be
// determined is reported as unknown.
package operator

import (
	"context"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// Store is the part of objects.Client that commands use.
type Store interface {
	Get(ctx context.Context, name catalog.ServiceName) (objects.Object, error)
	Put(ctx context.Context, write objects.Write) (catalog.Revision, error)
	Resolve(ctx context.Context, write objects.Write) (objects.Outcome, error)
	Changes(ctx context.Context, after catalog.Revision) (objects.Changes, error)
}

// Defaults of Options.
const (
	DefaultRetryTimeout  = 30 * time.Second
	DefaultRetryInterval = 100 * time.Millisecond
)

// Options contain the id and the author of a command, and the limits of retries.
type Options struct {
	// Command identifies the command. To repeat a command whose result is unknown, pass the same id
	// again. Empty: a new id.
	Command objects.CommandID
	Author  string // recorded with each write

	// RetryTimeout limits the retries of each store operation. It does not interrupt an attempt.
	// Zero means DefaultRetryTimeout.
	RetryTimeout time.Duration
	// RetryInterval is the mean time before the first retry. It grows with each retry. Zero
	// means DefaultRetryInterval.
	RetryInterval time.Duration
}

// Executor executes one command, identified by Options.Command. It is not safe for concurrent use.
type Executor struct {
	store   Store
	options Options
}

// New returns an executor of one command. The error is of kind fault.Invalid if the command id or
// the author is not a valid annotation.
func New(store Store, options Options) (*Executor, error) {
	if options.Command == "" {
		options.Command = objects.NewCommandID()
	}
	if options.RetryTimeout <= 0 {
		options.RetryTimeout = DefaultRetryTimeout
	}
	if options.RetryInterval <= 0 {
		options.RetryInterval = DefaultRetryInterval
	}
	annotations := objects.Annotations{CommandID: options.Command, Author: options.Author}
	if err := annotations.Validate(); err != nil {
		return nil, err
	}
	return &Executor{store: store, options: options}, nil
}

// readObject reads the current object, with retries. The result has version 0 if the object never
// existed, and the field Deleted set if it was deleted; neither is an error.
func (e *Executor) readObject(ctx context.Context, name catalog.ServiceName) (objects.Object, error) {
	return retry(ctx, e.options, func() (objects.Object, error) {
		object, err := e.store.Get(ctx, name)
		if fault.KindOf(err) == fault.NotFound {
			return object, nil
		}
		return object, err
	})
}
