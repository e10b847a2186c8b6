// This file selects the live agents to which a new TCP stream can be sent, and the back ends behind
// an agent that can serve it.

package flow

import (
	"net/netip"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// StreamAgents returns the service of a new TCP stream and the live agents to which the stream can
// be sent, in candidate order and without duplicates. No search is necessary, because no agent has
// state of a new stream. The error is of kind fault.NotFound if no service has the destination
// address, fault.Invalid if the service's protocol is not TCP, and fault.Unavailable if the service
// has no live agent.
func StreamAgents(snapshot *catalog.Snapshot, liveness Liveness, key Key) (*catalog.Service, []netip.AddrPort, error) {
	service := snapshot.ServiceAt(key.Service)
	if service == nil {
		return nil, nil, fault.New(fault.NotFound, "no service at %s", key.Service)
	}
	if service.Protocol != catalog.ProtocolTCP {
		return nil, nil, fault.New(fault.Invalid, "service %s does not use TCP", service.Name)
	}
	var agents []netip.AddrPort
	for _, index := range CandidateOrder(service, key.Bucket()) {
		agent := service.Backends[index].Agent
		if liveness.Alive(agent) && !slices.Contains(agents, agent) {
			agents = append(agents, agent)
		}
	}
	if len(agents) == 0 {
		return nil, nil, fault.New(fault.Unavailable, "service %s has no live agent", service.Name)
	}
	return service, agents, nil
}

// StreamBackends returns the active back ends of the service behind the agent, in candidate order.
func StreamBackends(service *catalog.Service, agent netip.AddrPort, key Key) []*catalog.Backend {
	var own []*catalog.Backend
	for _, index := range CandidateOrder(service, key.Bucket()) {
		backend := &service.Backends[index]
		if backend.Agent == agent && backend.State == catalog.BackendActive {
			own = append(own, backend)
		}
	}
	return own
}
