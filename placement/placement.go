// Package placement decides which back end of a service runs a request. A
// request arrives at the agent that holds its caller's connection; a slot belongs
// to the request and not to that agent, so the request may run at any back end of
// the service. Agents tell each other how busy they are; what a report that is
// out of date causes is a second try, never a wrong answer, since the agent that
// runs the request checks its own slots. The package is pure: reports go in,
// choices come out.
package placement

import (
	"cmp"
	"slices"

	"github.com/burlmill/burlmill/catalog"
)

// Report says how busy one back end is.
type Report struct {
	Backend  catalog.BackendID
	Sequence uint64 // grows with each report of the back end, across restarts too
	Busy     uint32 // requests that hold a slot
	Slots    uint32 // requests it can run at once; 0: it takes no new work
}

// free returns the number of slots that the report leaves.
func (r Report) free() int { return int(r.Slots) - int(r.Busy) }

// slotsPerMargin is the number of slots for each step of the hand-over margin.
const slotsPerMargin = 4

// handOverMargin returns by how many more requests the agent's own back end must
// be busy than the least busy other one before a request is handed over although
// a slot is free here: 1 with 3 slots, 2 with 7. Less hands over more requests
// for little less imbalance; see docs/design/placement.md.
func handOverMargin(slots uint32) uint32 {
	return max(1, (slots+1)/slotsPerMargin)
}

// Board holds the latest report of each back end of one service, as one agent
// knows them. It is not safe for concurrent use.
type Board struct {
	own     catalog.BackendID
	reports map[catalog.BackendID]Report
}

// NewBoard returns an empty board of the agent beside the back end own.
func NewBoard(own catalog.BackendID) *Board {
	return &Board{own: own, reports: map[catalog.BackendID]Report{}}
}

// Take takes a report in and ignores one that is not newer than what is held.
func (b *Board) Take(report Report) {
	if held, ok := b.reports[report.Backend]; ok && held.Sequence >= report.Sequence {
		return
	}
	b.reports[report.Backend] = report
}

// Forget drops the report of a back end that is gone.
func (b *Board) Forget(backend catalog.BackendID) { delete(b.reports, backend) }

// Order returns the back ends at which to try a request, best first: the
// agent's own if it has a free slot and is not much busier than others, then
// those with a free slot, least busy first, then those that say they are full,
// since what they said may be out of date. Back ends that take no new work and
// those never heard of are left out.
func (b *Board) Order() []catalog.BackendID {
	ordered := make([]Report, 0, len(b.reports))
	for _, report := range b.reports {
		if report.Slots > 0 {
			ordered = append(ordered, report)
		}
	}
	slices.SortFunc(ordered, b.compare)
	b.preferOwn(ordered)
	backends := make([]catalog.BackendID, len(ordered))
	for place, report := range ordered {
		backends[place] = report.Backend
	}
	return backends
}

// compare puts the report with the smaller share of busy slots first.
func (b *Board) compare(first, second Report) int {
	return cmp.Or(
		cmp.Compare(boolRank(first.free() <= 0), boolRank(second.free() <= 0)),
		cmp.Compare(uint64(first.Busy)*uint64(second.Slots), uint64(second.Busy)*uint64(first.Slots)),
		cmp.Compare(boolRank(first.Backend != b.own), boolRank(second.Backend != b.own)),
		cmp.Compare(first.Backend, second.Backend),
	)
}

// boolRank orders false before true.
func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// preferOwn moves the agent's own back end to the front unless it is full or
// busier than the best by at least the hand-over margin.
func (b *Board) preferOwn(ordered []Report) {
	place := slices.IndexFunc(ordered, func(report Report) bool { return report.Backend == b.own })
	if place <= 0 {
		return
	}
	own := ordered[place]
	if own.free() <= 0 || own.Busy >= ordered[0].Busy+handOverMargin(own.Slots) {
		return
	}
	copy(ordered[1:place+1], ordered[:place])
	ordered[0] = own
}
