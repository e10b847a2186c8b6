package flow

import (
	"iter"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// OpenFlow is what an agent knows about one of its flows.
type OpenFlow struct {
	Key      Key
	Service  catalog.ServiceName
	Backend  catalog.BackendID
	Opened   time.Time // when it was admitted
	LastSeen time.Time // when its latest datagram came
}

// All returns the open flows in no order. The decider may be used between two
// steps; flows that open or end meanwhile may be missing.
func (d *Decider) All() iter.Seq[OpenFlow] {
	return func(yield func(OpenFlow) bool) {
		for key, record := range d.flows {
			open := OpenFlow{key, record.service.Name, record.backend.ID, record.opened, record.lastSeen}
			if !yield(open) {
				return
			}
		}
	}
}
