package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBeginToldFromTheFirstReports: the agent has started after its back end, and so has not watched it begin.
func TestBeginToldFromTheFirstReports(t *testing.T) {
	for name, test := range map[string]struct {
		sequences []uint64
		saw       bool
	}{
		"the third and fourth":     {[]uint64{3, 4}, true},
		"the fourth and fifth":     {[]uint64{4, 5, 6}, true},
		"the third alone":          {[]uint64{3}, false}, // it may be an old one that comes late
		"an old one that was late": {[]uint64{3, 50, 51}, false},
		"one between is missing":   {[]uint64{2, 4, 5}, false},
		"one comes twice":          {[]uint64{3, 3, 4}, true},
		"late in its life":         {[]uint64{5, 6, 7}, false},
		"no sequence is told":      {[]uint64{0, 0}, false},
	} {
		for _, checkFirst := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				tracker := NewTracker("lessons", time.Second)
				check := func() {
					if tracker.CheckDue(start) {
						tracker.Checked(start, Check{Well: true, ID: "a"})
					}
				}
				if checkFirst {
					check()
				}
				for _, sequence := range test.sequences {
					tracker.Report(start, Report{ID: "a", Service: "lessons", Sequence: sequence})
				}
				check()
				is.Equal(tracker.State(), Ready)
				is.Equal(tracker.SawBegin(), test.saw)
			})
		}
	}
}

// TestFirstReportsAreRepeated: they are not acknowledged, but for a back end that leaves.
func TestFirstReportsAreRepeated(t *testing.T) {
	is := is.New(t)
	is.True(Report{Sequence: 1}.IsEarly())
	is.True(Report{Sequence: earlyReports}.IsEarly())
	is.True(!Report{Sequence: earlyReports + 1}.IsEarly())
	is.True(!Report{Sequence: 1, Leaving: true}.IsEarly())
	is.True(!Report{}.IsEarly())
}

// TestNobodyRunsThereSoon: three refused checks in a row show that, one and two do not.
func TestNobodyRunsThereSoon(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("lessons", time.Second)
	now := start
	for checks := 1; checks <= 3; checks++ {
		is.True(!tracker.NobodyThere())
		is.True(tracker.CheckDue(now))
		tracker.Checked(now, Check{Refused: true})
		now = now.Add(CheckInterval)
	}
	is.True(tracker.NobodyThere())
}

// youngBackEnd repeats reports that are not acknowledged as back ends do.
type youngBackEnd struct {
	born     time.Time
	sequence uint64
	next     time.Time     // of its reports
	pause    time.Duration // before it repeats a report
	flows    map[int]bool  // agents, by number, that gave it flows
}

// Pauses of a back end's reports, and of an agent that was killed, as measured.
const (
	firstRepeat   = 30 * time.Millisecond
	longestRepeat = 500 * time.Millisecond
	leastRestart  = 250 * time.Millisecond
)

// report calls the agent's tracker; nil: no agent runs.
func (b *youngBackEnd) report(now time.Time, tracker *Tracker) {
	b.sequence++
	report := Report{ID: "a", Service: "lessons", Slots: 3, Sequence: b.sequence}
	if tracker != nil {
		tracker.Report(now, report)
		if !report.IsEarly() {
			b.next, b.pause = now.Add(time.Second), firstRepeat
			return
		}
	}
	b.next = now.Add(b.pause)
	b.pause = min(2*b.pause, longestRepeat)
}

// TestAgentKilledBesideAYoungBackEndDeniesNothing: whenever agents are killed and started again beside a back end that starts at
// any moment, none of them says that it has seen the back end begin while that holds a flow of an agent before.
func TestAgentKilledBesideAYoungBackEndDeniesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		backend := &youngBackEnd{pause: firstRepeat, flows: map[int]bool{}}
		backend.born = start.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "born")) * time.Millisecond)
		backend.next = backend.born
		for agent := range rapid.IntRange(1, 4).Draw(t, "agents") {
			now = now.Add(leastRestart + time.Duration(rapid.IntRange(0, 600).Draw(t, "restart"))*time.Millisecond)
			backend.catchUp(now)
			tracker := NewTracker("lessons", time.Second)
			checks := rapid.Bool().Draw(t, "checks answered")
			for end := now.Add(time.Duration(rapid.IntRange(5, 2500).Draw(t, "life")) * time.Millisecond); now.Before(end); now = now.Add(5 * time.Millisecond) {
				alive := !now.Before(backend.born)
				for alive && !now.Before(backend.next) {
					backend.report(now, tracker)
				}
				if tracker.CheckDue(now) {
					tracker.Checked(now, Check{Well: alive && checks, ID: idIf(alive), Refused: !alive})
				}
				if alive && tracker.State() == Ready {
					backend.flows[agent] = true
				}
				if tracker.SawBegin() && backend.holdsFlowsBefore(agent) {
					t.Fatalf("agent %d denies flows of agents before it: %v, sequence %d", agent, backend.flows, backend.sequence)
				}
			}
		}
	})
}

// catchUp makes the reports that no agent hears.
func (b *youngBackEnd) catchUp(now time.Time) {
	for b.next.Before(now) {
		b.report(b.next, nil)
	}
}

func (b *youngBackEnd) holdsFlowsBefore(agent int) bool {
	for before := range b.flows {
		if before < agent {
			return true
		}
	}
	return false
}

func idIf(alive bool) ID {
	if alive {
		return "a"
	}
	return ""
}
