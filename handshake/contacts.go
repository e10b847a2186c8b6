package handshake

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/routing"
)

// Times and bounds of what processes tell each other about themselves. Intervals
// grow with the number of those who are told, so that what one process sends does
// not grow with the fleet.
const (
	AgentStatusInterval = 200 * time.Millisecond  // from an agent to a balancer that places flows on it, at least
	agentStatusPerPeer  = 20 * time.Millisecond   // added for each such balancer above agentStatusFree
	agentStatusFree     = 10                      // such balancers that cost no time
	maximumAgentStatus  = time.Second             // at most
	subscribeInterval   = time.Second             // from a balancer to an agent it places flows on
	SubscriptionTime    = 3 * time.Second         // for which one such status counts
	helloInterval       = time.Second             // to those that need no more than to know of each other, at least
	helloPerPeer        = 100 * time.Millisecond  // for each of them: the interval is the sum, if that is more
	balancerInterval    = 400 * time.Millisecond  // between balancers, at least
	balancerPerPeer     = 40 * time.Millisecond   // for each of them: the interval is the sum, if that is more
	StrangerInterval    = 500 * time.Millisecond  // to a process that has not been heard
	NewStrangerInterval = 100 * time.Millisecond  // the same while its address is new
	NewStrangerTime     = 5 * time.Second         // for which an address is new
	SilentInterval      = 1 * time.Second         // to a process that is no longer heard
	ContactTime         = 1500 * time.Millisecond // silence after which a process is not heard, if it promised no slower status
	ContactForgetTime   = 60 * time.Second        // silence after which a process is forgotten
	MaximumPeersTold    = 16                      // addresses in one status
	missedStatuses      = 3.5                     // intervals of silence after which a process is not heard
)

// SubscribedAgents is how many agents of one service a balancer places flows on.
const SubscribedAgents = 24

// Contacts decides whom a process tells its status and how often, and remembers
// whom it has heard. It is not safe for concurrent use.
type Contacts struct {
	self          netip.AddrPort
	role          Role
	contacts      map[netip.AddrPort]*contact
	told          int // where the next list of peers begins
	counts        map[Role]int
	subscribed    int // contacts in subscriptions, or those who have subscribed here
	nextSelection time.Time
}

// contact is what is known of one other process.
type contact struct {
	address      netip.AddrPort
	status       Status
	heard        time.Time // zero: never
	added        time.Time
	next         time.Time // when it is told the status again
	subscription time.Time // until when it wants the load, or is asked for it
	seed         bool      // never forgotten
	lost         bool      // noticed as no longer heard
}

// NewContacts returns the contacts of a process that knows nobody.
func NewContacts(self netip.AddrPort, role Role) *Contacts {
	return &Contacts{self: self, role: role, contacts: map[netip.AddrPort]*contact{}, counts: map[Role]int{}}
}

// Add takes in the address of another process. A seed is never forgotten.
func (c *Contacts) Add(now time.Time, address netip.AddrPort, seed bool) {
	if address == c.self || !address.IsValid() {
		return
	}
	known := c.contacts[address]
	if known == nil {
		known = &contact{address: address, added: now}
		c.contacts[address] = known
	}
	known.seed = known.seed || seed
}

// Heard takes in a status. It says whether the process is new or has started anew.
func (c *Contacts) Heard(now time.Time, from netip.AddrPort, status Status) (news bool) {
	c.Add(now, from, false)
	known := c.contacts[from]
	if known == nil {
		return false
	}
	news = known.heard.IsZero() || known.status.Incarnation != status.Incarnation
	if news {
		known.next = now
		c.nextSelection = now
	}
	known.status = status
	known.heard = now
	known.lost = false
	if status.Subscribe {
		known.subscription = now.Add(SubscriptionTime)
	}
	for _, peer := range status.Peers {
		c.Add(now, peer, false)
	}
	return news
}

// Silence returns how long ago a process was last heard; known is false if never.
func (c *Contacts) Silence(now time.Time, address netip.AddrPort) (silence time.Duration, known bool) {
	other := c.contacts[address]
	if other == nil || other.heard.IsZero() {
		return 0, false
	}
	return now.Sub(other.heard), true
}

// Lost returns the processes that have fallen silent since the last call.
func (c *Contacts) Lost(now time.Time) []Contact {
	var lost []Contact
	for address, known := range c.contacts {
		if known.heard.IsZero() || known.lost || known.heardLately(now) {
			continue
		}
		known.lost = true
		lost = append(lost, Contact{Address: address, Status: known.status, Heard: known.heard})
	}
	return lost
}

// CountHeard returns how many processes were heard of late.
func (c *Contacts) CountHeard(now time.Time) int {
	count := 0
	for _, known := range c.contacts {
		if known.heardLately(now) {
			count++
		}
	}
	return count
}

// Hears says whether any process of the role was heard of late.
func (c *Contacts) Hears(now time.Time, role Role) bool {
	for _, known := range c.contacts {
		if known.heardLately(now) && known.status.Role == role {
			return true
		}
	}
	return false
}

func (k *contact) heardLately(now time.Time) bool {
	return !k.heard.IsZero() && now.Sub(k.heard) <= max(ContactTime, patience(k.status))
}

// patience returns the silence after which a process with the status is not heard.
func patience(status Status) time.Duration {
	return time.Duration(missedStatuses * float64(status.Interval))
}

// Newest returns the process heard of late that holds the newest configuration,
// and its version.
func (c *Contacts) Newest(now time.Time) (address netip.AddrPort, version routing.Version) {
	for from, known := range c.contacts {
		if known.heardLately(now) && known.status.Version > version {
			address, version = from, known.status.Version
		}
	}
	return address, version
}

// Due is a process that is to be told the status now.
type Due struct {
	Address   netip.AddrPort
	Interval  time.Duration // until it is told again
	Subscribe bool          // it is asked to tell its load often
}

// Due returns whom to tell the status now. With urgent, all who need the news are
// told at once.
func (c *Contacts) Due(now time.Time, urgent bool) []Due {
	c.selectAgents(now)
	var due []Due
	for address, known := range c.contacts {
		if c.expired(now, known) {
			delete(c.contacts, address)
			continue
		}
		if now.Before(known.next) && !(urgent && c.needs(now, known)) {
			continue
		}
		interval := c.interval(now, known)
		if interval == 0 {
			continue
		}
		known.next = now.Add(interval)
		due = append(due, Due{Address: address, Interval: interval, Subscribe: c.role == RoleBalancer && known.wants(now)})
	}
	return due
}

func (k *contact) wants(now time.Time) bool { return now.Before(k.subscription) }

func (c *Contacts) expired(now time.Time, known *contact) bool {
	last := known.heard
	if last.IsZero() {
		last = known.added
	}
	return !known.seed && now.Sub(last) > ContactForgetTime
}

// needs says whether a process must hear news at once: balancers that place flows
// here, agents on which this balancer places flows, and all other balancers.
func (c *Contacts) needs(now time.Time, known *contact) bool {
	if !known.heardLately(now) {
		return false
	}
	return known.wants(now) || c.role == RoleBalancer && known.status.Role == RoleBalancer
}

// interval returns how often a process is told the status; 0: never.
func (c *Contacts) interval(now time.Time, known *contact) time.Duration {
	switch {
	case known.heard.IsZero() && now.Sub(known.added) <= NewStrangerTime:
		return NewStrangerInterval
	case known.heard.IsZero():
		return StrangerInterval
	case c.role == RoleAgent && known.status.Role == RoleAgent:
		return 0
	case !known.heardLately(now):
		return SilentInterval
	case c.role == RoleBalancer && known.status.Role == RoleBalancer:
		return max(balancerInterval, time.Duration(c.counts[RoleBalancer])*balancerPerPeer)
	case !known.wants(now):
		return max(helloInterval, time.Duration(c.counts[known.status.Role])*helloPerPeer)
	case c.role == RoleBalancer:
		return subscribeInterval
	default:
		return c.agentStatusInterval()
	}
}

// agentStatusInterval is how often an agent tells its load to balancers that
// place flows on it. Loads also ride on the answers to offers.
func (c *Contacts) agentStatusInterval() time.Duration {
	more := max(0, c.subscribed-agentStatusFree)
	return min(AgentStatusInterval+time.Duration(more)*agentStatusPerPeer, maximumAgentStatus)
}

// selectionInterval is the time between two selections of agents.
const selectionInterval = 500 * time.Millisecond

// selectAgents counts the contacts and, at a balancer, renews the choice of the
// agents that it places flows on: of each service those with the highest hash for
// this balancer (rendezvous hashing), so that each agent is chosen by about as
// many balancers and few change when one comes or goes.
func (c *Contacts) selectAgents(now time.Time) {
	if now.Before(c.nextSelection) {
		return
	}
	c.nextSelection = now.Add(selectionInterval)
	clear(c.counts)
	c.subscribed = 0
	services := map[catalog.ServiceName][]*contact{}
	for _, known := range c.contacts {
		if !known.heardLately(now) {
			continue
		}
		c.counts[known.status.Role]++
		if known.wants(now) {
			c.subscribed++
		}
		if known.status.Role == RoleAgent {
			services[known.status.Service] = append(services[known.status.Service], known)
		}
	}
	if c.role != RoleBalancer {
		return
	}
	for _, agents := range services {
		for _, chosen := range c.highest(agents) {
			if !chosen.wants(now) {
				chosen.next = now
			}
			chosen.subscription = now.Add(SubscriptionTime)
		}
	}
}

// highest returns the agents of one service that this balancer places flows on.
func (c *Contacts) highest(agents []*contact) []*contact {
	if len(agents) <= SubscribedAgents {
		return agents
	}
	slices.SortFunc(agents, func(a, b *contact) int {
		return cmp.Compare(c.affinity(b.address), c.affinity(a.address))
	})
	return agents[:SubscribedAgents]
}

// affinity is the hash of a pair of processes.
func (c *Contacts) affinity(other netip.AddrPort) uint64 {
	var buffer [64]byte
	encoded, _ := c.self.AppendBinary(buffer[:0])
	encoded, _ = other.AppendBinary(encoded)
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(encoded)))
	return xxhash.Sum64(encoded)
}

// Tell returns the addresses of some balancers heard of late, others each time.
func (c *Contacts) Tell(now time.Time) []netip.AddrPort {
	var balancers []netip.AddrPort
	for address, known := range c.contacts {
		if known.heardLately(now) && known.status.Role == RoleBalancer && !known.status.Leaving {
			balancers = append(balancers, address)
		}
	}
	slices.SortFunc(balancers, netip.AddrPort.Compare)
	if len(balancers) <= MaximumPeersTold {
		return balancers
	}
	told := make([]netip.AddrPort, 0, MaximumPeersTold)
	for range MaximumPeersTold {
		c.told = (c.told + 1) % len(balancers)
		told = append(told, balancers[c.told])
	}
	return told
}

// Contact is one process that is known, for operators.
type Contact struct {
	Address netip.AddrPort
	Status  Status
	Heard   time.Time // zero: never
}

// List returns all processes known, in order of address.
func (c *Contacts) List() []Contact {
	list := make([]Contact, 0, len(c.contacts))
	for address, known := range c.contacts {
		list = append(list, Contact{Address: address, Status: known.status, Heard: known.heard})
	}
	slices.SortFunc(list, func(a, b Contact) int { return a.Address.Compare(b.Address) })
	return list
}
