package claim

import "github.com/burlmill/burlmill/fault"

// Verdict says why the request of an attempt does not run. It never runs after a
// verdict was given.
type Verdict uint8

// The verdicts.
const (
	// VerdictReplay: an earlier attempt has run, and its answer is here.
	VerdictReplay Verdict = iota + 1
	// VerdictNotReplayable: an earlier attempt has run and its answer was whole,
	// but only the length and the digest are here.
	VerdictNotReplayable
	// VerdictInProgress: another attempt holds the claim and its coordinator runs.
	VerdictInProgress
	// VerdictUnknown: an earlier attempt holds the claim and may have run. The key
	// does not run again within the retention.
	VerdictUnknown
	// VerdictNotRun: after the attempt had begun, no attempt with the key had been
	// sent to a back end. The request may be repeated.
	VerdictNotRun
	// VerdictNoQuorum: this attempt does not run, but whether an earlier one has
	// run cannot be told at present. The request may be repeated.
	VerdictNoQuorum
	// VerdictMismatch: the key was used with another request.
	VerdictMismatch
)

var verdicts = [...]struct {
	name  string
	kind  fault.Kind
	retry bool
}{
	0:                    {"invalid", fault.Internal, false},
	VerdictReplay:        {"replay", fault.Internal, false}, // has an answer, not an error
	VerdictNotReplayable: {"not-replayable", fault.Conflict, false},
	VerdictInProgress:    {"in-progress", fault.Conflict, true},
	VerdictUnknown:       {"unknown", fault.Unknown, false},
	VerdictNotRun:        {"not-run", fault.Overloaded, true},
	VerdictNoQuorum:      {"no-quorum", fault.Unavailable, true},
	VerdictMismatch:      {"mismatch", fault.Invalid, false},
}

// String returns the verdict's stable name.
func (v Verdict) String() string {
	if int(v) >= len(verdicts) {
		return verdicts[0].name
	}
	return verdicts[v].name
}

// Kind returns the kind of error with which to answer, fault.Internal for
// VerdictReplay, which is no error.
func (v Verdict) Kind() fault.Kind {
	if int(v) >= len(verdicts) {
		return fault.Internal
	}
	return verdicts[v].kind
}

// mayRepeat says whether a repeat is worth advising.
func (v Verdict) mayRepeat() bool { return verdicts[v].retry }
