// This file contains Decider: its state, its outputs, its periodic work (Tick), and the calls that
// add known members, set the seeds and the status of this process, apply changes of the store and
// send heartbeats ahead of time.

// Package exchange combines the state machines of packages membership and dissemination into one,
// which exchanges request and response messages with peers. It does no I/O and starts no goroutine.
// Package coordination drives it over the network; tests drive it in virtual time.
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

// Intervals and limits of exchanges.
const (
	TickInterval             = 100 * time.Millisecond // between two calls of Tick
	Timeout                  = time.Second            // after which an exchange has failed
	minAnnounceInterval      = 200 * time.Millisecond // between two announcements to one peer
	callerTimeout            = 5 * time.Second        // without requests until a link is removed
	maxChangesPerMessage     = 16                     // changed member records in one state
	maxChangesOverBudget     = 4                      // the same limit while over budget
	initialChanges           = 16                     // recent changes sent to a new neighbour
	memberComparisonDelay    = 5 * time.Second        // of a digest difference before a comparison
	memberComparisonInterval = 10 * time.Second       // minimum between two comparisons
	membersPerPage           = 100                    // members in one page for a joining process
	membersPerComparison     = 128                    // members in one page of several buckets
	estimatedMemberBytes     = 64                     // bytes charged for a record in a state
	joinRetryDelay           = time.Second            // minimum between two attempts to join
	joinFanOut               = 3                      // seeds queried by one attempt to join
	seedProbeInterval        = 5 * time.Second        // mean between two probes in the fleet
	maxSeedProbeInterval     = 2 * time.Minute        // limit of the mean for one member
	BudgetRate               = 1500                   // bytes per second; see Decider.budget
	BudgetCapacity           = 4 << 20                // bytes; maximum burst
)

// Send is a request to deliver. The caller passes the outcome with the ID to Decider.HandleResponse
// or Decider.HandleFailure.
type Send struct {
	ID      uint64
	Peer    string // empty if the ID of the peer is unknown
	To      netip.AddrPort
	Request *burlmillv1.ExchangeRequest
}

// Notice is an event to be logged.
type Notice struct {
	Event  string
	Member *membership.Member       // may be nil
	Change *membership.StatusChange // nil unless the status of the member has changed
	Err    error                    // may be nil
}

// Output contains the requests to send and the notices to log after one event.
type Output struct {
	Sends   []Send
	Notices []Notice
}

// Decider is the state machine of one process. It is not safe for concurrent use: one goroutine
// owns it and passes every event to it, together with the current time.
type Decider struct {
	startedAt        time.Time // reference of the timestamps in messages
	random           *rand.Rand
	members          *membership.Machine
	catalog          *dissemination.Machine
	budget           *dissemination.Budget // of member records, bucket hashes and pages
	links            map[string]*link
	sortedLinks      []*link // sorted by peer, for a deterministic order of sends
	pending          map[uint64]pendingExchange
	lastID           uint64
	seeds            []netip.AddrPort
	join             joinState
	lastComparisonAt time.Time // start of the latest member comparison
	output           Output
}

// pendingExchange is an exchange whose response has not arrived.
type pendingExchange struct {
	peer            string              // ID; empty if unknown
	link            *link               // nil unless the request is a heartbeat
	changesCursor   membership.Cursor   // cursor of the link once the peer has responded
	pull            *dissemination.Pull // nil unless the request pulls the catalog
	isJoin          bool                // the request is for a page of all members
	comparesMembers bool                // the request is for the members of differing buckets
}

// New returns the Decider of a process that knows no other member. The random source spreads
// heartbeats over time and selects peers.
func New(now time.Time, self membership.Member, random *rand.Rand) *Decider {
	budget := dissemination.NewBudget(now, BudgetRate, BudgetCapacity)
	return &Decider{
		startedAt: now,
		random:    random,
		members:   membership.NewMachine(now, self),
		catalog:   dissemination.NewMachine(budget),
		budget:    budget,
		links:     map[string]*link{},
		pending:   map[uint64]pendingExchange{},
	}
}

// Members returns the membership state machine, which the caller must not change.
func (d *Decider) Members() *membership.Machine { return d.members }

// Snapshot returns the current configuration.
func (d *Decider) Snapshot() *catalog.Snapshot { return d.catalog.Snapshot() }

// OfferedRevision returns the highest revision that peers have reported recently.
func (d *Decider) OfferedRevision(now time.Time) catalog.Revision {
	return d.catalog.OfferedRevision(now)
}

// Tick performs the periodic work. The caller calls it every TickInterval.
func (d *Decider) Tick(now time.Time) Output {
	d.members.Tick(now)
	d.refreshLinks(now)
	d.continueJoin(now)
	d.sendDueHeartbeats(now)
	d.probeMember(now)
	d.probeSeed(now)
	d.compareMembers(now)
	d.compareObjects(now)
	return d.flush(now)
}

// SetSeeds replaces the addresses at which members may be found. The Decider requests members from
// seeds until it has received all members. Afterwards it probes, at a low rate, the seeds at which
// it knows no member.
func (d *Decider) SetSeeds(now time.Time, addresses []netip.AddrPort) Output {
	d.replaceSeeds(addresses)
	d.continueJoin(now)
	return d.flush(now)
}

// SetStatus sets the status of this process to Leaving or Left. It announces the status to all
// neighbours without waiting for minAnnounceInterval.
func (d *Decider) SetStatus(now time.Time, status membership.Status) Output {
	d.members.SetStatus(now, status)
	for _, link := range d.links {
		link.lastRequestAt = time.Time{}
	}
	return d.flush(now)
}

// Bootstrap adds members that are known from another source and marks the join as complete.
func (d *Decider) Bootstrap(now time.Time, members []*membership.Member) {
	for _, member := range members {
		d.members.Merge(now, member, "")
	}
	d.join.done = true
}

// ApplyStoreChanges applies changes from the platform's store. It returns an error if objects are
// refused, and one of kind fault.Stale if the revision is below the current one. The output is
// valid in both cases.
func (d *Decider) ApplyStoreChanges(now time.Time, objects []catalog.Object, revision catalog.Revision) (Output, error) {
	err := d.catalog.ApplyStoreChanges(objects, revision)
	return d.flush(now), err
}

// SendHeartbeats sends a heartbeat to every neighbour to which none was sent within
// minAnnounceInterval. The responses report the revisions of the neighbours.
func (d *Decider) SendHeartbeats(now time.Time) Output {
	for _, link := range d.links {
		if now.Sub(link.lastRequestAt) >= minAnnounceInterval {
			d.startExchange(now, link)
		}
	}
	return d.flush(now)
}

// flush sends the announcements and the pull that an event made due. It returns the output and
// clears it.
func (d *Decider) flush(now time.Time) Output {
	d.announceChanges(now)
	d.pullCatalog(now)
	for _, change := range d.members.TakeStatusChanges() {
		d.output.Notices = append(d.output.Notices, Notice{Event: "member-status", Member: change.Member, Change: &change})
	}
	output := d.output
	d.output = Output{}
	return output
}

func (d *Decider) addNotice(event string, member *membership.Member, err error) {
	d.output.Notices = append(d.output.Notices, Notice{Event: event, Member: member, Err: err})
}
