package lease

import "github.com/burlmill/burlmill/catalog"

// Event is something that happened: Tick, ReadResult, WriteResult, Fenced or
// Release.
type Event interface{ event() }

// Tick says that time has passed. The Decider needs one at least every
// Options.Margin to step down in time.
type Tick struct{}

// OperationID ties a result to the action that asked for it.
type OperationID uint64

// ReadResult answers a Read. Every Read must be answered once.
type ReadResult struct {
	Operation   OperationID
	Failed      bool        // the store gave no answer
	Observation Observation // if not Failed
}

// WriteOutcome says what became of a ConditionalWrite.
type WriteOutcome uint8

// The outcomes of a ConditionalWrite.
const (
	WriteUnknown    WriteOutcome = iota // it may have taken effect, or may yet
	WriteApplied                        // it took effect
	WriteConflict                       // refused: the object is not at the expected version
	WriteNotApplied                     // it did not take effect and never will
)

// WriteResult answers a ConditionalWrite. Every ConditionalWrite must be answered
// once; one whose reply does not come in good time is WriteUnknown.
type WriteResult struct {
	Operation OperationID
	Outcome   WriteOutcome
	Version   catalog.Revision // version the write made, if WriteApplied
	Current   Observation      // object that was found, if WriteConflict
}

// Fenced says that a guarded object was found to carry a number above that of the
// term in which it was to be written. The term ends; the next one has a number
// above the one found.
type Fenced struct{ Found FencingNumber }

// Release ends the candidacy for good: the term ends at once and the object is
// written as free.
type Release struct{}

func (Tick) event()        {}
func (ReadResult) event()  {}
func (WriteResult) event() {}
func (Fenced) event()      {}
func (Release) event()     {}

// Action is something to do or to know: Read, ConditionalWrite, Acquired or
// StepDown.
type Action interface{ action() }

// Read asks for the lease object.
type Read struct{ Operation OperationID }

// ConditionalWrite asks to write the lease object if it is at the expected version
// (0: never written).
type ConditionalWrite struct {
	Operation OperationID
	Expected  catalog.Revision
	Record    Record
}

// Acquired says that a term has begun.
type Acquired struct{ Term Term }

// StepDown says that the term is over: no guarded write may be sent any more.
type StepDown struct {
	Fencing FencingNumber // of the term that is over
	Reason  Reason
}

// Reason says why a term is over.
type Reason string

// The reasons for a StepDown.
const (
	ReasonExpired  Reason = "expired"  // the term was not renewed in time
	ReasonReplaced Reason = "replaced" // the object names another term
	ReasonFenced   Reason = "fenced"   // a guarded object carries a higher number
	ReasonReleased Reason = "released" // the holder gave the lease up
)

func (Read) action()             {}
func (ConditionalWrite) action() {}
func (Acquired) action()         {}
func (StepDown) action()         {}
