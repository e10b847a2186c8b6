package handover

import (
	"context"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/admission"
	"github.com/burlmill/burlmill/catalog"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/internal/agent/gateway"
)

// peers implements gateway.Peers for one back end of this agent. It orders the service's back ends
// by their loads, and reserves and releases slots of the other ones by calls to their agents, whose
// control addresses it looks up. It updates the load tables with the back end's own load and with
// the reports in reserve responses, and removes back ends that are no longer available.
type peers struct {
	service *Service
	local   backendName
}

// Order implements gateway.Peers.
func (p *peers) Order(own gateway.Load) []catalog.BackendID {
	order := []catalog.BackendID{p.local.backend}
	p.service.do(func(time.Time) {
		if attached := p.service.locals[p.local]; attached != nil {
			attached.loadTable.Update(ownReport(p.local.backend, own))
			order = attached.loadTable.Order()
		}
	})
	return order
}

// Reserve implements gateway.Peers.
func (p *peers) Reserve(ctx context.Context, backend catalog.BackendID) (gateway.Reservation, admission.Decision) {
	agent, ok := p.service.controlAddressOf(backendName{p.local.service, backend})
	if !ok {
		p.removeReport(backend)
		return gateway.Reservation{}, newRefusal(admission.ReasonDraining, 0)
	}
	response, err := p.service.client.reserve(ctx, agent, &burlmillv1.ReserveRequest{
		Service:             string(p.local.service),
		Backend:             string(backend),
		TimeoutMilliseconds: timeoutOf(ctx),
	})
	if err != nil {
		return gateway.Reservation{}, newRefusal(admission.ReasonDraining, 0)
	}
	p.applyReport(backend, response.GetReport())
	granted := response.GetGranted()
	if granted == nil {
		return gateway.Reservation{}, parseRefusal(response.GetRefused())
	}
	return gateway.Reservation{Agent: agent, Token: granted.GetToken()}, admission.Decision{Admitted: true}
}

// Release implements gateway.Peers. It does not block.
func (p *peers) Release(reservation gateway.Reservation) {
	go p.service.client.release(p.service.context, reservation.Agent, reservation.Token)
}

// applyReport applies the report of a reserve response. A nil report means that the agent no longer
// has the back end.
func (p *peers) applyReport(backend catalog.BackendID, report *burlmillv1.BackendReport) {
	if report == nil {
		p.removeReport(backend)
		return
	}
	p.service.do(func(time.Time) { p.service.applyReport(p.local.service, parseReport(report)) })
}

// removeReport removes the load report of another back end from the load table of this back end.
func (p *peers) removeReport(backend catalog.BackendID) {
	p.service.do(func(time.Time) {
		if attached := p.service.locals[p.local]; attached != nil {
			attached.loadTable.Remove(backend)
		}
	})
}

// timeoutOf returns the milliseconds until the deadline, at least 1, or 0 if there is no deadline.
func timeoutOf(ctx context.Context) uint64 {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return 0
	}
	return uint64(max(time.Until(deadline).Milliseconds(), 1))
}

// controlAddressOf returns the control address of the back end's agent. It returns false before
// Bind is called, if the back end is not configured, or if its agent is unreachable.
func (s *Service) controlAddressOf(name backendName) (netip.AddrPort, bool) {
	bound := s.node.Load()
	if bound == nil {
		return netip.AddrPort{}, false
	}
	service := bound.Snapshot().Service(name.service)
	if service == nil {
		return netip.AddrPort{}, false
	}
	for index := range service.Backends {
		if service.Backends[index].ID == name.backend {
			return bound.controlAddress(service.Backends[index].Agent)
		}
	}
	return netip.AddrPort{}, false
}

// controlAddress returns the control address of the reachable agent with the data address.
func (b *boundNode) controlAddress(data netip.AddrPort) (netip.AddrPort, bool) {
	for _, member := range b.Members() {
		if member.Data == data {
			return member.Control, true
		}
	}
	return netip.AddrPort{}, false
}
