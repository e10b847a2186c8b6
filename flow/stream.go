package flow

import (
	"net/netip"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// StreamAgents returns the service that a stream is for and the agents that may
// take it, in the order in which they are to be asked: the live ones of the row,
// each once. A stream lives in the connections that carry it, so no search for an
// earlier holder is needed. Errors: fault.NotFound if no service has the address,
// fault.Invalid if the service carries no streams, fault.Unavailable if it has no
// agent that is alive.
func StreamAgents(snapshot *catalog.Snapshot, liveness Liveness, key Key) (*catalog.Service, []netip.AddrPort, error) {
	service := snapshot.ServiceAt(key.Service)
	if service == nil {
		return nil, nil, fault.New(fault.NotFound, "no service at %s", key.Service)
	}
	if service.Protocol != catalog.ProtocolTCP {
		return nil, nil, fault.New(fault.Invalid, "service %s carries no streams", service.Name)
	}
	var agents []netip.AddrPort
	for _, index := range Row(service, key.Bucket()) {
		agent := service.Backends[index].Agent
		if liveness.Alive(agent) && !slices.Contains(agents, agent) {
			agents = append(agents, agent)
		}
	}
	if len(agents) == 0 {
		return nil, nil, fault.New(fault.Unavailable, "service %s has no live back end", service.Name)
	}
	return service, agents, nil
}

// StreamBackends returns the back ends of the service behind the agent that may
// take a new stream, as far as the configuration says, in the order of the row.
func StreamBackends(service *catalog.Service, agent netip.AddrPort, key Key) []*catalog.Backend {
	var own []*catalog.Backend
	for _, index := range Row(service, key.Bucket()) {
		backend := &service.Backends[index]
		if backend.Agent == agent && backend.State == catalog.BackendActive {
			own = append(own, backend)
		}
	}
	return own
}
