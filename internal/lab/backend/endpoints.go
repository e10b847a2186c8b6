package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// EndpointMode says how truthful the health and load endpoints are.
type EndpointMode string

// The modes of the endpoints.
const (
	EndpointsTrue EndpointMode = "true" // the state at the moment of asking
	EndpointsLag  EndpointMode = "lag"  // a state that is renewed only once per lag
	EndpointsLie  EndpointMode = "lie"  // always healthy, never draining, no load
)

// EndpointBehavior is the body of POST /lab/endpoints.
type EndpointBehavior struct {
	Mode            EndpointMode `json:"mode"`
	LagMilliseconds uint32       `json:"lag_milliseconds"` // used by EndpointsLag
}

// Report is what GET /health and GET /load answer. Health has status 200, or 503
// when the report says draining.
type Report struct {
	Draining bool   `json:"draining"`
	Busy     uint32 `json:"busy"`
	Slots    uint32 `json:"slots"`
}

// endpoints keeps the behaviour and the last report given.
type endpoints struct {
	mutex    sync.Mutex
	behavior EndpointBehavior
	last     Report
	lastAt   time.Time
}

func (e *endpoints) set(behavior EndpointBehavior) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.behavior = behavior
}

// distort turns the true report into the one that is given.
func (e *endpoints) distort(now time.Time, truth Report) Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch e.behavior.Mode {
	case EndpointsLie:
		return Report{Slots: truth.Slots}
	case EndpointsLag:
		lag := time.Duration(e.behavior.LagMilliseconds) * time.Millisecond
		if now.Sub(e.lastAt) < lag {
			return e.last
		}
	}
	e.last = truth
	e.lastAt = now
	return truth
}

func (b *Backend) report() Report {
	busy, _, _ := b.slots.counts()
	truth := Report{Draining: b.draining.Load(), Busy: busy, Slots: b.options.Slots}
	return b.endpoints.distort(time.Now(), truth)
}

func (b *Backend) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	report := b.report()
	status := http.StatusOK
	if report.Draining {
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, report)
}

func (b *Backend) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, b.report())
}

func (b *Backend) serveSetEndpoints(writer http.ResponseWriter, request *http.Request) {
	var behavior EndpointBehavior
	if err := json.NewDecoder(request.Body).Decode(&behavior); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	switch behavior.Mode {
	case EndpointsTrue, EndpointsLag, EndpointsLie:
	default:
		http.Error(writer, "mode must be true, lag or lie", http.StatusBadRequest)
		return
	}
	b.SetEndpoints(behavior)
	writer.WriteHeader(http.StatusNoContent)
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
