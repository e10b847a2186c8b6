package handshake

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Of TestRestartOfEverythingDoesNotOverloadBalancers.
const (
	overloadCost      = time.Millisecond       // of a balancer's processor for each datagram or message: worked out, 0.7 ms at 0.088 cores before (0.041 cores used, some 650 a second guessed from the traffic)
	overloadTime      = 6 * time.Second        // after the restart
	overloadCalm      = 3 * time.Second        // after which new callers are served as ever
	overloadPatience  = 300 * time.Millisecond // for them
	overloadNewcomers = 4                      // callers that begin in each step
	overloadStep      = 100 * time.Millisecond
)

// overloadCopies are the times after a request at which its caller sends it again.
var overloadCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}

// TestRestartOfEverythingDoesNotOverloadBalancers: all processes and back ends start anew, and
// the callers of all open flows send on. Their datagrams are of flows that nobody knows, and
// must not keep balancers from serving new callers, however many they are. Where agents have seen
// their back ends begin, every caller is told at once that its flow is gone. Where they have not,
// nobody can tell without trying a flow's datagram at all back ends, which is bounded.
func TestRestartOfEverythingDoesNotOverloadBalancers(t *testing.T) {
	for _, flows := range []int{50, 100, 200, 400} {
		for _, seen := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, begin seen %v", flows, seen), func(t *testing.T) { restartUnder(t, flows, seen) })
		}
	}
}

// restartUnder lets everything start anew while so many flows are open.
func restartUnder(t *testing.T, flows int, seen bool) {
	is := is.New(t)
	w := startWorld(t, 77, 2, 8)
	var dead []*worldCaller
	for port := range uint16(flows) {
		w.begin(1000 + port)
		w.pass(worldRest)
		dead = append(dead, w.callers[holdKey(1000+port)])
	}
	w.pass(time.Second)
	w.restartEverything(seen)
	w.cost = overloadCost
	begun := w.now
	late := 0
	for step := 0; w.now.Sub(begun) < overloadTime; step++ {
		w.sendAgain(dead, begun)
		late += w.newcomers(uint16(10000+overloadNewcomers*step), w.now.Sub(begun) >= overloadCalm)
	}
	is.Equal(late, 0)
	is.Equal(w.violation, "")
	w.checkStrays()
	is.Equal(w.violation, "")
	for _, caller := range dead {
		is.True(caller.reset || !seen) // told at once that its flow is gone
	}
}

// restartEverything starts all processes and back ends anew. Agents see their back ends begin, or do not.
func (w *world) restartEverything(seen bool) {
	w.reports = worldReports
	if seen {
		w.reports = 0 // they hear the first report
	}
	for _, agent := range w.agents {
		w.startAgent(agent)
		w.replaceBackend(agent)
	}
	for _, balancer := range w.balancers {
		w.startBalancer(balancer)
	}
	w.reports = worldReports
}

// sendAgain lets callers send the copies of their requests that are due within the next step.
// Requests begin evenly spread over the first second.
func (w *world) sendAgain(callers []*worldCaller, begun time.Time) {
	for i, caller := range callers {
		request := begun.Add(time.Duration(i) * time.Second / time.Duration(len(callers)))
		for _, after := range overloadCopies {
			due := request.Add(after).Sub(w.now)
			if due >= 0 && due < overloadStep && !caller.reset {
				w.fromCaller(Datagram{Key: caller.key, Kind: Data, Confirms: caller.number, Payload: 1})
			}
		}
	}
}

// newcomers lets callers begin and a step pass. With counted it returns how many were not answered
// in time.
func (w *world) newcomers(port uint16, counted bool) int {
	for i := range uint16(overloadNewcomers) {
		w.begin(port + i)
	}
	w.pass(overloadStep)
	if !counted {
		return 0
	}
	late := 0
	before := port - overloadNewcomers*uint16(overloadPatience/overloadStep-1)
	for i := range uint16(overloadNewcomers) {
		if caller := w.callers[holdKey(before+i)]; caller != nil && caller.answered == 0 {
			late++
		}
	}
	return late
}
