package instance

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelLife is a life of the model's back end.
type modelLife struct {
	life     Life
	sequence uint64
	leaving  bool
	acked    bool // the present tracker has acknowledged that it leaves, or is gone
}

// modelMessage is a report or a removal on its way.
type modelMessage struct {
	of      *modelLife
	report  Report
	removes bool
}

// modelCheck is a health check under way.
type modelCheck struct {
	began  time.Time
	answer Check
}

// model is one back end and the tracker beside it: one life after the other, what they say held up or lost at will,
// a clock of the back end that is set at will, health checks that answer the truth of some moment while they last, and
// agents that start anew.
type model struct {
	t       *rapid.T
	now     time.Time
	clock   time.Duration // of the back end's clock before the agent's
	births  string        // told, untold or mixed: some lives tell theirs
	tracker *Tracker
	running *modelLife    // nil: none
	left    map[Life]bool // lives that have told their birth and said that they leave
	way     []modelMessage
	checks  []modelCheck
}

func (m *model) begin() {
	if m.running != nil {
		return
	}
	life := Life{ID: rapid.SampledFrom([]ID{"a", "a", "a", "b"}).Draw(m.t, "id")}
	if m.births == "told" || m.births == "mixed" && rapid.Bool().Draw(m.t, "tells") {
		life.Born = canonical(m.now.Add(m.clock))
	}
	for m.left[life] { // equal births after a life has left by its word cannot be told apart
		life.Born = life.Born.Add(time.Millisecond)
	}
	m.running = &modelLife{life: life}
}

func (m *model) say() {
	if m.running == nil {
		return
	}
	m.running.sequence++
	report := Report{ID: m.running.life.ID, Born: m.running.life.Born, Service: "lessons", Slots: 3, Sequence: m.running.sequence, Leaving: m.running.leaving}
	m.way = append(m.way, modelMessage{of: m.running, report: report})
}

// end ends the running life: at once, or with a removal that tells its birth or not.
func (m *model) end() {
	if m.running == nil {
		return
	}
	if m.running.leaving {
		m.way = append(m.way, modelMessage{of: m.running, removes: true})
	}
	m.running = nil
}

// deliver hands over any of the messages under way.
func (m *model) deliver() {
	if len(m.way) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.way)-1).Draw(m.t, "message")
	message := m.way[i]
	m.way = slices.Delete(m.way, i, i+1)
	m.take(message)
}

func (m *model) take(message modelMessage) {
	state, latest, heard := m.tracker.State(), m.tracker.Latest(), m.tracker.Heard()
	var err error
	if message.removes {
		err = m.tracker.Remove(m.now, message.of.life)
	} else {
		_, err = m.tracker.Report(m.now, message.report)
	}
	if err != nil && (m.tracker.State() != state || m.tracker.Latest() != latest || m.tracker.Heard() != heard) {
		m.t.Fatalf("a stale message of %v has changed %v %+v to %v %+v", message.of.life, state, latest, m.tracker.State(), m.tracker.Latest())
	}
	if err == nil && (message.removes || message.report.Leaving) {
		message.of.acked = true
	}
}

// ask begins a health check where one is due; what it answers is true now or when it is answered.
func (m *model) ask() {
	if m.tracker.CheckDue(m.now) {
		m.checks = append(m.checks, modelCheck{m.now, m.health()})
	}
}

func (m *model) health() Check {
	if m.running == nil {
		return Check{Refused: true}
	}
	return Check{Well: !m.running.leaving, ID: m.running.life.ID}
}

func (m *model) answer() {
	if len(m.checks) == 0 {
		return
	}
	check := m.checks[0]
	m.checks = m.checks[1:]
	if rapid.Bool().Draw(m.t, "answered late") {
		check.answer = m.health()
	}
	check.answer.Began = check.began
	m.tracker.Checked(m.now, check.answer)
}

func (m *model) restart() {
	m.tracker = NewTracker("lessons", time.Second)
	m.checks = nil
	if m.running != nil {
		m.running.acked = false
	}
}

// verify checks what must always hold: a life is not ready once the tracker has acknowledged that it leaves.
func (m *model) verify() {
	if m.running != nil && m.running.acked && m.tracker.State() == Ready {
		m.t.Fatalf("life %v is at work, has left by acknowledgement, and %v is ready", m.running.life, m.tracker.Life())
	}
}

// calm lets the running life report in order and answer health checks for a while.
func (m *model) calm() {
	m.way, m.checks = nil, nil
	if m.running != nil && m.running.leaving {
		m.running = nil
	}
	m.begin()
	if m.tracker.checking { // it is answered first
		m.tracker.Checked(m.now, Check{})
	}
	const reports = 8 // with room for a claim after missed reports
	for range reports {
		m.say()
		m.take(m.way[0])
		m.way = nil
		for range time.Second / CheckInterval {
			m.now = m.now.Add(CheckInterval)
			m.ask()
			m.answer()
		}
	}
	if m.tracker.State() != Ready || m.tracker.Life() != m.running.life {
		m.t.Fatalf("life %v is at work and reports, but %v is %v", m.running.life, m.tracker.Life(), m.tracker.State())
	}
}

// TestLivesOfABackEnd: whatever is held up, lost or set, with births told or not, nothing new is let to a life
// whose leaving was acknowledged, what is stale changes nothing, and a life that goes on reporting is served in the end.
func TestLivesOfABackEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start, births: rapid.SampledFrom([]string{"told", "untold", "mixed"}).Draw(t, "births"), left: map[Life]bool{}}
		m.restart()
		steps := map[string]func(){
			"begin": m.begin, "say": m.say, "end": m.end, "deliver": m.deliver, "ask": m.ask, "answer": m.answer, "restart": m.restart,
			"lose": func() { m.way = nil },
			"leave": func() {
				if m.running != nil {
					m.running.leaving = true
					m.left[m.running.life] = !m.running.life.Born.IsZero()
				}
			},
			"clock": func() { m.clock = time.Duration(rapid.IntRange(-3, 3).Draw(t, "clock")) * time.Second },
			"pass":  func() { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		}
		names := []string{"begin", "begin", "say", "say", "say", "deliver", "deliver", "deliver", "deliver", "ask", "answer", "answer",
			"pass", "pass", "leave", "end", "end", "clock", "lose", "restart"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now = m.now.Add(time.Microsecond) // no two things happen at once
			steps[rapid.SampledFrom(names).Draw(t, "step")]()
			m.verify()
		}
		m.calm()
	})
}
