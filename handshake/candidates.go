// This file selects the agent for a new flow: the least busy of a few candidates, which are
// selected by the flow's key (rendezvous hashing), or else the least busy agent of the service. It
// also selects the summary collector of a zone.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
)

// Another balancer that receives a datagram of the flow has its candidates queried first. An agent
// that is added or removed changes the candidates of few flows.

// Maximum numbers of candidates of a flow. Those in other zones serve while the balancer's zone is
// full.
const (
	maxCandidatesInZone    = 4 // in the balancer's zone
	maxCandidatesElsewhere = 4 // in all others
)

// ranked is an agent with its rank for a flow.
type ranked struct {
	agent *agentState
	rank  uint64
}

// candidates returns the flow's candidates among the queryable agents of the service, those of the
// balancer's zone first, each group by descending rank.
func (t *AgentTable) candidates(
	now time.Time, key flow.Key, service catalog.ServiceName,
) []*agentState {
	var near, far []ranked
	for _, agent := range t.sortedAgents {
		switch {
		case agent.status.Service != service || !agent.queryable(now):
		case agent.status.Zone == t.zone:
			near = append(near, ranked{agent, rankOf(key, agent.address)})
		default:
			far = append(far, ranked{agent, rankOf(key, agent.address)})
		}
	}
	var agents []*agentState
	for _, candidate := range append(
		highestRanked(near, maxCandidatesInZone), highestRanked(far, maxCandidatesElsewhere)...,
	) {
		agents = append(agents, candidate.agent)
	}
	return agents
}

// highestRanked returns up to limit agents with the highest ranks, in descending order.
func highestRanked(agents []ranked, limit int) []ranked {
	highest := make([]ranked, 0, limit+1)
	for _, agent := range agents {
		if len(highest) == limit && agent.rank <= highest[limit-1].rank {
			continue
		}
		index, _ := slices.BinarySearchFunc(highest, agent.rank, func(other ranked, rank uint64) int {
			return cmp.Compare(rank, other.rank)
		})
		highest = slices.Insert(highest, index, agent)
		highest = highest[:min(len(highest), limit)]
	}
	return highest
}

// selectAgent returns the agent for a new flow, which is none of except: the least busy candidate
// that can run the flow at once, or else the least busy agent of the service. Suspected candidates
// are skipped, and so are cold ones unless the least busy agent is cold. If no agent can take the
// flow, it returns nil and the reason.
func (t *AgentTable) selectAgent(
	now time.Time, key flow.Key, service catalog.ServiceName, except []netip.AddrPort,
) (*agentState, placementOutcome) {
	least, outcome := t.leastBusyOfService(now, service, except)
	if outcome != agentSelected {
		return nil, outcome
	}
	candidates := slices.DeleteFunc(t.candidates(now, key, service), func(agent *agentState) bool {
		return !agent.hasFreeSlot() || agent.load.Suspect || agent.load.Cold > 0 && least.load.Cold == 0
	})
	if best, outcome := t.leastBusyOf(now, candidates, except); outcome == agentSelected {
		return best, agentSelected
	}
	return least, agentSelected
}

// hasFreeSlot reports whether the agent's back end can run one more request at once, counting
// pending offers.
func (a *agentState) hasFreeSlot() bool {
	return a.load.InFlight+uint32(a.pendingOffers) < cmp.Or(a.load.Slots, defaultSlots)
}

// rankOf returns the agent's rank for the flow. It is the same in all processes. Higher ranks are
// preferred.
func rankOf(key flow.Key, agent netip.AddrPort) uint64 {
	var buffer [96]byte
	encoded, _ := key.Caller.AppendBinary(buffer[:0]) // never fails
	encoded, _ = key.Service.AppendBinary(encoded)
	encoded, _ = agent.AppendBinary(encoded)
	return xxhash.Sum64(encoded)
}

// summaryCollector returns the agent that answers the zone's searches that name more than
// maxSingleQueries agents, nil if there is none. All balancers of the zone select the same one, so
// that one summary round answers the searches of all. The agent except is selected only if there is
// no other.
func (t *AgentTable) summaryCollector(now time.Time, except netip.AddrPort) *agentState {
	var best *agentState
	bestRank := collectorRank{}
	for _, agent := range t.sortedAgents {
		if agent.status.ShuttingDown ||
			!agent.knownByGossip && now.Sub(agent.lastSeenAt) > agent.statusTimeout() {
			continue
		}
		rank := collectorRank{
			agent.address != except, agent.status.Zone == t.zone, zoneRank(t.zone, agent.address)}
		if best == nil || rank.compare(bestRank) > 0 {
			best, bestRank = agent, rank
		}
	}
	return best
}

// collectorRank ranks an agent as collector. The fields are compared in their order.
type collectorRank struct {
	notExcluded bool // it is not the excepted agent
	sameZone    bool // it is in the balancer's zone
	hash        uint64
}

func (r collectorRank) compare(other collectorRank) int {
	return cmp.Or(compareBools(r.notExcluded, other.notExcluded),
		compareBools(r.sameZone, other.sameZone), cmp.Compare(r.hash, other.hash))
}

// compareBools compares x and y and orders true after false.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}

// zoneRank returns the agent's rank as collector of the zone.
func zoneRank(zone catalog.ZoneName, agent netip.AddrPort) uint64 {
	encoded, _ := agent.AppendBinary([]byte(zone)) // never fails
	return xxhash.Sum64(encoded)
}
