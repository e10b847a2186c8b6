// This file calls other agents to reserve and release their slots and to send them load reports.
// Each call fails after callTimeout.

package handover

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/gen/burlmill/v1/burlmillv1connect"
)

const (
	callTimeout     = 500 * time.Millisecond // for each connection to and call of another agent
	idleConnTimeout = 2 * time.Minute        // idle time after which a connection is closed
	maxMessageBytes = 64 << 10               // limit for a received message
)

// client calls other agents.
type client struct{ http *http.Client }

func newClient() *client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &client{&http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		IdleConnTimeout: idleConnTimeout,
		DialContext:     (&net.Dialer{Timeout: callTimeout}).DialContext,
	}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// placementClient returns a client of the agent's placement service.
func (c *client) placementClient(agent netip.AddrPort) burlmillv1connect.PlacementServiceClient {
	return burlmillv1connect.NewPlacementServiceClient(c.http, "http://"+agent.String(),
		connect.WithReadMaxBytes(maxMessageBytes))
}

// reserve requests a slot of another agent. Errors are of kind fault.Unavailable.
func (c *client) reserve(ctx context.Context, agent netip.AddrPort, request *burlmillv1.ReserveRequest) (*burlmillv1.ReserveResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.placementClient(agent).Reserve(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "reserve slot at agent %s", agent)
	}
	return response.Msg, nil
}

// release cancels a reservation. It ignores errors because the reservation expires.
func (c *client) release(ctx context.Context, agent netip.AddrPort, token string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = c.placementClient(agent).Release(ctx, connect.NewRequest(&burlmillv1.ReleaseRequest{Token: token}))
}

// report sends load reports to their destination. Errors are of kind fault.Unavailable.
func (c *client) report(ctx context.Context, push Push) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &burlmillv1.ReportRequest{}
	for _, report := range push.Reports {
		request.Reports = append(request.Reports, formatReport(push.To.Service, report))
	}
	_, err := c.placementClient(push.To.Control).Report(ctx, connect.NewRequest(request))
	return fault.Wrap(fault.Unavailable, err, "send load reports to agent %s", push.To.Control)
}
