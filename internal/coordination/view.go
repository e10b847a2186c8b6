// This file publishes the configuration, the reachable members and the end of the liveness lease to
// the rest of the process. It calls the subscribers when the configuration changes.

package coordination

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/membership"
)

// view is the immutable state that a Node publishes to the rest of the process.
type view struct {
	snapshot    *catalog.Snapshot
	version     uint64                      // of membership.Machine
	members     []*membership.Member        // reachable members
	unreachable map[netip.AddrPort]struct{} // data addresses of members for which Alive is false
}

// buildView returns a view of the current state of the decider.
func (n *Node) buildView() *view {
	members := n.decider.Members().Reachable()
	next := &view{
		snapshot:    n.decider.Snapshot(),
		version:     n.decider.Members().Version(),
		members:     members,
		unreachable: map[netip.AddrPort]struct{}{},
	}
	for _, member := range n.decider.Members().Table().All() {
		next.unreachable[member.Data] = struct{}{}
	}
	for _, member := range n.aliveMembers() {
		delete(next.unreachable, member.Data)
	}
	return next
}

// aliveMembers returns the members for which Alive returns true. An agent decides by it which agents
// a search passes and who arbitrates, so it counts each one that may hold a liveness lease. A balancer
// avoids those that it suspects.
func (n *Node) aliveMembers() []*membership.Member {
	if n.options.Role == membership.Agent {
		return n.decider.Members().Live()
	}
	return n.decider.Members().Reachable()
}

// MembershipVersion returns a number that changes whenever the result of Alive may have changed.
func (n *Node) MembershipVersion() uint64 { return n.view.Load().version }

// lease is the liveness lease of this process.
type lease struct {
	since   time.Time        // start of the latest uninterrupted validity; zero if it has never been valid
	until   time.Time        // end of the validity
	offered catalog.Revision // highest revision that peers have reported recently
}

// renewed returns the lease with a new end, as of now.
func (l lease) renewed(now, until time.Time) lease {
	if until.After(now) && !l.until.After(now) {
		l.since = now
	}
	l.until = until
	return l
}

// publishLease publishes the liveness lease.
func (n *Node) publishLease(now time.Time) {
	until := n.decider.Members().ConfirmedUntil(now)
	offered := n.decider.OfferedRevision(now)
	if current := *n.lease.Load(); !until.Equal(current.until) || offered != current.offered {
		next := current.renewed(now, until)
		next.offered = offered
		n.lease.Store(&next)
	}
	n.logLease(now, until, offered)
}

// logLease logs when the liveness lease expires and when it is valid again.
func (n *Node) logLease(now, until time.Time, offered catalog.Revision) {
	held := now.Before(until)
	if held == n.leaseHeld {
		return
	}
	n.leaseHeld = held
	fields := log.Fields{"node": n.options.Node.ID, "revision": n.decider.Snapshot().Revision(), "offered": offered}
	if !until.IsZero() { // there are enough confirmations, of any age
		fields["remaining"] = until.Sub(now)
	}
	if held {
		n.log.Log(log.InfoLevel, "lease-acquired", fields)
		return
	}
	n.log.Log(log.WarnLevel, "lease-expired", fields)
}

// publish replaces the view if the decider's state has changed, and calls the subscribers if the
// configuration has changed.
func (n *Node) publish() {
	current := n.view.Load()
	if current.version == n.decider.Members().Version() && current.snapshot == n.decider.Snapshot() {
		return
	}
	next := n.buildView()
	n.view.Store(next)
	if next.snapshot == current.snapshot {
		return
	}
	n.options.Log.WithField("node", n.options.Node.ID).
		WithField("revision", next.snapshot.Revision()).
		Info("configuration")
	n.subscribersMutex.Lock()
	defer n.subscribersMutex.Unlock()
	for _, callback := range n.subscribers {
		callback(next.snapshot)
	}
}
