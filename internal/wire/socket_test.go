// This file guards against UDP sockets that lose, alter or misdeliver datagrams, against wrong
// error kinds of sending and of listening at a used address, and against leaked goroutines.

package wire

import (
	"bytes"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/burlmill/burlmill/fault"
)

func TestMain(m *testing.M) {
	logging.SetLevel(logging.LevelNone)
	goleak.VerifyTestMain(m)
}

// received is a copy of a received datagram.
type received struct {
	datagram []byte
	from     netip.AddrPort
}

// listen opens a socket and returns it with a channel of the datagrams that it receives.
func listen(t testing.TB, address string) (*Socket, chan received) {
	t.Helper()
	channel := make(chan received, 1000)
	socket, err := Listen(netip.MustParseAddrPort(address), func(datagram []byte, from netip.AddrPort, _ Arrival) {
		channel <- received{bytes.Clone(datagram), from}
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket, channel
}

func receiveDatagram(t testing.TB, channel chan received) received {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(10 * time.Second):
		t.Fatal("received no datagram before the timeout")
		return received{}
	}
}

func TestSocketsExchangeDatagrams(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			is := is.New(t)
			sender, _ := listen(t, address)
			receiver, arrived := listen(t, address)
			for _, size := range []int{0, 1, 1500, MaxDatagramBytes} {
				sent := bytes.Repeat([]byte{byte(size)}, size)
				is.NoErr(sender.Send(sent, receiver.LocalAddress()))
				got := receiveDatagram(t, arrived)
				is.True(bytes.Equal(got.datagram, sent))
				is.Equal(got.from, sender.LocalAddress())
			}
		})
	}
}

// TestSendFaults guards against wrong error kinds of Send, and of Listen at a used address.
func TestSendFaults(t *testing.T) {
	is := is.New(t)
	socket, _ := listen(t, "127.0.0.1:0")
	to := socket.LocalAddress()
	is.Equal(fault.KindOf(socket.Send(make([]byte, MaxDatagramBytes+1), to)), fault.Invalid)
	is.Equal(fault.KindOf(socket.Send(nil, netip.MustParseAddrPort("[::1]:9"))), fault.Invalid)
	_, err := Listen(to, nil)
	is.Equal(fault.KindOf(err), fault.Unavailable)
	is.NoErr(socket.Close())
	is.NoErr(socket.Close())
	is.Equal(fault.KindOf(socket.Send(nil, to)), fault.Unavailable)
}

// TestOpenAndCloseConcurrently guards against datagrams that reach the wrong socket after a
// descriptor is reused.
func TestOpenAndCloseConcurrently(t *testing.T) {
	var group sync.WaitGroup
	for worker := range byte(8) {
		group.Go(func() {
			for round := range byte(30) {
				sendToSelf(t, []byte{worker, round})
			}
		})
	}
	group.Wait()
}

func sendToSelf(t *testing.T, sent []byte) {
	arrived := make(chan received, 10)
	socket, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(datagram []byte, from netip.AddrPort, _ Arrival) {
		arrived <- received{bytes.Clone(datagram), from}
	})
	if err != nil {
		t.Error(err)
		return
	}
	defer socket.Close()
	if err := socket.Send(sent, socket.LocalAddress()); err != nil {
		t.Error(err)
		return
	}
	select {
	case got := <-arrived:
		if !bytes.Equal(got.datagram, sent) {
			t.Errorf("sent %v, received %v", sent, got.datagram)
		}
	case <-time.After(10 * time.Second):
		t.Error("received no datagram before the timeout")
	}
}

// TestDroppedDatagramsAreCounted guards against drops at a full receive buffer that are not counted.
func TestDroppedDatagramsAreCounted(t *testing.T) {
	is := is.New(t)
	resume := make(chan struct{})
	receiver, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte, netip.AddrPort, Arrival) { <-resume })
	is.NoErr(err)
	defer func() { is.NoErr(receiver.Close()) }()
	defer close(resume)
	sender, _ := listen(t, "127.0.0.1:0")
	dropped, err := receiver.DroppedDatagrams()
	is.NoErr(err)
	is.Equal(dropped, uint64(0))
	sent := uint64(0)
	for ; dropped == 0 && sent < 100_000; sent++ {
		is.NoErr(sender.Send(make([]byte, MaxDatagramBytes), receiver.LocalAddress()))
		dropped, err = receiver.DroppedDatagrams()
		is.NoErr(err)
	}
	is.True(dropped > 0)
	is.True(dropped < sent)
}

// TestDropsOfAClosedSocketAreUnknown guards against a count of a closed socket that passes for none.
func TestDropsOfAClosedSocketAreUnknown(t *testing.T) {
	is := is.New(t)
	socket, _ := listen(t, "127.0.0.1:0")
	is.NoErr(socket.Close())
	_, err := socket.DroppedDatagrams()
	is.Equal(fault.KindOf(err), fault.Unavailable)
}
