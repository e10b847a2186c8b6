package wire

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestArrivalPrecedesSend guards against wrong arrival times. An arrival time is a lower bound (see
// Receiver): for a datagram that was queued in the socket buffer it must not be later than the
// write of the datagram, and it must advance once the buffer was empty. sent is the time after the
// write of the queued datagram.
func TestArrivalPrecedesSend(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	blocked := make(chan struct{}, 1)
	arrivals := make(chan time.Time, 3)
	socket, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(datagram []byte, _ netip.AddrPort, arrived Arrival) {
		if string(datagram) == "blocks" {
			blocked <- struct{}{}
			<-unblock
		}
		arrivals <- arrived.Earliest
	})
	is.NoErr(err)
	defer func() { is.NoErr(socket.Close()) }()
	sender, err := net.Dial("udp", socket.LocalAddress().String())
	is.NoErr(err)
	defer sender.Close()

	_, err = sender.Write([]byte("blocks"))
	is.NoErr(err)
	<-blocked
	_, err = sender.Write([]byte("waits"))
	is.NoErr(err)
	sent := time.Now()
	close(unblock)
	<-arrivals
	queuedArrival := <-arrivals
	is.True(queuedArrival.Before(sent)) // although it is read after the send

	var laterArrival time.Time
	for deadline := time.Now().Add(10 * time.Second); !laterArrival.After(sent) && time.Now().Before(deadline); {
		_, err = sender.Write([]byte("comes later"))
		is.NoErr(err)
		laterArrival = <-arrivals
	}
	is.True(laterArrival.After(sent)) // the socket buffer was empty after the send
}

// TestWaitedIsMeasured guards against a wrong time in the socket buffer: a datagram that was queued
// while the receiver was blocked has waited at least as long as it was blocked after the write, and
// at most since the write. It tries again for some time, because the system begins to record arrival
// times only after the first socket has asked for them.
func TestWaitedIsMeasured(t *testing.T) {
	const blockedTime = 20 * time.Millisecond
	is := is.New(t)
	unblock := make(chan struct{})
	blocked := make(chan struct{}, 1)
	arrivals := make(chan Arrival, 1)
	socket, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(datagram []byte, _ netip.AddrPort, arrival Arrival) {
		if string(datagram) == "blocks" {
			blocked <- struct{}{}
			<-unblock
			return
		}
		arrivals <- arrival
	})
	is.NoErr(err)
	defer func() { is.NoErr(socket.Close()) }()
	sender, err := net.Dial("udp", socket.LocalAddress().String())
	is.NoErr(err)
	defer sender.Close()

	var waited time.Duration
	for deadline := time.Now().Add(10 * time.Second); waited < blockedTime && time.Now().Before(deadline); {
		_, err = sender.Write([]byte("blocks"))
		is.NoErr(err)
		<-blocked
		beforeWrite := time.Now()
		_, err = sender.Write([]byte("waits"))
		is.NoErr(err)
		time.Sleep(blockedTime)
		unblock <- struct{}{}
		waited = (<-arrivals).Waited
		is.True(waited <= time.Since(beforeWrite))
	}
	is.True(waited >= blockedTime)
}

// TestArrivalWithoutTimestamp guards against a reader that fails on a system that does not report
// arrival times: it leaves the control buffer empty or its length unchanged.
func TestArrivalWithoutTimestamp(t *testing.T) {
	is := is.New(t)
	for _, length := range []int{0, 1, controlBytes, 2 * controlBytes} {
		var reader datagramReader
		reader.messages[0].header.SetControllen(length)
		is.True(reader.arrivedAt(0).IsZero())
	}
}
