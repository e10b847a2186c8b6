package caller

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/fabric"
)

// TestStreams runs streams against a back end, which is then closed under them:
// whole ones are counted as such, and cut ones never.
func TestStreams(t *testing.T) {
	is := is.New(t)
	member, err := backend.Start(backend.Options{ID: "b1", Service: "shells", Address: netip.MustParseAddrPort("127.0.0.1:0")})
	is.NoErr(err)
	defer member.Close()
	load := StreamLoad{Service: "shells", Address: member.Address(), Callers: 3, Bytes: 100_000, Pause: time.Millisecond, Limit: waitLimit}
	whole := StartStreams(load)
	for deadline := time.Now().Add(waitLimit); whole.Snapshot().StreamsComplete < 20 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	result := whole.Stop()
	is.True(result.StreamsComplete >= 20)
	is.Equal(result.Streams, result.StreamsComplete)
	is.Equal(member.Counts().Streams, result.Streams)
	is.Equal(len(member.Journal().Flows()), int(result.Streams))

	load.Duration = waitLimit
	cut := StartStreams(load)
	for deadline := time.Now().Add(waitLimit); member.Counts().Streams < result.Streams+3 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(member.Close())
	result = cut.Stop()
	is.Equal(result.StreamsComplete+result.StreamsWrong, uint64(0))
	is.True(result.StreamsCut >= 3)
}

// TestStreamWithoutBalancer checks that the fabric resets a stream that no
// balancer takes.
func TestStreamWithoutBalancer(t *testing.T) {
	is := is.New(t)
	network, err := fabric.Start(fabric.Options{Services: []fabric.ServicePort{{Name: "shells", Address: netip.MustParseAddrPort("127.0.0.1:0")}}})
	is.NoErr(err)
	defer network.Close()
	load := StreamLoad{Service: "shells", Address: network.ServiceAddress("shells"), Bytes: 1, Limit: waitLimit}
	is.True(load.runStream().refused)
	is.Equal(network.Counts().StreamsRefused, uint64(1))
}
