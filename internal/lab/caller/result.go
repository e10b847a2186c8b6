// This file defines the Result of a load, its comparison with the journal, and Run, a load that
// runs until Stop.

// Package caller generates test load on a service: HTTP/3 requests, TCP streams and UDP flows that
// verify every response. UDP flows have their own sockets or, for large numbers of flows, hand
// their datagrams to an Injector. A Result counts the outcomes, and FindViolations compares it with
// the journal of the back ends.
package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
)

// Range and precision of the latency histogram. Latencies outside the range count at its bounds.
const (
	minLatency    = 1 * time.Microsecond
	maxLatency    = 10 * time.Minute
	latencyDigits = 3 // significant decimal digits
)

// Result holds the counts, latencies and errors seen by callers.
type Result struct {
	Requests  uint64 // requests ended; each also counts in one of the next six
	Complete  uint64 // the whole response was received and verified
	Refused   uint64 // rejected by the server as not run, or answered with status 503
	Unreached uint64 // no connection, so nothing was sent
	Unknown   uint64 // it is unknown whether the request ran
	Wrong     uint64 // responses with wrong content, and UDP replies that are invalid or to another flow
	Misrouted uint64 // responses and UDP replies of another service

	Flows           uint64 // UDP flows started
	FlowsAnswered   uint64 // flows that got at least one valid reply
	FlowsUnanswered uint64 // flows ended by the reply timeout before any valid reply
	FlowsBroken     uint64 // answered flows that changed back end or exceeded the reply timeout
	FlowsMoved      uint64 // broken flows that changed back end
	DatagramsSent   uint64
	Replies         uint64 // valid replies received

	MaxSendGap time.Duration // longest time between two consecutive datagrams sent by a UDP flow

	BrokenFlows     []BrokenFlow
	UnansweredFlows []UnansweredFlow

	Streams          uint64  // TCP streams started; each ends as complete, refused, aborted, wrong or misrouted
	StreamsAnswered  uint64  // streams accepted by a back end of the service
	StreamsComplete  uint64  // every byte came back in order, followed by a clean end
	StreamsRefused   uint64  // no connection, or no echo stream was set up on it
	StreamsAborted   uint64  // reset or failed after a back end had accepted it
	StreamsWrong     uint64  // wrong bytes, or a clean end at the wrong length
	StreamsMisrouted uint64  // accepted by another service
	StreamErrors     []error // one for each stream that is not complete

	FailedRequests []FailedRequest // requests that are unreached, unknown, wrong or misrouted

	RefusedIDs []string                // ids of the refused requests
	Latency    *hdrhistogram.Histogram // µs, of complete requests (with connecting) and valid UDP replies
}

// BrokenFlow is a flow counted in Result.FlowsBroken.
type BrokenFlow struct {
	Flow    string            // its name in the journal
	Backend catalog.BackendID // back end of the flow before it broke
}

// UnansweredFlow is a flow counted in Result.FlowsUnanswered.
type UnansweredFlow struct {
	Flow      string // its name in the journal
	StartTime time.Time
	EndTime   time.Time // when the reply timeout ended it
}

// FailedRequest is a request that is neither complete nor refused.
type FailedRequest struct {
	EndTime   time.Time
	RequestID string
	Outcome   Outcome
	Backend   catalog.BackendID // empty if unknown
	Latency   time.Duration
	Error     error // reason of the outcome
}

// NewResult returns an empty result.
func NewResult() Result {
	return Result{Latency: hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), latencyDigits)}
}

// Add merges another result into this one.
func (r *Result) Add(other Result) {
	r.Requests += other.Requests
	r.Complete += other.Complete
	r.Refused += other.Refused
	r.Unreached += other.Unreached
	r.Unknown += other.Unknown
	r.Wrong += other.Wrong
	r.Misrouted += other.Misrouted
	r.Flows += other.Flows
	r.FlowsAnswered += other.FlowsAnswered
	r.FlowsUnanswered += other.FlowsUnanswered
	r.FlowsBroken += other.FlowsBroken
	r.FlowsMoved += other.FlowsMoved
	r.DatagramsSent += other.DatagramsSent
	r.Replies += other.Replies
	r.MaxSendGap = max(r.MaxSendGap, other.MaxSendGap)
	r.BrokenFlows = append(r.BrokenFlows, other.BrokenFlows...)
	r.UnansweredFlows = append(r.UnansweredFlows, other.UnansweredFlows...)
	r.Streams += other.Streams
	r.StreamsAnswered += other.StreamsAnswered
	r.StreamsComplete += other.StreamsComplete
	r.StreamsRefused += other.StreamsRefused
	r.StreamsAborted += other.StreamsAborted
	r.StreamsWrong += other.StreamsWrong
	r.StreamsMisrouted += other.StreamsMisrouted
	r.StreamErrors = append(r.StreamErrors, other.StreamErrors...)
	r.FailedRequests = append(r.FailedRequests, other.FailedRequests...)
	r.RefusedIDs = append(r.RefusedIDs, other.RefusedIDs...)
	r.Latency.Merge(other.Latency)
}

func (r *Result) recordLatency(latency time.Duration) {
	_ = r.Latency.RecordValue(min(max(latency, minLatency), maxLatency).Microseconds())
}

// Violations lists the violations of what burlmill guarantees to callers.
type Violations struct {
	RefusedButRan  []string             // ids of refused requests that are in the journal
	RepeatedRuns   []backend.Run        // runs of requests that may run only once and ran more often
	SplitFlows     []backend.FlowRecord // flows recorded at more than one back end
	MisroutedRuns  []backend.Run        // requests that ran at another service
	MisroutedFlows []backend.FlowRecord // flows recorded at another service
}

// Empty reports whether there are no violations.
func (v Violations) Empty() bool {
	return len(v.RefusedButRan) == 0 && len(v.RepeatedRuns) == 0 && len(v.SplitFlows) == 0 &&
		len(v.MisroutedRuns) == 0 && len(v.MisroutedFlows) == 0
}

// FindViolations returns the violations found by comparing the callers' result with the back ends'
// journal. Each request must have a unique id.
func FindViolations(result Result, journal *backend.Journal) Violations {
	ran := map[string]bool{}
	for _, run := range journal.Runs() {
		ran[run.RequestID] = true
	}
	violations := Violations{
		RepeatedRuns:   journal.RepeatedRuns(),
		SplitFlows:     journal.SplitFlows(),
		MisroutedRuns:  journal.MisroutedRuns(),
		MisroutedFlows: journal.MisroutedFlows(),
	}
	for _, id := range result.RefusedIDs {
		if ran[id] {
			violations.RefusedButRan = append(violations.RefusedButRan, id)
		}
	}
	return violations
}

// Run is a running load. Its owner must call Stop.
type Run struct {
	result   sharedResult
	stop     chan struct{}
	stopOnce sync.Once
	callers  sync.WaitGroup
}

func newRun() *Run {
	return &Run{result: sharedResult{result: NewResult()}, stop: make(chan struct{})}
}

// Snapshot returns a copy of the result so far.
func (r *Run) Snapshot() Result { return r.result.snapshot() }

// Stop stops the callers, waits for them and returns the final result. Requests and streams in
// progress run to their end. Each flow must get a reply to a datagram sent after the call, or
// counts as broken or unanswered after the reply timeout.
func (r *Run) Stop() Result {
	r.stopOnce.Do(func() { close(r.stop) })
	r.callers.Wait()
	return r.Snapshot()
}

func (r *Run) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// sleep waits for the duration or until the run is stopped.
func (r *Run) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.stop:
	}
}

// sharedResult is a Result that callers update concurrently.
type sharedResult struct {
	mutex  sync.Mutex
	result Result
}

func (s *sharedResult) update(change func(result *Result)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.result)
}

func (s *sharedResult) snapshot() Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := NewResult()
	copied.Add(s.result)
	return copied
}
