// This file tests that datagrams of flows lost in a fleet-wide restart do not overload balancers,
// and that the callers of these flows are reset if agents observed the start of their back ends.

package handshake

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/instance"
)

// Settings of TestFleetRestartDoesNotOverloadBalancers.
const (
	overloadProcessingTime = time.Millisecond       // of a balancer, per datagram or message
	overloadDuration       = 6 * time.Second        // after the restart
	overloadRecoveryTime   = 3 * time.Second        // from the restart until new callers are counted
	overloadTimeout        = 300 * time.Millisecond // for new callers; a multiple of overloadStep
	overloadNewCallers     = 4                      // new callers per step
	overloadStep           = 100 * time.Millisecond
)

// overloadCopyDelays are the times after a request's start at which its caller sends it.
var overloadCopyDelays = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}

// TestFleetRestartDoesNotOverloadBalancers checks that datagrams of the flows lost in a fleet-wide
// restart do not keep balancers from serving new callers. If the agents observed the start of their
// back ends, the callers of all lost flows are reset.
func TestFleetRestartDoesNotOverloadBalancers(t *testing.T) {
	for _, flows := range []int{50, 100, 200, 400} {
		for _, observed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d flows, start observed %v", flows, observed), func(t *testing.T) { testRestartWithOpenFlows(t, flows, observed) })
		}
	}
}

// testRestartWithOpenFlows restarts all processes and back ends while the given number of flows are
// open.
func testRestartWithOpenFlows(t *testing.T, flows int, observed bool) {
	is := is.New(t)
	w := startWorld(t, 77, 2, 8)
	var orphaned []*worldCaller
	for port := range uint16(flows) {
		w.sendOpening(1000 + port)
		w.advance(worldTickInterval)
		orphaned = append(orphaned, w.callers[testKey(1000+port)])
	}
	w.advance(time.Second)
	w.restartFleet(observed)
	w.processingTime = overloadProcessingTime
	startedAt := w.now
	unanswered := 0
	for step := 0; w.now.Sub(startedAt) < overloadDuration; step++ {
		w.sendDueCopies(orphaned, startedAt)
		unanswered += w.startNewCallers(uint16(10000+overloadNewCallers*step), w.now.Sub(startedAt) >= overloadRecoveryTime)
	}
	is.Equal(unanswered, 0)
	is.Equal(w.violation, "")
	w.checkStrays()
	is.Equal(w.violation, "")
	for _, caller := range orphaned {
		is.True(caller.reset || !observed) // the restart proves that its flow is closed
	}
}

// restartFleet restarts all processes and back ends. If observed is set, the agents observe the
// start of their back ends.
func (w *world) restartFleet(observed bool) {
	w.sequenceStep = reportSequenceStep
	if observed {
		w.sequenceStep = 0 // the reports contain the first sequence number
	}
	for _, agent := range w.agents {
		w.startAgent(agent)
		if observed {
			agent.logic.Tracker().Checked(w.now, instance.Check{Refused: true}) // before the back end starts
		}
		w.replaceBackend(agent)
	}
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
	w.sequenceStep = reportSequenceStep
}

// sendDueCopies sends the copies of the callers' requests that are due within the next step.
// Requests start evenly spread over the first second.
func (w *world) sendDueCopies(callers []*worldCaller, startedAt time.Time) {
	for i, caller := range callers {
		requestStartedAt := startedAt.Add(time.Duration(i) * time.Second / time.Duration(len(callers)))
		for _, delay := range overloadCopyDelays {
			due := requestStartedAt.Add(delay).Sub(w.now)
			if due >= 0 && due < overloadStep && !caller.reset {
				w.sendFromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.backendNumber, PayloadLength: 1})
			}
		}
	}
}

// startNewCallers starts callers at the ports from port on and advances by one step. If counted is
// set, it returns how many of the callers started overloadTimeout ago are unanswered.
func (w *world) startNewCallers(port uint16, counted bool) int {
	for i := range uint16(overloadNewCallers) {
		w.sendOpening(port + i)
	}
	w.advance(overloadStep)
	if !counted {
		return 0
	}
	unanswered := 0
	duePort := port - overloadNewCallers*uint16(overloadTimeout/overloadStep-1)
	for i := range uint16(overloadNewCallers) {
		if caller := w.callers[testKey(duePort+i)]; caller != nil && caller.answers == 0 {
			unanswered++
		}
	}
	return unanswered
}
