package claim

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Message is what processes send each other. It is immutable once sent.
type Message interface{ message() }

// Register names the register that a message is about.
type Register struct {
	Key  Key
	View ViewID // of the replicas that the sender counts votes of; zero if it knows none
}

// Prepare asks a replica to refuse lower ballots and to tell what it holds.
type Prepare struct {
	Register
	Ballot Ballot
}

// Accept asks a replica to hold a claim for the attempt that proposes the ballot.
type Accept struct {
	Register
	Ballot      Ballot
	Fingerprint Fingerprint
}

// Report tells what became of an attempt. Only its own coordinator sends it.
type Report struct {
	Register
	Ballot      Ballot // the attempt's latest
	Fingerprint Fingerprint
	Outcome     Outcome
	Answer      Answer // if OutcomeComplete
}

// Vote is the part that all replies of a replica to a coordinator have.
type Vote struct {
	Replica Instance
	View    ViewID // in which the replica votes
	Ballot  Ballot // of the message that is replied to
}

// Promise grants a Prepare.
type Promise struct {
	Vote
	Claim Claim // zero if the replica holds none
}

// Accepted grants an Accept.
type Accepted struct{ Vote }

// Reported confirms a Report.
type Reported struct {
	Vote
	Outcome Outcome // of the Report
}

// Rejected declines a Prepare or an Accept because of a higher ballot.
type Rejected struct {
	Vote
	Promised Ballot
	Claim    Claim // zero if the replica holds none
}

// Full declines a message under a key that the replica holds nothing about,
// because it has no memory left for it.
type Full struct{ Vote }

// NotServing declines a message because the replica has no vote in its view.
type NotServing struct {
	Service catalog.ServiceName
	Ballot  Ballot // of the message that is replied to
	Latest  View   // latest view that the replica knows of
}

// Notice tells agents of a service which view is in force. Members of the view send it.
type Notice struct {
	Service catalog.ServiceName
	From    Instance
	View    View
	Number  uint64 // counts the sender's notices
	// Lease asks the receiver to vouch for the view's chain; see Presence.
	Lease bool
	// Established says that a quorum of agents has vouched for the chain before.
	Established bool
	Viewless    time.Duration // as in Presence
}

// Presence tells who runs at a node. Agents that know of no view in force send it,
// and it answers a Notice.
type Presence struct {
	Service  catalog.ServiceName
	From     Instance
	Latest   ViewID        // latest view known; the receiver tells of a later one
	Answers  uint64        // Number of the Notice; 0 if none
	Granted  bool          // vouches for the chain of views for the contact lease
	Viewless time.Duration // since the sender last heard of a view in force
}

// ChangePrepare asks a member of a view to refuse lower ballots for its successor
// and to tell which one it has accepted.
type ChangePrepare struct {
	Service catalog.ServiceName
	From    Instance
	View    ViewID // to be replaced
	Ballot  Ballot
}

// ChangePromise replies to a ChangePrepare. It is a grant if Promised is the
// ballot asked for.
type ChangePromise struct {
	Service  catalog.ServiceName
	From     Instance
	View     ViewID
	Promised Ballot
	Accepted Ballot // zero if none
	Next     View   // accepted at that ballot
}

// ChangeAccept asks a member of a view to accept its successor.
type ChangeAccept struct {
	Service catalog.ServiceName
	From    Instance
	View    ViewID // to be replaced
	Ballot  Ballot
	Next    View
}

// ChangeAccepted replies to a ChangeAccept. It is a grant if Promised is the
// ballot asked for.
type ChangeAccepted struct {
	Service  catalog.ServiceName
	From     Instance
	View     ViewID
	Promised Ballot
}

// Decided tells of a view that was decided.
type Decided struct {
	Service catalog.ServiceName
	View    View
}

// StateRequest asks a member of a view or of the one before for its records.
type StateRequest struct {
	Service catalog.ServiceName
	From    Instance
	View    View   // that the sender is a member of
	After   string // key after which to go on
}

// StatePage replies to a StateRequest.
type StatePage struct {
	Service catalog.ServiceName
	From    Instance
	View    ViewID // of the StateRequest
	After   string // of the StateRequest
	Records []Record
	Floor   Ballot // of the sender's records that have gone
	More    bool
	// Complete says that the sender has itself copied everything that was claimed
	// before the view.
	Complete bool
}

func (Prepare) message()        {}
func (Accept) message()         {}
func (Report) message()         {}
func (Promise) message()        {}
func (Accepted) message()       {}
func (Reported) message()       {}
func (Rejected) message()       {}
func (Full) message()           {}
func (NotServing) message()     {}
func (Notice) message()         {}
func (Presence) message()       {}
func (ChangePrepare) message()  {}
func (ChangePromise) message()  {}
func (ChangeAccept) message()   {}
func (ChangeAccepted) message() {}
func (Decided) message()        {}
func (StateRequest) message()   {}
func (StatePage) message()      {}

// ToCoordinator says whether the receiving node's Coordinator takes the message;
// otherwise its Replica does.
func ToCoordinator(message Message) bool {
	switch message.(type) {
	case Promise, Accepted, Reported, Rejected, Full, NotServing:
		return true
	default:
		return false
	}
}
