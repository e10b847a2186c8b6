package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/routing"
)

// Whom a balancer lets be asked for a flow that it does not know, and by whom.

// unasked returns agents to ask for a flow that have not been asked: its candidates first, then all
// others, those of the services to which its route sends new flows before the rest: with many
// services, few agents are of those, and only a flow that is older than its route's present targets is
// with another service.
func (b *Balancer) unasked(now time.Time, known *balancedFlow) []netip.AddrPort {
	candidates := slices.DeleteFunc(b.candidates(now, known), known.finding.hasAsked)
	if len(candidates) > 0 {
		return candidates
	}
	route := b.route(known)
	var likely, others []netip.AddrPort
	for _, agent := range b.board.known(now) {
		switch {
		case known.finding.hasAsked(agent.address):
		case route != nil && route.Has(agent.status.Service):
			likely = append(likely, agent.address)
		default:
			others = append(others, agent.address)
		}
	}
	likely = append(likely, others...)
	return likely[:min(len(likely), MaximumSearched)]
}

// hasAsked says whether the agent was asked for the flow.
func (f *finding) hasAsked(agent netip.AddrPort) bool { return slices.Contains(f.asked, agent) }

// candidates returns the flow's candidates among the agents of the services to which its route sends new flows.
func (b *Balancer) candidates(now time.Time, known *balancedFlow) []netip.AddrPort {
	route := b.route(known)
	if route == nil {
		return nil
	}
	var candidates []netip.AddrPort
	for _, target := range route.Targets {
		for _, agent := range b.board.candidates(now, known.key, target.Service) {
			candidates = append(candidates, agent.address)
		}
	}
	return candidates[:min(len(candidates), mostAskedSingly)]
}

// route returns the flow's route, nil if there is none.
func (b *Balancer) route(known *balancedFlow) *routing.Route {
	if b.table == nil {
		return nil
	}
	return b.table.Route(known.key.Service)
}

// searcher returns the agent that is to ask so many others: many are asked for the whole zone at once.
func (b *Balancer) searcher(now time.Time, f *finding, agents int) *agentState {
	if agents <= mostAskedSingly {
		return b.board.searcher(now, f.searcher)
	}
	if f.missed == 0 {
		return b.board.collector(now, netip.AddrPort{})
	}
	return b.board.collector(now, f.searcher)
}
