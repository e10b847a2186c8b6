// Package tcpflow accepts streams of TCP services from balancers and relays them to
// the back ends of one agent. A stream must be admitted before any of its bytes is
// relayed: its back end must be active, below its connection limit and accept a
// connection. Otherwise the agent sends a refusal, and the balancer tries another
// agent.
package tcpflow

import (
	"context"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/stream"
)

const (
	// configurationTimeout is the maximum wait for a newer configuration. It is shorter than the
	// wait for a verdict.
	configurationTimeout      = time.Second
	configurationPollInterval = 10 * time.Millisecond // interval of checks for the configuration
)

// Configuration provides the catalog. Its methods are safe for concurrent use and
// do not block.
type Configuration interface {
	// Snapshot returns the current configuration.
	Snapshot() *catalog.Snapshot
	// Pull requests the configuration if the revision is newer than the current one.
	Pull(at catalog.Revision)
}

// Options configure Streams. All fields must be set.
type Options struct {
	Self          netip.AddrPort // the agent's data address, where streams are accepted
	Configuration Configuration
	Registerer    prometheus.Registerer
	Subsystem     string           // subsystem in metric names
	Drops         *logging.Limiter // logs refused and reset streams
}

// Streams accepts and relays the TCP streams of one agent. All methods are safe for
// concurrent use.
type Streams struct {
	options Options
	metrics *stream.Metrics
	slots   *streamSlots
	server  *stream.Server
}

// Start listens for streams. Errors are of kind fault.Unavailable.
func Start(options Options) (*Streams, error) {
	started := &Streams{options: options, slots: startStreamSlots()}
	started.metrics = stream.NewMetrics(options.Registerer, options.Subsystem, refusalReasons())
	server, err := stream.Listen(options.Self, started.serve)
	if err != nil {
		started.slots.close()
		return nil, err
	}
	started.server = server
	return started, nil
}

// refusalReasons returns the metric labels of all refusals.
func refusalReasons() []string {
	var names []string
	for _, verdict := range stream.Refusals() {
		names = append(names, verdict.String())
	}
	return names
}

// BeginShutdown refuses new streams; open streams continue.
func (s *Streams) BeginShutdown() { s.slots.drain() }

// OpenStreams returns the number of open streams, including those not yet admitted.
func (s *Streams) OpenStreams() int { return s.server.OpenConnections() }

// ResetAll resets all open streams.
func (s *Streams) ResetAll() { s.server.ResetAll() }

// Close stops accepting, resets all open streams and waits for their handlers. It
// may be called more than once.
func (s *Streams) Close() {
	s.server.Close()
	s.slots.close()
}

// serve admits one stream and relays it until it ends.
func (s *Streams) serve(ctx context.Context, caller *stream.Connection) {
	s.metrics.Received()
	admission, verdict, err := s.admit(ctx, caller)
	if verdict != stream.VerdictAdmitted {
		s.refuse(caller, verdict, err)
		return
	}
	defer s.slots.release(admission.identity)
	defer admission.backend.Abort()
	stop := context.AfterFunc(ctx, admission.backend.Abort)
	defer stop()
	if err := caller.SendVerdict(verdict); err != nil {
		s.log("stream-balancer-failed", caller, err)
		return
	}
	if err := s.metrics.Relay(caller, admission.backend); err != nil {
		s.log("stream-aborted", caller, err)
	}
}

func (s *Streams) refuse(caller *stream.Connection, verdict stream.Verdict, cause error) {
	s.metrics.Refused(verdict.String())
	if cause != nil {
		s.log("stream-"+verdict.String(), caller, cause)
	}
	// Without a verdict, the balancer treats the stream as refused.
	_ = caller.Refuse(verdict)
}

func (s *Streams) log(event string, caller *stream.Connection, err error) {
	s.options.Drops.Log(log.WarnLevel, event, log.Fields{
		"kind":  fault.KindOf(err).String(),
		"error": err,
		"from":  caller.RemoteAddress(),
	})
}

// admittedStream holds the back end of the reserved slot and the connection to it.
type admittedStream struct {
	identity backendIdentity
	backend  *stream.Connection
}

// admit connects the stream to a back end. If no back end can be used, the verdict is
// that of the last one tried. The error, if any, is the cause of a refusal.
func (s *Streams) admit(ctx context.Context, caller *stream.Connection) (admittedStream, stream.Verdict, error) {
	header, err := caller.ReadHeader()
	if err == nil && !header.HasRoute {
		err = fault.New(fault.Invalid, "stream from %v has no route", header.Key.Caller)
	}
	if err != nil {
		return admittedStream{}, stream.VerdictInvalid, err
	}
	snapshot, ok := s.snapshotAt(ctx, header.Revision)
	if !ok {
		return admittedStream{}, stream.VerdictStaleConfiguration, nil
	}
	service := snapshot.ServiceAt(header.Key.Service)
	if service == nil || service.Protocol != catalog.ProtocolTCP {
		return admittedStream{}, stream.VerdictUnknownService, nil
	}
	verdict := stream.VerdictDraining
	for _, backend := range flow.StreamBackends(service, s.options.Self, header.Key) {
		var admission admittedStream
		admission, verdict, err = s.connect(ctx, service, backend)
		if verdict == stream.VerdictAdmitted {
			return admission, verdict, nil
		}
	}
	return admittedStream{}, verdict, err
}

// connect reserves a slot at the back end and connects to it.
func (s *Streams) connect(ctx context.Context, service *catalog.Service, backend *catalog.Backend) (admittedStream, stream.Verdict, error) {
	identity := backendIdentity{service.Name, backend.ID, backend.Incarnation}
	if verdict := s.slots.acquire(identity, int(backend.Connections)); verdict != stream.VerdictAdmitted {
		return admittedStream{}, verdict, nil
	}
	connection, err := stream.Dial(ctx, backend.Address)
	if err != nil {
		s.slots.release(identity)
		return admittedStream{}, stream.VerdictUnreachable, err
	}
	return admittedStream{identity, connection}, stream.VerdictAdmitted, nil
}

// snapshotAt returns the configuration at the revision or a later one. It returns
// false if that configuration is not received within configurationTimeout.
func (s *Streams) snapshotAt(ctx context.Context, revision catalog.Revision) (*catalog.Snapshot, bool) {
	snapshot := s.options.Configuration.Snapshot()
	if snapshot.Revision() >= revision {
		return snapshot, true
	}
	s.options.Configuration.Pull(revision)
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	ticker := time.NewTicker(configurationPollInterval)
	defer ticker.Stop()
	for snapshot.Revision() < revision {
		select {
		case <-ctx.Done():
			return nil, false
		case <-ticker.C:
			snapshot = s.options.Configuration.Snapshot()
		}
	}
	return snapshot, true
}
