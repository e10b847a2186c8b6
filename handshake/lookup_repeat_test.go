// This file tests that a waiting lookup does not keep answers that have become false, that what
// other balancers and earlier searches say of a flow's holder is used for that flow alone, and the
// order of lookups.

package handshake

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/presence"
)

// TestWaitingLookupIsRepeated checks that a datagram that arrives while a lookup waits has the
// agents queried again that may hold the flow: one of them may have learned of it. The interval
// between repetitions increases.
func TestWaitingLookupIsRepeated(t *testing.T) {
	is := is.New(t)
	holder, denying := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2)
	b, now := newConfiguredBalancer(t, time.Unix(1000, 0))
	deliverAgentStatuses(b, now, worldService, holder, denying)
	b.SetRecords(now, now, []netip.AddrPort{holder, denying, testAddress(presence.RoleAgent, 3)})
	b.Tick(now)
	searches := 0
	for now.Sub(b.startedAt) < flowProbeSettleTime-worldTickInterval {
		actions := append(b.HandleCallerDatagram(now, unknownFlowData(1)), b.Tick(now)...)
		if len(receivers[Search](actions)) > 0 {
			searcher, search := onlySearch(t, actions)
			if searches == 0 {
				is.Equal(len(search.Agents), 2)
			} else {
				is.Equal(search.Agents, []netip.AddrPort{holder})
			}
			searches++
			b.HandleMessage(now, searcher, SearchAnswer{Key: testKey(1), PossibleHolders: []netip.AddrPort{holder}, RequestNumber: search.RequestNumber})
		}
		now = now.Add(worldTickInterval)
		deliverAgentStatuses(b, now, worldService, holder, denying)
	}
	is.True(searches >= 4 && searches <= 8)
}

// TestNamedAgentThatMayHoldFlowIsUsed checks that a flow is forwarded to the agent that another
// balancer names if that agent has restarted and may hold the flow.
func TestNamedAgentThatMayHoldFlowIsUsed(t *testing.T) {
	is := is.New(t)
	holder, other := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2)
	neighbor := testAddress(presence.RoleBalancer, 2)
	b, now := newSettledBalancer(t, holder, other)
	b.HandleStatus(now, neighbor, Status{Role: presence.RoleBalancer, Zone: "a"})
	searcher, search := onlySearch(t, b.HandleCallerDatagram(now, unknownFlowData(1)))
	b.HandleMessage(now, searcher, SearchAnswer{Key: testKey(1), PossibleHolders: search.Agents, RequestNumber: search.RequestNumber})
	b.HandleMessage(now, neighbor, Hint{Key: testKey(1), Agent: holder})
	possibly := FlowQueryAnswer{Key: testKey(1), Holding: HoldsPossibly}
	is.Equal(len(b.HandleMessage(now, other, possibly)), 0)
	is.Equal(sentTo(b.HandleMessage(now, holder, possibly), holder), []Message{Forward{Bytes: []byte{1}}})
}

// TestHintNamesNoAgentOfEarlierFlow checks that a balancer names the agent of a flow only for
// numbers of that flow, and not for those of another flow with the same key.
func TestHintNamesNoAgentOfEarlierFlow(t *testing.T) {
	is := is.New(t)
	agent, neighbor := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleBalancer, 2)
	b, now := newSettledBalancer(t, agent)
	b.HandleCallerDatagram(now, unknownFlowData(1))
	b.HandleMessage(now, agent, FlowQueryAnswer{Key: testKey(1), Holding: Holds})
	for confirms, named := range map[uint32]netip.AddrPort{50: agent, 60: agent, 50 + maxConfirmsDistance: {}} {
		actions := b.HandleMessage(now, neighbor, FlowQuery{Key: testKey(1), Confirms: confirms})
		is.Equal(sentTo(actions, neighbor), []Message{Hint{Key: testKey(1), Agent: named}})
	}
}

// TestProbedAgentThatHasRestartedKeepsItsFlows checks that a balancer still forwards a flow to its
// agent after the agent has answered a probe that it may hold the flow, as it has restarted.
func TestProbedAgentThatHasRestartedKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	agent := testAddress(presence.RoleAgent, 1)
	b, now := newSettledBalancer(t, agent)
	b.HandleCallerDatagram(now, unknownFlowData(1))
	b.HandleMessage(now, agent, FlowQueryAnswer{Key: testKey(1), Holding: Holds})
	b.probedAgents = []*agentProbe{{address: agent, key: testKey(1), startedAt: now, lastWantedAt: now}}
	b.HandleMessage(now, agent, FlowQueryAnswer{Key: testKey(1), Holding: HoldsPossibly})
	is.Equal(sentTo(b.HandleCallerDatagram(now, unknownFlowData(1)), agent), []Message{Forward{Bytes: []byte{1}}})
	b.HandleMessage(now, agent, FlowQueryAnswer{Key: testKey(1), Holding: HoldsNot})
	is.Equal(len(receivers[Forward](b.HandleCallerDatagram(now, unknownFlowData(1)))), 0)
}

// TestHolderOfEarlierFlowIsNotUsed checks that the answer to a search for an earlier flow with the
// same key does not assign its agent to the later flow, whether the earlier lookup has ended or not.
func TestHolderOfEarlierFlowIsNotUsed(t *testing.T) {
	later := unknownFlowData(1)
	later.Confirms += 2 * maxConfirmsDistance
	for name, abandon := range map[string]bool{"lookup has ended": true, "lookup is pending": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			holder, other := testAddress(presence.RoleAgent, 1), testAddress(presence.RoleAgent, 2)
			b, now := newSettledBalancer(t, holder, other)
			searcher, earlier := onlySearch(t, b.HandleCallerDatagram(now, unknownFlowData(1)))
			if abandon {
				b.abandonLookup(now, b.flows[testKey(1)])
				now = now.Add(minLookupBackoff)
			}
			laterSearcher, search := onlySearch(t, b.HandleCallerDatagram(now, later))
			is.Equal(search.Confirms, later.Confirms)
			actions := b.HandleMessage(now, searcher, SearchAnswer{Key: testKey(1), Agent: holder, RequestNumber: earlier.RequestNumber})
			is.Equal(len(receivers[Forward](actions)), 0)
			actions = b.HandleMessage(now, laterSearcher, SearchAnswer{Key: testKey(1), Agent: other, RequestNumber: search.RequestNumber})
			is.Equal(receivers[Forward](actions), []netip.AddrPort{other})
		})
	}
}

// TestFirstLookupsGoFirst checks that a flow that is looked up for the first time does not wait for
// the lookups of flows that were not found before, whose callers send more recently.
func TestFirstLookupsGoFirst(t *testing.T) {
	is := is.New(t)
	b, now := newSettledBalancer(t, testAddress(presence.RoleAgent, 1))
	const flows = maxLookups + 5
	for port := range uint16(flows) {
		b.HandleCallerDatagram(now, unknownFlowData(1+port))
	}
	for _, entry := range b.flows {
		if entry.lookup.queued {
			entry.lookup.queued = false
			b.abandonLookup(now, entry)
		}
	}
	searcher := b.flows[testKey(1)].lookup.searcher
	now = now.Add(minLookupBackoff)
	b.HandleCallerDatagram(now, unknownFlowData(100))
	for port := range uint16(flows) {
		b.HandleCallerDatagram(now.Add(time.Millisecond), unknownFlowData(1+port))
	}
	_, search := onlySearch(t, b.HandleMessage(now.Add(2*time.Millisecond), searcher, SearchAnswer{Key: testKey(1)}))
	is.Equal(search.Key, testKey(100))
}

// TestPendingOfferDoesNotRepeatLookup checks that the deadline of an offer that is pending as the
// flow's lookup is queued neither starts the lookup twice nor exceeds the limit of lookups.
func TestPendingOfferDoesNotRepeatLookup(t *testing.T) {
	is := is.New(t)
	agent := testAddress(presence.RoleAgent, 1)
	b, now := newSettledBalancer(t, agent)
	for port := range uint16(maxLookups) {
		b.HandleCallerDatagram(now, unknownFlowData(100+port))
	}
	b.HandleCallerDatagram(now, &Datagram{Key: testKey(1), Kind: Opening, Number: 7, Bytes: []byte{7}})
	b.HandleCallerDatagram(now, unknownFlowData(1))
	is.True(b.flows[testKey(1)].lookup.queued)
	now = now.Add(MaxOfferTimeout)
	b.Tick(now) // the deadline of the offer has passed
	searches := 0
	for port := range uint16(maxLookups) {
		entry := b.flows[testKey(100+port)]
		if entry.lookup == nil {
			continue
		}
		actions := b.HandleMessage(now, entry.lookup.searcher, SearchAnswer{Key: entry.key, RequestNumber: entry.requestNumber})
		for _, action := range actions {
			if send, ok := action.(Send); ok {
				if search, ok := send.Message.(Search); ok && search.Key == testKey(1) {
					searches++
				}
			}
		}
		is.True(b.activeLookups <= maxLookups)
	}
	is.Equal(searches, 1)
}
