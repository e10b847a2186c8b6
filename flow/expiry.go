// This file closes flows that are idle. It takes into account that datagrams of a flow may still be
// on their way to the agent, or wait in its socket after a stall.

package flow

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// MaxAge is how long a datagram may take from its balancer to the flow at its agent, whichever
// processes it passes: an agent drops an older one. Of two datagrams that a caller sends within the
// idle timeout, the second may therefore arrive up to that much later after the first.
const MaxAge = 2 * MaxWaitTime

// Expire closes the flows that are over, and returns their keys. It also removes expired decisions,
// refusals and hints. After a stall of the process, it closes no flow before backlogWindow has
// passed.
func (d *Decider) Expire(now time.Time) []Key {
	d.Tick(now)
	d.decisions.expire(now)
	d.refusals.expire(now)
	d.hints.expire(now)
	if now.Sub(d.staleness.stalledUntil) < backlogWindow {
		return nil
	}
	var idle []Key
	for key, record := range d.flows {
		if now.Sub(record.lastSeenAt) >= d.idleTimeout(record)+MaxAge {
			idle = append(idle, key)
			d.CloseFlow(key)
		}
	}
	return idle
}

func (d *Decider) idleTimeout(record *flowRecord) time.Duration {
	if !d.shuttingDown || d.options.DrainIdleTimeout == 0 || record.service.Protocol == catalog.ProtocolHTTP {
		return d.options.IdleTimeout
	}
	return min(d.options.IdleTimeout, d.options.DrainIdleTimeout)
}
