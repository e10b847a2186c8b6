package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNobodyRunsThereSoon: three refused checks in a row show that, one and two do not.
func TestNobodyRunsThereSoon(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	now := start
	for checks := 1; checks <= 3; checks++ {
		is.True(!tracker.NobodyThere())
		is.True(tracker.CheckDue(now))
		tracker.Checked(now, Check{Refused: true})
		now = now.Add(CheckInterval)
	}
	is.True(tracker.NobodyThere())
}
