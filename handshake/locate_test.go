package handshake

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
)

// TestAgentsOfTheRoutesServicesAreAskedFirst: and all others only if none of those holds
// the flow, which is then older than the route's present targets.
func TestAgentsOfTheRoutesServicesAreAskedFirst(t *testing.T) {
	is := is.New(t)
	b, now := newConfiguredBalancer(t, time.Unix(1000, 0))
	likely, other := contactAddress(RoleAgent, 1), contactAddress(RoleAgent, 2)
	for address, service := range map[netip.AddrPort]catalog.ServiceName{likely: worldService, other: "earlier"} {
		b.TakeStatus(now, address, Status{Role: RoleAgent, Service: service, Load: Load{Accepts: true, Slots: 3}})
	}
	datagram := Datagram{Key: holdKey(1), Kind: Data, Confirms: 50, Payload: 1, Bytes: []byte{1}}
	is.Equal(receivers[Locate](b.FromCaller(now, &datagram)), []netip.AddrPort{likely})
	actions := b.FromPeer(now, likely, Located{Key: datagram.Key, Holding: HoldsNot})
	is.Equal(receivers[Locate](actions), []netip.AddrPort{other})
	is.Equal(len(b.FromPeer(now, likely, Located{Key: datagram.Key, Holding: HoldsNot})), 0) // counts once
	actions = b.FromPeer(now, other, Located{Key: datagram.Key, Holding: Holds})
	is.Equal(sentTo(actions, other), []Message{Forward{Bytes: datagram.Bytes}})
}

// TestSilentAgentOfTheRouteHoldsUpTheOthersBriefly: it may be dead.
func TestSilentAgentOfTheRouteHoldsUpTheOthersBriefly(t *testing.T) {
	is := is.New(t)
	b, now := newConfiguredBalancer(t, time.Unix(1000, 0))
	likely, other := contactAddress(RoleAgent, 1), contactAddress(RoleAgent, 2)
	b.TakeStatus(now, likely, Status{Role: RoleAgent, Service: worldService})
	b.TakeStatus(now, other, Status{Role: RoleAgent, Service: "earlier"})
	b.FromCaller(now, &Datagram{Key: holdKey(1), Kind: Data, Confirms: 50, Payload: 1, Bytes: []byte{1}})
	is.Equal(receivers[Locate](b.Tick(now.Add(LocateTime))), []netip.AddrPort{likely, other})
}

// TestAgentsLearnedOfLaterAreAskedToo: a balancer that has just started knows few agents.
// The one that holds the flow is asked as soon as it is heard, the others once.
func TestAgentsLearnedOfLaterAreAskedToo(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newHoldBalancer(now)
	b.Configure(holdTable(t, 1))
	first, holder := contactAddress(RoleAgent, 1), contactAddress(RoleAgent, 2)
	hear := func(agent netip.AddrPort) {
		b.TakeStatus(now, agent, Status{Role: RoleAgent, Service: worldService, Load: Load{Accepts: true, Slots: 3}})
	}
	hear(first)
	datagram := Datagram{Key: holdKey(1), Kind: Data, Confirms: 50, Payload: 1, Bytes: []byte{1}}
	is.Equal(receivers[Locate](b.FromCaller(now, &datagram)), []netip.AddrPort{first})
	b.FromPeer(now, first, Located{Key: datagram.Key, Holding: HoldsNot})
	for now.Sub(b.started) < DiscoveryTime/2 {
		now = now.Add(worldRest)
		hear(first)
		is.Equal(len(b.Tick(now)), 0)
	}
	hear(holder)
	var asked []netip.AddrPort
	for range askAgainTime / worldRest {
		now = now.Add(worldRest)
		asked = append(asked, receivers[Locate](b.Tick(now))...)
	}
	is.Equal(asked, []netip.AddrPort{holder})
	actions := b.FromPeer(now, holder, Located{Key: datagram.Key, Holding: Holds})
	is.Equal(sentTo(actions, holder), []Message{Forward{Bytes: datagram.Bytes}})
}
