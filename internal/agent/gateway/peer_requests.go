// This file reserves slots of other back ends, forwards requests to their agents and the responses
// to the callers, and cancels the reservation if an agent cannot be reached. It also parses and
// refuses requests received from other agents.

package gateway

import (
	"context"
	"net/http"
	"net/url"

	"github.com/burlmill/burlmill/admission"
	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// RunPath is the path at which an agent accepts requests of other agents.
const RunPath = "/burlmill/run"

// Headers of a request from one agent to another.
const (
	HeaderToken = "Burlmill-Token"       // token of the reservation
	HeaderURI   = "Burlmill-Request-Uri" // target of the caller's request
)

// runAtPeer reserves a slot of another back end and sends the request to that back end's agent.
func (g *Gateway) runAtPeer(ctx context.Context, writer http.ResponseWriter, request *http.Request, backend catalog.BackendID) (admission.Decision, result) {
	reservation, decision := g.peers.Reserve(ctx, backend)
	if !decision.Admitted {
		return decision, result{}
	}
	var current attempt
	response, err := g.transport.RoundTrip(newPeerRequest(current.trace(ctx), request, reservation))
	if err != nil {
		return g.classifyPeerError(ctx, request, reservation, &current, err)
	}
	defer response.Body.Close()
	counted := response.Header.Get(HeaderOutcome) != ""
	return decision, result{forwardPeerResponse(writer, request, response), counted}
}

// classifyPeerError returns the result of a request for which the transport returned the error. If
// no connection was established, it cancels the reservation and, unless the request is canceled or
// its deadline has passed, returns a refusal, so that the next back end is tried.
func (g *Gateway) classifyPeerError(ctx context.Context, request *http.Request, reservation Reservation, current *attempt, err error) (admission.Decision, result) {
	if current.neverConnected() {
		g.peers.Release(reservation)
		if ctx.Err() == nil {
			return drainingRefusal, result{}
		}
	}
	return admission.Decision{Admitted: true}, result{failure: current.classifyError(request, err)}
}

// neverConnected reports whether no connection was established, which implies that the body was not
// read.
func (a *attempt) neverConnected() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.connection == nil
}

// newPeerRequest returns the request to send to the other agent.
func newPeerRequest(ctx context.Context, request *http.Request, reservation Reservation) *http.Request {
	outRequest := newBackendRequest(ctx, request, reservation.Agent)
	outRequest.Header.Set(HeaderToken, reservation.Token)
	outRequest.Header.Set(HeaderURI, request.URL.RequestURI())
	outRequest.URL = &url.URL{Scheme: "http", Host: reservation.Agent.String(), Path: RunPath}
	return outRequest
}

// ParsePeerRequest restores the caller's request from a request of another agent and returns the
// token of its reservation. Errors are of kind fault.Invalid.
func ParsePeerRequest(request *http.Request) (string, error) {
	token, target := request.Header.Get(HeaderToken), request.Header.Get(HeaderURI)
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return "", fault.InvalidField(HeaderURI, target, "must be a request target")
	}
	request.URL = parsed
	request.Header.Del(HeaderToken)
	request.Header.Del(HeaderURI)
	return token, nil
}

// RefuseUnreserved responds to a request of another agent that has no valid reservation. The
// request is not run.
func RefuseUnreserved(writer http.ResponseWriter) { newRefusal(drainingRefusal).writeResponse(writer) }

// forwardPeerResponse forwards the response of another agent to the caller. It returns a failure
// with OutcomeNotRun if that agent reports this outcome, with OutcomeUnknown if it reports no valid
// response, and with OutcomeReset if forwarding fails.
func forwardPeerResponse(writer http.ResponseWriter, request *http.Request, response *http.Response) *failure {
	outcome := Outcome(response.Header.Get(HeaderOutcome))
	kind := fault.OutcomeUnknown
	if outcome == OutcomeNotRun {
		kind = fault.Overloaded
	}
	if response.StatusCode == http.StatusGatewayTimeout {
		kind = fault.Deadline
	}
	switch outcome {
	case OutcomeComplete:
	case OutcomeNotRun:
		return &failure{outcome, fault.New(kind, "request not run at another agent"), admission.MinRetryAfter}
	default:
		return &failure{outcome: OutcomeUnknown, err: fault.New(kind, "no answer at another agent")}
	}
	if err := checkResponseHeader(request, response); err != nil {
		return &failure{outcome: OutcomeUnknown, err: err}
	}
	if err := forwardResponse(writer, response); err != nil {
		return &failure{outcome: OutcomeReset, err: err}
	}
	return nil
}
