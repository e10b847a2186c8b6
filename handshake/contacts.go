package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/routing"
)

// Times and bounds of what processes tell each other about themselves.
const (
	AgentStatusInterval    = 200 * time.Millisecond  // from an agent to a balancer
	BalancerStatusInterval = 400 * time.Millisecond  // from a balancer to all others
	StrangerInterval       = 500 * time.Millisecond  // to a process that has not been heard
	NewStrangerInterval    = 100 * time.Millisecond  // the same while its address is new
	NewStrangerTime        = 5 * time.Second         // for which an address is new
	SilentInterval         = 1 * time.Second         // to a process that is no longer heard
	ContactTime            = 1500 * time.Millisecond // silence after which a process is not heard
	ContactForgetTime      = 60 * time.Second        // silence after which a process is forgotten
	MaximumPeersTold       = 16                      // addresses in one status
)

// Contacts decides whom a process tells its status, and remembers whom it has
// heard. It is not safe for concurrent use.
type Contacts struct {
	self     netip.AddrPort
	role     Role
	contacts map[netip.AddrPort]*contact
	told     int // where the next list of peers begins
}

// contact is what is known of one other process.
type contact struct {
	status Status
	heard  time.Time // zero: never
	added  time.Time
	next   time.Time // when it is told the status again
	seed   bool      // never forgotten
}

// NewContacts returns the contacts of a process that knows nobody.
func NewContacts(self netip.AddrPort, role Role) *Contacts {
	return &Contacts{self: self, role: role, contacts: map[netip.AddrPort]*contact{}}
}

// Add takes in the address of another process. A seed is never forgotten.
func (c *Contacts) Add(now time.Time, address netip.AddrPort, seed bool) {
	if address == c.self || !address.IsValid() {
		return
	}
	known := c.contacts[address]
	if known == nil {
		known = &contact{added: now}
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
	}
	known.status = status
	known.heard = now
	for _, peer := range status.Peers {
		c.Add(now, peer, false)
	}
	return news
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
	return !k.heard.IsZero() && now.Sub(k.heard) <= ContactTime
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

// Due returns whom to tell the status now. With urgent, all who place new flows
// by it are told at once.
func (c *Contacts) Due(now time.Time, urgent bool) []netip.AddrPort {
	var due []netip.AddrPort
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
		due = append(due, address)
	}
	return due
}

func (c *Contacts) expired(now time.Time, known *contact) bool {
	last := known.heard
	if last.IsZero() {
		last = known.added
	}
	return !known.seed && now.Sub(last) > ContactForgetTime
}

// needs says whether a process places new flows by this one's status.
func (c *Contacts) needs(now time.Time, known *contact) bool {
	return known.heardLately(now) && known.status.Role == RoleBalancer
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
	case c.role == RoleAgent:
		return AgentStatusInterval
	default:
		return BalancerStatusInterval
	}
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
