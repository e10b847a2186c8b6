// This file defines the routing state that balancers and agents send with each datagram, and the
// maximum number of processes that a datagram passes through.

package flow

import (
	"net/netip"

	"github.com/burlmill/burlmill/catalog"
)

// Step is what the receiver of a datagram must do.
type Step uint8

// Steps of a datagram's path.
const (
	StepSearch    Step = iota // deliver it if the flow is open here, else continue the search
	StepArbitrate             // no agent has the flow: choose the back end that admits it
	StepAdmit                 // admit the flow at the chosen back end
	StepHint                  // hint without a payload: the chosen back end has the flow
)

// String returns the name used in logs. The names are stable.
func (s Step) String() string {
	switch s {
	case StepSearch:
		return "search"
	case StepArbitrate:
		return "arbitrate"
	case StepAdmit:
		return "admit"
	case StepHint:
		return "hint"
	}
	return "invalid"
}

// MaxStep is the highest valid step.
const MaxStep = StepHint

// MaxHops is the maximum number of processes that a datagram passes through. It allows a search to
// visit each of catalog.MaxBackends back ends twice; a longer path is treated as a loop.
const MaxHops = 136

// BackendSet is a bit set of back ends by their index in the service object.
type BackendSet uint64

// With returns the set with the index added.
func (s BackendSet) With(index int) BackendSet { return s | 1<<uint(index) }

// Has reports whether the index is in the set.
func (s BackendSet) Has(index int) bool { return s&(1<<uint(index)) != 0 }

// NoBackend is the index that stands for no back end.
const NoBackend = -1

// Route is the routing state sent with a datagram between balancers and agents. Indexes refer to
// the back ends of the service object at Revision.
type Route struct {
	Revision catalog.Revision // revision of the sender's service object
	Step     Step
	Hops     uint8          // processes passed so far
	Visited  BackendSet     // back ends already searched
	Refused  BackendSet     // back ends that refused to admit the flow
	Chosen   int            // back end that the arbiter chose, NoBackend if none
	ReplyTo  netip.AddrPort // address of the fabric to which replies are sent
}
