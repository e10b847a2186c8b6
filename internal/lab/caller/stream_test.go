package caller

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
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
	for deadline := time.Now().Add(waitLimit); cut.Snapshot().StreamsAnswered < 3 && time.Now().Before(deadline); {
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
	is.True(load.runStream(newRun()).refused)
	is.Equal(network.Counts().StreamsRefused, uint64(1))
}

// TestResetMetByAWriteIsACut has the back end reset a stream whose caller writes
// before it reads: the write takes the reset, and the read sees an end.
func TestResetMetByAWriteIsACut(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	connection, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer connection.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	is.NoErr(accepted.(*net.TCPConn).SetLinger(0))
	is.NoErr(accepted.Close())
	var sendError error
	for deadline := time.Now().Add(waitLimit); sendError == nil && time.Now().Before(deadline); {
		_, sendError = connection.Write([]byte{1})
	}
	is.True(errors.Is(sendError, syscall.ECONNRESET))
	load := StreamLoad{Service: "shells", Bytes: 1}
	outcome := load.receive(connection, "shells:1")
	is.True(outcome.wrong) // what the read alone says
	outcome = outcome.withSend("shells:1", sendError)
	is.True(!outcome.wrong && outcome.err != nil)

	is.True(streamOutcome{wrong: true, early: true, err: io.EOF}.withSend("shells:1", syscall.EPIPE).wrong) // a clean end
	is.True(streamOutcome{wrong: true, err: io.EOF}.withSend("shells:1", syscall.ECONNRESET).wrong)         // other bytes
}
