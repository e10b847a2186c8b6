// Package placement decides which back end of a service runs a request. A request arrives at the
// agent that terminates its caller's connection and may be handed over to any back end of the
// service. Agents send each other load reports. A LoadTable holds the latest ones and orders the
// back ends by preference. A stale report can cause a retry but does not overload a back end,
// because the agent next to that back end checks its slots. The package does no I/O.
package placement

import (
	"cmp"
	"slices"

	"github.com/burlmill/burlmill/catalog"
)

// LoadReport is the load of one back end.
type LoadReport struct {
	Backend  catalog.BackendID
	Sequence uint64 // increases with each report of the back end, also across restarts
	Busy     uint32 // occupied slots
	Slots    uint32 // maximum concurrent requests; 0: the back end accepts no new requests
}

// freeSlots returns the number of free slots, negative if more requests run than there are slots.
func (r LoadReport) freeSlots() int { return int(r.Slots) - int(r.Busy) }

// slotsPerMarginStep is the number of slots by which the hand-over margin increases by 1.
const slotsPerMarginStep = 4

// handOverMargin returns the number of running requests by which the agent's own back end must
// exceed the least loaded one before a request is handed over although the own back end has a free
// slot. See docs/design/placement.md.
func handOverMargin(slots uint32) uint32 {
	return max(1, (slots+1)/slotsPerMarginStep)
}

// LoadTable holds the latest report that an agent has of each back end of a service. It is not safe
// for concurrent use.
type LoadTable struct {
	own     catalog.BackendID
	reports map[catalog.BackendID]LoadReport
}

// NewLoadTable returns an empty table for the agent of the back end own.
func NewLoadTable(own catalog.BackendID) *LoadTable {
	return &LoadTable{own: own, reports: map[catalog.BackendID]LoadReport{}}
}

// Update stores a report unless the stored one is as new or newer.
func (t *LoadTable) Update(report LoadReport) {
	if stored, ok := t.reports[report.Backend]; ok && stored.Sequence >= report.Sequence {
		return
	}
	t.reports[report.Backend] = report
}

// Remove removes the report of a back end.
func (t *LoadTable) Remove(backend catalog.BackendID) { delete(t.reports, backend) }

// Order returns the back ends for a request in order of preference: the agent's own if it has a
// free slot and its load is within the hand-over margin, then those with free slots, least loaded
// first, then full ones, whose reports may be stale. Back ends that accept no new requests or have
// no report are omitted.
func (t *LoadTable) Order() []catalog.BackendID {
	ordered := make([]LoadReport, 0, len(t.reports))
	for _, report := range t.reports {
		if report.Slots > 0 {
			ordered = append(ordered, report)
		}
	}
	slices.SortFunc(ordered, t.compare)
	t.preferOwn(ordered)
	backends := make([]catalog.BackendID, len(ordered))
	for position, report := range ordered {
		backends[position] = report.Backend
	}
	return backends
}

// compare orders back ends with free slots before full ones, then by increasing share of busy
// slots, then the own back end first, then by id.
func (t *LoadTable) compare(first, second LoadReport) int {
	return cmp.Or(
		cmp.Compare(boolRank(first.freeSlots() <= 0), boolRank(second.freeSlots() <= 0)),
		cmp.Compare(uint64(first.Busy)*uint64(second.Slots), uint64(second.Busy)*uint64(first.Slots)),
		cmp.Compare(boolRank(first.Backend != t.own), boolRank(second.Backend != t.own)),
		cmp.Compare(first.Backend, second.Backend),
	)
}

// boolRank returns a sort key by which false comes before true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// preferOwn moves the agent's own back end to the front unless it is full or its running requests
// exceed those of the first one by at least the hand-over margin.
func (t *LoadTable) preferOwn(ordered []LoadReport) {
	position := slices.IndexFunc(ordered, func(report LoadReport) bool { return report.Backend == t.own })
	if position <= 0 {
		return
	}
	own := ordered[position]
	if own.freeSlots() <= 0 || own.Busy >= ordered[0].Busy+handOverMargin(own.Slots) {
		return
	}
	copy(ordered[1:position+1], ordered[:position])
	ordered[0] = own
}
