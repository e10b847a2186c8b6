// This file waits during a shutdown until no traffic arrives, because fabrics receive the shutdown
// notice of a balancer with a delay.

package balancer

import "time"

// A balancer that shuts down serves until no traffic has arrived for quietPeriod, for at most
// maxQuietWait.
const (
	quietPeriod       = 500 * time.Millisecond
	maxQuietWait      = 10 * time.Second
	quietPollInterval = 50 * time.Millisecond
)

// awaitQuiet returns when the count has not changed for the period, or when the limit has passed.
func awaitQuiet(count func() uint64, period, limit time.Duration) {
	ticker := time.NewTicker(quietPollInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	lastChange := startedAt
	last := count()
	for now := startedAt; now.Sub(lastChange) < period && now.Sub(startedAt) < limit; now = <-ticker.C {
		if current := count(); current != last {
			last = current
			lastChange = now
		}
	}
}
