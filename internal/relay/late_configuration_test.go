package relay

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/handshake"
)

// The story. Callers were sent to a service from which their route had been taken away: a change that the store had
// confirmed was not in force at three of six balancers, in different zones, more than three seconds later. No process had failed at
// that moment; all had been started anew some time before, and no log said that the store was away.
//
// All balancers learn a change from the two that ask the store for what it holds. So it is late everywhere whenever neither of these
// has a call under way that the change answers, and nobody else notices. That could last for seconds in three ways: a
// reader that starts long after the latest change watches from a revision that the store has forgotten, and pauses up to 6 s between two tries
// (TestConfigurationAfterACommonStart); the others notice the loss of both readers at the end of their own watches, up to 5 s
// later (TestConfigurationWithoutItsReaders); a watch whose connection has fallen silent is given up after 5 s
// (TestConfigurationWhenConnectionsFallSilent). What proved it: in plays with all balancers started 30 s after the latest change each of them
// got "history is gone" again and again, and a confirmed change was in force 1.3 s later, when the first of six happened to read.

// Bounds for a change that the store has confirmed.
const (
	calmBound      = time.Second     // for the configuration where nothing fails; 0.1 s is usual
	inForceBound   = 3 * time.Second // for the configuration, the shortest that a deployment has had
	evacuatedBound = 5 * time.Second // the same for evacuations
)

// checkChange lets the store confirm a change and checks when it is in force at all but the given balancers.
func (f *fleet) checkChange(what string, bound time.Duration, but ...*member) {
	f.t.Helper()
	version := f.store.configure()
	late := f.lateness(version, 2*inForceBound, but)
	f.t.Logf("%s: version %d in force after %v", what, version, late)
	if late > bound {
		f.t.Errorf("%s: version %d in force after %v, bound %v", what, version, late, bound)
	}
}

// checkEvacuation does the same for an evacuation.
func (f *fleet) checkEvacuation(what string, zone catalog.ZoneName, but ...*member) {
	f.t.Helper()
	f.store.evacuate(zone)
	time.Sleep(evacuatedBound)
	for _, m := range f.members {
		if m.node != nil && !slices.Contains(but, m) && !m.taken.has(m.node, zone) {
			f.t.Errorf("%s: evacuation of %s not known at %v after %v", what, zone, m.address, evacuatedBound)
		}
	}
}

// inFleet runs a check with so many balancers that have run for longer than the store keeps history.
func inFleet(t *testing.T, balancers int, check func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, balancers)
		defer f.end()
		f.pass(fleetHistory + 2*fleetWrites)
		check(f)
	})
}

// TestConfigurationAfterACommonStart: all balancers are started anew, longer after the latest change than the store keeps
// history, and the next change comes at any time after that. Nothing fails then, so that it is in force at once.
func TestConfigurationAfterACommonStart(t *testing.T) {
	for pause := 5 * time.Second; pause <= 20*time.Second; pause += 1300 * time.Millisecond {
		inFleet(t, 6, func(f *fleet) {
			f.end()
			time.Sleep(time.Second)
			for _, m := range f.members {
				m.start()
			}
			f.pass(pause)
			f.checkChange(fmt.Sprintf("%v after the start", pause), calmBound)
			f.checkChange("right after that", calmBound)
			f.checkEvacuation("then", "a")
		})
	}
}

// TestConfigurationWithoutItsReaders: the balancers that ask for the present configuration are lost, or lose their way to the
// store or to the others, at any time within their watches, and a change is confirmed right after that.
func TestConfigurationWithoutItsReaders(t *testing.T) {
	losses := []struct {
		name string
		lose func(f *fleet, lost *member)
	}{
		{"killed", func(_ *fleet, lost *member) { lost.kill() }},
		{"without a store", func(_ *fleet, lost *member) { lost.link.lose() }},
		{"refused", func(_ *fleet, lost *member) { lost.link.refuse() }},
		{"not heard by others", func(f *fleet, lost *member) {
			f.separate(lost)
			lost.link.lose()
		}},
	}
	for _, loss := range losses {
		for _, balancers := range []int{6, 40} {
			t.Run(fmt.Sprintf("%s/%d", loss.name, balancers), func(t *testing.T) {
				t.Parallel()
				for phase := time.Duration(0); phase < 5*time.Second; phase += time.Duration(balancers) * 100 * time.Millisecond {
					inFleet(t, balancers, func(f *fleet) {
						f.store.configure() // all watches begin now
						time.Sleep(phase)
						readers := f.readers()
						for _, reader := range readers {
							loss.lose(f, reader)
						}
						time.Sleep(50 * time.Millisecond)
						f.checkChange(fmt.Sprintf("%v after a change", phase), inForceBound, readers...)
						f.checkEvacuation("then", "a", readers...)
					})
				}
			})
		}
	}
	t.Run("cannot fetch", testBalancersThatCannotFetch)
}

// testBalancersThatCannotFetch: balancers that hear of a newer version and reach no other process read the store themselves.
func testBalancersThatCannotFetch(t *testing.T) {
	inFleet(t, 12, func(f *fleet) {
		separated := 0
		for _, m := range f.members {
			if m.node.storeDuty().Reading == handshake.ReadsNothing {
				f.separate(m) // the others still reach it
				separated++
			}
		}
		is.New(t).Equal(separated, 12-handshake.Readers)
		f.checkChange("cannot fetch", inForceBound)
	})
}

// TestConfigurationWhenConnectionsFallSilent: all connections to the store that are open say nothing more, while new ones work,
// at any time within the watches, and a change is confirmed right after that.
func TestConfigurationWhenConnectionsFallSilent(t *testing.T) {
	for phase := 100 * time.Millisecond; phase < 4*time.Second; phase += 400 * time.Millisecond {
		inFleet(t, 6, func(f *fleet) {
			f.store.configure() // all watches begin now
			time.Sleep(phase)
			f.store.silence()
			time.Sleep(50 * time.Millisecond)
			f.checkChange(fmt.Sprintf("silent %v after a change", phase), inForceBound)
			f.store.silence()
			f.checkEvacuation("silent again", "a")
		})
	}
}
