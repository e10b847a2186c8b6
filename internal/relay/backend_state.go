// This file applies what the agent learns of its back end: the results of health checks, reports and
// removals. Those that make the back end drain are acknowledged once the agent's record in the store
// contains the drain.

package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/instance"
)

// defaultHealthPath is the path of health checks while none is configured.
const defaultHealthPath = "/health"

func (a *agent) healthPath() string {
	service, known := a.table.Service(a.settings.Backend.Service)
	if !known || service.HealthPath == "" {
		return defaultHealthPath
	}
	return service.HealthPath
}

// check runs a health check of the back end and applies its result.
func (a *agent) check(path string) instance.Check {
	return a.checkWithin(path, instance.CheckTimeout)
}

// checkWithin runs a health check with the timeout and applies its result.
func (a *agent) checkWithin(path string, timeout time.Duration) instance.Check {
	ctx, cancel := context.WithTimeout(a.context, timeout)
	defer cancel()
	startedAt := time.Now()
	result := a.adapter.CheckHealth(ctx, a.settings.Backend.Address, path)
	result.StartedAt = startedAt
	now := time.Now()
	if result.Healthy || result.ID != "" {
		a.backendSeen.signal()
	}
	a.limitedLog.Log(log.InfoLevel, "backend-checked", log.Fields{"well": result.Healthy, "backend": result.ID, "refused": result.Refused, "took": now.Sub(startedAt)})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.healthChecked = true
	a.flows.Tracker().Checked(now, result)
	a.announceBackendState(now)
	return result
}

// Report applies a report of the back end. A draining one is acknowledged once the drain is stored.
func (a *agent) Report(report instance.Report) error {
	version, err := a.applyReport(report)
	if err != nil || !report.Draining {
		return err
	}
	return a.acknowledgeDrain(kindReport, report.Incarnation(), version)
}

// applyReport applies a report and returns the version of the record that contains its effect.
func (a *agent) applyReport(report instance.Report) (version uint64, err error) {
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err := a.checkReport(now, report); err != nil {
		a.RecordRejected(err)
		return 0, err
	}
	a.backendSeen.signal()
	tracker := a.flows.Tracker()
	lastSeenAt := tracker.LastSeen()
	if _, err := tracker.Report(now, report); err != nil {
		a.recordStale(kindReport, report.Incarnation(), err)
		return 0, err
	}
	if !lastSeenAt.IsZero() {
		a.metrics.reportGaps.Observe(now.Sub(lastSeenAt).Seconds())
	}
	a.announceBackendState(now)
	return a.recordVersion(), nil
}

// Remove records that an incarnation of the back end has ended permanently. The removal is
// acknowledged once that is stored.
func (a *agent) Remove(incarnation instance.Incarnation) error {
	version, err := a.applyRemoval(incarnation)
	if err != nil {
		return err
	}
	return a.acknowledgeDrain(kindRemoval, incarnation, version)
}

// applyRemoval applies a removal and returns the version of the record that contains its effect.
func (a *agent) applyRemoval(incarnation instance.Incarnation) (version uint64, err error) {
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.backendSeen.signal() // its drain has to be stored
	if err := a.flows.Tracker().Remove(now, incarnation); err != nil {
		a.recordStale(kindRemoval, incarnation, err)
		return 0, err
	}
	a.announceBackendState(now)
	return a.recordVersion(), nil
}
