// This file runs each request at the first back end that has a free slot, the gateway's own or that
// of another agent, in order of preference. For other agents, it reserves slots, runs requests in
// them, reports the back end's load, and refuses requests after Drain. It defines Peers, the
// interface to the other back ends.

package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/admission"
	"github.com/burlmill/burlmill/catalog"
)

// Load is the load of a back end.
type Load struct {
	Busy     uint32 // number of busy slots
	Slots    uint32 // total number of slots
	Draining bool   // it refuses requests of other agents
	Sequence uint64 // increases with each change, also across restarts
}

// Reservation is a slot that another agent has reserved for a request.
type Reservation struct {
	Agent netip.AddrPort // control address of that agent
	Token string
}

// Peers are the other back ends of the service. The methods are safe for concurrent use.
type Peers interface {
	// Order returns the back ends for a request in order of preference, given the load of the
	// gateway's own back end, which may be among them.
	Order(own Load) []catalog.BackendID
	// Reserve requests a slot of another back end. The reservation is valid only if the decision
	// admits the request.
	Reserve(ctx context.Context, backend catalog.BackendID) (Reservation, admission.Decision)
	// Release cancels an unused reservation.
	Release(reservation Reservation)
}

// noPeers implements Peers for a back end without peers.
type noPeers struct{ own catalog.BackendID }

func (n noPeers) Order(Load) []catalog.BackendID { return []catalog.BackendID{n.own} }

func (n noPeers) Reserve(context.Context, catalog.BackendID) (Reservation, admission.Decision) {
	return Reservation{}, drainingRefusal
}

func (n noPeers) Release(Reservation) {}

// SetPeers enables running requests at other back ends. It must be called before the first request.
func (g *Gateway) SetPeers(peers Peers) { g.peers = peers }

// Load returns the current load of the back end.
func (g *Gateway) Load() Load { return *g.slots.load.Load() }

// Drain makes the back end refuse further requests of other agents.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	g.configureSlots()
}

// Reserve reserves a slot for a request of another agent and returns the decision and the resulting
// load of the back end. A granted slot is busy until RunReserved or Release frees it. A zero
// deadline means no deadline.
func (g *Gateway) Reserve(now, deadline time.Time) (admission.Decision, Load) {
	decision := g.slots.acquire(now, deadline, true)
	return decision.Decision, decision.load
}

// Release frees a reserved slot that was not used.
func (g *Gateway) Release() { g.slots.release() }

// RunReserved runs a request in its reserved slot and frees the slot.
func (g *Gateway) RunReserved(writer http.ResponseWriter, request *http.Request) {
	g.serve(writer, request, func(writer http.ResponseWriter, request *http.Request, now time.Time) result {
		defer func() { g.slots.finish(time.Since(now)) }()
		ctx, cancel, err := withDeadline(request, now)
		if err != nil {
			return result{failure: &failure{outcome: OutcomeNotRun, err: err}}
		}
		defer cancel()
		return result{failure: g.run(ctx, writer, request)}
	})
}

// placeAndRun tries the back ends in order of preference, each at most once, until one accepts the
// request.
func (g *Gateway) placeAndRun(writer http.ResponseWriter, request *http.Request, now time.Time) result {
	ctx, cancel, err := withDeadline(request, now)
	if err != nil {
		return result{failure: &failure{outcome: OutcomeNotRun, err: err}}
	}
	defer cancel()
	refusal := admission.Decision{Reason: admission.ReasonNoSlot, RetryAfter: admission.MaxRetryAfter}
	for _, backend := range g.peers.Order(g.Load()) {
		decision, res := g.runAt(ctx, writer, request, backend)
		if decision.Admitted {
			return res
		}
		refusal = earlierRetry(refusal, decision)
		if decision.Reason == admission.ReasonDeadline || ctx.Err() != nil {
			break
		}
	}
	return result{failure: newRefusal(refusal)}
}

// earlierRetry returns the refusal with the shorter retry delay, or second if its reason is the
// deadline.
func earlierRetry(first, second admission.Decision) admission.Decision {
	if second.Reason != admission.ReasonDeadline && first.RetryAfter < second.RetryAfter {
		return first
	}
	return second
}

// runAt runs the request at the back end if that has a free slot. If the decision does not admit
// the request, nothing was sent and the body was not read.
func (g *Gateway) runAt(ctx context.Context, writer http.ResponseWriter, request *http.Request, backend catalog.BackendID) (admission.Decision, result) {
	if backend != g.backend.Load().ID {
		return g.runAtPeer(ctx, writer, request, backend)
	}
	now := time.Now()
	deadline, _ := ctx.Deadline()
	decision := g.slots.acquire(now, deadline, false)
	if !decision.Admitted {
		return decision.Decision, result{}
	}
	defer func() { g.slots.finish(time.Since(now)) }()
	return decision.Decision, result{failure: g.run(ctx, writer, request)}
}
