package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	testService = "orders"
	unit        = 10 * time.Millisecond // one tick
)

var testOptions = Options{
	Retention:     160 * unit,
	ClaimTimeout:  4 * unit,
	RetryInterval: unit,
	RetryAfter:    time.Second,
	Memory:        1 << 20,
	AnswerLimit:   64,
	Attempts:      100,
}

// testNode is a place where a process runs, or none.
type testNode struct {
	agent       Agent
	up          bool
	removed     bool   // the service does not have the agent any more
	cut         bool   // receives nothing from those that are not cut, nor they from it
	incarnation uint64 // of the last run
	replica     *Replica
	coordinator *Coordinator
	learnAt     time.Time // when it learns the agents as they are
}

func (n *testNode) instance() Instance {
	return Instance{Node: n.agent.Node, Incarnation: n.incarnation}
}

// testAttempt is what the world knows of a request.
type testAttempt struct {
	key       string
	begun     time.Time
	replied   Verdict
	pending   *Dispatch // dispatched and not executed
	running   bool
	completed bool
	ranAt     time.Time // zero: never
}

// world is a service with its processes, network, back ends and store.
type world struct {
	fatal    func(string, ...any)
	options  Options
	random   *rand.Rand
	now      time.Time
	nodes    []*testNode
	network  []envelope
	weather  weather
	attempts map[AttemptID]*testAttempt
	order    []AttemptID // of attempts

	version  uint64 // of the store
	founding Founded
	outage   bool
	// slowStore lets the store apply some writes late and without a reply.
	slowStore bool
	delayed   []func()
}

func newWorld(fatal func(string, ...any), seed uint64, nodes int) *world {
	w := &world{
		fatal:    fatal,
		options:  testOptions,
		random:   rand.New(rand.NewPCG(seed, 0)),
		now:      time.Unix(1000, 0),
		attempts: map[AttemptID]*testAttempt{},
		founding: Founded{Service: testService},
	}
	for number := range nodes {
		node := &testNode{agent: Agent{
			Node:   NodeID(fmt.Sprintf("node-%d", number)),
			Zone:   fmt.Sprintf("zone-%d", number%3),
			Active: true,
		}}
		w.nodes = append(w.nodes, node)
	}
	for _, node := range w.nodes {
		w.start(node)
	}
	return w
}

// start begins a new run at the node.
func (w *world) start(node *testNode) {
	node.up = true
	node.incarnation++
	var err error
	if node.replica, err = NewReplica(node.instance(), w.options, w.now); err != nil {
		w.fatal("new replica: %v", err)
	}
	if node.coordinator, err = NewCoordinator(node.instance(), w.options, w); err != nil {
		w.fatal("new coordinator: %v", err)
	}
	w.learn(node)
}

// crash ends the run at the node, and with it what its requests were waiting for.
func (w *world) crash(node *testNode) {
	node.up = false
	for id, attempt := range w.attempts {
		if id.Coordinator == node.instance() {
			attempt.pending, attempt.running = nil, false
		}
	}
}

// Running implements Owners.
func (w *world) Running(owner Instance) bool {
	node := w.node(owner.Node)
	return node.up && node.incarnation == owner.Incarnation
}

func (w *world) node(id NodeID) *testNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *testNode) bool { return n.agent.Node == id })]
}

// agents returns the agents as they are.
func (w *world) agents() []Agent {
	var agents []Agent
	for _, node := range w.nodes {
		agent := node.agent
		agent.Alive = node.up && !node.cut
		if !node.removed {
			agents = append(agents, agent)
		}
	}
	return agents
}

// learn tells the node's deciders of the agents as they are.
func (w *world) learn(node *testNode) {
	node.learnAt = time.Time{}
	event := ServiceChanged{Service: testService, Agents: w.agents()}
	w.do(node, node.replica.Handle(w.now, event))
	w.do(node, node.coordinator.Handle(w.now, event))
}

// changed lets all nodes learn of a change, each after a while.
func (w *world) changed() {
	for _, node := range w.nodes {
		if node.learnAt.IsZero() {
			node.learnAt = w.now.Add(time.Duration(w.random.IntN(20)) * unit)
		}
	}
}

func (w *world) do(node *testNode, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			w.send(node.agent.Node, action)
		case ReadFounding:
			w.store(node, func() {})
		case ProposeFounding:
			w.store(node, func() {
				if uint64(w.founding.Epoch) == uint64(action.Founding.Replaces) {
					w.version++
					w.founding = Founded{Service: testService, Epoch: action.Founding.Replaces + 1, Founding: action.Founding}
				}
			})
		case Dispatch:
			w.attempts[action.Attempt].pending = &action
		case Reply:
			w.replied(action)
		}
	}
}

// store applies an operation now, later or never, and answers if it can.
func (w *world) store(node *testNode, operation func()) {
	if w.outage {
		return
	}
	if w.slowStore && w.random.IntN(4) == 0 {
		w.delayed = append(w.delayed, operation)
		return
	}
	operation()
	w.do(node, node.replica.Handle(w.now, w.founding))
}

// begin lets a caller send a request.
func (w *world) begin(node *testNode, key string) AttemptID {
	first := !slices.ContainsFunc(w.order, func(id AttemptID) bool { return w.attempts[id].key == key })
	return w.beginRequest(node, Request{
		Key:      Key{Service: testService, Value: key},
		FirstUse: first && w.random.IntN(2) == 0,
	})
}

func (w *world) beginRequest(node *testNode, request Request) AttemptID {
	id, actions, err := node.coordinator.Begin(w.now, request)
	if err != nil {
		w.fatal("begin: %v", err)
	}
	w.attempts[id] = &testAttempt{key: request.Key.Value, begun: w.now}
	w.order = append(w.order, id)
	w.do(node, actions)
	return id
}

// execute sends a dispatched request to a back end, or finds that it cannot.
func (w *world) execute(id AttemptID, run bool) {
	attempt := w.attempts[id]
	pending := attempt.pending
	attempt.pending = nil
	if !run || !w.now.Before(pending.Before) {
		w.finish(id, Finished{Attempt: id, Outcome: OutcomeVoid})
		return
	}
	for _, other := range w.order {
		earlier := w.attempts[other]
		if earlier.key == attempt.key && !earlier.ranAt.IsZero() && w.now.Before(earlier.ranAt.Add(testOptions.Retention)) {
			w.fatal("key %s ran twice: %v %v after %v", attempt.key, id, w.now.Sub(earlier.ranAt), other)
		}
	}
	if attempt.replied != 0 {
		w.fatal("%v runs after verdict %v", id, attempt.replied)
	}
	attempt.ranAt, attempt.running = w.now, true
}

func (w *world) finish(id AttemptID, event Finished) {
	attempt := w.attempts[id]
	attempt.running = false
	attempt.completed = event.Outcome == OutcomeComplete
	node := w.node(id.Coordinator.Node)
	w.do(node, node.coordinator.Handle(w.now, event))
}

// complete ends a run with an answer that names it, or without one.
func (w *world) complete(id AttemptID, whole bool) {
	if whole {
		w.finish(id, Finished{Attempt: id, Outcome: OutcomeComplete, Answer: NewAnswer(fmt.Append(nil, id))})
		return
	}
	w.finish(id, Finished{Attempt: id, Outcome: OutcomeUnknown})
}

// replied checks a verdict against what has happened.
func (w *world) replied(reply Reply) {
	attempt := w.attempts[reply.Attempt]
	if attempt.replied != 0 || attempt.pending != nil || !attempt.ranAt.IsZero() {
		w.fatal("second answer %v to %v", reply.Verdict, reply.Attempt)
	}
	attempt.replied = reply.Verdict
	for _, id := range w.order {
		earlier := w.attempts[id]
		if earlier.key != attempt.key || earlier.ranAt.IsZero() {
			continue
		}
		recent := w.now.Before(earlier.ranAt.Add(testOptions.Retention))
		if reply.Verdict == VerdictNotRun && recent && earlier.ranAt.Before(attempt.begun) {
			w.fatal("%v not run, but %v ran before it had begun", reply.Attempt, id)
		}
		if reply.Verdict == VerdictReplay && earlier.completed && string(reply.Answer.Content) == fmt.Sprint(id) {
			return
		}
	}
	if reply.Verdict == VerdictReplay {
		w.fatal("%v got a foreign answer %q", reply.Attempt, reply.Answer.Content)
	}
}

// serving returns how many replicas vote.
func (w *world) serving() int {
	count := 0
	for _, node := range w.nodes {
		if node.up && node.replica.Serving(w.now, testService) {
			count++
		}
	}
	return count
}
