// This file runs the summary rounds of an agent, which answer searches that name many agents. The
// agent requests flow filters, and queries only the agents whose filters may contain a flow for
// that flow.

package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// All balancers of a zone send searches that name more than maxSingleQueries agents to the same
// agent, the summary collector. It requests a flow filter from each named agent at most once per
// summaryInterval, whatever the number of searches.

// Limits of summary rounds.
const (
	// maxSingleQueries is the maximum number of agents that a search queries for the single flow:
	// the candidates of a flow whose route has two services.
	maxSingleQueries = 2 * (maxCandidatesInZone + maxCandidatesElsewhere)
	// summaryInterval is the minimum time between two summary rounds of an agent.
	summaryInterval = 50 * time.Millisecond
	// maxSummaryAgents is the maximum number of agents queried in one summary round. Searches that
	// would exceed it wait for the next round.
	maxSummaryAgents = 256
)

// startSummaryRound starts a summary round if searches wait for one and summaryInterval has passed
// since the start of the previous round.
func (a *Agent) startSummaryRound(now time.Time) {
	if now.Before(a.nextSummaryAt) {
		return
	}
	agents := a.assignSummaryRound()
	if len(agents) == 0 {
		return
	}
	a.nextSummaryAt = now.Add(summaryInterval)
	for _, agent := range agents {
		a.emit(Send{To: agent, Message: SummaryRequest{Round: a.summaryRound}})
	}
	a.emit(Decision{Event: EventSummaryRound, Service: a.options.Service, Attempts: len(agents)})
}

// assignSummaryRound assigns the waiting searches to a new summary round, up to maxSummaryAgents
// agents, and returns the agents to query, each once.
func (a *Agent) assignSummaryRound() []netip.AddrPort {
	var agents []netip.AddrPort
	included := map[netip.AddrPort]bool{}
	a.summaryRound = max(a.summaryRound+1, 1)
	for _, current := range a.searches {
		if !current.summarized || current.summaryRound != 0 ||
			len(included)+len(current.pending) > maxSummaryAgents {
			continue
		}
		current.summaryRound = a.summaryRound
		for _, agent := range current.pending {
			if !included[agent] {
				included[agent] = true
				agents = append(agents, agent)
			}
		}
	}
	return agents
}

// HandleFlowSummary handles another agent's flow filter. It counts only for searches that have
// joined the same round: a filter of an earlier round may be older than the flow.
func (a *Agent) HandleFlowSummary(from netip.AddrPort, answer FlowSummary) []Action {
	filter := flowFilter(answer.Filter)
	for _, joined := range slices.Clone(a.searches) {
		if joined.summaryRound == 0 || joined.summaryRound != answer.Round ||
			!joined.awaitsSummary(from) {
			continue
		}
		switch {
		case filter.mayContain(joined.hash):
			joined.queried = append(joined.queried, from)
			a.emit(Send{To: from, Message: FlowQuery{Key: joined.key, Confirms: joined.confirms}})
			continue
		case answer.MayHold:
			joined.possibleHolders = append(joined.possibleHolders, from)
		}
		a.recordAnswer(joined, from)
		a.endIfComplete(joined)
	}
	return a.drain()
}

// awaitsSummary reports whether the agent's flow filter is outstanding in a search that has joined
// a summary round.
func (s *search) awaitsSummary(agent netip.AddrPort) bool {
	return slices.Contains(s.pending, agent) && !slices.Contains(s.queried, agent)
}

// awaitsAnswer reports whether the agent's answer to a query or probe for the single flow is
// outstanding.
func (s *search) awaitsAnswer(agent netip.AddrPort) bool {
	if s.locatedPending && agent == s.located {
		return true
	}
	if s.summarized {
		return slices.Contains(s.queried, agent)
	}
	return slices.Contains(s.pending, agent)
}
