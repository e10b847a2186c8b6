package balancer

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/internal/observability"
)

// dropReason says why a datagram was not sent on.
type dropReason uint8

const (
	dropInvalidHeader  dropReason = iota // no PROXY header, or one that is not for balancers
	dropUnknownService                   // no service has the destination address
	dropNoBackend                        // the service has no back end that is alive
	dropOversize                         // too long together with the longer header
	dropSendError                        // the operating system refused to send it
	dropReasonCount
)

// dropNames holds the value of the metric's label for each reason.
var dropNames = [dropReasonCount]string{
	dropInvalidHeader:  "invalid-header",
	dropUnknownService: "unknown-service",
	dropNoBackend:      "no-back-end",
	dropOversize:       "oversize",
	dropSendError:      "send-error",
}

const subsystem = "balancer"

// metrics counts what a balancer does.
type metrics struct {
	received prometheus.Counter
	sent     prometheus.Counter
	misses   prometheus.Counter
	dropped  [dropReasonCount]prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	droppedVector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: observability.Namespace, Subsystem: subsystem, Name: "dropped_datagrams_total",
		Help: "Datagrams that were not sent on, by reason.",
	}, []string{"reason"})
	created := &metrics{
		received: newCounter("received_datagrams_total", "Datagrams that arrived."),
		sent:     newCounter("sent_datagrams_total", "Datagrams sent on to agents."),
		misses:   newCounter("hop_cache_misses_total", "Datagrams whose first hop was not in the cache or out of date."),
	}
	for reason, name := range dropNames {
		created.dropped[reason] = droppedVector.WithLabelValues(name)
	}
	registerer.MustRegister(created.received, created.sent, created.misses, droppedVector)
	return created
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: observability.Namespace, Subsystem: subsystem, Name: name, Help: help,
	})
}
