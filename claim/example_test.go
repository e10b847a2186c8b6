package claim_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/claim"
)

// process is one node with both deciders.
type process struct {
	replica     *claim.Replica
	coordinator *claim.Coordinator
}

// cluster delivers messages between processes at once, and stands for the store.
type cluster struct {
	now       time.Time
	processes map[claim.NodeID]*process
	epoch     catalog.Revision
	founding  claim.Founding
}

// Running implements claim.Owners.
func (c *cluster) Running(claim.Instance) bool { return true }

func (c *cluster) do(at *process, actions []claim.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case claim.Send:
			to := c.processes[action.To]
			event := claim.Received{Message: action.Message}
			if claim.ToCoordinator(action.Message) {
				c.do(to, to.coordinator.Handle(c.now, event))
				continue
			}
			c.do(to, to.replica.Handle(c.now, event))
		case claim.ReadFounding:
			c.founded(at, action.Service)
		case claim.ProposeFounding: // a conditional write
			if action.Founding.Replaces == c.epoch {
				c.epoch, c.founding = c.epoch+1, action.Founding
			}
			c.founded(at, action.Service)
		case claim.Dispatch:
			fmt.Println("request runs at", action.Attempt.Coordinator.Node)
			answer := claim.NewAnswer([]byte("201 one sheet reserved"))
			finished := claim.Finished{Attempt: action.Attempt, Outcome: claim.OutcomeComplete, Answer: answer}
			c.do(at, at.coordinator.Handle(c.now, finished))
		case claim.Reply:
			fmt.Printf("%v: %s\n", action.Verdict, action.Answer.Content)
		}
	}
}

func (c *cluster) founded(at *process, service catalog.ServiceName) {
	event := claim.Founded{Service: service, Epoch: c.epoch, Founding: c.founding}
	c.do(at, at.replica.Handle(c.now, event))
}

func (c *cluster) request(node claim.NodeID, key string) {
	at := c.processes[node]
	request := claim.Request{Key: claim.Key{Service: "orders", Value: key}}
	_, actions, err := at.coordinator.Begin(c.now, request)
	if err != nil {
		panic(err)
	}
	c.do(at, actions)
}

// A request that is repeated through another coordinator gets the stored answer.
func Example() {
	c := &cluster{now: time.Now(), processes: map[claim.NodeID]*process{}}
	nodes := []claim.NodeID{"agent-1", "agent-2", "agent-3"}
	var agents []claim.Agent
	for index, node := range nodes {
		self := claim.Instance{Node: node, Incarnation: 1}
		replica, replicaErr := claim.NewReplica(self, claim.DefaultOptions(), c.now)
		coordinator, coordinatorErr := claim.NewCoordinator(self, claim.DefaultOptions(), c)
		if err := errors.Join(replicaErr, coordinatorErr); err != nil {
			panic(err)
		}
		c.processes[node] = &process{replica, coordinator}
		agents = append(agents, claim.Agent{Node: node, Zone: fmt.Sprint("zone-", index), Active: true, Alive: true})
	}
	for _, node := range nodes {
		changed := claim.ServiceChanged{Service: "orders", Agents: agents}
		c.processes[node].replica.Handle(c.now, changed)
		c.processes[node].coordinator.Handle(c.now, changed)
	}
	for range 40 { // the replicas find each other and found a view
		c.now = c.now.Add(claim.DefaultOptions().RetryInterval)
		for _, node := range nodes {
			c.do(c.processes[node], c.processes[node].replica.Handle(c.now, claim.Tick{}))
		}
	}
	c.request("agent-1", "order-1")
	c.request("agent-3", "order-1")

	// Output:
	// request runs at agent-1
	// replay: 201 one sheet reserved
}
