package coordination

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
	"github.com/burlmill/burlmill/membership"
)

// TestAgentKeepsSuspectedMembersAlive guards against an agent that leaves another one, which it alone
// suspects, out of searches: the other one may hold a liveness lease, and its flows would be admitted
// elsewhere. A balancer avoids it.
func TestAgentKeepsSuspectedMembersAlive(t *testing.T) {
	for _, role := range []membership.Role{membership.Agent, membership.Balancer} {
		t.Run(role.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			member := func(number int) *membership.Member {
				ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(number)})
				return &membership.Member{
					ID: fmt.Sprintf("agent-%d", number), Role: role, Region: "north",
					Control: netip.AddrPortFrom(ip, 7000), Data: netip.AddrPortFrom(ip, 7001),
				}
			}
			decider := exchange.New(now, *member(0), rand.New(rand.NewPCG(1, 1)))
			others := []*membership.Member{member(1), member(2), member(3)}
			decider.Bootstrap(now, others)
			silent := others[0]
			for end := now.Add(membership.SuspicionTimeout + time.Second); now.Before(end); now = now.Add(exchange.TickInterval) {
				for _, other := range others[1:] {
					request := &burlmillv1.ExchangeRequest{State: &burlmillv1.State{From: other.ID}}
					_, _ = decider.HandleRequest(now, request)
				}
				_ = decider.Tick(now)
			}
			is.Equal(decider.Members().Table().Get(silent.ID).Status, membership.Suspect)

			node := &Node{options: Options{Role: role}, decider: decider}
			node.view.Store(node.buildView())
			is.Equal(node.Alive(silent.Data), role == membership.Agent)
			is.True(node.Alive(others[1].Data))
		})
	}
}
