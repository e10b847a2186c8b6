// This file computes, stores and uses hints. A hint names the back end that has a flow. The agent
// that delivers a datagram after more than directHops hops sends it to the first live agent of the
// candidate order, which then forwards datagrams directly. The number and the lifetime of stored
// hints are limited, and so is the rate of hints of one flow. A wrong or lost hint costs additional
// hops and does not affect correctness.

package flow

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Limits on hints.
const (
	// directHops is the maximum hop count of a path that needs no hint: from a balancer, through at
	// most one other agent, to the agent that delivers the datagram.
	directHops = 2
	// hintLifetime is the time after which a hint expires if it is neither renewed nor used.
	hintLifetime = 30 * time.Second
	// maxHints is the maximum number of hints that an agent stores.
	maxHints = 1 << 16
	// hintRetryInterval is the minimum time between two hints of a flow to the same agent. There is
	// no limit for all flows together: a hint costs one message, and without it every datagram of
	// the flow costs several.
	hintRetryInterval = time.Second
)

// sentHint is the latest hint that an agent sent for one of its flows.
type sentHint struct {
	to     netip.AddrPort
	sentAt time.Time
}

// hintFor returns the hint to send after a delivery. It returns the zero Hop if none is needed, if
// the service has another revision, if no other agent can use the hint, or if that agent was sent
// one within hintRetryInterval.
func (d *Decider) hintFor(now time.Time, packet Packet, record *flowRecord) Hop {
	if packet.Route.Hops <= directHops {
		return Hop{}
	}
	service := d.snapshot.ServiceAt(packet.Key.Service)
	if service == nil || service.Revision != packet.Route.Revision {
		return Hop{}
	}
	index := indexOf(service, identityOf(record.service, record.backend))
	first := nextUnvisited(service, d.candidateOrder(service, packet.Key.Bucket()), d.liveness, 0)
	if index == NoBackend || first == NoBackend || service.Backends[first].Agent == d.self {
		return Hop{}
	}
	to := service.Backends[first].Agent
	if latest := record.latestHint; latest != nil && latest.to == to && now.Sub(latest.sentAt) < hintRetryInterval {
		return Hop{}
	}
	record.latestHint = &sentHint{to: to, sentAt: now}
	route := Route{Revision: service.Revision, Step: StepHint, Hops: 1, Chosen: index, ReplyTo: packet.Route.ReplyTo}
	return Hop{To: to, Route: route}
}

// storeHint stores a received hint. It ignores hints that refer to another revision of the service,
// and those of further flows while maxHints are stored.
func (d *Decider) storeHint(now time.Time, packet Packet, service *catalog.Service) {
	chosen := packet.Route.Chosen
	if packet.Route.Revision != service.Revision || chosen < 0 || chosen >= len(service.Backends) {
		return
	}
	if _, stored := d.hints.entries[packet.Key]; !stored && len(d.hints.entries) >= maxHints {
		return
	}
	d.hints.put(now, packet.Key, identityOf(service, &service.Backends[chosen]))
}

// hintedBackend returns the back end that has the flow according to a hint, and extends the
// lifetime of the hint. It returns NoBackend if there is no hint, or if the back end has been
// removed, is served by this agent or has no live agent.
func (s *search) hintedBackend() int {
	identity, ok := s.decider.hints.get(s.now, s.key)
	if !ok {
		return NoBackend
	}
	index := indexOf(s.service, identity)
	if index == NoBackend || s.ownBackends.Has(index) || !s.decider.liveness.Alive(s.service.Backends[index].Agent) {
		return NoBackend
	}
	s.decider.hints.put(s.now, s.key, identity)
	return index
}
