// Package fabric stands in for the network in front of the balancers: it hands
// each datagram of a caller to a uniformly random balancer, behind a PROXY
// protocol v2 header, and brings replies back from whichever process sends them.
// It keeps no state about flows of datagrams. A caller's TCP stream goes to a
// uniformly random balancer too, behind one such header.
//
// Sockets are those of package net with a goroutine each: the fabric is outside
// burlmill, so it shares no socket code with the processes it feeds.
package fabric

import (
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
)

// ServicePort is one service address that the fabric answers for.
type ServicePort struct {
	Name    catalog.ServiceName
	Address netip.AddrPort // port 0 lets the system choose; see Fabric.ServiceAddress
}

// Options says how a fabric starts.
type Options struct {
	Services  []ServicePort
	Balancers []netip.AddrPort // data addresses; replaced by SetBalancers
	Seed      uint64           // fixes the choice of balancers
}

// Counts are totals since the start.
type Counts struct {
	In      uint64 // datagrams from callers
	Out     uint64 // datagrams handed back to callers
	Dropped uint64 // datagrams from callers with no balancer to take them, or that could not be sent
	Invalid uint64 // replies without a readable header, for another service or for a caller unknown here

	Streams        uint64 // TCP streams of callers
	StreamsRefused uint64 // of those, with no balancer to take them
	StreamsCut     uint64 // of those, reset by either side after that
}

// Fabric is a running fabric. All methods are safe for concurrent use.
type Fabric struct {
	picker  *picker
	ports   []*port
	counts  counters
	closing sync.Once
	running sync.WaitGroup
}

type counters struct {
	in, out, dropped, invalid           atomic.Uint64
	streams, streamsRefused, streamsCut atomic.Uint64
}

// Start opens the sockets of every service. Errors are of kind fault.Unavailable.
func Start(options Options) (*Fabric, error) {
	fabric := &Fabric{picker: newPicker(options.Seed)}
	fabric.SetBalancers(options.Balancers)
	for _, service := range options.Services {
		port, err := openPort(service, fabric.picker, &fabric.counts)
		if err != nil {
			return nil, errors.Join(err, fabric.Close())
		}
		fabric.ports = append(fabric.ports, port)
	}
	for _, port := range fabric.ports {
		fabric.running.Go(port.carryToBalancers)
		fabric.running.Go(port.carryToCallers)
		fabric.running.Go(port.streams.accept)
	}
	return fabric, nil
}

// SetBalancers replaces the list of balancers that datagrams and new streams are
// handed to.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) { f.picker.set(balancers) }

// ServiceAddress returns the address callers use for the service, the zero
// address when the fabric does not carry that service.
func (f *Fabric) ServiceAddress(name catalog.ServiceName) netip.AddrPort {
	for _, port := range f.ports {
		if port.service.Name == name {
			return port.service.Address
		}
	}
	return netip.AddrPort{}
}

// Inject hands in one datagram of a caller that has no socket. Replies to the
// key go to reply, which is remembered from the first call for the key until
// Forget; it runs on a goroutine of the fabric and must neither block for long
// nor keep its argument. The error is fault.NotFound for an unknown service address.
func (f *Fabric) Inject(key flow.Key, payload []byte, reply func(payload []byte)) error {
	port := f.portAt(key.Service)
	if port == nil {
		return fault.New(fault.NotFound, "the fabric has no service at %s", key.Service)
	}
	return port.inject(key, payload, reply)
}

// Forget drops the reply function of a key given to Inject.
func (f *Fabric) Forget(key flow.Key) {
	if port := f.portAt(key.Service); port != nil {
		port.forget(key)
	}
}

// Counts returns the totals so far.
func (f *Fabric) Counts() Counts {
	return Counts{
		In:      f.counts.in.Load(),
		Out:     f.counts.out.Load(),
		Dropped: f.counts.dropped.Load(),
		Invalid: f.counts.invalid.Load(),

		Streams:        f.counts.streams.Load(),
		StreamsRefused: f.counts.streamsRefused.Load(),
		StreamsCut:     f.counts.streamsCut.Load(),
	}
}

// Close closes every socket and waits until the fabric's goroutines have ended.
func (f *Fabric) Close() error {
	var problems []error
	f.closing.Do(func() {
		for _, port := range f.ports {
			problems = append(problems, port.close())
		}
	})
	f.running.Wait()
	return errors.Join(problems...)
}

func (f *Fabric) portAt(address netip.AddrPort) *port {
	for _, port := range f.ports {
		if port.service.Address == address {
			return port
		}
	}
	return nil
}
