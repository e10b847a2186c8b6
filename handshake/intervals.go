package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// Whom a process tells its status, and how often.

// Times and bounds of what processes tell each other about themselves. Intervals
// grow with the number of those who are told, so that what one process sends does
// not grow with the fleet.
const (
	AgentStatusInterval = 200 * time.Millisecond  // from an agent to a balancer that places flows on it, at least
	agentStatusPerPeer  = 40 * time.Millisecond   // added for each such balancer above agentStatusFree
	agentStatusFree     = 5                       // such balancers that cost no time
	maximumAgentStatus  = time.Second             // at most
	subscribeInterval   = time.Second             // from a balancer to an agent it places flows on, at least
	subscribePerAgent   = 60 * time.Millisecond   // for each of them: the interval is the sum, if that is more
	SubscriptionTime    = 10 * time.Second        // for which one such status counts
	helloInterval       = time.Second             // to those that need no more than to know of each other, at least
	helloPerPeer        = 150 * time.Millisecond  // for each of them: the interval is the sum, if that is more
	balancerInterval    = 400 * time.Millisecond  // between balancers, at least
	balancerPerPeer     = 40 * time.Millisecond   // for each of them: the interval is the sum, if that is more
	readerInterval      = 700 * time.Millisecond  // between readers of the store at most, in any fleet: a lost one is missed after 2.45 s then, and a change is to be in force 3 s after its confirmation
	startInterval       = 500 * time.Millisecond  // between balancers of one zone at most, while one has just started
	startTime           = 3 * time.Second         // for which it has
	StrangerInterval    = 500 * time.Millisecond  // to a process that has not been heard
	NewStrangerInterval = 100 * time.Millisecond  // the same while its address is new
	NewStrangerTime     = 5 * time.Second         // for which an address is new
	SilentInterval      = 1 * time.Second         // to a process that is no longer heard
	firstWholes         = 2                       // whole statuses to a process that is new: one may be lost
	wholeInterval       = time.Minute             // between two whole statuses to a process that is heard; brief ones come between
	answerWhole         = time.Second             // after a whole status to a process, its own whole one is answered by another
	ContactTime         = 1500 * time.Millisecond // silence after which a process is not heard, if it promised no slower status
	ContactForgetTime   = 60 * time.Second        // silence after which a process is forgotten
	MaximumPeersTold    = 16                      // addresses of one role in one of the first statuses, or of processes that are new
	fewPeersTold        = 3                       // addresses in one of the later ones
	missedStatuses      = 3.5                     // intervals of silence after which a process is not heard
	newsStatuses        = 3.5                     // intervals for which a process that appeared is told of: one may be lost
)

// Due is a process that is to be told the status now.
type Due struct {
	Address   netip.AddrPort
	Interval  time.Duration // until it is told again
	Subscribe bool          // it is asked to tell its load often
	Brief     bool          // it has been told whole statuses, the latest not long ago
	Peers     int           // how many addresses of one role it is told at most, beside news
	News      time.Duration // processes that appeared no longer ago are told to it in any case
	Agents    bool          // it is told of agents too, not of balancers alone
}

// Due returns whom to tell the status now, in order of address. With urgent, all who
// need the news are told at once.
func (c *Contacts) Due(now time.Time, urgent bool) []Due {
	if c.started.IsZero() {
		c.started = now
	}
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
		told := Due{Address: address, Interval: interval, Subscribe: c.role == RoleBalancer && known.wants(now)}
		c.chooseForm(now, known, &told)
		due = append(due, told)
	}
	slices.SortFunc(due, func(a, b Due) int { return a.Address.Compare(b.Address) })
	return due
}

// chooseForm decides how much of the status a process is told.
func (c *Contacts) chooseForm(now time.Time, known *contact, told *Due) {
	introduced := known.heardLately(now) && known.wholes >= firstWholes
	told.Agents = c.role == RoleBalancer && known.status.Role == RoleBalancer
	if c.role == RoleBalancer && known.wants(now) || c.isNeighbor(known) {
		// Agents learn of new balancers from balancers only, and these soon enough
		// of agents from each other only.
		told.News = time.Duration(newsStatuses * float64(told.Interval))
	}
	if introduced && now.Sub(known.whole) < wholeInterval {
		told.Brief = true
		return
	}
	known.whole = now
	known.wholes++
	if !introduced {
		told.Peers = MaximumPeersTold
	}
	told.Peers = max(told.Peers, fewPeersTold)
}

// isNeighbor says whether both are balancers of one zone. Between them they hear all
// agents, so what has appeared need not be told across zones.
func (c *Contacts) isNeighbor(known *contact) bool {
	return c.role == RoleBalancer && known.status.Role == RoleBalancer && known.status.Zone == c.zone
}

func (k *contact) wants(now time.Time) bool { return now.Before(k.subscription) }

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
	case c.leaving && known.carries(now):
		return departingInterval
	case known.heard.IsZero() && now.Sub(known.added) <= NewStrangerTime:
		return NewStrangerInterval
	case known.heard.IsZero():
		return StrangerInterval
	case c.role == RoleAgent && known.status.Role == RoleAgent:
		return 0
	case !known.heardLately(now):
		return SilentInterval
	case c.role == RoleBalancer && known.status.Role == RoleBalancer:
		return c.balancerInterval(now, known)
	case !known.wants(now):
		return max(helloInterval, time.Duration(c.counts[known.status.Role])*helloPerPeer)
	case c.role == RoleBalancer:
		return max(subscribeInterval, time.Duration(c.subscribed)*subscribePerAgent)
	default:
		return c.agentStatusInterval()
	}
}

// balancerInterval is how often a balancer tells its status to another. In its first
// seconds it learns of many agents, which neighbors that have started with it may need. Readers of the store miss each
// other soon in any fleet: with 40 balancers, of whom each would tell another every 1.6 s, after 2.45 s
// in place of 5.6 s (TestConfigurationWithoutItsReaders). With 16 that did so a balancer of 50 would send 3.3 KB a second, the bound is 3.
func (c *Contacts) balancerInterval(now time.Time, known *contact) time.Duration {
	interval := max(balancerInterval, time.Duration(c.counts[RoleBalancer])*balancerPerPeer)
	if c.reads && known.reads {
		return min(interval, readerInterval)
	}
	if now.Sub(c.started) < startTime && c.isNeighbor(known) {
		return min(interval, startInterval)
	}
	return interval
}

// agentStatusInterval is how often an agent tells its load to balancers that
// place flows on it. Loads also ride on the answers to offers.
func (c *Contacts) agentStatusInterval() time.Duration {
	more := max(0, c.subscribed-agentStatusFree)
	return min(AgentStatusInterval+time.Duration(more)*agentStatusPerPeer, maximumAgentStatus)
}
