// This file selects the agents that are asked whether they hold a flow, and the searcher, which is
// the agent that asks them for the balancer. A flow's candidates, which are the agents that rank
// highest for it in each target service of its route, are asked first.

package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/routing"
)

// agentsToQuery returns the agents to query next for a flow, at most MaxSearchedAgents: its
// candidates if any of them was not queried yet, else all others, those of the route's target
// services first. A flow belongs to another service only if it was opened before the route got its
// present targets.
func (b *Balancer) agentsToQuery(now time.Time, entry *flowEntry) []netip.AddrPort {
	candidates := slices.DeleteFunc(b.routeCandidates(now, entry), entry.lookup.hasQueried)
	if len(candidates) > 0 {
		return candidates
	}
	route := b.route(entry)
	var likely, others []netip.AddrPort
	for _, agent := range b.agentTable.queryableAgents(now) {
		switch {
		case entry.lookup.hasQueried(agent.address):
		case route != nil && route.Contains(agent.status.Service):
			likely = append(likely, agent.address)
		default:
			others = append(others, agent.address)
		}
	}
	likely = append(likely, others...)
	return likely[:min(len(likely), MaxSearchedAgents)]
}

// hasQueried reports whether the agent was already queried for the flow.
func (l *flowLookup) hasQueried(agent netip.AddrPort) bool {
	return slices.Contains(l.queriedAgents, agent)
}

// routeCandidates returns the flow's candidates for each target service of its route, at most
// maxSingleQueries in total.
func (b *Balancer) routeCandidates(now time.Time, entry *flowEntry) []netip.AddrPort {
	route := b.route(entry)
	if route == nil {
		return nil
	}
	var candidates []netip.AddrPort
	for _, target := range route.Targets {
		for _, agent := range b.agentTable.candidates(now, entry.key, target.Service) {
			candidates = append(candidates, agent.address)
		}
	}
	return candidates[:min(len(candidates), maxSingleQueries)]
}

// route returns the flow's route, nil if there is none.
func (b *Balancer) route(entry *flowEntry) *routing.Route {
	if b.table == nil {
		return nil
	}
	return b.table.Route(entry.key.Service)
}

// selectSearcher returns the agent that is to query count agents, nil if there is none. If count
// exceeds maxSingleQueries, it is the zone's summary collector, which answers many searches in one
// summary round. The lookup's previous searcher is selected again only if there is no other; as
// collector it stays selected until one of the lookup's searches has timed out.
func (b *Balancer) selectSearcher(now time.Time, lookup *flowLookup, count int) *agentState {
	if count <= maxSingleQueries {
		return b.agentTable.randomSearcher(now, lookup.searcher)
	}
	if lookup.searchTimeouts == 0 {
		return b.agentTable.summaryCollector(now, netip.AddrPort{})
	}
	return b.agentTable.summaryCollector(now, lookup.searcher)
}
