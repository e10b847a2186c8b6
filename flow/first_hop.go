// This file selects the agent to which a balancer sends a datagram: the agent of the back end that
// its QUIC connection id encodes, else the first live agent in candidate order. It returns an error
// if no service has the destination address or the service has no live agent.

package flow

import (
	"net/netip"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Hop is the next agent on a datagram's path and the route to send with the datagram.
type Hop struct {
	To    netip.AddrPort // data address of an agent
	Route Route
}

// FirstHop returns the agent to which a balancer sends a datagram. The payload is used only to
// parse the QUIC connection id: if it encodes the server id of a back end, the hop is the agent of
// this back end, alive or not. The error is of kind fault.NotFound if no service has the
// destination address and of kind fault.Unavailable if the service has no live agent.
func FirstHop(snapshot *catalog.Snapshot, liveness Liveness, key Key, payload []byte) (Hop, error) {
	service := snapshot.ServiceAt(key.Service)
	if service == nil {
		return Hop{}, fault.New(fault.NotFound, "no service at %s", key.Service)
	}
	route := Route{Revision: service.Revision, Step: StepSearch, Hops: 1, Chosen: NoBackend}
	index := backendByServerID(service, payload)
	if index == NoBackend {
		index = nextUnvisited(service, CandidateOrder(service, key.Bucket()), liveness, 0)
	}
	if index == NoBackend {
		return Hop{}, fault.New(fault.Unavailable, "service %s has no live agent", service.Name)
	}
	return Hop{To: service.Backends[index].Agent, Route: route}, nil
}
