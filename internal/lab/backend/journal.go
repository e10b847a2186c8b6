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

// RunEnd says how a run of a request ended.
type RunEnd string

// The ends of a run.
const (
	RunGoing    RunEnd = "going"    // not ended yet
	RunComplete RunEnd = "complete" // the answer was handed over whole
	RunCanceled RunEnd = "canceled" // the connection or the request was given up before that
	RunCut      RunEnd = "cut"      // the back end cut the answer, as asked by /cut
)

// Run is one run of one request at one back end.
type Run struct {
	RequestID      string              `json:"request_id"`
	IdempotencyKey string              `json:"idempotency_key,omitempty"`
	Intended       catalog.ServiceName `json:"intended,omitempty"` // service that the caller meant, if it said so
	Service        catalog.ServiceName `json:"service"`
	Backend        catalog.BackendID   `json:"backend"`
	Method         string              `json:"method"`
	Path           string              `json:"path"`
	Begin          time.Time           `json:"begin"`
	Finish         time.Time           `json:"finish"` // zero while the run goes on
	End            RunEnd              `json:"end"`
	WhileDraining  bool                `json:"while_draining"` // it began after the back end was told to drain
}

// FlowSighting is one UDP flow seen at one back end.
type FlowSighting struct {
	Flow          string              `json:"flow"`
	Service       catalog.ServiceName `json:"service"`
	Backend       catalog.BackendID   `json:"backend"`
	First         time.Time           `json:"first"`
	WhileDraining bool                `json:"while_draining"`
}

// Journal records what ran where. Several back ends may share one, which then
// tells whether a request ran twice or a flow was seen at two back ends. All
// methods are safe for concurrent use; the zero value is ready for use.
type Journal struct {
	mutex   sync.Mutex
	runs    []Run
	flows   []FlowSighting
	sighted map[flowAtBackend]bool
}

type flowAtBackend struct {
	flow    string
	service catalog.ServiceName
	backend catalog.BackendID
}

// begin records that a run begins and returns its number.
func (j *Journal) begin(run Run) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	run.End = RunGoing
	j.runs = append(j.runs, run)
	return len(j.runs) - 1
}

func (j *Journal) finish(number int, at time.Time, end RunEnd) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs[number].Finish = at
	j.runs[number].End = end
}

// sight records a flow the first time it is seen at a back end.
func (j *Journal) sight(sighting FlowSighting) {
	key := flowAtBackend{sighting.Flow, sighting.Service, sighting.Backend}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.sighted[key] {
		return
	}
	if j.sighted == nil {
		j.sighted = map[flowAtBackend]bool{}
	}
	j.sighted[key] = true
	j.flows = append(j.flows, sighting)
}

// Runs returns every run so far, in order of their begin.
func (j *Journal) Runs() []Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.runs)
}

// Flows returns each flow once for every back end that has seen it.
func (j *Journal) Flows() []FlowSighting {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return slices.Clone(j.flows)
}

// Ran says whether the request began to run at any back end.
func (j *Journal) Ran(requestID string) bool {
	return slices.ContainsFunc(j.Runs(), func(run Run) bool { return run.RequestID == requestID })
}

// Repeated returns the runs of work that may run only once and ran more often:
// by its idempotency key, or by its request id when it has no key and its method
// is not a safe one.
func (j *Journal) Repeated() []Run {
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

// SplitFlows returns the sightings of flows seen at more than one back end, ordered by flow.
func (j *Journal) SplitFlows() []FlowSighting {
	byFlow := map[string][]FlowSighting{}
	for _, sighting := range j.Flows() {
		byFlow[sighting.Flow] = append(byFlow[sighting.Flow], sighting)
	}
	return collectRepeated(byFlow)
}

// MisroutedFlows returns the sightings of flows at a back end of another service
// than the one their name tells.
func (j *Journal) MisroutedFlows() []FlowSighting {
	return slices.DeleteFunc(j.Flows(), func(sighting FlowSighting) bool {
		intended := intendedService(sighting.Flow)
		return intended == "" || intended == sighting.Service
	})
}

// MisroutedRuns returns the runs at a back end of another service than the
// caller meant.
func (j *Journal) MisroutedRuns() []Run {
	return slices.DeleteFunc(j.Runs(), func(run Run) bool {
		return run.Intended == "" || run.Intended == run.Service
	})
}

// collectRepeated joins the groups of two or more, in order of their keys.
func collectRepeated[Key cmp.Ordered, Item any](groups map[Key][]Item) []Item {
	var repeated []Item
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		if len(groups[key]) > 1 {
			repeated = append(repeated, groups[key]...)
		}
	}
	return repeated
}
