package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Replica keeps the registers of the services whose agent runs at its node. It is
// not safe for concurrent use. The times it is given must come from one monotonic
// clock that does not go back.
type Replica struct {
	self    Instance
	options Options
	started time.Time
	memory  memory
	groups  map[catalog.ServiceName]*group
	sweepAt time.Time
	outbox  outbox
}

// NewReplica returns a replica that has just started and remembers nothing. Errors
// are of kind fault.Invalid.
func NewReplica(self Instance, options Options, now time.Time) (*Replica, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Replica{
		self:    self,
		options: options,
		started: now,
		memory:  memory{limit: options.Memory},
		groups:  map[catalog.ServiceName]*group{},
	}, nil
}

// Handle takes one event in and returns what to do, in order.
func (r *Replica) Handle(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		r.tick(now)
	case Received:
		r.receive(now, event.Message)
	case ServiceChanged:
		r.group(event.Service).agents = event.Agents
	case Founded:
		r.group(event.Service).founded(now, event)
	}
	return r.outbox.take()
}

// Serving says whether the replica votes on claims of the service at present.
func (r *Replica) Serving(now time.Time, service catalog.ServiceName) bool {
	group := r.groups[service]
	return group != nil && group.votes(now)
}

// Needed says whether the replica belongs to a view of any service, or may still
// be asked for the state of one. A leaving process waits until it is not needed,
// for as long as its drain limit allows.
func (r *Replica) Needed(now time.Time) bool {
	for _, group := range r.groups {
		if group.isNeeded(now) {
			return true
		}
	}
	return false
}

// Used returns the bytes that the records take.
func (r *Replica) Used() int { return r.memory.used }

func (r *Replica) group(service catalog.ServiceName) *group {
	if known := r.groups[service]; known != nil {
		return known
	}
	created := &group{
		service: service,
		self:    r.self,
		started: r.started,
		options: &r.options,
		out:     &r.outbox,
		records: newRecordStore(&r.options, &r.memory),
		pulls:   map[ViewID]*pull{},
		contact: newContact(r.started),
	}
	r.groups[service] = created
	return created
}

func (r *Replica) tick(now time.Time) {
	sweep := !now.Before(r.sweepAt)
	if sweep {
		r.sweepAt = now.Add(r.options.ClaimTimeout)
	}
	for _, service := range slices.Sorted(maps.Keys(r.groups)) {
		group := r.groups[service]
		if sweep {
			group.records.sweep(now)
		}
		group.tick(now)
	}
}

func (r *Replica) receive(now time.Time, message Message) {
	switch message := message.(type) {
	case Prepare:
		r.group(message.Key.Service).prepare(now, message)
	case Accept:
		r.group(message.Key.Service).accept(now, message)
	case Report:
		r.group(message.Key.Service).report(now, message)
	case Notice:
		r.group(message.Service).notice(now, message)
	case Presence:
		r.group(message.Service).presence(now, message)
	case ChangePrepare:
		r.group(message.Service).changePrepare(now, message)
	case ChangePromise:
		r.group(message.Service).changePromise(now, message)
	case ChangeAccept:
		r.group(message.Service).changeAccept(now, message)
	case ChangeAccepted:
		r.group(message.Service).changeAccepted(now, message)
	case Decided:
		r.group(message.Service).adopt(now, message.View)
	case StateRequest:
		r.group(message.Service).stateRequest(now, message)
	case StatePage:
		r.group(message.Service).statePage(now, message)
	}
}

// outbox collects the actions of one event.
type outbox struct{ actions []Action }

func (o *outbox) send(to NodeID, message Message) {
	o.actions = append(o.actions, Send{To: to, Message: message})
}

func (o *outbox) add(action Action) { o.actions = append(o.actions, action) }

func (o *outbox) take() []Action {
	taken := o.actions
	o.actions = nil
	return taken
}
