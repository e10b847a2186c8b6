package handshake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/instance"
)

// TestAgentOfALeavingBackEndHoldsNothing: once all flows have ended, also those that are only tried there.
func TestAgentOfALeavingBackEndHoldsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := readyAgent(t, now)
	agent.Offered(now, holdAgent, Offer{Service: worldService}, &Datagram{Key: holdKey(1), Kind: Opening, Number: 7})
	is.True(!agent.HoldsNothing(now))
	agent.Tracker().Report(now, instance.Report{ID: "i", Service: worldService, Sequence: 2, Leaving: true})
	is.True(!agent.HoldsNothing(now)) // the offer may still open
	agent.FromBackend(now, &Datagram{Key: holdKey(1), Kind: Reset})
	is.True(agent.HoldsNothing(now))
	agent.Forwarded(now, holdAgent, &Datagram{Key: holdKey(2), Kind: Data, Confirms: 50, Payload: 1})
	is.True(!agent.HoldsNothing(now))
	agent.FromBackend(now, &Datagram{Key: holdKey(2), Kind: Data, Confirms: 50, Returned: true})
	is.True(agent.HoldsNothing(now))
}

// TestAgentThatEndsWithoutABackEndDenies: whatever was open there is gone.
func TestAgentThatEndsWithoutABackEndDenies(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := NewAgent(now, AgentOptions{Service: worldService, FlowLifetime: time.Minute, ReportInterval: time.Second})
	agent.FromBackend(now, &Datagram{Key: holdKey(1), Kind: Data, Number: 50, Payload: 1})
	is.True(!agent.HoldsNothing(now))
	agent.EndWithoutBackend()
	is.True(agent.HoldsNothing(now))
	for port := uint16(1); port <= 2; port++ {
		is.Equal(agent.Asked(now, holdAgent, Locate{Key: holdKey(port), Confirms: 50})[0],
			Send{To: holdAgent, Message: Located{Key: holdKey(port), Holding: HoldsNot}})
	}
	agent.Offered(now, holdAgent, Offer{Service: worldService}, &Datagram{Key: holdKey(3), Kind: Opening, Number: 7})
	is.True(agent.HoldsNothing(now)) // it takes nothing new
}

// TestDatagramsGivenBackShowNoBackEnd: where no back end is known, what gives back datagrams may be one that has ended.
func TestDatagramsGivenBackShowNoBackEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	agent := NewAgent(now, AgentOptions{Service: worldService, FlowLifetime: time.Minute, ReportInterval: time.Second})
	refuse := func() {
		for range 3 {
			is.True(agent.Tracker().CheckDue(now))
			agent.Tracker().Checked(now, instance.Check{Refused: true})
			now = now.Add(instance.CheckInterval)
		}
	}
	agent.Forwarded(now, holdAgent, &Datagram{Key: holdKey(1), Kind: Data, Confirms: 50, Payload: 1})
	agent.FromBackend(now, &Datagram{Key: holdKey(1), Kind: Data, Confirms: 50, Returned: true})
	refuse()
	is.True(agent.HoldsNothing(now))

	agent = NewAgent(now, AgentOptions{Service: worldService, FlowLifetime: time.Minute, ReportInterval: time.Second})
	agent.FromBackend(now, &Datagram{Key: holdKey(1), Kind: Data, Number: 50, Payload: 1})
	refuse()
	is.True(!agent.HoldsNothing(now))
}
