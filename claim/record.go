package claim

import (
	"crypto/sha256"
	"time"
)

// Outcome is what is known of a claimed request. A higher value replaces a lower one.
type Outcome uint8

// The outcomes of a claimed request.
const (
	OutcomePending  Outcome = iota // claimed, no report yet
	OutcomeRunning                 // its coordinator reported that it runs
	OutcomeUnknown                 // sent to a back end, no answer came; final
	OutcomeVoid                    // never sent to a back end; final, and the key is free again
	OutcomeComplete                // the back end's answer is whole; final
)

// Final says whether the outcome never changes again.
func (o Outcome) Final() bool { return o >= OutcomeUnknown }

// Answer is a back end's answer, encoded by the caller of the package.
type Answer struct {
	Length  uint64            // of the whole encoding, in bytes
	Digest  [sha256.Size]byte // of the whole encoding
	Content []byte            // nil if the answer is too long to be stored
}

// NewAnswer returns the answer with its whole encoding.
func NewAnswer(content []byte) Answer {
	return Answer{Length: uint64(len(content)), Digest: sha256.Sum256(content), Content: content}
}

// Replayable says whether the whole answer is here.
func (a *Answer) Replayable() bool { return uint64(len(a.Content)) == a.Length }

// Claim is the value that a register holds: which attempt may run, and what
// became of it.
type Claim struct {
	Ballot      Ballot // highest one at which the attempt was accepted
	Fingerprint Fingerprint
	Outcome     Outcome
	Answer      Answer // if OutcomeComplete
}

// Attempt returns the attempt that holds the claim.
func (c *Claim) Attempt() AttemptID { return c.Ballot.Proposer }

// exists says whether there is a claim at all.
func (c *Claim) exists() bool { return c.Ballot.Round != 0 }

// blocks says whether the claim keeps other attempts from running.
func (c *Claim) blocks() bool { return c.exists() && c.Outcome != OutcomeVoid }

// merge takes in another copy of the register's value.
func (c *Claim) merge(other *Claim) {
	if c.exists() && c.Attempt() == other.Attempt() {
		c.learn(other.Outcome, other.Answer)
		if other.Ballot.Compare(c.Ballot) > 0 {
			c.Ballot = other.Ballot
		}
		return
	}
	if other.Ballot.Compare(c.Ballot) > 0 {
		*c = *other
	}
}

// void notes that the attempt was never sent to a back end. What another attempt
// holds, and the ballot, stay as they are: the attempt's latest ballot may be one
// at which it was never accepted.
func (c *Claim) void(attempt AttemptID) {
	if c.exists() && c.Attempt() == attempt {
		c.learn(OutcomeVoid, Answer{})
	}
}

// learn takes in what became of the attempt.
func (c *Claim) learn(outcome Outcome, answer Answer) {
	if c.Outcome.Final() || outcome <= c.Outcome {
		return
	}
	c.Outcome = outcome
	c.Answer = answer
}

// Record is what a replica holds under one key.
type Record struct {
	Key       string // value of the Key
	Promised  Ballot // ballots below it are refused
	Claim     Claim
	Remaining time.Duration // until the record expires
}

// recordOverhead is the fixed cost of a record in memory, in bytes.
const recordOverhead = 512

// size returns the bytes that the record takes.
func (r *Record) size() int { return recordOverhead + len(r.Key) + len(r.Claim.Answer.Content) }
