package claim

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Event is something that happened: Tick, Received, ServiceChanged, Founded,
// Finished or Canceled.
type Event interface{ event() }

// Tick says that time has passed. Both deciders need one at least every
// Options.RetryInterval.
type Tick struct{}

// Received hands in a message. ToCoordinator says to which decider.
type Received struct{ Message Message }

// ServiceChanged tells both deciders which agents a service has. Hand it in for
// every service at the start, and whenever the configuration or the liveness of an
// agent changes; without agents once the service is gone.
type ServiceChanged struct {
	Service catalog.ServiceName
	Agents  []Agent // in order of node; see AgentsOf
}

// Founded tells a Replica which founding the store holds for a service, in reply
// to ReadFounding or ProposeFounding. It must come from a read or a write that
// was begun after the replica had started.
type Founded struct {
	Service  catalog.ServiceName
	Epoch    catalog.Revision // version of the store's object; 0 if it was never written
	Founding Founding
}

// Finished tells a Coordinator what became of a request that it let run. Hand it
// in once for each Dispatch.
type Finished struct {
	Attempt AttemptID
	// Outcome is OutcomeComplete, OutcomeUnknown, or OutcomeVoid if provably no
	// byte of the request reached a back end.
	Outcome Outcome
	Answer  Answer // if OutcomeComplete
}

// Canceled tells a Coordinator that the caller is gone. It has no effect once the
// request was dispatched.
type Canceled struct{ Attempt AttemptID }

func (Tick) event()           {}
func (Received) event()       {}
func (ServiceChanged) event() {}
func (Founded) event()        {}
func (Finished) event()       {}
func (Canceled) event()       {}

// Action is something to do: Send, ReadFounding, ProposeFounding, Dispatch or
// Reply.
type Action interface{ action() }

// Send sends a message to whatever process runs at the node, which may be the own one.
type Send struct {
	To      NodeID
	Message Message
}

// ReadFounding asks to read the founding of a service from the store. Without a
// reply of the store do nothing; the action is repeated.
type ReadFounding struct{ Service catalog.ServiceName }

// ProposeFounding asks to write the founding of a service, on condition that the
// store's object is still at the version Founding.Replaces (0: was never written).
// Hand in Founded with what the object holds afterwards, whoever wrote it. Without
// a reply of the store do nothing; the action is repeated.
type ProposeFounding struct {
	Service  catalog.ServiceName
	Founding Founding
}

// Dispatch lets the request of an attempt run, if its sending to a back end begins
// before the time Before; otherwise hand in Finished with OutcomeVoid.
type Dispatch struct {
	Attempt AttemptID
	Before  time.Time
}

// Reply answers the request of an attempt that does not run.
type Reply struct {
	Attempt    AttemptID
	Verdict    Verdict
	RetryAfter time.Duration // 0: no advice
	Answer     Answer        // if VerdictReplay or VerdictNotReplayable
}

func (Send) action()            {}
func (ReadFounding) action()    {}
func (ProposeFounding) action() {}
func (Dispatch) action()        {}
func (Reply) action()           {}
