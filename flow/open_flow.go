package flow

import (
	"iter"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// OpenFlow describes one of the open flows that Decider.OpenFlows lists.
type OpenFlow struct {
	Key        Key
	Service    catalog.ServiceName
	Backend    catalog.BackendID
	OpenedAt   time.Time // time of the first datagram that this agent delivered
	LastSeenAt time.Time // time of the latest datagram
}

// OpenFlows returns an iterator over the open flows, in no particular order. The decider may be
// used during the iteration; flows that are opened or closed meanwhile may be missing.
func (d *Decider) OpenFlows() iter.Seq[OpenFlow] {
	return func(yield func(OpenFlow) bool) {
		for key, record := range d.flows {
			open := OpenFlow{key, record.service.Name, record.backend.ID, record.openedAt, record.lastSeenAt}
			if !yield(open) {
				return
			}
		}
	}
}
