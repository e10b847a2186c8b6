// This file implements Reporter, which selects the load reports that each of the other agents has
// not yet confirmed.

package handover

import (
	"net/netip"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/placement"
)

// Destination is one incarnation of another agent of a service.
type Destination struct {
	Service     catalog.ServiceName
	Node        string
	Incarnation uint64
	Control     netip.AddrPort // control address of the agent
}

// Push is a set of reports for one destination.
type Push struct {
	To      Destination
	Reports []placement.LoadReport
}

// Reporter selects the reports that are due: those that a destination has not confirmed. It does no
// I/O and is not safe for concurrent use.
type Reporter struct {
	confirmed map[confirmationKey]uint64 // highest confirmed sequence
}

// confirmationKey identifies the reports of one back end to one destination.
type confirmationKey struct {
	to      Destination
	backend catalog.BackendID
}

// NewReporter returns a reporter without confirmed reports.
func NewReporter() *Reporter { return &Reporter{confirmed: map[confirmationKey]uint64{}} }

// Due returns the reports that the destinations have not confirmed. All reports and destinations
// must be of one service.
func (r *Reporter) Due(reports []placement.LoadReport, destinations []Destination) []Push {
	var pushes []Push
	for _, destination := range destinations {
		push := Push{To: destination}
		for _, report := range reports {
			if r.confirmed[confirmationKey{destination, report.Backend}] < report.Sequence {
				push.Reports = append(push.Reports, report)
			}
		}
		if len(push.Reports) > 0 {
			pushes = append(pushes, push)
		}
	}
	return pushes
}

// Confirm records that the destination has received the reports.
func (r *Reporter) Confirm(push Push) {
	for _, report := range push.Reports {
		key := confirmationKey{push.To, report.Backend}
		r.confirmed[key] = max(r.confirmed[key], report.Sequence)
	}
}

// Retain removes the confirmations of destinations for which keep returns false.
func (r *Reporter) Retain(keep func(Destination) bool) {
	for key := range r.confirmed {
		if !keep(key.to) {
			delete(r.confirmed, key)
		}
	}
}
