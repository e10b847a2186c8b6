// This file tests the rate limiter of messages and records.

package handshake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/presence"
)

// TestRateLimiterIgnoresEarlierTimes guards against a limiter that takes a negative number of tokens
// when a process that was suspended between reading the clock and using it calls it late.
func TestRateLimiterIgnoresEarlierTimes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limiter := rateLimiter{perSecond: 100}
	is.Equal(limiter.take(now, 15), 15)
	is.Equal(limiter.take(now.Add(-3*time.Second), 15), 5)
	is.Equal(limiter.take(now.Add(-time.Second), 15), 0)
	is.Equal(limiter.take(now.Add(100*time.Millisecond), 15), 10)
}

// TestStatusesAfterEarlierTime guards against a crash of DueStatuses when it is called with a time
// that is earlier than that of its previous call by more than the limiter's burst.
func TestStatusesAfterEarlierTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	peers := NewPeers(testAddress(presence.RoleAgent, 0), presence.RoleAgent, "")
	balancer := testAddress(presence.RoleBalancer, 1)
	status := Status{Role: presence.RoleBalancer, Interval: time.Second, Subscribe: true}
	peers.HandleStatus(now, balancer, status)
	is.True(len(peers.DueStatuses(now, true)) > 0)
	peers.DueStatuses(now.Add(-10*time.Second), true)
}
