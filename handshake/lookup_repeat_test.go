// This file tests that a waiting lookup does not keep answers that have become false.

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
