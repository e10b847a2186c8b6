package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/routing"
)

// Contacts decides whom a process tells its status and how often, and remembers
// whom it has heard. It is not safe for concurrent use.
type Contacts struct {
	self          netip.AddrPort
	role          Role
	zone          catalog.ZoneName
	started       time.Time // when it was first asked whom to tell; zero: not yet
	contacts      map[netip.AddrPort]*contact
	told          toldAddresses
	counts        map[Role]int
	subscribed    int // contacts in subscriptions, or those who have subscribed here
	nextSelection time.Time
	leaving       bool // this process stops
	reads         bool // this process is one of the first Readers, as of the latest selection
}

// contact is what is known of one other process.
type contact struct {
	address      netip.AddrPort
	status       Status
	heard        time.Time // zero: never
	appeared     time.Time // when it was first heard, or heard to have started anew
	added        time.Time
	next         time.Time // when it is told the status again
	whole        time.Time // when it was last told a whole one
	wholes       int       // whole ones that it has been told since it was new
	subscription time.Time // until when it wants the load, or is asked for it
	seed         bool      // never forgotten
	lost         bool      // noticed as no longer heard
	carried      time.Time // when it last sent a caller's datagram; zero: never
	reads        bool      // it is one of the first Readers, as of the latest selection
}

// NewContacts returns the contacts of a process in the zone that knows nobody.
func NewContacts(self netip.AddrPort, role Role, zone catalog.ZoneName) *Contacts {
	return &Contacts{self: self, role: role, zone: zone, contacts: map[netip.AddrPort]*contact{}, counts: map[Role]int{}, told: newToldAddresses(self)}
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

// Complete returns a status with what an earlier one of the same start of the process
// has said. It says false where none was heard: then the process is told of this one,
// and sees from the incarnation that it must send whole statuses again.
func (c *Contacts) Complete(now time.Time, from netip.AddrPort, status Status) (Status, bool) {
	known := c.contacts[from]
	if !status.IsBrief() {
		if known != nil && now.Sub(known.whole) > answerWhole {
			// It may not know this process: an answer at once, so that the
			// answer to the answer would come too early and is not sent.
			known.whole = time.Time{}
			known.next = now
		}
		return status, true
	}
	if known == nil || known.heard.IsZero() || known.status.Incarnation != status.Incarnation {
		c.Add(now, from, false)
		if added := c.contacts[from]; added != nil {
			added.next = now
		}
		return Status{}, false
	}
	whole := known.status
	status.ID, status.Role, status.Zone, status.Region, status.Service = whole.ID, whole.Role, whole.Zone, whole.Region, whole.Service
	return status, true
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
		known.appeared = now
		known.wholes = 0
		c.nextSelection = now
	}
	known.status = status
	known.heard = now
	known.lost = false
	if c.role == RoleAgent {
		known.subscription = time.Time{}
	}
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

// Zone returns the zone of a process; known is false if it was never heard.
func (c *Contacts) Zone(address netip.AddrPort) (zone catalog.ZoneName, known bool) {
	other := c.contacts[address]
	if other == nil || other.heard.IsZero() {
		return "", false
	}
	return other.status.Zone, true
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

func (c *Contacts) expired(now time.Time, known *contact) bool {
	last := known.heard
	if last.IsZero() {
		last = known.added
	}
	return !known.seed && now.Sub(last) > ContactForgetTime
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
