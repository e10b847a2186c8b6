// This file measures the cost of a forwarder relative to a socket that resends datagrams unchanged.

package balancer

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/wire"
)

const (
	benchmarkFlows    = 1000  // flows in the load
	benchmarkSenders  = 2     // concurrent sending goroutines
	datagramsPerRound = 10000 // datagrams in one round of a socket
)

var anyLoopback = netip.MustParseAddrPort("127.0.0.1:0")

// BenchmarkForwarder compares a socket with a forwarder to a socket that resends each datagram
// unchanged, in alternating rounds. The ratio is the median over pairs of rounds.
func BenchmarkForwarder(b *testing.B) {
	for _, protocol := range []catalog.Protocol{catalog.ProtocolUDP, catalog.ProtocolHTTP} {
		for _, size := range []int{200, 1200} {
			b.Run(fmt.Sprintf("%s-%d-bytes", protocol, size), func(b *testing.B) {
				benchmarkForwarder(b, protocol, size)
			})
		}
	}
}

func benchmarkForwarder(b *testing.B, protocol catalog.Protocol, size int) {
	sink := startSink(b)
	agent := func(int) netip.AddrPort { return sink }
	service := serviceOf("service", protocol, httpAddress, 7, agent)
	configuration := &fakeConfiguration{snapshot: snapshotOf(b, 1, service)}
	datagrams := benchmarkDatagrams(b, &service, size)

	var plain, balancing *measuredSocket
	plain = listenMeasured(b, func(datagram []byte, _ netip.AddrPort, _ wire.Arrival) { _ = plain.socket.Send(datagram, sink) })
	var handler *forwarder
	balancing = listenMeasured(b, func(datagram []byte, from netip.AddrPort, _ wire.Arrival) { handler.receive(datagram, from, 0) })
	handler = newTestForwarder(configuration, balancing.socket, 2*benchmarkSenders*benchmarkFlows)

	plain.measureRound(b, datagrams)
	balancing.measureRound(b, datagrams)
	b.ReportAllocs()
	b.ResetTimer()
	var ratios []float64
	var plainTime, balancingTime time.Duration
	for handled := 0; handled < b.N; handled += datagramsPerRound {
		plainRound := plain.measureRound(b, datagrams)
		balancingRound := balancing.measureRound(b, datagrams)
		ratios = append(ratios, float64(balancingRound)/float64(plainRound))
		plainTime += plainRound
		balancingTime += balancingRound
	}
	slices.Sort(ratios)
	total := float64(len(ratios) * datagramsPerRound)
	b.ReportMetric(ratios[len(ratios)/2], "ratio")
	b.ReportMetric(total/balancingTime.Seconds(), "datagrams/s")
	b.ReportMetric(total/plainTime.Seconds(), "plain-datagrams/s")
}

// benchmarkDatagrams returns one datagram of each flow.
func benchmarkDatagrams(b *testing.B, service *catalog.Service, size int) [][]byte {
	datagrams := make([][]byte, benchmarkFlows)
	for index := range datagrams {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(index)}), uint16(1000+index))
		payload := make([]byte, size)
		copy(payload, quicPayload(&service.Backends[index%len(service.Backends)]))
		datagrams[index] = datagramOf(b, wire.Envelope{Key: flow.Key{Caller: caller, Service: service.Address}}, payload)
	}
	return datagrams
}

// measuredSocket counts the datagrams that its receiver has handled.
type measuredSocket struct {
	socket  *wire.Socket
	handled atomic.Int64
	sources [benchmarkSenders]*net.UDPConn // reused in all rounds, as fabrics keep their addresses
}

func listenMeasured(b *testing.B, receive wire.Receiver) *measuredSocket {
	measured := &measuredSocket{}
	socket, err := wire.Listen(anyLoopback, func(datagram []byte, from netip.AddrPort, arrived wire.Arrival) {
		receive(datagram, from, arrived)
		measured.handled.Add(1)
	})
	is.New(b).NoErr(err)
	b.Cleanup(func() { _ = socket.Close() })
	measured.socket = socket
	for index := range measured.sources {
		source, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(socket.LocalAddress()))
		is.New(b).NoErr(err)
		b.Cleanup(func() { _ = source.Close() })
		measured.sources[index] = source
	}
	return measured
}

// measureRound overloads the socket and returns the time it takes to handle the datagrams of one
// round.
func (m *measuredSocket) measureRound(b *testing.B, datagrams [][]byte) time.Duration {
	var stop atomic.Bool
	var senders sync.WaitGroup
	for _, source := range m.sources {
		senders.Go(func() {
			for index := 0; !stop.Load(); index++ {
				_, _ = source.Write(datagrams[index%len(datagrams)])
			}
		})
	}
	m.awaitHandled(b, m.handled.Load()+datagramsPerRound/2) // fill the cache and the buffers
	begin := time.Now()
	handledAtStart := m.handled.Load()
	m.awaitHandled(b, handledAtStart+datagramsPerRound)
	perDatagram := time.Since(begin) / time.Duration(m.handled.Load()-handledAtStart)
	stop.Store(true)
	senders.Wait()
	return perDatagram * datagramsPerRound
}

func (m *measuredSocket) awaitHandled(b *testing.B, count int64) {
	deadline := time.Now().Add(20 * time.Second)
	for m.handled.Load() < count {
		if time.Now().After(deadline) {
			b.Fatal("socket did not handle the datagrams before the timeout")
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// startSink returns the address of a socket that discards all datagrams.
func startSink(b *testing.B) netip.AddrPort {
	socket, err := wire.Listen(anyLoopback, func([]byte, netip.AddrPort, wire.Arrival) {})
	is.New(b).NoErr(err)
	b.Cleanup(func() { _ = socket.Close() })
	return socket.LocalAddress()
}
