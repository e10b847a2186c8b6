// This file serves other agents: it reserves and releases slots for them, applies their load
// reports, and runs the requests that they hand over. Requests without a valid reservation are
// refused.

package handover

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/burlmill/burlmill/admission"
	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/gen/burlmill/v1/burlmillv1connect"
	"github.com/burlmill/burlmill/internal/agent/gateway"
	"github.com/burlmill/burlmill/internal/coordination"
)

// Handlers returns the handlers to serve on the control address.
func (s *Service) Handlers() []coordination.Handler {
	path, handler := burlmillv1connect.NewPlacementServiceHandler(server{s}, connect.WithReadMaxBytes(maxMessageBytes))
	return []coordination.Handler{
		{Path: path, Handler: handler},
		{Path: gateway.RunPath, Handler: http.HandlerFunc(s.serveRun)},
	}
}

// server implements the placement service for other agents.
type server struct{ service *Service }

// Reserve implements burlmillv1connect.PlacementServiceHandler.
func (s server) Reserve(_ context.Context, request *connect.Request[burlmillv1.ReserveRequest]) (*connect.Response[burlmillv1.ReserveResponse], error) {
	name := backendName{catalog.ServiceName(request.Msg.GetService()), catalog.BackendID(request.Msg.GetBackend())}
	target := s.service.gatewayOf(name)
	if target == nil {
		// A back end that is not at this agent is refused like a draining one.
		decision := newRefusal(admission.ReasonDraining, 0)
		return connect.NewResponse(&burlmillv1.ReserveResponse{Verdict: formatRefusal(decision)}), nil
	}
	now := time.Now()
	decision, load := target.Reserve(now, deadlineOf(now, request.Msg.GetTimeoutMilliseconds()))
	response := &burlmillv1.ReserveResponse{Report: formatReport(name.service, peerReport(name.backend, load))}
	if !decision.Admitted {
		response.Verdict = formatRefusal(decision)
		return connect.NewResponse(response), nil
	}
	token, err := s.service.addReservation(target)
	if err != nil {
		return nil, connect.NewError(fault.KindOf(err).Codes().ConnectCode, err)
	}
	response.Verdict = &burlmillv1.ReserveResponse_Granted{Granted: &burlmillv1.Granted{Token: token}}
	return connect.NewResponse(response), nil
}

// maxTimeout is the maximum timeout of a reserve request. Longer timeouts are reduced to it.
const maxTimeout = 24 * time.Hour

// deadlineOf returns the deadline for a timeout in milliseconds, or the zero time if that is 0.
func deadlineOf(now time.Time, milliseconds uint64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(milliseconds, uint64(maxTimeout.Milliseconds()))) * time.Millisecond)
}

// gatewayOf returns the gateway of a back end of this agent, or nil if there is none or the service
// has stopped.
func (s *Service) gatewayOf(name backendName) (found *gateway.Gateway) {
	s.do(func(time.Time) {
		if attached := s.locals[name]; attached != nil {
			found = attached.gateway
		}
	})
	return found
}

// addReservation adds a reservation of a granted slot and returns its token. If the service has
// stopped, it frees the slot and returns an error of kind fault.Unavailable.
func (s *Service) addReservation(reserved *gateway.Gateway) (string, error) {
	token := rand.Text()
	s.peerSlots.Add(1)
	if !s.do(func(now time.Time) { s.reservations.Add(now, token, reserved) }) {
		s.releaseSlot(reserved)
		return "", fault.New(fault.Unavailable, "agent is stopping")
	}
	return token, nil
}

// takeReservation removes a reservation and returns the gateway that holds its slot. The caller
// must free the slot. It returns nil if the reservation does not exist or has expired, or if the
// service has stopped.
func (s *Service) takeReservation(token string) (reserved *gateway.Gateway) {
	s.do(func(now time.Time) { reserved, _ = s.reservations.Take(now, token) })
	return reserved
}

// Release implements burlmillv1connect.PlacementServiceHandler.
func (s server) Release(_ context.Context, request *connect.Request[burlmillv1.ReleaseRequest]) (*connect.Response[burlmillv1.ReleaseResponse], error) {
	if reserved := s.service.takeReservation(request.Msg.GetToken()); reserved != nil {
		s.service.releaseSlot(reserved)
	}
	return connect.NewResponse(&burlmillv1.ReleaseResponse{}), nil
}

// Report implements burlmillv1connect.PlacementServiceHandler. It returns the same error, of kind
// fault.Unavailable, if this agent has no back end of a reported service and if this agent is
// stopping. The sender then keeps all reports of the request unconfirmed, including those that were
// applied, and sends them again.
func (s server) Report(_ context.Context, request *connect.Request[burlmillv1.ReportRequest]) (*connect.Response[burlmillv1.ReportResponse], error) {
	accepted := true
	done := s.service.do(func(time.Time) {
		for _, report := range request.Msg.GetReports() {
			known := s.service.applyReport(catalog.ServiceName(report.GetService()), parseReport(report))
			accepted = accepted && known
		}
	})
	if !done || !accepted {
		err := fault.New(fault.Unavailable, "service has no back end here")
		return nil, connect.NewError(fault.KindOf(err).Codes().ConnectCode, err)
	}
	return connect.NewResponse(&burlmillv1.ReportResponse{}), nil
}

// serveRun runs a request that another agent forwards, in the slot that the request's token
// reserves. It refuses requests without a valid reservation.
func (s *Service) serveRun(writer http.ResponseWriter, request *http.Request) {
	token, err := gateway.ParsePeerRequest(request)
	if err != nil {
		gateway.RefuseUnreserved(writer)
		return
	}
	reserved := s.takeReservation(token)
	if reserved == nil {
		gateway.RefuseUnreserved(writer)
		return
	}
	defer s.peerSlots.Add(-1)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(s.context, cancel)()
	// The response may start before the request has been read to its end.
	_ = http.NewResponseController(writer).EnableFullDuplex()
	reserved.RunReserved(writer, request.WithContext(ctx))
}
