// This file tests that one summary round answers many searches, that rounds are bounded, and that
// late or missing summaries do not count as denials.

package handshake

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/presence"
)

// manyAgents returns one agent more than are queried individually, so that a search uses a summary
// round.
func manyAgents() []netip.AddrPort {
	var agents []netip.AddrPort
	for i := range maxSingleQueries + 1 {
		agents = append(agents, testAddress(presence.RoleAgent, i+1))
	}
	return agents
}

// summaryRoundIn returns the number of the summary round that the actions start and the agents that
// it queries.
func summaryRoundIn(actions []Action) (number uint32, queried []netip.AddrPort) {
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			if request, ok := send.Message.(SummaryRequest); ok {
				number = request.Round
				queried = append(queried, send.To)
			}
		}
	}
	return number, queried
}

// flowFilterOf returns a filter that contains the keys.
func flowFilterOf(keys ...flow.Key) []byte {
	filter := newFlowFilter(len(keys))
	for _, key := range keys {
		filter.add(flowKeyHash(key))
	}
	return filter
}

// TestOneSummaryRoundAnswersAllSearches checks that one summary round, with one message to each
// agent, answers the searches of several balancers for many flows, and that searches that arrive
// during a round wait for the next one.
func TestOneSummaryRoundAnswersAllSearches(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	firstRequester, secondRequester := testAddress(presence.RoleBalancer, 1), testAddress(presence.RoleBalancer, 2)
	agents := manyAgents()
	agent := readyAgent(t, now)
	firstRound, queried := summaryRoundIn(agent.HandleSearch(now, firstRequester, Search{Key: testKey(1), Agents: agents}))
	is.Equal(queried, agents)
	for port := uint16(2); port < 100; port++ {
		is.Equal(len(agent.HandleSearch(now, secondRequester, Search{Key: testKey(port), Agents: agents})), 0)
	}
	for i, from := range agents {
		actions := agent.HandleFlowSummary(from, FlowSummary{Round: firstRound})
		is.Equal(len(sentTo(actions, secondRequester)), 0) // their round has not started
		if i == len(agents)-1 {
			is.Equal(sentTo(actions, firstRequester), []Message{SearchAnswer{Key: testKey(1)}})
		}
	}
	is.Equal(len(receivers[SummaryRequest](agent.Tick(now.Add(summaryInterval-1)))), 0)
	now = now.Add(summaryInterval)
	secondRound, queried := summaryRoundIn(agent.Tick(now))
	is.Equal(queried, agents)
	queries := 0
	for i, from := range agents {
		// Late summaries of the first round may be older than the searches.
		is.Equal(len(agent.HandleFlowSummary(from, FlowSummary{Round: firstRound})), 0)
		answer := FlowSummary{Round: secondRound}
		if i == 3 {
			answer.Filter = flowFilterOf(testKey(7))
		}
		if i == 5 {
			answer.MayHold = true
		}
		actions := agent.HandleFlowSummary(from, answer)
		if i == 3 {
			is.True(slices.Contains(sentTo(actions, from), Message(FlowQuery{Key: testKey(7)})))
			queries = len(sentTo(actions, from))
			is.True(queries <= 3) // the filter may have false positives
		}
		if i == len(agents)-1 {
			// All flows but those that match the filter are answered.
			is.Equal(len(sentTo(actions, secondRequester)), 98-queries)
			is.Equal(sentTo(actions, secondRequester)[0],
				SearchAnswer{Key: testKey(2), PossibleHolders: []netip.AddrPort{agents[5]}})
		}
	}
	// agents[4] was not queried about this flow.
	is.Equal(len(agent.HandleQueryAnswer(agents[4], FlowQueryAnswer{Key: testKey(7), Holding: HoldsNot})), 0)
	is.Equal(sentTo(agent.HandleQueryAnswer(agents[3], FlowQueryAnswer{Key: testKey(7), Holding: Holds}), secondRequester),
		[]Message{SearchAnswer{Key: testKey(7), Agent: agents[3], PossibleHolders: []netip.AddrPort{agents[5]}}})
	is.Equal(len(agent.searches), queries-1)
}

// TestIncompleteSummaryRoundIsNotCertain checks that a search reports an agent as unanswered if the
// agent sends no flow summary, or does not answer the query for a flow that its filter may contain.
func TestIncompleteSummaryRoundIsNotCertain(t *testing.T) {
	for name, summaries := range map[string]map[int]FlowSummary{
		"no flow summary": {0: {}},
		"no query answer": {0: {}, 1: {Filter: flowFilterOf(testKey(1))}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			requester := testAddress(presence.RoleBalancer, 1)
			agents := manyAgents()
			agent := readyAgent(t, now)
			number, _ := summaryRoundIn(agent.HandleSearch(now, requester,
				Search{Key: testKey(1), Agents: agents}))
			for i, from := range agents {
				answer, answers := summaries[i]
				if answers || i > 1 {
					answer.Round = number
					is.Equal(len(sentTo(agent.HandleFlowSummary(from, answer), requester)), 0)
				}
			}
			is.Equal(sentTo(agent.Tick(now.Add(FlowQueryTimeout+summaryInterval)), requester),
				[]Message{SearchAnswer{Key: testKey(1), Unanswered: 1}})
		})
	}
}

// TestSummaryRoundsAreBounded checks that searches wait for a later summary round if together they
// name more agents than one round may query.
func TestSummaryRoundsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	requester := testAddress(presence.RoleBalancer, 1)
	agent := readyAgent(t, now)
	agent.HandleSearch(now, requester, Search{Key: testKey(1), Agents: manyAgents()})
	for shard := range 4 {
		request := Search{Key: testKey(uint16(2 + shard))}
		for i := range MaxSearchedAgents {
			request.Agents = append(request.Agents, testAddress(presence.RoleAgent, 1000*(shard+1)+i))
		}
		agent.HandleSearch(now, requester, request)
	}
	for _, count := range []int{2 * MaxSearchedAgents, 2 * MaxSearchedAgents, 0} {
		now = now.Add(summaryInterval)
		_, queried := summaryRoundIn(agent.Tick(now))
		is.Equal(len(queried), count)
	}
}

// TestSummaryOfAnEarlierIncarnationIsIgnored checks that a restarted agent ignores answers to a
// summary round of its earlier incarnation.
func TestSummaryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	requester := testAddress(presence.RoleBalancer, 1)
	startSummaryRound := func(now time.Time) (*Agent, uint32) {
		agent := readyAgent(t, now)
		number, _ := summaryRoundIn(agent.HandleSearch(now, requester,
			Search{Key: testKey(1), Agents: manyAgents()}))
		return agent, number
	}
	_, earlierRound := startSummaryRound(now)
	agent, _ := startSummaryRound(now.Add(time.Second))
	for _, from := range manyAgents() {
		is.Equal(len(agent.HandleFlowSummary(from, FlowSummary{Round: earlierRound})), 0)
	}
}
