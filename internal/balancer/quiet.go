package balancer

import "time"

// Fabrics learn late that a balancer leaves, so it handles datagrams until none
// has come for the quiet period, or until the limit.
const (
	quietPeriod = 500 * time.Millisecond
	quietLimit  = 10 * time.Second
	quietPoll   = 50 * time.Millisecond
)

// awaitQuiet returns when the count has not changed for the period, or after the limit.
func awaitQuiet(count func() uint64, period, limit time.Duration) {
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	begin := time.Now()
	lastChange := begin
	last := count()
	for now := begin; now.Sub(lastChange) < period && now.Sub(begin) < limit; now = <-ticker.C {
		if current := count(); current != last {
			last = current
			lastChange = now
		}
	}
}
