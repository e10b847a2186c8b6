// This file rejects reports that do not match the agent's back end, and counts and logs rejected
// reports and removals. It also defines Skipped, the error of a store answer without its malformed
// objects, counts and logs these objects, and finds the known processes whose records they are.

package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/internal/entry"
	"github.com/burlmill/burlmill/presence"
)

// Skipped is returned with an answer of the store from which malformed objects were left out, or with
// a message from which malformed list entries were left out. It is of kind fault.Invalid.
type Skipped struct {
	Entries []SkippedEntry // not empty when used as an error
}

// SkippedEntry is one object that was skipped.
type SkippedEntry struct {
	Name string // of the object; empty if it could not be parsed
	Err  error  // reason, of kind fault.Invalid
}

// Add adds an object that was skipped.
func (s *Skipped) Add(name string, err error) {
	s.Entries = append(s.Entries, SkippedEntry{name, err})
}

// Err returns s as an error, nil if nothing was skipped.
func (s *Skipped) Err() error {
	if len(s.Entries) == 0 {
		return nil
	}
	return s
}

// Error returns the number of skipped objects and the reason for the first.
func (s *Skipped) Error() string {
	return fmt.Sprintf("%d objects skipped: %v", len(s.Entries), s.Entries[0].Err)
}

// Unwrap returns the reason for the first object.
func (s *Skipped) Unwrap() error { return s.Entries[0].Err }

// Kinds of objects in the store and of lists in messages, as values of a label.
const (
	entryConfiguration = "configuration"
	entryEvacuation    = "evacuation"
	entryRecord        = "record"
	entryMessage       = "message" // list entry of a message from a peer
)

// handleSkipped counts and logs the objects that were skipped in an answer or a message. It
// returns nil if the error is of type *Skipped, and otherwise the error itself.
func (n *node) handleSkipped(kind string, err error) error {
	var skipped *Skipped
	if !errors.As(err, &skipped) {
		return err
	}
	for _, object := range skipped.Entries {
		n.metrics.skippedEntries.WithLabelValues(kind, string(entry.ReasonOf(object.Err))).Inc()
		n.limitedLog.Log(log.WarnLevel, "entry-skipped", log.Fields{"kind": kind, "name": object.Name, "error": object.Err})
	}
	return nil
}

// isSkipped reports whether the error is of type *Skipped, so that the answer is usable.
func isSkipped(err error) bool {
	var skipped *Skipped
	return errors.As(err, &skipped)
}

// skippedAddresses returns the addresses of known processes of the role whose records were skipped
// according to err, since such a process has not withdrawn its record. The lock is held.
func (n *node) skippedAddresses(role presence.Role, err error) []netip.AddrPort {
	var skipped *Skipped
	if !errors.As(err, &skipped) {
		return nil
	}
	names := map[string]bool{}
	for _, object := range skipped.Entries {
		names[object.Name] = object.Name != ""
	}
	var addresses []netip.AddrPort
	for _, peer := range n.peers.List() {
		if peer.Status.Role == role && names[peer.Status.ID] {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// checkReport returns an error if a well-formed report cannot be of the back end beside this
// agent. The lock is held.
func (a *agent) checkReport(now time.Time, report instance.Report) error {
	own := a.settings.Backend.Address
	label := "report of " + entry.Truncate(string(report.ID))
	if report.Address.IsValid() && report.Address != own {
		return entry.NewError(entry.Mismatch, label+" address", report.Address, "must be that of the agent's back end, "+own.String())
	}
	if !a.serviceMayExist(now, report) {
		return entry.NewError(entry.UnknownName, label+" service", report.Service, "must be a service of the configuration in force")
	}
	return nil
}

// serviceMayExist reports whether the report's service may exist. It may be another service
// than the agent's: then a back end of that service has taken over the address, and the state
// of the previous one must end. Any service is accepted for an instance that is known only by
// its health checks, and also while the configuration may be outdated. The lock is held.
func (a *agent) serviceMayExist(now time.Time, report instance.Report) bool {
	latest := a.flows.Tracker().Latest()
	switch {
	case report.Service == a.settings.Backend.Service || report.Service == latest.Service || a.table.HasService(report.Service):
		return true
	case latest.Sequence == 0 && latest.ID == report.ID:
		return true
	}
	_, newest := a.peers.NewestConfiguration(now, true)
	return a.table == nil || a.peers.CountReachable(now) == 0 || newest > a.table.Version()
}

// RecordRejected counts and logs a report or a removal that was rejected.
func (a *agent) RecordRejected(err error) {
	a.metrics.refusedReports.WithLabelValues(string(entry.ReasonOf(err))).Inc()
	a.limitedLog.Log(log.WarnLevel, "report-refused", log.Fields{"reason": entry.ReasonOf(err), "error": err})
}
