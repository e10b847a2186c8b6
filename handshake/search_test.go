// This file tests that an agent answers a search once, after it has queried the named agents or
// probed their back ends, and that the number of searches at an agent is bounded.

package handshake

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/presence"
)

// TestSearchQueriesAllAndAnswersOnce checks that a search queries all named agents and is answered
// once: when one holds the flow, when all have answered, or after FlowQueryTimeout.
func TestSearchQueriesAllAndAnswersOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	requester := testAddress(presence.RoleBalancer, 1)
	first, second := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2)
	request := Search{Key: testKey(1), Confirms: 50, Agents: []netip.AddrPort{first, second}}
	for name, test := range map[string]struct {
		answers []FlowQueryAnswer
		found   SearchAnswer
	}{
		"held by second": {[]FlowQueryAnswer{{Key: testKey(1), Holding: HoldsNot}, {Key: testKey(1), Holding: Holds}}, SearchAnswer{Key: testKey(1), Agent: second}},
		"held by first":  {[]FlowQueryAnswer{{Key: testKey(1), Holding: Holds}}, SearchAnswer{Key: testKey(1), Agent: first}},
		"possibly held":  {[]FlowQueryAnswer{{Key: testKey(1), Holding: HoldsPossibly}, {Key: testKey(1), Holding: HoldsNot}}, SearchAnswer{Key: testKey(1), PossibleHolders: []netip.AddrPort{first}}},
		"unanswered":     {[]FlowQueryAnswer{{Key: testKey(1), Holding: HoldsNot}}, SearchAnswer{Key: testKey(1), Unanswered: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			agent := readyAgent(t, now)
			is.Equal(receivers[FlowQuery](agent.HandleSearch(now, requester, request)), []netip.AddrPort{first, second})
			var sent []Message
			for i, answer := range test.answers {
				sent = append(sent, sentTo(agent.HandleQueryAnswer(request.Agents[i], answer), requester)...)
			}
			sent = append(sent, sentTo(agent.Tick(now.Add(FlowQueryTimeout)), requester)...)
			is.Equal(sent, []Message{test.found})
			is.Equal(len(agent.searches), 0)
		})
	}
}

// TestSearchProbesBackEnds checks that a search with a datagram probes the named agents' back ends
// and finds the one that does not return it.
func TestSearchProbesBackEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	requester := testAddress(presence.RoleBalancer, 1)
	first, second := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2)
	agent := readyAgent(t, now)
	now = now.Add(flowProbeSettleTime) // an agent that has just started sends no probes
	actions := agent.HandleSearch(now, requester, Search{Key: testKey(1), Confirms: 50, Agents: []netip.AddrPort{first, second}, Datagram: []byte{9}})
	is.Equal(sentTo(actions, first), []Message{Forward{Bytes: []byte{9}}})
	is.Equal(len(sentTo(agent.HandleReturnedProbe(first, testKey(1)), requester)), 0)
	is.Equal(sentTo(agent.HandleQueryAnswer(second, FlowQueryAnswer{Key: testKey(1), Holding: Holds}), requester), []Message{SearchAnswer{Key: testKey(1), Agent: second}})
}

// TestSearchesAreBounded checks that an agent that runs maxSearches searches answers a further one
// at once, without a result.
func TestSearchesAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	requester, other := testAddress(presence.RoleBalancer, 1), testAddress(presence.RoleAgent, 1)
	agent := readyAgent(t, now)
	for port := range uint16(maxSearches) {
		agent.HandleSearch(now, requester, Search{Key: testKey(port), Agents: []netip.AddrPort{other}})
	}
	key := testKey(maxSearches)
	is.Equal(sentTo(agent.HandleSearch(now, requester, Search{Key: key, Agents: []netip.AddrPort{other}}), requester), []Message{SearchAnswer{Key: key, Unanswered: 1}})
}
