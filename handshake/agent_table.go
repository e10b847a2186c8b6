// This file contains the agent table: what a balancer knows of each agent, when agents count as
// unreachable, may be queried for flows and are removed, and the selection of the least busy agents
// for new flows and of an agent that searches for a flow's holder. It also estimates the response
// time of each agent, from which the timeout of offers follows.

package handshake

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/presence"
)

// Timeouts since an agent was last seen (agentState.lastSeenAt).
const (
	// StatusTimeout is the minimum timeout after which an agent gets no new flows. An agent that
	// announces long status intervals has a longer one, up to maxStatusTimeout.
	StatusTimeout    = 700 * time.Millisecond
	maxStatusTimeout = 2500 * time.Millisecond
	// QueryableTime is the minimum timeout after which an agent is not queried, unless it is running
	// according to gossip. AgentExpiryTime is the timeout after which it is removed; it counts from
	// lastReachableAt.
	QueryableTime   = 3 * time.Second
	AgentExpiryTime = 60 * time.Second
	// IsolationTimeout is the minimum time without a status of any agent after which all agents count
	// as unreachable. The timeout is longer if all agents together need longer to send
	// isolationMissedStatuses statuses, but then at most the longest statusTimeout of an agent.
	IsolationTimeout        = 300 * time.Millisecond
	isolationMissedStatuses = 8
)

// Weights of the score that decides where a new flow goes, in fractions of a back end's slots
// unless another unit is given.
const (
	otherZoneWeight    = 0.08 // for an agent in another zone
	otherRegionWeight  = 0.6  // for an agent in another region
	coldWeight         = 0.5  // for a back end that is still slow after its start
	suspectWeight      = 4.0  // for a suspected back end, so that others are preferred
	pendingOfferWeight = 1.0  // in requests, for each pending offer
	randomWeight       = 0.02 // maximum random part, so that balancers select different agents
	defaultSlots       = 3    // slots, assumed while they are not known
)

// Penalty for offers that timed out: each adds one to the agent's score. The penalty is halved with
// every offerTimeoutHalfLife since the last timeout, so that an agent that has recovered gets flows
// again, and cleared when the agent answers an offer or grants a reservation. A status does not
// clear it, since an agent whose back end hangs still sends statuses.
const (
	offerTimeoutHalfLife = time.Second
	maxTimedOutOffers    = 8 // maximum number of offers that count
)

// agentState is a balancer's state of one agent.
type agentState struct {
	address        netip.AddrPort
	status         Status    // latest; before the first one, from its record
	load           Load      // latest, from a status, an answer to an offer or a reservation
	lastSeenAt     time.Time // when its latest status or load arrived; zero: never
	startedAt      time.Time // as reported by the agent or its record; zero: not known
	reachableSince time.Time // since when it has been seen or running according to gossip
	knownByGossip  bool      // it is running according to gossip
	gossipAt       time.Time // when its record was last received
	loadAt         time.Time // when load was received
	recordSeen     bool      // its record was read from the store since this incarnation was added
	pendingOffers  int       // offers sent since load was received
	timedOutOffers int       // consecutive offers that timed out
	offerTimeoutAt time.Time // when the last of these timed out
	lastMessageAt  time.Time // when its latest message of any kind arrived
	// firstForwardAt and lastForwardAt are the times of the first and the last datagram sent to the
	// agent, without a gap of forwardIdleTimeout in between.
	firstForwardAt, lastForwardAt time.Time
	notProbedSince                time.Time // start of the disturbance that was last reported for it
	// responseTime is the estimated response time to offers. It follows increases at once and
	// decreases gradually.
	responseTime time.Duration
}

// Parameters of the response time estimate and of the offer timeout.
const (
	responseTimeDecay  = 8 // divisor of the step towards a shorter sample
	offerTimeoutFactor = 2 // offer timeout in response times
)

// recordResponseTime updates the agent's estimated response time after an answer to an offer.
func (t *AgentTable) recordResponseTime(from netip.AddrPort, elapsed time.Duration) {
	agent := t.agents[from]
	if agent == nil {
		return
	}
	if elapsed >= agent.responseTime {
		agent.responseTime = min(elapsed, MaxOfferTimeout)
		return
	}
	agent.responseTime -= (agent.responseTime - elapsed) / responseTimeDecay
}

// recordOfferTimeout records that an offer to the agent timed out. It raises the response time
// estimate, since the agent may be slower than estimated.
func (t *AgentTable) recordOfferTimeout(now time.Time, address netip.AddrPort) {
	agent := t.agents[address]
	if agent == nil {
		return
	}
	agent.timedOutOffers = min(agent.timedOutOffers+1, maxTimedOutOffers)
	agent.offerTimeoutAt = now
	agent.responseTime = min(
		max(offerTimeoutFactor*agent.responseTime, MinOfferTimeout), MaxOfferTimeout)
}

// offerTimeout returns the timeout of an offer to the agent.
func (a *agentState) offerTimeout() time.Duration {
	return min(max(MinOfferTimeout, offerTimeoutFactor*a.responseTime), MaxOfferTimeout)
}

// AgentTable is a balancer's table of agents.
type AgentTable struct {
	zone         catalog.ZoneName
	region       string
	agents       map[netip.AddrPort]*agentState
	sortedAgents []*agentState // sorted by address, so that decisions are deterministic
	random       *rand.Rand
	evacuations  evacuation.Set // zones whose agents get no new flows
	agentChanged bool           // an agent or its back end has changed since retryWaitingLookups
	agentAdded   bool           // an agent was added, or SetRecords called, since then
	// restarted contains the agents of which another incarnation was seen since takeRestarted.
	restarted map[netip.AddrPort]bool
}

// NewAgentTable returns an empty table for a balancer in the given zone and region.
func NewAgentTable(zone catalog.ZoneName, region string, random *rand.Rand) *AgentTable {
	return &AgentTable{
		zone: zone, region: region, agents: map[netip.AddrPort]*agentState{}, random: random,
		restarted: map[netip.AddrPort]bool{}}
}

// takeRestarted returns the agents that have restarted since the last call.
func (t *AgentTable) takeRestarted() map[netip.AddrPort]bool {
	restarted := t.restarted
	t.restarted = map[netip.AddrPort]bool{}
	return restarted
}

// UpdateFromStatus updates an agent from its status. An unknown agent is added, and one that has
// restarted is reset.
func (t *AgentTable) UpdateFromStatus(now time.Time, from netip.AddrPort, status Status) {
	agent := t.agents[from]
	switch {
	case agent == nil || agent.status.Incarnation != status.Incarnation:
		agent = t.resetAgent(agent, from)
	case agent.status.Backend != status.Backend || agent.status.Load.Accepts != status.Load.Accepts ||
		agent.status.Drained != status.Drained:
		t.agentChanged = true
	}
	if agent.startedAt.IsZero() {
		agent.startedAt = startTimeOf(now, status)
	}
	agent.markSeen(now)
	agent.status = status
	agent.updateLoad(now, status.Load)
}

// markSeen records that a status or a load of the agent has arrived.
func (a *agentState) markSeen(now time.Time) {
	if !a.knownByGossip && (a.lastSeenAt.IsZero() || now.Sub(a.lastSeenAt) > a.statusTimeout()) {
		a.reachableSince = now
	}
	a.lastSeenAt = now
}

// UpdateFromRecord updates an agent from a gossiped record. It keeps what the agent itself has
// reported for the same incarnation, and ignores records of earlier incarnations.
func (t *AgentTable) UpdateFromRecord(now time.Time, record presence.Record) {
	agent := t.agents[record.Address]
	if agent != nil && agent.status.Incarnation != record.Incarnation &&
		!record.StartedAt.After(agent.startedAt) {
		return // the record is of an earlier incarnation
	}
	if agent == nil || agent.status.Incarnation != record.Incarnation {
		if record.Failed {
			return
		}
		agent = t.resetAgent(agent, record.Address)
		agent.status = Status{Role: record.Role, Zone: record.Zone, Region: record.Region,
			Service: record.Service, Incarnation: record.Incarnation}
		agent.startedAt = record.StartedAt
		agent.reachableSince = now
	}
	if record.Stage >= presence.Drained && !agent.status.Drained {
		agent.status.Drained = true
		t.agentChanged = true
	}
	agent.status.ShuttingDown = agent.status.ShuttingDown || record.Stage >= presence.ShuttingDown
	if !record.Failed && !agent.knownByGossip && agent.lastSeenAt.IsZero() {
		agent.reachableSince = now
	}
	agent.knownByGossip = !record.Failed
	agent.gossipAt = now
}

// resetAgent returns an empty state for an agent that is new or has restarted.
func (t *AgentTable) resetAgent(agent *agentState, address netip.AddrPort) *agentState {
	if agent != nil {
		*agent = agentState{address: address}
		t.agentChanged = true
		t.restarted[address] = true
		return agent
	}
	agent = &agentState{address: address}
	t.insert(agent)
	return agent
}

// lastReachableAt returns when the agent was last seen by this balancer, or was last running
// according to gossip.
func (a *agentState) lastReachableAt(now time.Time) time.Time {
	switch {
	case a.knownByGossip:
		return now
	case a.gossipAt.After(a.lastSeenAt):
		return a.gossipAt
	default:
		return a.lastSeenAt
	}
}

func (t *AgentTable) insert(agent *agentState) {
	t.agents[agent.address] = agent
	t.agentAdded = true
	index, _ := slices.BinarySearchFunc(t.sortedAgents, agent, compareAddresses)
	t.sortedAgents = slices.Insert(t.sortedAgents, index, agent)
}

func compareAddresses(a, b *agentState) int { return a.address.Compare(b.address) }

func (a *agentState) updateLoad(now time.Time, load Load) {
	a.load = load
	a.loadAt = now
	a.pendingOffers = 0
}

// recordAnswer updates an agent from the load in its answer to an offer or in a granted
// reservation.
func (t *AgentTable) recordAnswer(now time.Time, from netip.AddrPort, load Load) {
	agent := t.agents[from]
	if agent == nil {
		return
	}
	agent.markSeen(now)
	agent.timedOutOffers = 0
	agent.updateLoad(now, load)
}

// Expire removes agents that have been unreachable for longer than AgentExpiryTime.
func (t *AgentTable) Expire(now time.Time) {
	t.sortedAgents = slices.DeleteFunc(t.sortedAgents, func(agent *agentState) bool {
		expired := now.Sub(agent.lastReachableAt(now)) > AgentExpiryTime
		if expired {
			delete(t.agents, agent.address)
		}
		return expired
	})
}

// AnyReachable reports whether any agent was seen recently, whatever gossip reports. The more
// statuses are expected per second from all agents together, the shorter the time after which all
// agents count as unreachable (IsolationTimeout).
func (t *AgentTable) AnyReachable(now time.Time) bool {
	lastSeen := time.Time{}
	for _, agent := range t.sortedAgents {
		if agent.lastSeenAt.After(lastSeen) {
			lastSeen = agent.lastSeenAt
		}
	}
	if lastSeen.IsZero() {
		return false
	}
	expectedPerSecond, maximumTimeout := 0.0, time.Duration(0)
	for _, agent := range t.sortedAgents {
		if lastSeen.Sub(agent.lastSeenAt) > QueryableTime {
			continue
		}
		expectedPerSecond += 1 / max(agent.status.Interval, AgentStatusInterval).Seconds()
		maximumTimeout = max(maximumTimeout, agent.statusTimeout())
	}
	isolationTimeout := time.Duration(
		isolationMissedStatuses / expectedPerSecond * float64(time.Second))
	return now.Sub(lastSeen) <= max(IsolationTimeout, min(maximumTimeout, isolationTimeout))
}

// queryableAgents returns the agents that may be queried for flows.
func (t *AgentTable) queryableAgents(now time.Time) []*agentState {
	var agents []*agentState
	for _, agent := range t.sortedAgents {
		if agent.queryable(now) {
			agents = append(agents, agent)
		}
	}
	return agents
}

// queryable reports whether the agent may be queried for flows: it is not drained, and is running
// according to gossip or was seen within QueryableTime or its announcedTimeout.
func (a *agentState) queryable(now time.Time) bool {
	return !a.status.Drained &&
		(a.knownByGossip || now.Sub(a.lastSeenAt) <= max(QueryableTime, announcedTimeout(a.status)))
}

// randomSearcher returns a random agent to search for a flow, preferably in the balancer's own
// zone. The agent was seen within its statusTimeout and is not shutting down. The agent except is
// returned only if there is no other; the result is nil if there is none at all.
func (t *AgentTable) randomSearcher(now time.Time, except netip.AddrPort) *agentState {
	var best *agentState
	bestScore := 0.0
	for _, agent := range t.sortedAgents {
		if agent.status.ShuttingDown || now.Sub(agent.lastSeenAt) > agent.statusTimeout() {
			continue
		}
		score := t.random.Float64()
		if agent.status.Zone != t.zone {
			score += searcherOtherZoneWeight
		}
		if agent.address == except {
			score += searcherRepeatWeight
		}
		if best == nil || score < bestScore {
			best, bestScore = agent, score
		}
	}
	return best
}

// Weights in the selection of a searching agent. They are added to a random number below 1, and the
// agent with the lowest sum is selected.
const (
	searcherOtherZoneWeight = 1 // it is in another zone
	searcherRepeatWeight    = 2 // it has already searched for this flow
)

// placementOutcome is the outcome of the selection of an agent for a new flow. If agents have
// different outcomes, the lowest value is that of the selection.
type placementOutcome uint8

const (
	agentSelected placementOutcome = iota
	allFull                        // the agents that take new flows are all at their limit
	noAgent                        // no agent takes new flows
)

// leastBusyOfService returns the agent of the service with the lowest score among those that take
// new flows and are not full. It skips the agents in except. If there is none, it returns nil and
// the reason.
func (t *AgentTable) leastBusyOfService(
	now time.Time, service catalog.ServiceName, except []netip.AddrPort,
) (*agentState, placementOutcome) {
	var agents []*agentState
	for _, agent := range t.sortedAgents {
		if agent.status.Service == service {
			agents = append(agents, agent)
		}
	}
	return t.leastBusyOf(now, agents, except)
}

// leastBusyOf returns the least busy of the given agents like leastBusyOfService.
func (t *AgentTable) leastBusyOf(
	now time.Time, agents []*agentState, except []netip.AddrPort,
) (*agentState, placementOutcome) {
	var best *agentState
	bestScore := 0.0
	outcome := noAgent
	for _, agent := range agents {
		if !t.usable(now, agent) || slices.Contains(except, agent.address) {
			continue
		}
		if agent.full() {
			outcome = min(outcome, allFull)
			continue
		}
		score := t.score(now, agent)
		if best == nil || cmp.Less(score, bestScore) {
			best, bestScore, outcome = agent, score, agentSelected
		}
	}
	return best, outcome
}

// usableByScore returns up to limit agents of the service that take new flows, including full
// ones, those with the lowest score first.
func (t *AgentTable) usableByScore(
	now time.Time, service catalog.ServiceName, limit int,
) []*agentState {
	type rated struct {
		agent *agentState
		score float64
	}
	var usable []rated
	for _, agent := range t.sortedAgents {
		if agent.status.Service == service && t.usable(now, agent) {
			usable = append(usable, rated{agent, t.score(now, agent)})
		}
	}
	slices.SortFunc(usable, func(x, y rated) int { return cmp.Compare(x.score, y.score) })
	var agents []*agentState
	for _, candidate := range usable[:min(len(usable), limit)] {
		agents = append(agents, candidate.agent)
	}
	return agents
}

// full reports whether the agent's back end is at its limit, including pending offers.
func (a *agentState) full() bool {
	load := a.load
	load.InFlight += uint32(a.pendingOffers)
	return load.Full()
}

// statusTimeout returns the time since the agent was last seen after which it gets no new flows.
func (a *agentState) statusTimeout() time.Duration {
	return min(max(StatusTimeout, announcedTimeout(a.status)), maxStatusTimeout)
}

// usable reports whether the agent takes new flows. It may be full.
func (t *AgentTable) usable(now time.Time, agent *agentState) bool {
	return agent.load.Accepts && !agent.status.ShuttingDown &&
		now.Sub(agent.lastSeenAt) <= agent.statusTimeout() && !t.evacuations.Contains(agent.status.Zone)
}

// offerTimeoutPenalty returns the part of the agent's score for offers that timed out.
func (a *agentState) offerTimeoutPenalty(now time.Time) float64 {
	if a.timedOutOffers == 0 {
		return 0
	}
	return float64(a.timedOutOffers) *
		math.Exp2(-now.Sub(a.offerTimeoutAt).Seconds()/offerTimeoutHalfLife.Seconds())
}

// score returns the load of an agent's back end as a fraction of its slots, plus penalties. Lower
// is better.
func (t *AgentTable) score(now time.Time, agent *agentState) float64 {
	slots := float64(agent.load.Slots)
	if slots == 0 {
		slots = defaultSlots
	}
	busy := float64(agent.load.InFlight) + pendingOfferWeight*float64(agent.pendingOffers)
	score := busy / slots
	if agent.load.Cold > 0 {
		score += coldWeight
	}
	if agent.load.Suspect {
		score += suspectWeight
	}
	switch {
	case agent.status.Region != t.region:
		score += otherRegionWeight
	case agent.status.Zone != t.zone:
		score += otherZoneWeight
	}
	score += agent.offerTimeoutPenalty(now)
	return score + randomWeight*t.random.Float64()
}
