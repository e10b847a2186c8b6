// This file runs a load of HTTP callers with a timeout for each request, and records the outcomes,
// latencies and failures of the requests. A caller reconnects from a new port after
// RequestLoad.RequestsPerConnection requests.

package caller

import (
	"context"
	"time"
)

// RequestLoad is the configuration of a load of HTTP callers, each of which sends one request after
// another.
type RequestLoad struct {
	HTTPOptions
	Callers               int
	Pause                 time.Duration // between a response and the caller's next request
	RequestsPerConnection int           // before a caller reconnects from a new port; 0: unlimited
	Timeout               time.Duration // of one request with connecting; 0: none
	// NextRequest returns a request of a caller. Callers and the requests of each are numbered from
	// 0. It is called concurrently and must return a different Request.ID each time.
	NextRequest func(caller, number int) Request
}

// StartRequests starts the HTTP callers of the load. The run continues until Run.Stop.
func StartRequests(load RequestLoad) *Run {
	run := newRun()
	for number := range load.Callers {
		run.callers.Go(func() { load.runCaller(run, number) })
	}
	return run
}

// runCaller runs one caller until the run is stopped.
func (l RequestLoad) runCaller(run *Run, callerNumber int) {
	var caller *HTTPCaller
	defer func() {
		if caller != nil {
			_ = caller.Close()
		}
	}()
	for number := 0; !run.stopped(); number++ {
		if l.RequestsPerConnection > 0 && number%l.RequestsPerConnection == 0 && caller != nil {
			_ = caller.Close()
			caller = nil
		}
		request := l.NextRequest(callerNumber, number)
		requestResult := RequestResult{Outcome: OutcomeUnreached}
		if caller == nil {
			caller, requestResult.Error = NewHTTPCaller(l.HTTPOptions)
		}
		if caller != nil {
			requestResult = l.doRequest(caller, request)
		}
		run.result.update(func(result *Result) { result.recordRequest(request, requestResult) })
		run.sleep(l.Pause)
	}
}

func (l RequestLoad) doRequest(caller *HTTPCaller, request Request) RequestResult {
	ctx := context.Background()
	if l.Timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, l.Timeout)
		defer cancel()
		ctx = limited
	}
	return caller.Do(ctx, request)
}

func (r *Result) recordRequest(request Request, requestResult RequestResult) {
	r.Requests++
	if requestResult.Outcome != OutcomeComplete && requestResult.Outcome != OutcomeRefused {
		r.FailedRequests = append(r.FailedRequests, FailedRequest{time.Now(), request.ID, requestResult.Outcome, requestResult.Backend, requestResult.Latency, requestResult.Error})
	}
	switch requestResult.Outcome {
	case OutcomeComplete:
		r.Complete++
		r.recordLatency(requestResult.Latency)
	case OutcomeRefused:
		r.Refused++
		r.RefusedIDs = append(r.RefusedIDs, request.ID)
	case OutcomeUnreached:
		r.Unreached++
	case OutcomeUnknown:
		r.Unknown++
	case OutcomeWrong:
		r.Wrong++
	case OutcomeMisrouted:
		r.Misrouted++
	}
}
