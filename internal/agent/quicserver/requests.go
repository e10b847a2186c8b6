// This file counts running requests, and waits until none has run for some time.

package quicserver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// idlePollInterval is how often a server that shuts down checks for running requests.
const idlePollInterval = 20 * time.Millisecond

// requestCounter is a middleware that counts the running requests of the next handler.
type requestCounter struct {
	next  http.Handler
	count atomic.Int64
}

// ServeHTTP counts the request while the next handler runs it.
func (r *requestCounter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	r.count.Add(1)
	defer r.count.Add(-1)
	r.next.ServeHTTP(writer, request)
}

func (r *requestCounter) running() int64 { return r.count.Load() }

// waitIdle returns when no request has run for the grace period or when the context
// ends.
func (r *requestCounter) waitIdle(ctx context.Context, grace time.Duration) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for time.Since(idleSince) < grace {
		if r.running() > 0 {
			idleSince = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
