// This file runs searches: an agent queries other agents on behalf of a balancer to find the one
// that holds a flow, or sends the permitted probes. Agents that have not answered by the deadline,
// and all agents if too many searches run, are reported as unanswered.

package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// A search costs the balancer one message and one answer, whatever the size of the fleet. If it
// names few agents, they are queried for the single flow; if it names more, each is queried for a
// summary of all its flows (SummaryRequest).

// Limits of searches.
const (
	// MaxSearchedAgents is the maximum number of agents in one Search, such that the message fits
	// into one packet: 6 bytes each.
	MaxSearchedAgents = 100
	// maxSearches is the maximum number of concurrent searches of an agent. Further ones are
	// answered at once, with all agents counted as unanswered.
	maxSearches = 256
)

// search is a running search on behalf of a balancer.
type search struct {
	key             flow.Key
	hash            uint64 // of the key
	confirms        uint32
	requestNumber   uint32 // the balancer's request number
	requester       netip.AddrPort
	agents          []netip.AddrPort // named by the balancer
	pending         []netip.AddrPort // those of them whose answer is outstanding
	possibleHolders []netip.AddrPort // agents that may hold the flow
	summarized      bool             // the agents are queried in a summary round
	summaryRound    uint32           // number of the summary round that it has joined; 0: none yet
	queried         []netip.AddrPort // pending agents whose flow filter may contain the key
	located         netip.AddrPort   // holds the flow according to a stored location; zero: none
	locatedPending  bool             // located is not in agents, and its answer is outstanding
	deadline        time.Time
}

// HandleSearch starts a search for a balancer. With a datagram in the request, this agent acts as
// the flow's coordinator and sends the permitted probes.
func (a *Agent) HandleSearch(now time.Time, from netip.AddrPort, request Search) []Action {
	if len(a.searches) >= maxSearches {
		a.emit(Send{To: from, Message: SearchAnswer{Key: request.Key,
			Unanswered: uint32(len(request.Agents)), RequestNumber: request.RequestNumber}})
		return a.drain()
	}
	started := &search{key: request.Key, hash: flowKeyHash(request.Key), confirms: request.Confirms,
		requestNumber: request.RequestNumber, requester: from, agents: request.Agents,
		pending: slices.Clone(request.Agents), deadline: now.Add(FlowQueryTimeout)}
	if request.Datagram != nil {
		started.pending, started.possibleHolders = a.selectProbes(now, request)
	}
	a.searches = append(a.searches, started)
	if len(started.pending) > maxSingleQueries {
		started.summarized = true
		started.deadline = started.deadline.Add(summaryInterval)
		a.startSummaryRound(now)
		return a.drain()
	}
	for _, agent := range started.pending {
		a.emit(Send{To: agent, Message: request.agentMessage()})
	}
	if len(started.pending) == 0 {
		a.endSearch(started, netip.AddrPort{})
	}
	return a.drain()
}

// agentMessage returns the message to each of the agents: a probe or a query for the single flow.
func (s Search) agentMessage() Message {
	if s.Datagram != nil {
		return Forward{Bytes: s.Datagram}
	}
	return FlowQuery{Key: s.Key, Confirms: s.Confirms}
}

// HandleQueryAnswer handles another agent's answer to the query of a search.
func (a *Agent) HandleQueryAnswer(from netip.AddrPort, answer FlowQueryAnswer) []Action {
	for _, running := range a.searchesAwaiting(answer.Key, from) {
		switch answer.Holding {
		case Holds:
			running.pending = nil
			a.endSearch(running, from)
			continue
		case HoldsPossibly:
			running.possibleHolders = append(running.possibleHolders, from)
		}
		a.recordAnswer(running, from)
		a.useLocation(running, answer.Location)
		a.endIfComplete(running)
	}
	return a.drain()
}

// HandleReturnedProbe handles a probe that another agent's back end has returned.
func (a *Agent) HandleReturnedProbe(from netip.AddrPort, key flow.Key) []Action {
	for _, running := range a.searchesAwaiting(key, from) {
		a.recordDenial(key, from)
		a.recordAnswer(running, from)
		a.endIfComplete(running)
	}
	return a.drain()
}

// searchesAwaiting returns the searches for the flow that wait for the agent's answer.
func (a *Agent) searchesAwaiting(key flow.Key, agent netip.AddrPort) []*search {
	var searches []*search
	for _, running := range a.searches {
		if running.key == key && running.awaitsAnswer(agent) {
			searches = append(searches, running)
		}
	}
	return searches
}

// recordAnswer records that the agent has answered without reporting that it holds the flow.
func (a *Agent) recordAnswer(answered *search, agent netip.AddrPort) {
	answered.pending = slices.DeleteFunc(answered.pending, func(other netip.AddrPort) bool {
		return other == agent
	})
	if agent == answered.located {
		answered.locatedPending = false
	}
}

// endIfComplete ends the search if the located agent may hold the flow, or if no answer is
// outstanding.
func (a *Agent) endIfComplete(answered *search) {
	switch {
	case answered.located.IsValid() && slices.Contains(answered.possibleHolders, answered.located):
		a.endLocated(answered)
	case len(answered.pending) == 0 && !answered.locatedPending:
		a.endSearch(answered, netip.AddrPort{})
	}
}

// endSearch ends a search and answers the balancer. A zero holder means that none was found.
func (a *Agent) endSearch(finished *search, holder netip.AddrPort) {
	a.searches = slices.DeleteFunc(a.searches, func(other *search) bool { return other == finished })
	a.emit(Send{To: finished.requester, Message: SearchAnswer{Key: finished.key, Agent: holder,
		PossibleHolders: finished.possibleHolders, Unanswered: uint32(len(finished.pending)),
		RequestNumber: finished.requestNumber}})
}

// expireSearches ends the searches that have reached their deadline.
func (a *Agent) expireSearches(now time.Time) {
	for _, running := range slices.Clone(a.searches) {
		if !now.Before(running.deadline) {
			a.endSearch(running, netip.AddrPort{})
		}
	}
}
