package coordination

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeaseStartsAgainAfterItExpired guards against an expired lease that, renewed before anyone has
// looked, counts as uninterrupted.
func TestLeaseStartsAgainAfterItExpired(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	acquired := lease{}.renewed(at(0), at(4))
	is.Equal(acquired, lease{since: at(0), until: at(4)})
	extended := acquired.renewed(at(3), at(7))
	is.Equal(extended, lease{since: at(0), until: at(7)})
	is.Equal(extended.renewed(at(7), at(11)), lease{since: at(7), until: at(11)})
	is.Equal(extended.renewed(at(8), at(6)), lease{since: at(0), until: at(6)}) // not valid
	is.Equal(extended.renewed(at(8), at(6)).renewed(at(9), at(12)), lease{since: at(9), until: at(12)})
}
