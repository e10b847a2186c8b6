package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Owners tells which coordinators run at present.
type Owners interface {
	// Running says whether the instance is believed to run. A wrong answer costs a
	// caller a worse verdict, never a second run.
	Running(owner Instance) bool
}

// Request is a keyed request that a caller has sent.
type Request struct {
	Key Key
	// Fingerprint covers what makes a repeat the same request, and who may see its
	// answer: the method, the target, the caller's credentials and, where they are
	// at hand, the content's length and digest.
	Fingerprint Fingerprint
	// FirstUse says that the caller vouches for never having sent the key before.
	// Without a quorum it can then be told that the request has not run.
	FirstUse bool
}

// Coordinator lets the requests of one process run at most once. It is not safe
// for concurrent use. The times it is given must come from one monotonic clock
// that does not go back.
type Coordinator struct {
	self     Instance
	options  Options
	owners   Owners
	number   uint64 // of the latest attempt
	attempts map[AttemptID]*attempt
	services map[catalog.ServiceName]*serviceView
	outbox   outbox
}

// serviceView is what a coordinator knows of the replicas of a service.
type serviceView struct {
	agents []Agent
	view   View   // latest known; zero if none
	round  uint64 // highest round of a ballot met; lower ones may be refused
}

// NewCoordinator returns a coordinator without attempts. Errors are of kind
// fault.Invalid.
func NewCoordinator(self Instance, options Options, owners Owners) (*Coordinator, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Coordinator{
		self:     self,
		options:  options,
		owners:   owners,
		attempts: map[AttemptID]*attempt{},
		services: map[catalog.ServiceName]*serviceView{},
	}, nil
}

// Begin takes a request in. Later actions carry the attempt's id: exactly one
// Dispatch or Reply, unless it is canceled. Errors are of kind fault.Invalid,
// fault.NotFound if the service is not known and fault.Overloaded if too many
// attempts are open; the attempt does not run then.
func (c *Coordinator) Begin(now time.Time, request Request) (AttemptID, []Action, error) {
	if length := len(request.Key.Value); length == 0 || length > MaximumKey {
		return AttemptID{}, nil, fault.New(fault.Invalid, "idempotency key of %d bytes: must have 1 to %d", length, MaximumKey)
	}
	service := c.services[request.Key.Service]
	if service == nil || len(service.agents) == 0 {
		return AttemptID{}, nil, fault.New(fault.NotFound, "service %q has no replicas", request.Key.Service)
	}
	if len(c.attempts) >= c.options.Attempts {
		return AttemptID{}, nil, fault.New(fault.Overloaded, "%d keyed requests are open", len(c.attempts))
	}
	c.number++
	begun := &attempt{
		id:       AttemptID{Coordinator: c.self, Number: c.number},
		request:  request,
		service:  service,
		met:      service.round,
		deadline: now.Add(c.options.ClaimTimeout),
	}
	c.attempts[begun.id] = begun
	c.prepare(now, begun)
	return begun.id, c.outbox.take(), nil
}

// Handle takes one event in and returns what to do, in order.
func (c *Coordinator) Handle(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		c.tick(now)
	case Received:
		c.receive(now, event.Message)
	case ServiceChanged:
		c.service(event.Service).agents = event.Agents
	case Finished:
		c.finished(now, event)
	case Canceled:
		c.canceled(now, event.Attempt)
	}
	return c.outbox.take()
}

// Open returns the number of attempts that are not settled yet.
func (c *Coordinator) Open() int { return len(c.attempts) }

func (c *Coordinator) service(name catalog.ServiceName) *serviceView {
	if known := c.services[name]; known != nil {
		return known
	}
	created := &serviceView{}
	c.services[name] = created
	return created
}

func (c *Coordinator) receive(now time.Time, message Message) {
	switch message := message.(type) {
	case Promise:
		c.vote(now, message.Vote, func(a *attempt) { c.promise(now, a, message) })
	case Full:
		c.vote(now, message.Vote, func(a *attempt) { c.full(now, a, message) })
	case Rejected:
		c.vote(now, message.Vote, func(a *attempt) { c.rejected(now, a, message) })
	case Accepted:
		c.vote(now, message.Vote, func(a *attempt) { c.accepted(now, a, message) })
	case Reported:
		c.vote(now, message.Vote, func(a *attempt) { c.reported(now, a, message) })
	case NotServing:
		c.notServing(now, message)
	}
}

// vote hands a vote to its attempt if it belongs to the attempt's present step.
func (c *Coordinator) vote(now time.Time, vote Vote, count func(*attempt)) {
	a := c.attempts[vote.Ballot.Proposer]
	if a == nil || c.expire(now, a) {
		return
	}
	if vote.Ballot == a.ballot && vote.View == a.view.ID && a.view.has(vote.Replica) {
		count(a)
	}
}

// notServing learns of a later view, in which the attempt begins again.
func (c *Coordinator) notServing(now time.Time, message NotServing) {
	service := c.service(message.Service)
	if message.Latest.ID.Compare(service.view.ID) > 0 {
		service.view = message.Latest
	}
	a := c.attempts[message.Ballot.Proposer]
	if a == nil || c.expire(now, a) || a.view.ID == service.view.ID {
		return
	}
	switch a.phase {
	case phasePreparing, phaseAccepting:
		c.prepare(now, a)
	case phaseRunning:
		a.nextAt = now.Add(c.options.RetryInterval)
	case phaseReporting:
		c.moveReport(now, a)
	}
}

func (c *Coordinator) tick(now time.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(c.attempts), AttemptID.Compare) {
		a := c.attempts[id]
		if c.expire(now, a) || now.Before(a.nextAt) {
			continue
		}
		switch a.phase {
		case phasePreparing, phaseAccepting:
			c.repeat(now, a)
		case phaseRunning:
			c.renew(now, a)
		case phaseReporting:
			c.repeatReport(now, a)
		}
	}
}
