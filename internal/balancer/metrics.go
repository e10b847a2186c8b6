// This file defines the datagram counters of a balancer (received, sent, dropped, hop cache misses)
// and the reasons for which a datagram is dropped.

package balancer

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/internal/observability"
)

// dropReason is the reason why a datagram was dropped.
type dropReason uint8

const (
	dropInvalidHeader  dropReason = iota // PROXY header missing, malformed, or with a route, which a fabric must not send
	dropUnknownService                   // no service has the destination address
	dropNoBackend                        // the service has no live back end
	dropOversize                         // exceeds the size limit once the route is added to its header
	dropSendError                        // the sender returned an error
	dropWaitTimeout                      // waited in the socket for more than flow.MaxWaitTime
	dropReasonCount
)

// dropLabels holds the metric label value of each reason.
var dropLabels = [dropReasonCount]string{
	dropInvalidHeader:  "invalid-header",
	dropUnknownService: "unknown-service",
	dropNoBackend:      "no-back-end",
	dropOversize:       "oversize",
	dropSendError:      "send-error",
	dropWaitTimeout:    "waited-long",
}

const subsystem = "balancer"

// metrics holds the counters. A hop cache miss is a datagram whose cached first hop is missing or
// outdated.
type metrics struct {
	received       prometheus.Counter
	sent           prometheus.Counter
	hopCacheMisses prometheus.Counter
	dropped        [dropReasonCount]prometheus.Counter
	socketWait     prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	droppedVector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: observability.Namespace, Subsystem: subsystem, Name: "dropped_datagrams_total",
		Help: "Datagrams that were not sent on, by reason.",
	}, []string{"reason"})
	result := &metrics{
		received:       newCounter("received_datagrams_total", "Datagrams that arrived."),
		sent:           newCounter("sent_datagrams_total", "Datagrams sent on to agents."),
		hopCacheMisses: newCounter("hop_cache_misses_total", "Datagrams whose first hop was not in the cache or out of date."),
		socketWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: observability.Namespace, Subsystem: subsystem, Name: "datagram_wait_seconds",
			Help:    "Time of datagrams in the socket.",
			Buckets: observability.WaitBuckets(),
		}),
	}
	for reason, name := range dropLabels {
		result.dropped[reason] = droppedVector.WithLabelValues(name)
	}
	registerer.MustRegister(result.received, result.sent, result.hopCacheMisses, droppedVector, result.socketWait)
	return result
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: observability.Namespace, Subsystem: subsystem, Name: name, Help: help,
	})
}
