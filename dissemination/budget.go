package dissemination

import "time"

// Budget is a token bucket of bytes. Mandatory traffic may overdraw it; deferrable
// traffic is sent only while it is not empty.
type Budget struct {
	rate       float64 // bytes per second
	capacity   float64 // bytes
	level      float64 // bytes; negative when overdrawn
	refilledAt time.Time
}

// NewBudget returns a full budget that refills at bytesPerSecond up to capacityBytes.
func NewBudget(now time.Time, bytesPerSecond, capacityBytes int) *Budget {
	return &Budget{
		rate:       float64(bytesPerSecond),
		capacity:   float64(capacityBytes),
		level:      float64(capacityBytes),
		refilledAt: now,
	}
}

// Spend deducts bytes that were sent, even if the budget becomes negative.
func (b *Budget) Spend(now time.Time, bytes int) {
	b.refill(now)
	b.level -= float64(bytes)
}

// Allows reports whether deferrable traffic may be sent. The caller calls Spend after sending,
// when the size is known.
func (b *Budget) Allows(now time.Time) bool {
	b.refill(now)
	return b.level > 0
}

func (b *Budget) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.level = min(b.capacity, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}
