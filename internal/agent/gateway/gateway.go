// Package gateway is an HTTP reverse proxy for one back end. It admits requests by the back end's
// slots, forwards them as HTTP/1.1, streams the responses and reports the outcome of each request
// in a response header. It applies the timeout that the caller sets, and sends no request twice.
// With Peers, it also runs requests at other back ends of the service.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/admission"
	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Observer receives events for metrics. Its methods may be called from any goroutine and must not
// block.
type Observer interface {
	// RequestDone is called once for each request.
	RequestDone(outcome Outcome, took time.Duration)
	// SlotsBusy is called when the number of busy slots may have changed.
	SlotsBusy(busy int)
}

// Gateway is an http.Handler for one back end. All methods except SetPeers are safe for concurrent
// use.
type Gateway struct {
	backend   atomic.Pointer[catalog.Backend]
	draining  atomic.Bool
	peers     Peers
	slots     *slotPool
	transport *http.Transport
	observer  Observer
}

// New returns a gateway to the back end. It must be closed after use.
func New(backend *catalog.Backend, observer Observer) *Gateway {
	gateway := &Gateway{
		slots:     startSlots(backend.Slots, observer.SlotsBusy),
		transport: newTransport(),
		observer:  observer,
	}
	gateway.peers = noPeers{backend.ID}
	gateway.Update(backend)
	return gateway
}

// Update replaces the configuration of the back end. Running requests are not affected.
func (g *Gateway) Update(backend *catalog.Backend) {
	g.backend.Store(backend)
	g.configureSlots()
}

// configureSlots applies the configured number of slots and whether the back end is draining. A
// draining back end refuses requests of other agents. It still accepts requests of its existing
// connections, because it finishes their flows.
func (g *Gateway) configureSlots() {
	backend := g.backend.Load()
	draining := g.draining.Load() || backend.State == catalog.BackendDraining
	g.slots.configure(slotChange{total: backend.Slots, draining: draining})
}

// Close makes the gateway refuse all further requests. Running requests are not affected.
func (g *Gateway) Close() { g.slots.close() }

// Refuse responds to a request of a connection that was opened while the back end's server shuts
// down. The request is not run.
func (g *Gateway) Refuse(writer http.ResponseWriter, _ *http.Request) {
	g.observer.RequestDone(OutcomeNotRun, 0)
	newRefusal(admission.Decision{
		Reason:     admission.ReasonDraining,
		RetryAfter: admission.MinRetryAfter,
	}).writeResponse(writer)
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	g.serve(writer, request, g.placeAndRun)
}

// result states whether a request has a complete response and whether its outcome is still to be
// reported.
type result struct {
	failure       *failure // nil if a complete response has been forwarded
	countedByPeer bool     // another agent has reported the outcome to its own observer
}

// runner runs a request that arrived at the time now.
type runner func(writer http.ResponseWriter, request *http.Request, now time.Time) result

// serve runs one request, responds to failures and reports the outcome to the observer unless
// another agent has done so.
func (g *Gateway) serve(writer http.ResponseWriter, request *http.Request, run runner) {
	started := time.Now()
	outcome := OutcomeReset // in case run panics
	var res result
	defer func() {
		if !res.countedByPeer {
			g.observer.RequestDone(outcome, time.Since(started))
		}
	}()
	res = run(writer, request, started)
	if res.failure == nil {
		outcome = OutcomeComplete
		return
	}
	outcome = res.failure.outcome
	if outcome == OutcomeReset {
		panic(http.ErrAbortHandler) // resets the stream
	}
	res.failure.writeResponse(writer)
}

// withDeadline validates the request and returns its context, with a deadline if the caller set a
// timeout. The returned function must be called to release the context. Errors are of kind
// fault.Invalid.
func withDeadline(request *http.Request, now time.Time) (context.Context, context.CancelFunc, error) {
	if request.Method == http.MethodConnect {
		return nil, nil, fault.InvalidField("method", request.Method, "is not supported")
	}
	timeout, err := parseTimeout(request.Header)
	if err != nil {
		return nil, nil, err
	}
	if timeout == 0 {
		ctx, cancel := context.WithCancel(request.Context())
		return ctx, cancel, nil
	}
	ctx, cancel := context.WithDeadline(request.Context(), now.Add(timeout))
	return ctx, cancel, nil
}

// newRefusal returns the failure for a request that was not admitted.
func newRefusal(decision admission.Decision) *failure {
	kind := fault.Overloaded
	if decision.Reason == admission.ReasonDeadline {
		kind = fault.Deadline
	}
	return &failure{
		outcome:    OutcomeNotRun,
		err:        fault.New(kind, "request not run: %s", decision.Reason),
		retryAfter: decision.RetryAfter,
	}
}

// run forwards the request to the back end and the response to the caller. It returns nil if the
// response is complete.
func (g *Gateway) run(ctx context.Context, writer http.ResponseWriter, request *http.Request) *failure {
	if request.Header.Get("Expect") != "" {
		writer.WriteHeader(http.StatusContinue)
	}
	var current attempt
	response, err := g.transport.RoundTrip(newBackendRequest(current.trace(ctx), request, g.backend.Load().Address))
	if err != nil {
		return current.classifyError(request, err)
	}
	defer response.Body.Close()
	if err := checkResponseHeader(request, response); err != nil {
		return &failure{outcome: OutcomeUnknown, err: err}
	}
	if err := forwardResponse(writer, response); err != nil {
		return &failure{outcome: OutcomeReset, err: err}
	}
	return nil
}

// newBackendRequest returns the request to send to the back end.
func newBackendRequest(ctx context.Context, request *http.Request, backend netip.AddrPort) *http.Request {
	outRequest := &http.Request{
		Method: request.Method,
		URL: &url.URL{
			Scheme:     "http",
			Host:       backend.String(),
			Path:       request.URL.Path,
			RawPath:    request.URL.RawPath,
			RawQuery:   request.URL.RawQuery,
			ForceQuery: request.URL.ForceQuery,
		},
		Host:          request.Host,
		Header:        endToEndHeader(request.Header),
		ContentLength: request.ContentLength,
		// The server closes the body after the handler returns. If the transport closed it
		// earlier, the response could be truncated.
		Body: io.NopCloser(request.Body),
	}
	// The expectation concerns the connection of the caller only, so it is not forwarded.
	outRequest.Header.Del("Expect")
	if _, present := outRequest.Header["User-Agent"]; !present {
		outRequest.Header.Set("User-Agent", "") // prevents the default of net/http
	}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		setTimeout(outRequest.Header, time.Until(deadline))
	}
	return outRequest.WithContext(ctx)
}

// classifyError returns the failure for a request for which the transport returned the error. It
// seals the connection, so that the request is not sent after it was reported as not run.
func (a *attempt) classifyError(request *http.Request, err error) *failure {
	notRun := a.sealUnsent()
	if request.Context().Err() != nil {
		return &failure{outcome: OutcomeReset, err: fault.Wrap(fault.Canceled, err, "request canceled by caller")}
	}
	timedOut := errors.Is(err, context.DeadlineExceeded)
	switch {
	case notRun && timedOut:
		return &failure{OutcomeNotRun, fault.Wrap(fault.Deadline, err, "request not run"), admission.MinRetryAfter}
	case notRun:
		return &failure{OutcomeNotRun, fault.Wrap(fault.Overloaded, err, "request not run"), admission.MinRetryAfter}
	case timedOut:
		return &failure{outcome: OutcomeUnknown, err: fault.Wrap(fault.Deadline, err, "no answer in time")}
	}
	return &failure{outcome: OutcomeUnknown, err: fault.Wrap(fault.OutcomeUnknown, err, "no answer")}
}
