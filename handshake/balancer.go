package handshake

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/routing"
)

// Times and bounds of a balancer's flows.
const (
	OfferTime        = 40 * time.Millisecond  // for an agent to answer an offer, at least
	MaximumOfferTime = 250 * time.Millisecond // the same at most
	LocateTime       = 60 * time.Millisecond  // for agents to say who holds a flow
	MaximumOffers    = 4                      // of one opening datagram
	MaximumBuffered  = 16                     // datagrams of one flow that wait for its agent
	OpeningTime      = 3 * time.Second        // after which a flow that has not opened is forgotten
	RestTime         = 20 * time.Second       // after which a flow without a datagram is forgotten
	LostTime         = 1 * time.Second        // during which a flow that nobody holds is not asked for again
	HoldTime         = 700 * time.Millisecond // that an opening waits for an agent
	MaximumHeld      = 4096                   // openings that wait for an agent
	YoungTime        = time.Second            // after the start, during which a balancer may not know all agents
	// CopyTime is the time after a caller's opening datagram in which it sends no
	// further copy: until then no other balancer can have opened the flow.
	CopyTime      = 180 * time.Millisecond
	sweepInterval = 250 * time.Millisecond // between two looks for flows to forget
)

// BalancerOptions are what a balancer's decider is made of.
type BalancerOptions struct {
	Zone   catalog.ZoneName
	Region string
	Random *rand.Rand
}

// Balancer decides for one balancer.
type Balancer struct {
	board     *Board
	table     *routing.Table
	splitter  *routing.Splitter
	flows     map[flow.Key]*balancedFlow
	waiting   map[flow.Key]*balancedFlow // those with a deadline
	held      []*balancedFlow            // openings that wait for an agent, oldest first; some may have been released
	started   time.Time
	lastTick  time.Time
	resumed   time.Time // end of the latest pause in which datagrams waited for longer than CopyTime
	nextSweep time.Time
	actions   []Action
}

// balancedFlow is what a balancer knows about one flow.
type balancedFlow struct {
	key      flow.Key
	service  catalog.ServiceName
	seen     time.Time
	deadline time.Time // of the offer or question under way; zero: none

	// Of an opening.
	number  uint32
	opening []byte           // the datagram
	tried   []netip.AddrPort // agents that got it and may answer
	refused int
	accepts []accept // answers so far
	sentAt  time.Time
	held    bool // in Balancer.held
	heldAt  time.Time
	copies  uint32    // number of the latest copy of the opening datagram
	copyAt  time.Time // when it came
	// uncertain says that the flow may have opened without this balancer's
	// knowing it: through another one, or by an offer whose answer was lost. Such a
	// flow is never reset for want of an agent.
	uncertain bool

	// Of an open flow.
	agent    netip.AddrPort // zero: not known
	backend  string         // id of its back end when the flow was found there
	buffered [][]byte
	confirms uint32 // of the first buffered datagram
	asked    []netip.AddrPort
	answers  int
	perhaps  []netip.AddrPort
	lost     time.Time
}

// accept is one back end's answer to an opening.
type accept struct {
	agent  netip.AddrPort
	number uint32
}

// NewBalancer returns a decider that knows nothing yet.
func NewBalancer(now time.Time, options BalancerOptions) *Balancer {
	return &Balancer{
		board:    NewBoard(options.Zone, options.Region, options.Random),
		splitter: routing.NewSplitter(),
		flows:    map[flow.Key]*balancedFlow{},
		waiting:  map[flow.Key]*balancedFlow{},
		started:  now,
		lastTick: now,
	}
}

// Board returns what is known about agents.
func (b *Balancer) Board() *Board { return b.board }

// Table returns the configuration in force, nil if none is.
func (b *Balancer) Table() *routing.Table { return b.table }

// Flows returns the number of flows known.
func (b *Balancer) Flows() int { return len(b.flows) }

// Configure puts a table in force unless a newer one is. It says whether it did.
func (b *Balancer) Configure(table *routing.Table) bool {
	if table.Version() <= b.table.Version() {
		return false
	}
	b.table = table
	return true
}

// Ready says whether the balancer can serve: it holds a configuration and hears agents.
func (b *Balancer) Ready(now time.Time) bool {
	return b.table != nil && b.board.Hears(now)
}

// take returns the actions collected so far.
func (b *Balancer) take() []Action {
	actions := b.actions
	b.actions = nil
	return actions
}

func (b *Balancer) act(action Action) { b.actions = append(b.actions, action) }

// FromCaller handles a caller's datagram.
func (b *Balancer) FromCaller(now time.Time, datagram *Datagram) []Action {
	known := b.flows[datagram.Key]
	if datagram.Kind == Opening {
		b.open(now, known, datagram)
		return b.take()
	}
	if known == nil {
		known = b.add(now, datagram.Key)
	}
	known.seen = now
	b.carry(now, known, datagram)
	return b.take()
}

func (b *Balancer) add(now time.Time, key flow.Key) *balancedFlow {
	added := &balancedFlow{key: key, seen: now}
	b.flows[key] = added
	return added
}

func (b *Balancer) forget(known *balancedFlow) {
	b.release(known)
	delete(b.flows, known.key)
	delete(b.waiting, known.key)
}

func (b *Balancer) await(known *balancedFlow, deadline time.Time) {
	known.deadline = deadline
	b.waiting[known.key] = known
}

func (b *Balancer) settle(known *balancedFlow) {
	known.deadline = time.Time{}
	delete(b.waiting, known.key)
}

// open handles an opening datagram.
func (b *Balancer) open(now time.Time, known *balancedFlow, datagram *Datagram) {
	if known != nil && known.opening != nil && known.number == datagram.Number {
		b.openAgain(now, known, datagram)
		return
	}
	if known != nil {
		b.forget(known)
	}
	known = b.add(now, datagram.Key)
	known.number = datagram.Number
	known.opening = bytes.Clone(datagram.Bytes)
	known.copies = datagram.Copies
	known.copyAt = now
	b.notePause(now)
	known.uncertain = datagram.Copies > 0 || !b.resumed.IsZero() && now.Sub(b.resumed) < CopyTime
	b.place(now, known)
}

// notePause notes a pause of this process: datagrams that waited in its socket
// meanwhile may be older than they look.
func (b *Balancer) notePause(now time.Time) {
	if now.Sub(b.lastTick) > CopyTime {
		b.resumed = now
	}
}

// takeCopy notes that a copy of an opening datagram has come.
func (f *balancedFlow) takeCopy(now time.Time, copies uint32) {
	if copies > f.copies+1 {
		f.uncertain = true // the one between went elsewhere, or was lost
	}
	if copies > f.copies {
		f.copies = copies
		f.copyAt = now
	}
}

// openAgain handles a copy of an opening datagram: the caller has had no answer,
// so another agent is asked.
func (b *Balancer) openAgain(now time.Time, known *balancedFlow, datagram *Datagram) {
	known.takeCopy(now, datagram.Copies)
	if known.agent.IsValid() || known.held || !known.deadline.IsZero() {
		return
	}
	known.seen = now
	known.opening = bytes.Clone(datagram.Bytes)
	if _, outcome := b.board.choose(now, known.service, known.tried); outcome == nobodyElse {
		known.tried, known.refused = nil, 0 // all were tried: once more
	}
	b.place(now, known)
}

// place finds the service of an opening by the configuration in force now, and
// offers it.
func (b *Balancer) place(now time.Time, known *balancedFlow) {
	if b.table == nil {
		b.keep(now, known)
		return
	}
	route := b.table.Route(known.key.Service)
	if route == nil {
		b.act(Decision{Event: EventNoRoute, Key: known.key, Version: b.table.Version()})
		b.refuse(now, known)
		return
	}
	if !route.Has(known.service) {
		known.service = b.splitter.Next(b.table, route)
	}
	b.offer(now, known)
}

// offer sends the opening datagram to the next agent.
func (b *Balancer) offer(now time.Time, known *balancedFlow) {
	agent, outcome := b.board.choose(now, known.service, known.tried)
	switch outcome {
	case allFull:
		b.keep(now, known)
		return
	case nobodyElse:
		b.runOut(now, known)
		return
	}
	b.release(known)
	known.tried = append(known.tried, agent.address)
	known.sentAt = now
	agent.unanswered++
	b.await(known, now.Add(agent.patience()))
	b.act(Send{To: agent.address, Message: Offer{Service: known.service, Version: b.table.Version(), Bytes: known.opening}})
	b.act(Decision{Event: EventOffered, Key: known.key, Service: known.service, Peer: agent.address,
		Version: b.table.Version(), Attempts: len(known.tried), Load: agent.load, Age: now.Sub(agent.loadHeard)})
}

// runOut handles an opening that no further agent can be asked to take. Where
// every agent that was asked has refused, the caller is told at once; otherwise
// an answer may still come. A balancer that hears nobody has just started or is
// itself cut off: it keeps the opening and says nothing, so that the caller's next
// copy may open the flow through another one.
func (b *Balancer) runOut(now time.Time, known *balancedFlow) {
	b.settle(known)
	switch {
	case !b.board.Hears(now) || b.young(now):
		b.keep(now, known)
	case known.refused >= len(known.tried) && len(known.accepts) == 0:
		b.reject(now, known)
	default:
		b.release(known)
	}
}

// reject tells the caller that its flow does not open.
func (b *Balancer) reject(now time.Time, known *balancedFlow) {
	b.act(Decision{Event: EventRejected, Key: known.key, Service: known.service, Version: b.table.Version(), Attempts: len(known.tried)})
	b.refuse(now, known)
}

// refuse forgets an opening and resets its caller, unless the flow may be open: a
// copy that is due by now may have opened it through another balancer.
func (b *Balancer) refuse(now time.Time, known *balancedFlow) {
	b.forget(known)
	if !known.uncertain && now.Sub(known.copyAt) < CopyTime {
		b.act(ResetCaller{Key: known.key})
	}
}

// FromAgent handles a message of an agent, statuses apart.
func (b *Balancer) FromAgent(now time.Time, from netip.AddrPort, message Message) []Action {
	switch message := message.(type) {
	case Accepted:
		b.accepted(now, from, message)
	case Refused:
		b.refused(now, from, message)
	case Located:
		b.located(now, from, message)
	}
	return b.take()
}

func (b *Balancer) accepted(now time.Time, from netip.AddrPort, message Accepted) {
	b.board.takeAnswer(now, from, message.Load)
	known := b.flows[message.Key]
	if known == nil || known.agent.IsValid() {
		return
	}
	b.board.noteAnswer(from, now.Sub(known.sentAt))
	same := func(a accept) bool { return a.agent == from }
	known.accepts = append(slices.DeleteFunc(known.accepts, same), accept{from, message.Number})
	if known.opening != nil {
		b.settle(known)
		b.release(known)
	}
	b.act(Decision{Event: EventAccepted, Key: known.key, Service: known.service, Peer: from, Attempts: len(known.tried),
		Load: message.Load, Age: now.Sub(known.sentAt)})
}

func (b *Balancer) refused(now time.Time, from netip.AddrPort, message Refused) {
	b.board.takeAnswer(now, from, message.Load)
	known := b.flows[message.Key]
	if known == nil || known.agent.IsValid() || !slices.Contains(known.tried, from) {
		return
	}
	known.refused++
	b.act(Decision{Event: EventRefused, Key: known.key, Service: known.service, Peer: from,
		Reason: message.Reason.String(), Attempts: len(known.tried), Load: message.Load, Age: now.Sub(known.sentAt)})
	if len(known.accepts) == 0 {
		b.offer(now, known)
	}
}

// TakeStatus takes in an agent's status.
func (b *Balancer) TakeStatus(now time.Time, from netip.AddrPort, status Status) {
	b.board.Take(now, from, status)
}

// Tick handles deadlines that have passed.
func (b *Balancer) Tick(now time.Time) []Action {
	b.notePause(now)
	b.lastTick = now
	b.placeHeld(now)
	for _, known := range b.overdue(now) {
		b.settle(known)
		if known.buffered != nil {
			b.locateLate(now, known)
			continue
		}
		b.unanswered(now, known)
	}
	b.sweep(now)
	return b.take()
}

// overdue returns the flows whose deadline has passed, in an order that is the same
// in every run.
func (b *Balancer) overdue(now time.Time) []*balancedFlow {
	var overdue []*balancedFlow
	for _, known := range b.waiting {
		if !now.Before(known.deadline) {
			overdue = append(overdue, known)
		}
	}
	slices.SortFunc(overdue, func(x, y *balancedFlow) int {
		return cmp.Or(x.deadline.Compare(y.deadline), x.key.Caller.Compare(y.key.Caller), x.key.Service.Compare(y.key.Service))
	})
	return overdue
}

// unanswered handles an offer that an agent has not answered in time.
func (b *Balancer) unanswered(now time.Time, known *balancedFlow) {
	known.uncertain = true
	silent := known.tried[len(known.tried)-1]
	b.board.noteSilence(silent)
	b.act(Decision{Event: EventUnanswered, Key: known.key, Service: known.service, Peer: silent,
		Attempts: len(known.tried), Age: now.Sub(known.sentAt)})
	if len(known.tried) < MaximumOffers {
		b.offer(now, known)
	}
}

// sweep forgets flows that are over.
func (b *Balancer) sweep(now time.Time) {
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(sweepInterval)
	b.board.Forget(now)
	for _, known := range b.flows {
		limit := RestTime
		if !known.agent.IsValid() {
			limit = OpeningTime
		}
		if now.Sub(known.seen) > limit {
			b.forget(known)
		}
	}
}
