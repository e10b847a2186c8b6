package agent

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
)

// leave begins the stop: no new work, and what runs is finished.
func (o *owner) leave() {
	o.leaving = true
	o.ready.Store(false)
	o.coordination.AnnounceLeaving()
	o.http.drainAll()
	o.log.WithField("flows", o.decider.Flows()).Info("leaving")
}

// isDrained says whether the agent is leaving and nothing is left to finish.
func (o *owner) isDrained() bool {
	if !o.leaving || !o.http.empty() {
		return false
	}
	return o.limitPassed || o.decider.Flows() == 0
}

// cutOff ends what has not finished within the drain limit.
func (o *owner) cutOff() {
	o.limitPassed = true
	o.log.WithField("flows", o.decider.Flows()).Warn("drain-limit")
	o.endAll(o.decider.Expire(endOfTime))
	o.http.cutOffNow()
}

// endOfTime is later than any idle timeout.
var endOfTime = time.Unix(1<<40, 0)

// serverDrained forgets an HTTP/3 server that has ended.
func (o *owner) serverDrained(ended drainedServer) {
	if ended.err != nil {
		o.log.WithField("service", ended.key.service).WithError(ended.err).Warn("requests-cut-off")
	}
	o.endAll(o.http.remove(ended))
}

// mustRefuse says whether the decider has admitted a flow although the agent
// takes no new work. A datagram whose connection id names a back end here is of
// a flow that has moved to another address, not of a new one.
func (o *owner) mustRefuse(packet flow.Packet, action flow.Action) bool {
	if !o.leaving || action.Kind != flow.Deliver || !action.New {
		return false
	}
	if action.Service.Protocol != catalog.ProtocolHTTP {
		return true
	}
	serverID, named := flow.ServerIDOf(packet.Payload)
	return !named || serverID != action.Backend.ServerID()
}

// refuse undoes an admission and asks the flow's arbiter for another back end.
func (o *owner) refuse(now time.Time, packet flow.Packet, action flow.Action) flow.Action {
	o.decider.End(packet.Key)
	route := flow.Route{
		Revision: action.Service.Revision,
		Step:     flow.StepArbitrate,
		Hops:     packet.Route.Hops,
		Refused:  o.ownBackends(action.Service),
		Chosen:   flow.NoBackend,
		Return:   packet.Route.Return,
	}
	if packet.Route.Revision == route.Revision {
		route.Visited = packet.Route.Visited
		route.Refused |= packet.Route.Refused
	}
	packet.Route = route
	return o.decider.Handle(now, packet)
}

// ownBackends returns the service's back ends behind this agent.
func (o *owner) ownBackends(service *catalog.Service) flow.BackendSet {
	var own flow.BackendSet
	for index := range service.Backends {
		if service.Backends[index].Agent == o.self {
			own = own.With(index)
		}
	}
	return own
}
