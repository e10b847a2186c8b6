// This file defines the metrics of the streams of a process: received, open, refused by reason and
// ended by outcome, and the bytes forwarded in each direction.

package stream

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/internal/observability"
)

// Label values of the metrics.
const (
	outcomeComplete = "complete"
	outcomeReset    = "cut"
	toBackend       = "to-backend"
	toCaller        = "to-caller"
)

// Metrics counts the streams of one process. It implements Meter. All methods are
// safe for concurrent use.
type Metrics struct {
	received  prometheus.Counter
	open      prometheus.Gauge
	refused   *prometheus.CounterVec
	complete  prometheus.Counter
	reset     prometheus.Counter
	toBackend prometheus.Counter
	toCaller  prometheus.Counter
}

// NewMetrics registers the metrics of the subsystem, such as balancer. The reasons
// are the possible arguments of Refused.
func NewMetrics(registerer prometheus.Registerer, subsystem string, reasons []string) *Metrics {
	options := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: observability.Namespace, Subsystem: subsystem, Name: name, Help: help}
	}
	received := prometheus.NewCounter(prometheus.CounterOpts(options("received_streams_total", "Streams that arrived.")))
	open := prometheus.NewGauge(prometheus.GaugeOpts(options("open_streams", "Streams that are relayed now.")))
	refused := prometheus.NewCounterVec(prometheus.CounterOpts(options("refused_streams_total", "Streams of which no byte was passed on, by reason.")), []string{"reason"})
	ended := prometheus.NewCounterVec(prometheus.CounterOpts(options("ended_streams_total", "Relayed streams that are over, by outcome.")), []string{"outcome"})
	forwarded := prometheus.NewCounterVec(prometheus.CounterOpts(options("stream_bytes_total", "Bytes of streams passed on, by direction.")), []string{"direction"})
	registerer.MustRegister(received, open, refused, ended, forwarded)
	for _, reason := range reasons {
		refused.WithLabelValues(reason)
	}
	return &Metrics{
		received:  received,
		open:      open,
		refused:   refused,
		complete:  ended.WithLabelValues(outcomeComplete),
		reset:     ended.WithLabelValues(outcomeReset),
		toBackend: forwarded.WithLabelValues(toBackend),
		toCaller:  forwarded.WithLabelValues(toCaller),
	}
}

// Received counts a received stream.
func (m *Metrics) Received() { m.received.Inc() }

// Refused counts a stream that was refused for the reason.
func (m *Metrics) Refused(reason string) { m.refused.WithLabelValues(reason).Inc() }

// Relay calls the function Relay and counts the stream and its outcome.
func (m *Metrics) Relay(caller, backend *Connection) error {
	m.open.Inc()
	defer m.open.Dec()
	err := Relay(caller, backend, m)
	if err != nil {
		m.reset.Inc()
		return err
	}
	m.complete.Inc()
	return nil
}

// ForwardedToBackend counts bytes that were forwarded to a back end.
func (m *Metrics) ForwardedToBackend(bytes int) { m.toBackend.Add(float64(bytes)) }

// ForwardedToCaller counts bytes that were forwarded to a caller.
func (m *Metrics) ForwardedToCaller(bytes int) { m.toCaller.Add(float64(bytes)) }
