// This file relays TCP streams from fabrics to the first agent that admits them. It resets, counts
// and logs the streams that are not relayed, such as those that no agent admits, and logs relayed
// streams that are aborted.

package balancer

import (
	"context"
	"errors"
	"net/netip"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/stream"
)

// refusal is the reason why a stream was not relayed to an agent. It is a metric label value.
type refusal string

const (
	refusalInvalidHeader  refusal = "invalid-header"  // missing or malformed PROXY header, or one that has a route
	refusalUnknownService refusal = "unknown-service" // no TCP service has the address
	refusalNoBackend      refusal = "no-back-end"     // the service has no live back end
	refusalNotAdmitted    refusal = "not-admitted"    // no agent of the service admits the stream
)

var refusals = []string{
	string(refusalInvalidHeader), string(refusalUnknownService), string(refusalNoBackend), string(refusalNotAdmitted),
}

// streamForwarder relays streams from fabrics to agents.
type streamForwarder struct {
	configuration Configuration
	metrics       *stream.Metrics
	drops         *dropLog
}

func newStreamForwarder(configuration Configuration, registerer prometheus.Registerer, drops *dropLog) *streamForwarder {
	return &streamForwarder{
		configuration: configuration,
		metrics:       stream.NewMetrics(registerer, subsystem, refusals),
		drops:         drops,
	}
}

// serve relays one stream until it ends. A stream that no agent admits is reset.
func (f *streamForwarder) serve(ctx context.Context, caller *stream.Connection) {
	f.metrics.Received()
	agent, reason, err := f.open(ctx, caller)
	if err != nil {
		f.metrics.Refused(string(reason))
		f.log("stream-"+string(reason), caller, err)
		return
	}
	defer agent.Abort()
	stop := context.AfterFunc(ctx, agent.Abort)
	defer stop()
	if err := f.metrics.Relay(caller, agent); err != nil {
		f.log("stream-aborted", caller, err)
	}
}

func (f *streamForwarder) log(event string, caller *stream.Connection, err error) {
	f.drops.limiter.Log(log.WarnLevel, event, log.Fields{
		"kind":  fault.KindOf(err).String(),
		"error": err,
		"from":  caller.RemoteAddress(),
	})
}

// open requests admission from the candidate agents in order and returns a connection to the first
// that admits the stream. It sends no stream data before admission, so a retry is safe.
func (f *streamForwarder) open(ctx context.Context, caller *stream.Connection) (*stream.Connection, refusal, error) {
	header, err := caller.ReadHeader()
	if err == nil && header.HasRoute {
		err = fault.New(fault.Invalid, "stream of %v already has a route", header.Key.Caller)
	}
	if err != nil {
		return nil, refusalInvalidHeader, err
	}
	service, agents, err := flow.StreamAgents(f.configuration.Snapshot(), f.configuration, header.Key)
	if err != nil {
		return nil, refusalOf(err), err
	}
	header.HasRoute = true
	header.Revision = service.Revision
	var refusalErrors []error
	for _, agent := range agents {
		connection, err := requestAdmission(ctx, agent, header)
		if err == nil {
			return connection, "", nil
		}
		refusalErrors = append(refusalErrors, err)
	}
	return nil, refusalNotAdmitted, fault.Wrap(fault.Unavailable, errors.Join(refusalErrors...), "service %s", service.Name)
}

// requestAdmission connects to the agent and requests admission of the stream. A refusal is an
// error of kind fault.Unavailable.
func requestAdmission(ctx context.Context, agent netip.AddrPort, header stream.Header) (*stream.Connection, error) {
	connection, err := stream.Dial(ctx, agent)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, connection.Abort)
	defer stop()
	verdict, err := connection.RequestAdmission(header)
	if err == nil && verdict != stream.VerdictAdmitted {
		err = fault.New(fault.Unavailable, "agent %s: %s", agent, verdict)
	}
	if err != nil {
		connection.Abort()
		return nil, err
	}
	return connection, nil
}

// refusalOf maps an error of flow.StreamAgents to a reason.
func refusalOf(err error) refusal {
	if fault.KindOf(err) == fault.Unavailable {
		return refusalNoBackend
	}
	return refusalUnknownService
}
