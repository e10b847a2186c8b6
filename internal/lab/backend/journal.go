// This file implements the journal, in which back ends record the runs of requests and the flows
// that they see. It finds repeated and misrouted runs, and split and misrouted flows.

package backend

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// RunOutcome states how a run of a request ended.
type RunOutcome string

// The outcomes of a run.
const (
	RunInProgress RunOutcome = "going"    // still running
	RunComplete   RunOutcome = "complete" // the handler wrote the complete response
	RunCanceled   RunOutcome = "canceled" // the request was canceled or its connection failed
	RunTruncated  RunOutcome = "cut"      // the back end truncated the response, as requested by /cut
)

// Run is one execution of a request at a back end.
type Run struct {
	RequestID      string              `json:"request_id"`
	IdempotencyKey string              `json:"idempotency_key,omitempty"`
	Intended       catalog.ServiceName `json:"intended,omitempty"` // from HeaderService; may be empty
	Service        catalog.ServiceName `json:"service"`
	Backend        catalog.BackendID   `json:"backend"`
	Method         string              `json:"method"`
	Path           string              `json:"path"`
	Started        time.Time           `json:"begin"`
	Finished       time.Time           `json:"finish"` // zero while the request is running
	Outcome        RunOutcome          `json:"end"`
	WhileDraining  bool                `json:"while_draining"` // started after Drain
}

// FlowRecord states that a flow, of UDP datagrams or a TCP stream, was seen at a back end.
type FlowRecord struct {
	Flow          string              `json:"flow"`
	Service       catalog.ServiceName `json:"service"`
	Backend       catalog.BackendID   `json:"backend"`
	FirstSeen     time.Time           `json:"first"`
	WhileDraining bool                `json:"while_draining"` // first seen after Drain
}

// Journal records which requests ran and which flows were seen at which back end. Several back ends
// may share a journal, which then shows whether a request ran twice or a flow was seen at two back
// ends. All methods are safe for concurrent use; the zero value is an empty journal.
type Journal struct {
	mutex    sync.Mutex
	runs     []Run
	flows    []FlowRecord
	recorded map[flowAtBackend]bool
}

// flowAtBackend identifies a flow at a back end; the journal records each once.
type flowAtBackend struct {
	flow    string
	service catalog.ServiceName
	backend catalog.BackendID
}

// startRun records the start of a run and returns its index for finishRun.
func (j *Journal) startRun(run Run) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	run.Outcome = RunInProgress
	j.runs = append(j.runs, run)
	return len(j.runs) - 1
}

// finishRun records the end of the run with the index that startRun returned.
func (j *Journal) finishRun(index int, finished time.Time, outcome RunOutcome) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs[index].Finished = finished
	j.runs[index].Outcome = outcome
}

// recordFlow records a flow when it is first seen at a back end; later calls for it have no effect.
func (j *Journal) recordFlow(record FlowRecord) {
	key := flowAtBackend{record.Flow, record.Service, record.Backend}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.recorded[key] {
		return
	}
	if j.recorded == nil {
		j.recorded = map[flowAtBackend]bool{}
	}
	j.recorded[key] = true
	j.flows = append(j.flows, record)
}

// Runs returns every run so far, in the order in which they were recorded or fetched.
func (j *Journal) Runs() []Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.runs)
}

// Flows returns each flow once per back end at which it was seen.
func (j *Journal) Flows() []FlowRecord {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.flows)
}

// HasRun reports whether a run of the request started at any back end.
func (j *Journal) HasRun(requestID string) bool {
	return slices.ContainsFunc(j.Runs(), func(run Run) bool { return run.RequestID == requestID })
}

// RepeatedRuns returns all runs of the requests that must run at most once but ran more than once.
// Requests are the same if they have the same idempotency key or, without a key, the same request
// id and a method other than GET and HEAD.
func (j *Journal) RepeatedRuns() []Run {
	groups := map[string][]Run{}
	for _, run := range j.Runs() {
		switch {
		case run.IdempotencyKey != "":
			identity := "key " + run.IdempotencyKey
			groups[identity] = append(groups[identity], run)
		case run.Method != http.MethodGet && run.Method != http.MethodHead:
			identity := "request " + run.RequestID
			groups[identity] = append(groups[identity], run)
		}
	}
	return collectRepeated(groups)
}

// SplitFlows returns the records of flows that were seen at more than one back end, ordered by
// flow.
func (j *Journal) SplitFlows() []FlowRecord {
	byFlow := map[string][]FlowRecord{}
	for _, record := range j.Flows() {
		byFlow[record.Flow] = append(byFlow[record.Flow], record)
	}
	return collectRepeated(byFlow)
}

// MisroutedFlows returns the records of flows that were seen at a back end of another service than
// the one in their name. Flows whose name contains no service are omitted.
func (j *Journal) MisroutedFlows() []FlowRecord {
	return slices.DeleteFunc(j.Flows(), func(record FlowRecord) bool {
		intended := intendedService(record.Flow)
		return intended == "" || intended == record.Service
	})
}

// MisroutedRuns returns the runs at a back end of another service than the caller intended. Runs
// without an intended service are omitted.
func (j *Journal) MisroutedRuns() []Run {
	return slices.DeleteFunc(j.Runs(), func(run Run) bool {
		return run.Intended == "" || run.Intended == run.Service
	})
}

// collectRepeated concatenates the groups of two or more items, in the order of their keys.
func collectRepeated[Key cmp.Ordered, Item any](groups map[Key][]Item) []Item {
	var repeated []Item
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		if len(groups[key]) > 1 {
			repeated = append(repeated, groups[key]...)
		}
	}
	return repeated
}
