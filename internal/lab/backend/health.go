// This file implements GET /health and GET /load, which report whether the back end is draining and
// its load, and POST /lab/endpoints, which makes both report a stale or an always healthy state.

package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// EndpointMode selects how accurately the health and load endpoints report the state of the back
// end.
type EndpointMode string

// The modes of the health and load endpoints. SetEndpointBehavior also accepts an empty mode, which
// is the same as EndpointsAccurate; POST /lab/endpoints rejects it.
const (
	EndpointsAccurate      EndpointMode = "true" // the state at the time of the request
	EndpointsStale         EndpointMode = "lag"  // a state that is refreshed at most once per lag
	EndpointsAlwaysHealthy EndpointMode = "lie"  // always healthy, never draining, no load
)

// EndpointBehavior is the body of POST /lab/endpoints.
type EndpointBehavior struct {
	Mode            EndpointMode `json:"mode"`
	LagMilliseconds uint32       `json:"lag_milliseconds"` // used by EndpointsStale
}

// HealthReport is the response body of GET /health and GET /load. The status of /health is 200, or
// 503 when Draining is set; that of /load is always 200.
type HealthReport struct {
	Draining bool   `json:"draining"`
	Busy     uint32 `json:"busy"`
	Slots    uint32 `json:"slots"` // 0: no limit
}

// endpointState holds the behavior of the endpoints, and the last accurate report and its time.
type endpointState struct {
	mutex    sync.Mutex
	behavior EndpointBehavior
	last     HealthReport
	lastAt   time.Time
}

func (e *endpointState) set(behavior EndpointBehavior) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.behavior = behavior
}

// reportFor returns the report to send for the actual state, according to the mode.
func (e *endpointState) reportFor(now time.Time, actual HealthReport) HealthReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch e.behavior.Mode {
	case EndpointsAlwaysHealthy:
		return HealthReport{Slots: actual.Slots}
	case EndpointsStale:
		lag := time.Duration(e.behavior.LagMilliseconds) * time.Millisecond
		if now.Sub(e.lastAt) < lag {
			return e.last
		}
	}
	e.last = actual
	e.lastAt = now
	return actual
}

func (b *Backend) currentReport() HealthReport {
	busy, _, _ := b.slots.counts()
	actual := HealthReport{Draining: b.draining.Load(), Busy: busy, Slots: b.options.Slots}
	return b.endpointState.reportFor(time.Now(), actual)
}

func (b *Backend) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	report := b.currentReport()
	status := http.StatusOK
	if report.Draining {
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, report)
}

func (b *Backend) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, b.currentReport())
}

func (b *Backend) serveSetEndpoints(writer http.ResponseWriter, request *http.Request) {
	var behavior EndpointBehavior
	if err := json.NewDecoder(request.Body).Decode(&behavior); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	switch behavior.Mode {
	case EndpointsAccurate, EndpointsStale, EndpointsAlwaysHealthy:
	default:
		http.Error(writer, "mode must be true, lag or lie", http.StatusBadRequest)
		return
	}
	b.SetEndpointBehavior(behavior)
	writer.WriteHeader(http.StatusNoContent)
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
