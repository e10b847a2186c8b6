// This file publishes the agent's record in the store after the first sign of a back end, and
// removes the record of an earlier run if no back end runs. When the agent shuts down, it checks
// whether the back end has stopped. If the agent holds no flow, it withdraws the record and
// notifies the balancers within time limits. A record with drains is kept without the claim that
// the agent may hold flows, unless the back end has stopped.

package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/presence"
)

// Limits of the deregistration of an agent that shuts down.
const (
	// backendStoppedChecks is the number of consecutive refused health checks after which a
	// agent that shuts down assumes that its back end has stopped. A single refusal may come from a
	// back end that is restarting.
	backendStoppedChecks = 2
	// shutdownCheckTimeout is the timeout of each of these health checks. A closed port refuses at
	// once.
	shutdownCheckTimeout = 100 * time.Millisecond
	// shutdownNoticeInterval separates the statuses to different balancers, so that the send rate
	// does not grow with the fleet.
	shutdownNoticeInterval = 10 * time.Millisecond
	// shutdownNoticeRounds is the number of notices to each balancer, since a datagram may be lost.
	shutdownNoticeRounds = 2
	// shutdownNoticeTimeout limits the notification of all balancers. It is part of
	// agentDrainMargin.
	shutdownNoticeTimeout = 700 * time.Millisecond
)

// maintainRecord restores the drains from the record of an earlier run, and publishes the agent's
// record after the first sign of a back end. An agent without a back end holds no flow, and its
// record would remain if its machine were removed. If the agent first confirms that no back end runs
// beside it, maintainRecord removes the record of an earlier run.
func (a *agent) maintainRecord() {
	recorded, answered := readUntilAnswered(a.node, func(context.Context) (bool, error) {
		revision, err := a.lookUpRecord()
		return revision != 0, err
	})
	if !answered || recorded && !a.restoreDrains() {
		return
	}
	select {
	case <-a.context.Done():
		return
	case <-a.backendSeen.occurred:
	case <-a.backendAbsent.occurred:
		if a.backendSeen.hasOccurred() {
			break // both occurred: the back end appeared later
		}
		a.limitedLog.Log(log.InfoLevel, "backend-missing", log.Fields{"backend": a.settings.Backend.Address, "recorded": recorded})
		if recorded {
			a.withdraw()
		}
	}
	select {
	case <-a.context.Done():
	case <-a.backendSeen.occurred:
		a.publishRecord()
	}
}

// publishRecord creates the agent's record unless it was found. A record that was created shows that
// no drain was stored; one that exists although an old answer did not contain it is read.
func (a *agent) publishRecord() {
	withdrawalPending := a.withdrawalRequested.Load() // may still remove the new record
	found := a.recordRevision.Load() != 0
	if !found || withdrawalPending {
		created, answered := readUntilAnswered(a.node, a.createRecord)
		switch {
		case !answered:
			return
		case created:
			a.withdrawalRequested.Store(false)
			a.applyStoredDrains(StoredRecord{Record: a.ownRecord(), Revision: a.recordRevision.Load()})
		case !a.restoreDrains():
			return
		}
		found = !created
	}
	if a.recordRevision.Load() == 0 {
		a.publish() // in place of a malformed record, or of one of another machine
		return
	}
	if (found || withdrawalPending) && a.sleep(jitter(recordRecheckInterval)) {
		a.publish() // the record may have been about to disappear
	}
}

// createRecord creates the agent's record and returns false if there is one already.
func (a *agent) createRecord(ctx context.Context) (created bool, err error) {
	if a.publishStopped.Load() {
		return false, errRecordClosed
	}
	err = a.replaceRevision(ctx, a.ownRecord(), 0)
	if err != nil && fault.KindOf(err) == fault.Conflict {
		return false, nil
	}
	return err == nil, err
}

// deregister removes the agent's record and notifies balancers if the agent holds no flow.
// Otherwise the record stays, because an agent that stops beside a running back end is expected to
// restart. While an agent that is recorded or was seen before is unreachable, balancers do not
// reset flows whose agent they cannot find.
func (a *agent) deregister() {
	stopped := a.hasBackendStopped()
	if stopped {
		a.mutex.Lock()
		a.flows.MarkBackendStopped()
		a.mutex.Unlock()
	}
	noFlows := a.holdsNoFlows()
	a.log.WithFields(log.Fields{"backend_stopped": stopped, "holds_nothing": noFlows}).Info("shutdown-state")
	if !noFlows {
		return
	}
	a.publishStopped.Store(true)
	if stopped || !a.vacateRecord() {
		a.withdraw()
	}
	deadline := time.Now().Add(shutdownNoticeTimeout)
	for range shutdownNoticeRounds {
		a.notifyBalancers(deadline)
	}
}

// vacateRecord marks the agent's record as vacated if it has to be kept because of its drains. It
// returns false if there are none.
func (a *agent) vacateRecord() bool {
	ctx, cancel := context.WithTimeout(a.context, withdrawTimeout)
	defer cancel()
	a.mutex.Lock()
	record := a.currentRecord()
	a.mutex.Unlock()
	if len(record.Drains) == 0 {
		return false
	}
	record.Vacated = true
	err := a.replaceRecord(ctx, record)
	if err != nil {
		a.limitedLog.Log(log.WarnLevel, "vacate-failed", log.Fields{"drains": len(record.Drains), "error": err})
	}
	return true
}

// hasBackendStopped reports whether the back end's address refuses backendStoppedChecks health
// checks in a row.
func (a *agent) hasBackendStopped() bool {
	for range backendStoppedChecks {
		a.mutex.Lock()
		path := a.healthPath()
		a.mutex.Unlock()
		if !a.checkWithin(path, shutdownCheckTimeout).Refused || !a.sleep(instance.CheckInterval) {
			return false
		}
	}
	return true
}

func (a *agent) holdsNoFlows() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.flows.HoldsNothing(time.Now())
}

// notifyBalancers sends the agent's status to each balancer from which it has received one, pausing
// for shutdownNoticeInterval in between. Balancers that are not notified before the deadline detect
// the shutdown by missing statuses.
func (a *agent) notifyBalancers(deadline time.Time) {
	a.mutex.Lock()
	peers := a.peers.List()
	unannounced := !a.announces(time.Now())
	a.mutex.Unlock()
	if unannounced {
		return // no balancer knows of this agent
	}
	for _, peer := range peers {
		if peer.Status.Role != presence.RoleBalancer || peer.LastSeenAt.IsZero() {
			continue
		}
		now := time.Now()
		a.mutex.Lock()
		a.send(peer.Address, a.ownStatus(now).Brief())
		a.mutex.Unlock()
		if !now.Before(deadline) || !a.sleep(shutdownNoticeInterval) {
			return
		}
	}
}
