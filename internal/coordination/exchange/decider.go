// Package exchange joins membership and dissemination into the one decider that
// a burlmill process runs, and gives it the form of request and response
// messages. It does no I/O and starts no goroutine: the process in package
// coordination and the tests' world in virtual time drive the same code.
package exchange

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/dissemination"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/membership"
)

// Times and sizes of exchanges.
const (
	TickInterval      = 100 * time.Millisecond // between two calls of Tick
	Timeout           = time.Second            // of one exchange; then Failed is to be called
	announceGap       = 200 * time.Millisecond // least time between two exchanges with one peer
	callerExpiry      = 5 * time.Second        // after which a peer that stopped calling is no neighbour
	newsPerExchange   = 16                     // member records
	newsWithoutBudget = 4                      // member records while the budget is overdrawn
	catchUpNews       = 16                     // latest changes told to a new neighbour
	membersDelay      = 5 * time.Second        // for which member digests must differ before they are compared
	membersInterval   = 10 * time.Second       // between two comparisons with any peer
	membersPerPage    = 100                    // members told to a newcomer at once
	membersPerCompare = 128                    // members of differing buckets told at once
	memberBytes       = 64                     // estimate of one member record
	joinRetryTime     = time.Second            // between two attempts to join
	joinFanOut        = 3                      // seeds asked at once
	strayInterval     = 5 * time.Second        // between two probes of unknown addresses, all members together
	maximumStray      = 2 * time.Minute        // between two probes of unknown addresses by one member
	BudgetRate        = 1500                   // bytes per second for all but heartbeats
	BudgetCapacity    = 4 << 20                // bytes, for peers that are far behind
)

// Send is a request to deliver. Answered or Failed must follow, with its ID.
type Send struct {
	ID      uint64
	Peer    string // empty when the peer's ID is not known
	To      netip.AddrPort
	Request *burlmillv1.ExchangeRequest
}

// Notice is something worth a line in the log.
type Notice struct {
	Event  string
	Member *membership.Member // may be nil
	Err    error              // may be nil
}

// Output is what follows from one event.
type Output struct {
	Sends   []Send
	Notices []Notice
}

// Decider decides for one process. It is not safe for concurrent use; one
// goroutine owns it and passes it every event together with the time.
type Decider struct {
	started time.Time
	random  *rand.Rand
	members *membership.Machine
	catalog *dissemination.Machine
	budget  *dissemination.Budget
	links   map[string]*link
	ordered []*link // by peer, so that a run can be repeated
	pending map[uint64]pending
	lastID  uint64
	seeds   []netip.AddrPort
	join    joinState
	compare time.Time // latest comparison of members that this process began
	output  Output
}

// pending is an exchange that waits for its answer.
type pending struct {
	peer  string
	link  *link
	told  membership.Cursor
	pull  *dissemination.Pull
	joins bool
	asked bool // the peer is asked for members of differing buckets
}

// New returns the decider of a process that knows only itself. The random
// source spreads the decider's heartbeats over time.
func New(now time.Time, self membership.Member, random *rand.Rand) *Decider {
	budget := dissemination.NewBudget(now, BudgetRate, BudgetCapacity)
	return &Decider{
		started: now,
		random:  random,
		members: membership.NewMachine(now, self),
		catalog: dissemination.NewMachine(budget),
		budget:  budget,
		links:   map[string]*link{},
		pending: map[uint64]pending{},
	}
}

// Members returns the membership machine, for reading.
func (d *Decider) Members() *membership.Machine { return d.members }

// Snapshot returns the configuration in force.
func (d *Decider) Snapshot() *catalog.Snapshot { return d.catalog.Snapshot() }

// Tick does what is due. It is to be called every TickInterval.
func (d *Decider) Tick(now time.Time) Output {
	d.members.Tick(now)
	d.refreshLinks(now)
	d.continueJoin(now)
	d.sendHeartbeats(now)
	d.probe(now)
	d.probeStray(now)
	d.compareMembers(now)
	d.compareCatalog(now)
	return d.finish(now)
}

// Seeds names the addresses where members may be found, instead of those named
// before. They are asked until one has told all members, and later, at a low
// rate, those at which no member is known.
func (d *Decider) Seeds(now time.Time, addresses []netip.AddrPort) Output {
	d.setSeeds(addresses)
	d.continueJoin(now)
	return d.finish(now)
}

// SetStatus tells all neighbours at once that this process is leaving or has left.
func (d *Decider) SetStatus(now time.Time, status membership.Status) Output {
	d.members.SetStatus(now, status)
	for _, link := range d.links {
		link.sent = time.Time{}
	}
	return d.finish(now)
}

// Adopt takes in members known from elsewhere, as if a peer had told them all.
func (d *Decider) Adopt(now time.Time, members []*membership.Member) {
	for _, member := range members {
		d.members.Merge(now, member, "")
	}
	d.join.done = true
}

// StoreChanged takes in changes that the platform's store reports.
func (d *Decider) StoreChanged(now time.Time, objects []catalog.Object, revision catalog.Revision) (Output, error) {
	err := d.catalog.TakeFromStore(objects, revision)
	return d.finish(now), err
}

// Refresh asks all neighbours at once for a higher revision.
func (d *Decider) Refresh(now time.Time) Output {
	for _, link := range d.links {
		if now.Sub(link.sent) >= announceGap {
			d.sendOn(now, link)
		}
	}
	return d.finish(now)
}

// finish sends what became due by an event and returns the collected output.
func (d *Decider) finish(now time.Time) Output {
	d.announce(now)
	d.pullCatalog(now)
	output := d.output
	d.output = Output{}
	return output
}

func (d *Decider) notice(event string, member *membership.Member, err error) {
	d.output.Notices = append(d.output.Notices, Notice{event, member, err})
}
