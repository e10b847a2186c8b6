package flow

import (
	"net/netip"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Hop is the next process on a datagram's way and the route it is sent with.
type Hop struct {
	To    netip.AddrPort // data address of an agent
	Route Route
}

// FirstHop is the whole decision of a balancer: it returns the agent that a
// datagram goes to first. The payload is read only for a QUIC connection id,
// which names its back end and so needs no search. The error is of kind
// fault.NotFound if no service has the address and of kind fault.Unavailable if
// the service has no agent that is alive.
func FirstHop(snapshot *catalog.Snapshot, liveness Liveness, key Key, payload []byte) (Hop, error) {
	service := snapshot.ServiceAt(key.Service)
	if service == nil {
		return Hop{}, fault.New(fault.NotFound, "no service at %s", key.Service)
	}
	route := Route{Revision: service.Revision, Step: StepSearch, Hops: 1, Chosen: NoBackend}
	index := backendByServerID(service, payload)
	if index == NoBackend {
		index = nextUnvisited(service, Row(service, key.Bucket()), liveness, 0)
	}
	if index == NoBackend {
		return Hop{}, fault.New(fault.Unavailable, "service %s has no live back end", service.Name)
	}
	return Hop{To: service.Backends[index].Agent, Route: route}, nil
}
