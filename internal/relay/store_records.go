// This file publishes, rechecks and withdraws this process's record in the store. It also reads the
// records of others: those of balancers while none is reachable, as after a fleet-wide restart, and
// those of agents at a balancer's start and when it needs them to reset closed flows.

package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/presence"
)

// Intervals and limits of reading and writing the records.
const (
	balancerReadInterval      = 2 * time.Second // while no balancer is reachable
	firstBalancerReadDelay    = 150 * time.Millisecond
	recordsRetryInterval      = time.Second           // after a failed read
	recordRecheckInterval     = 20 * time.Second      // between checks of a record that was found
	publishRetryInterval      = 2 * time.Second       // after a failed call for the own record
	configurationPollInterval = 50 * time.Millisecond // while no configuration is in force
	// publishCheckInterval is the mean time before each check whether a balancer has to publish its
	// record. Before the first check, it discovers the other balancers.
	publishCheckInterval = 2 * time.Second
	// minRecordedBalancers is the minimum number of recorded balancers per zone. A process that
	// reaches one of them receives the addresses of all balancers; the others are for redundancy.
	// If all balancers were recorded, the calls to the store at a start would grow with the fleet.
	minRecordedBalancers = 3
	// withdrawTimeout limits all calls of a withdrawal together, since they delay the shutdown.
	withdrawTimeout = 500 * time.Millisecond
	// strictRecordsPeriod is the time after a balancer's start in which it rejects a list of
	// agents with malformed records. After it, all running agents have been discovered, and
	// malformed records are skipped.
	strictRecordsPeriod = handshake.DiscoveryTime
	// unannouncedReadInterval is the time between reads of the records of balancers by a process
	// that sends no statuses yet.
	unannouncedReadInterval = 20 * time.Second
)

// ownRecord returns the record of this process as far as it does not change.
func (n *node) ownRecord() Record {
	return Record{Role: n.role, ID: n.settings.Node.ID, Address: n.settings.Node.PeerAddress}
}

// maintainRecord publishes the balancer's record when it is among the first of its zone.
func (b *balancer) maintainRecord() {
	for b.sleep(jitter(publishCheckInterval)) {
		b.mutex.Lock()
		first := b.peers.IsAmongFirstOfZone(time.Now(), minRecordedBalancers)
		b.mutex.Unlock()
		if first {
			b.publish()
			return
		}
	}
}

// publish stores the record of this process, so that others find it when their seeds fail.
// It first looks for the record of an earlier run, since reading costs less than writing.
// A record that was found may be about to disappear, so it is checked again after
// recordRecheckInterval.
func (n *node) publish() {
	for !n.publishStopped.Load() {
		recheck, err := n.ensurePublished()
		pause := publishRetryInterval
		switch {
		case errors.Is(err, context.Canceled):
			return
		case err != nil:
			n.limitedLog.Log(log.WarnLevel, "publish-failed", log.Fields{"error": err})
		case !recheck:
			return
		default:
			pause = recordRecheckInterval
		}
		if !n.sleep(jitter(pause)) {
			return
		}
	}
}

// ensurePublished stores the record of this process unless the store has it already. It returns
// true if the record may still disappear and must be checked again: the answer that contained it
// may be old, or an earlier withdrawal may still take effect.
func (n *node) ensurePublished() (found bool, err error) {
	withdrawalPending := n.withdrawalRequested.Load() // may still remove the new record
	revision, err := n.lookUpRecord()
	if err != nil {
		return false, err
	}
	if found = revision != 0; !found {
		revision, err = n.writeRecord()
		if err == nil {
			n.withdrawalRequested.Store(false)
		}
	}
	if err == nil {
		n.raiseRecordRevision(revision)
	}
	return found || withdrawalPending, err
}

// writeRecord stores the record of this process, also in place of another one with its id.
func (n *node) writeRecord() (revision uint64, err error) {
	if n.rewriteRecord != nil {
		return n.rewriteRecord()
	}
	startedAt := time.Now()
	revision, err = n.adapter.Publish(n.context, n.ownRecord())
	n.metrics.observeStoreCall("publish", startedAt, err)
	return revision, err
}

// raiseRecordRevision records the revision of this process's record in the store, unless a later one
// is known already: the answer with the revision may be old.
func (n *node) raiseRecordRevision(revision uint64) {
	for {
		known := n.recordRevision.Load()
		if known >= revision || n.recordRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

// lookUpRecord returns the revision of this process's record in the store, 0 if there is none. It
// also returns 0 while an earlier withdrawal may still take effect.
func (n *node) lookUpRecord() (revision uint64, err error) {
	if n.withdrawalRequested.Load() {
		return 0, nil
	}
	startedAt := time.Now()
	revision, err = n.adapter.RecordRevision(n.context, n.ownRecord())
	n.metrics.observeStoreCall("published", startedAt, err)
	return revision, err
}

// withdraw removes the record of this process from the store, also one that an earlier run
// has published.
func (n *node) withdraw() {
	ctx, cancel := context.WithTimeout(n.context, withdrawTimeout)
	defer cancel()
	n.withdrawalRequested.Store(true)
	revision := n.recordRevision.Swap(0)
	if revision == 0 {
		startedAt := time.Now()
		found, err := n.adapter.RecordRevision(ctx, n.ownRecord())
		n.metrics.observeStoreCall("published", startedAt, err)
		if err != nil {
			n.limitedLog.Log(log.WarnLevel, "withdraw-failed", log.Fields{"error": err})
		}
		if found == 0 {
			return // not recorded, or unknown because of the error
		}
		revision = found
	}
	err := n.withdrawRevision(ctx, revision)
	if fault.KindOf(err) == fault.Conflict {
		// The answer to the latest write was lost, or the revision was read from an old answer.
		var current StoredRecord
		if current, err = n.adapter.ReadRecord(ctx, n.role, n.settings.Node.ID); err == nil {
			err = n.withdrawRevision(ctx, current.Revision)
		}
	}
	if err != nil {
		n.limitedLog.Log(log.WarnLevel, "withdraw-failed", log.Fields{"error": err, "revision": revision})
	}
}

func (n *node) withdrawRevision(ctx context.Context, revision uint64) error {
	startedAt := time.Now()
	err := n.adapter.Withdraw(ctx, n.ownRecord(), revision)
	n.metrics.observeStoreCall("withdraw", startedAt, err)
	return err
}

// balancerReadLoop reads the records of balancers from the store while no balancer is reachable.
func (n *node) balancerReadLoop() {
	pause := firstBalancerReadDelay
	lastReadAt := time.Time{}
	for n.sleep(jitter(pause)) {
		pause = balancerReadInterval
		now := time.Now()
		n.mutex.Lock()
		reachable := n.peers.SeesRole(now, presence.RoleBalancer)
		unannounced := !n.decider.announces(now)
		n.mutex.Unlock()
		if reachable || unannounced && now.Sub(lastReadAt) < unannouncedReadInterval {
			continue
		}
		lastReadAt = now
		found, err := n.readRecords(presence.RoleBalancer, true)
		if err != nil && !isSkipped(err) {
			n.limitedLog.Log(log.WarnLevel, "directory-failed", log.Fields{"role": presence.RoleBalancer, "error": err})
			continue
		}
		n.limitedLog.Log(log.InfoLevel, "directory-read", log.Fields{"balancers": len(found.addresses)})
	}
}

// agentReadLoop reads the records of agents. At the start, it adds them as peers, so that the
// balancer also sends to agents that no other balancer has seen; for this read an old answer is
// sufficient. Later it reads them whenever the flow logic needs them to reset closed flows
// (handshake.Balancer.RecordsDue). It waits for a configuration first, since the store may be down
// until then.
func (b *balancer) agentReadLoop() {
	for b.sleep(configurationPollInterval) && !b.hasConfiguration() {
	}
	for b.context.Err() == nil {
		if _, err := b.readRecords(presence.RoleAgent, true); err == nil || isSkipped(err) {
			break
		}
		b.sleep(jitter(recordsRetryInterval))
	}
	for b.awaitRecordsDue() {
		if !b.readAgents() && !b.sleep(jitter(recordsRetryInterval)) {
			return
		}
	}
}

// awaitRecordsDue waits until the flow logic needs the records, and returns false when the
// process stops. A request made during the previous read is dropped if that read has
// satisfied it.
func (b *balancer) awaitRecordsDue() bool {
	for {
		select {
		case <-b.context.Done():
			return false
		case <-b.recordsDue:
		}
		b.mutex.Lock()
		due := b.flows.RecordsDue(time.Now())
		b.mutex.Unlock()
		if due {
			return true
		}
	}
}

// readAgents passes the records of agents to the flow logic and reports whether it could
// read them.
func (b *balancer) readAgents() bool {
	startedAt := time.Now() // the records may have changed since
	agents, err := b.readRecords(presence.RoleAgent, false)
	discovering := startedAt.Sub(b.startedAt) < strictRecordsPeriod
	if err != nil && (discovering || !isSkipped(err)) {
		b.limitedLog.Log(log.WarnLevel, "directory-failed", log.Fields{"role": presence.RoleAgent, "error": err})
		return false
	}
	b.limitedLog.Log(log.InfoLevel, "directory-read", log.Fields{"agents": len(agents.addresses), "stopped_as_planned": agents.stopped, "took": time.Since(startedAt)})
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.flows.SetPlannedStops(agents.stopped > 0)
	b.flows.SetRecords(time.Now(), startedAt, agents.addresses)
	return true
}

// requestRecords makes agentReadLoop read the records of agents.
func (b *balancer) requestRecords() {
	select {
	case b.recordsDue <- struct{}{}:
	default: // already requested
	}
}

// recordedProcesses is what the records of a role contain.
type recordedProcesses struct {
	// addresses are those in the valid records, and those of known processes whose record is
	// malformed.
	addresses []netip.AddrPort
	stopped   int // number of records of processes that were stopped as planned
}

// readRecords reads the records of a role and adds the processes as peers. An error of type *Skipped
// is already logged, and the result is usable.
func (n *node) readRecords(role presence.Role, allowStale bool) (recordedProcesses, error) {
	startedAt := time.Now()
	records, err := n.adapter.Records(n.context, role, allowStale)
	n.metrics.observeStoreCall(callName("list", allowStale), startedAt, err)
	if n.handleSkipped(entryRecord, err) != nil {
		return recordedProcesses{}, err
	}
	var found recordedProcesses
	for _, record := range records {
		found.addresses = append(found.addresses, record.Address)
		if record.Stopped {
			found.stopped++
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	found.addresses = append(found.addresses, n.skippedAddresses(role, err)...)
	for _, address := range found.addresses {
		n.peers.Add(time.Now(), address, false)
	}
	return found, err
}
