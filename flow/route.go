package flow

import (
	"net/netip"

	"github.com/burlmill/burlmill/catalog"
)

// Step says what the receiver of a datagram is asked to do.
type Step uint8

// The steps of a datagram's way.
const (
	StepSearch    Step = iota // deliver it if the flow is known, else pass it on
	StepArbitrate             // nobody knows the flow: choose the back end that admits it
	StepAdmit                 // admit the flow at the chosen back end
	StepHint                  // no datagram of the flow: the chosen back end holds it
)

// LastStep is the highest step there is.
const LastStep = StepHint

// MaximumHops is the number of processes a datagram may pass through. A search
// visits each of up to 64 back ends at most twice; more is a loop.
const MaximumHops = 136

// BackendSet is a set of back ends, one bit for each index in the service object.
type BackendSet uint64

// With returns the set with one index added.
func (s BackendSet) With(index int) BackendSet { return s | 1<<uint(index) }

// Has says whether the index is in the set.
func (s BackendSet) Has(index int) bool { return s&(1<<uint(index)) != 0 }

// NoBackend is the index that names no back end.
const NoBackend = -1

// Route is what travels with a datagram between burlmill's processes. Indexes
// refer to the back ends of the service object at Revision.
type Route struct {
	Revision catalog.Revision // revision of the service object the sender used
	Step     Step
	Hops     uint8          // processes passed so far
	Visited  BackendSet     // back ends already searched
	Refused  BackendSet     // back ends that refused to admit the flow
	Chosen   int            // back end that the arbiter chose, NoBackend if none
	Return   netip.AddrPort // address of the fabric, where replies go
}
