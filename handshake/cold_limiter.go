// This file limits the new flows that an agent delivers in any coldWindow to a back end that may be
// cold. The balancers' offers contain the limit; at the limit the agent refuses offers as busy.

package handshake

import (
	"slices"
	"time"

	"github.com/burlmill/burlmill/routing"
)

// coldWindow is the sliding window of coldLimiter: one second plus a margin for the jitter between
// the agent's decision and the arrival at the back end.
const coldWindow = time.Second + 50*time.Millisecond

// coldLimiter is a sliding-window rate limiter for the new flows of a back end that may be cold. It
// stores the time of each flow in the current window, so that the limit holds in every window. A
// token bucket would admit up to twice the limit in a window that follows an idle period.
type coldLimiter struct {
	limit      uint32          // new flows in any window; 0: no limit
	version    routing.Version // of the configuration that set limit
	admittedAt []time.Time     // of the flows in the current window, oldest first
}

// configure applies the limit of an offer, unless the offer is based on an older configuration.
func (l *coldLimiter) configure(offer Offer) {
	if offer.Version >= l.version {
		l.version, l.limit = offer.Version, offer.ColdLimit
	}
}

// record records a new flow that is delivered to the back end.
func (l *coldLimiter) record(now time.Time) {
	if l.limit == 0 {
		l.admittedAt = nil
		return
	}
	l.expire(now)
	l.admittedAt = append(l.admittedAt, now)
}

// expire removes the flows that are older than the window.
func (l *coldLimiter) expire(now time.Time) {
	expired := 0
	for expired < len(l.admittedAt) && now.Sub(l.admittedAt[expired]) >= coldWindow {
		expired++
	}
	l.admittedAt = slices.Delete(l.admittedAt, 0, expired)
}

// atLimit reports whether one more flow would exceed the limit, where reserved flows count as
// delivered. It must not be called while limit is 0, which means no limit.
func (l *coldLimiter) atLimit(now time.Time, reserved int) bool {
	l.expire(now)
	return len(l.admittedAt)+reserved >= int(l.limit)
}
