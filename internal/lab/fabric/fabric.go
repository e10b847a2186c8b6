// Package fabric simulates the network in front of the balancers. It forwards each datagram of a
// caller to a uniformly random balancer, prefixed with a PROXY protocol v2 header, and returns
// replies to the caller, whichever process sends them. It keeps no state about flows of datagrams.
// A caller's TCP stream also goes to a uniformly random balancer, prefixed with one such header.
// Inject simulates callers without sockets, and SetBalancers changes the balancers.
//
// The fabric uses sockets of package net with a goroutine each: it is not part of burlmill, so it
// shares no socket code with the processes that it sends to.
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

// ServicePort is a service address at which the fabric accepts datagrams and TCP streams.
type ServicePort struct {
	Name    catalog.ServiceName
	Address netip.AddrPort // port 0: selected by the system, see Fabric.ServiceAddress
}

// Options configures a fabric.
type Options struct {
	Services  []ServicePort
	Balancers []netip.AddrPort // UDP and TCP addresses; replaced by SetBalancers
	Seed      uint64           // seed of the random selection of balancers
}

// Counts holds totals since Start.
type Counts struct {
	In      uint64 // datagrams from callers
	Out     uint64 // replies sent to callers
	Dropped uint64 // datagrams from callers that could not be sent, or without a balancer to send to
	Invalid uint64 // replies with a malformed header, for another service, or that could not be sent

	Streams        uint64 // TCP streams of callers
	StreamsRefused uint64 // of those, reset because no balancer accepted the connection and its header
	StreamsCut     uint64 // of those, reset after their header was sent
}

// Fabric is a running fabric. All methods are safe for concurrent use.
type Fabric struct {
	picker     *picker
	ports      []*port
	counts     counters
	closing    sync.Once
	goroutines sync.WaitGroup
}

type counters struct {
	in, out, dropped, invalid           atomic.Uint64
	streams, streamsRefused, streamsCut atomic.Uint64
}

// Start opens the sockets of every service and serves them until Close. Errors are of kind
// fault.Unavailable.
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
		fabric.goroutines.Go(port.forwardToBalancers)
		fabric.goroutines.Go(port.forwardToCallers)
		fabric.goroutines.Go(port.streams.accept)
	}
	return fabric, nil
}

// SetBalancers replaces the list of balancers that datagrams and new streams are sent to.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) { f.picker.set(balancers) }

// ServiceAddress returns the address that callers use for the service, or the zero address if the
// fabric does not serve it.
func (f *Fabric) ServiceAddress(name catalog.ServiceName) netip.AddrPort {
	for _, port := range f.ports {
		if port.service.Name == name {
			return port.service.Address
		}
	}
	return netip.AddrPort{}
}

// Inject sends one datagram of a caller that has no socket. Replies to the key go to the reply
// function of the first call for the key, until Forget. The function runs on a goroutine of the
// fabric and must neither block for long nor retain its argument. The error for an unknown service
// address is of kind fault.NotFound.
func (f *Fabric) Inject(key flow.Key, payload []byte, reply func(payload []byte)) error {
	port := f.portAt(key.Service)
	if port == nil {
		return fault.New(fault.NotFound, "the fabric has no service at %s", key.Service)
	}
	return port.inject(key, payload, reply)
}

// Forget removes the reply function of the key. Later replies to the key are sent to the caller's
// address over UDP.
func (f *Fabric) Forget(key flow.Key) {
	if port := f.portAt(key.Service); port != nil {
		port.removeInjected(key)
	}
}

// Counts returns the totals since Start.
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

// Close closes every socket and waits until the goroutines of the fabric have returned.
func (f *Fabric) Close() error {
	var errs []error
	f.closing.Do(func() {
		for _, port := range f.ports {
			errs = append(errs, port.close())
		}
	})
	f.goroutines.Wait()
	return errors.Join(errs...)
}

func (f *Fabric) portAt(address netip.AddrPort) *port {
	for _, port := range f.ports {
		if port.service.Address == address {
			return port
		}
	}
	return nil
}
