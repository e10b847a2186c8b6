package handshake

import "time"

// rateLimiter is a token bucket that limits the messages or records sent per second.
type rateLimiter struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time // latest refill; zero: never
}

// rateLimiterBurst is the capacity of the bucket, in seconds at its rate.
const rateLimiterBurst = 0.2

// take takes up to wanted tokens and returns how many it took.
func (l *rateLimiter) take(now time.Time, wanted int) int {
	l.refill(now)
	taken := min(wanted, int(l.tokens))
	l.tokens -= float64(taken)
	return taken
}

// refill adds the tokens of the time since the latest refill. The bucket is full at the first call.
// An earlier time than that of the latest refill changes nothing: processes read the clock before
// they wait for a lock, and may be suspended in between.
func (l *rateLimiter) refill(now time.Time) {
	capacity := l.perSecond * rateLimiterBurst
	switch {
	case l.refilledAt.IsZero():
		l.tokens = capacity
	case now.Before(l.refilledAt):
		return
	default:
		l.tokens = min(capacity, l.tokens+l.perSecond*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}
