// This file logs and counts the changes of the incarnation of an agent's back end, and the reports
// and removals that are not of the current one.

package relay

import (
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/instance"
)

// backendMessageKind is the kind of a message from a back end, as the value of a label.
type backendMessageKind string

// Kinds of messages from back ends.
const (
	kindReport  backendMessageKind = "report"
	kindRemoval backendMessageKind = "removal"
)

// recordIncarnation counts and logs a change of the back end's current incarnation. The lock is
// held.
func (a *agent) recordIncarnation(now time.Time) {
	tracker := a.flows.Tracker()
	changes, cause := tracker.Changes()
	if changes == a.backendIncarnations {
		return
	}
	previous := a.loggedIncarnation
	a.backendIncarnations, a.loggedIncarnation = changes, tracker.Incarnation()
	a.metrics.backendIncarnations.WithLabelValues(string(cause)).Inc()
	a.limitedLog.Log(log.InfoLevel, "backend-incarnation", log.Fields{"backend": a.loggedIncarnation.ID, "start_time": a.loggedIncarnation.StartedAtText(), "sequence": tracker.Latest().Sequence,
		"reason": cause, "previous": previous.ID, "previous_start_time": previous.StartedAtText(), "state": tracker.State(), "age": now.Sub(tracker.FirstSeen())})
}

// recordStale counts and logs a message that is not of the back end's current incarnation.
// The lock is held.
func (a *agent) recordStale(kind backendMessageKind, incarnation instance.Incarnation, err error) {
	a.metrics.staleReports.WithLabelValues(string(kind)).Inc()
	a.limitedLog.Log(log.WarnLevel, "backend-stale", log.Fields{"said": kind, "backend": incarnation.ID, "start_time": incarnation.StartedAtText(), "error": err})
}

// incarnationAge returns the time since the current incarnation was first seen, 0 if there is none.
func incarnationAge(now time.Time, tracker *instance.Tracker) time.Duration {
	if tracker.FirstSeen().IsZero() {
		return 0
	}
	return now.Sub(tracker.FirstSeen())
}
