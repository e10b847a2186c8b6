// This file searches for flows in fleets of several sizes. It tests that open flows are found, also
// outside their candidates, that callers of closed flows are reset, and that the number of messages
// per search grows neither with the fleet nor with the number of callers.

package handshake

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// countMessages returns a map that counts the messages that processes send each other after the
// call, by type.
func (w *world) countMessages() map[string]int {
	counts := map[string]int{}
	w.onMessage = func(message Message) { counts[fmt.Sprintf("%T", message)]++ }
	return counts
}

// openFlows opens the given number of flows, each by its own caller, and returns the callers after
// each has been answered.
func (w *world) openFlows(is *is.I, flows int) []*worldCaller {
	var callers []*worldCaller
	for port := range uint16(flows) {
		is.True(w.openFlow(1000 + port))
		callers = append(callers, w.callers[testKey(1000+port)])
	}
	return callers
}

// TestFlowsAreFoundAmongCandidates checks that restarted balancers find flows by querying only
// their candidates, whatever the size of the fleet.
func TestFlowsAreFoundAmongCandidates(t *testing.T) {
	t.Parallel()
	const flows = 20
	for _, agents := range []int{30, 200, 1000} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			is := is.New(t)
			w := startWorld(t, 7, 3, agents)
			callers := w.openFlows(is, flows)
			for _, balancer := range w.balancers {
				w.startBalancer(balancer)
			}
			w.advance(worldTickInterval * 5)
			counts := w.countMessages()
			for _, caller := range callers {
				is.True(w.exchange(caller))
			}
			t.Log(counts)
			is.True(counts["handshake.FlowQuery"] <= flows*(maxCandidatesInZone+maxCandidatesElsewhere))
			is.Equal(counts["handshake.SummaryRequest"], 0)
			is.Equal(w.violation, "")
			is.Equal(w.resets, 0)
		})
	}
}

// TestCallersOfClosedFlowsAreResetByFewSummaryRounds checks that the number of summary requests to
// agents does not grow with the number of callers that send at once after a restart of all
// processes and back ends.
func TestCallersOfClosedFlowsAreResetByFewSummaryRounds(t *testing.T) {
	t.Parallel()
	for _, agents := range []int{30, 90} {
		summaryRequests := map[int]int{}
		for _, flows := range []int{20, 200} {
			t.Run(fmt.Sprintf("%d agents, %d flows", agents, flows), func(t *testing.T) {
				is := is.New(t)
				w := startWorld(t, 8, 3, agents)
				callers := w.openFlows(is, flows)
				w.restartFleet(true)
				w.advance(convergenceTime)
				counts := w.countMessages()
				startedAt := w.now
				for range 5 {
					for _, caller := range callers {
						if !caller.reset {
							w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
						}
					}
					w.advance(resendInterval)
				}
				t.Log(counts)
				for _, caller := range callers {
					is.True(caller.reset)
				}
				summaryRequests[flows] = counts["handshake.SummaryRequest"]
				is.True(summaryRequests[flows] <= agents*(1+int(w.now.Sub(startedAt)/summaryInterval)))
				is.True(counts["handshake.FlowQuery"] <= 2*flows*(maxCandidatesInZone+maxCandidatesElsewhere))
				is.Equal(w.violation, "")
			})
		}
	}
}

// TestCallerOfAClosedFlowIsResetInALargeFleet checks that callers of closed flows are reset in a
// fleet with more agents than one search can name.
func TestCallerOfAClosedFlowIsResetInALargeFleet(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 9, 2, 450)
	callers := w.openFlows(is, 5)
	w.restartFleet(true)
	w.advance(convergenceTime)
	for range 10 {
		for _, caller := range callers {
			w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
		}
		w.advance(resendInterval)
	}
	for _, caller := range callers {
		is.True(caller.reset)
	}
	is.Equal(w.violation, "")
}

// TestFlowsOutsideTheirCandidatesAreFound checks that flows are found at agents that are not among
// their candidates, without stored locations that name them.
func TestFlowsOutsideTheirCandidatesAreFound(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 10, 2, 60)
	for _, agent := range w.agents[:40] {
		agent.backend.draining = true
		w.report(agent)
	}
	w.advance(time.Second)
	callers := w.openFlows(is, 30) // the draining candidates accept none of them
	w.dropLocations()
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
	w.advance(worldTickInterval * 5)
	counts := w.countMessages()
	for _, caller := range callers {
		is.True(w.exchange(caller))
	}
	is.True(counts["handshake.SummaryRequest"] > 0)
	is.Equal(w.violation, "")
	is.Equal(w.resets, 0)
}
