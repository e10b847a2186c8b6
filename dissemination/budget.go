package dissemination

import "time"

// Budget is a token bucket of bytes. What must be sent may overdraw it; what
// can wait is sent only while it is not empty.
type Budget struct {
	rate     float64 // bytes per second
	capacity float64 // bytes
	level    float64 // bytes; negative when overdrawn
	updated  time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, bytesPerSecond, capacityBytes int) *Budget {
	return &Budget{
		rate:     float64(bytesPerSecond),
		capacity: float64(capacityBytes),
		level:    float64(capacityBytes),
		updated:  now,
	}
}

// Spend takes the bytes that were sent.
func (b *Budget) Spend(now time.Time, bytes int) {
	b.refill(now)
	b.level -= float64(bytes)
}

// Allows says whether something that can wait may be sent. Its size is spent
// afterwards, when it is known.
func (b *Budget) Allows(now time.Time) bool {
	b.refill(now)
	return b.level > 0
}

func (b *Budget) refill(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	b.level = min(b.capacity, b.level+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
}
