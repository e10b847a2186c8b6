// This file defines the agent's metrics and the reasons for which it drops datagrams. The type
// metrics is the udpflow.Observer, which counts replies; backendMetrics is the gateway.Observer of
// a back end, which records requests and busy slots.

package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/gateway"
	"github.com/burlmill/burlmill/internal/observability"
)

const (
	metricsNamespace = observability.Namespace
	metricsSubsystem = "agent"
)

// dropReason is the reason for dropping a datagram. It is a metric label value.
type dropReason string

// Drop reasons in addition to those of flow.DropReason.
const (
	dropMalformed           dropReason = "malformed"      // header missing or invalid, or no route
	dropInboxFull           dropReason = "inbox-full"     // the event loop's inbox is full
	dropWaitingFull         dropReason = "waiting-full"   // the queue of waiting datagrams is full
	dropWaitTimeout         dropReason = "waited-long"    // waited for flow.MaxWaitTime, or older than flow.MaxAge
	dropStandingQueue       dropReason = "standing-queue" // a later datagram of the flow waits in a lane that is standing
	dropDeliveryFailed      dropReason = "backend"        // delivery to the back end failed
	dropSendFailed          dropReason = "network"        // sending to an agent or a caller failed
	dropUnsupportedProtocol dropReason = "protocol"       // the service does not use datagrams
)

var agentDropReasons = []dropReason{
	dropMalformed, dropInboxFull, dropWaitingFull, dropWaitTimeout, dropStandingQueue,
	dropDeliveryFailed, dropSendFailed, dropUnsupportedProtocol,
}

// metrics holds the agent's metrics and implements udpflow.Observer. All methods are safe for
// concurrent use.
type metrics struct {
	registry  *prometheus.Registry
	received  prometheus.Counter
	delivered prometheus.Counter
	forwarded prometheus.Counter
	replies   prometheus.Counter
	dropped   *prometheus.CounterVec
	flows     prometheus.Gauge
	waiting   prometheus.Gauge

	socketWait  prometheus.Observer
	laneWaits   [laneCount]prometheus.Observer
	queueWait   prometheus.Observer // in the queue for a configuration or a confirmation
	deliveryAge prometheus.Histogram

	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	slots    *prometheus.GaugeVec
	busy     *prometheus.GaugeVec
}

func newMetrics() *metrics {
	waits := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace,
		Subsystem: metricsSubsystem,
		Name:      "datagram_wait_seconds",
		Help:      "Time of datagrams in the socket, in a lane of the inbox (hints, forwarded, new), and in the queue for a configuration or a confirmation.",
		Buckets:   observability.WaitBuckets(),
	}, []string{"stage"})
	created := &metrics{
		registry:  observability.NewRegistry(),
		received:  newCounter("datagrams_received_total", "Datagrams received from balancers and other agents."),
		delivered: newCounter("datagrams_delivered_total", "Datagrams handed to back ends."),
		forwarded: newCounter("datagrams_forwarded_total", "Datagrams passed on to other agents."),
		replies:   newCounter("replies_sent_total", "Datagrams of back ends of udp services sent to callers."),
		dropped:   newCounterVec("datagrams_dropped_total", "Datagrams that went nowhere.", "reason"),
		flows:     newGauge("flows", "Open flows."),
		waiting:   newGauge("datagrams_waiting", "Datagrams that wait for a newer configuration."),

		socketWait: waits.WithLabelValues("socket"),
		queueWait:  waits.WithLabelValues("queue"),
		deliveryAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Subsystem: metricsSubsystem,
			Name:      "delivery_age_seconds",
			Help:      "Time from the arrival of a datagram at its balancer to its delivery, without its time in the network.",
			Buckets:   observability.WaitBuckets(),
		}),

		requests: newCounterVec("requests_total", "Requests by what became of them.", "service", "backend", "outcome"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Subsystem: metricsSubsystem,
			Name:      "request_duration_seconds",
			Help:      "Time from the head of a request to the end of its answer.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 4, 10),
		}, []string{"service", "backend"}),
		slots: newGaugeVec("slots", "Requests that the back end can run at once.", "service", "backend"),
		busy:  newGaugeVec("slots_busy", "Requests that the back end runs.", "service", "backend"),
	}
	created.registry.MustRegister(
		created.received, created.delivered, created.forwarded, created.replies, created.dropped,
		created.flows, created.waiting, created.requests, created.duration, created.slots, created.busy,
		waits, created.deliveryAge,
	)
	for lane, stage := range laneStages {
		created.laneWaits[lane] = waits.WithLabelValues(stage)
	}
	created.initDropReasons()
	return created
}

// initDropReasons creates the drop counter of every reason, so that all are exported from the
// start.
func (m *metrics) initDropReasons() {
	for reason := range flow.DropReasonCount {
		m.dropped.WithLabelValues(reason.String())
	}
	for _, reason := range agentDropReasons {
		m.dropped.WithLabelValues(string(reason))
	}
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, labels)
}

// ReplySent counts a reply of a udp service.
func (m *metrics) ReplySent() { m.replies.Inc() }

// ReplyFailed counts a reply of a udp service that could not be sent.
func (m *metrics) ReplyFailed(error) { m.dropped.WithLabelValues(string(dropSendFailed)).Inc() }

// backendMetrics holds the metrics of one back end of an http service. It implements
// gateway.Observer.
type backendMetrics struct {
	outcomes map[gateway.Outcome]prometheus.Counter
	duration prometheus.Observer
	busy     prometheus.Gauge
}

// forBackend returns the metrics of a back end, with a counter of every outcome, so that all are
// exported from the start.
func (m *metrics) forBackend(service *catalog.Service, backend *catalog.Backend) *backendMetrics {
	labels := []string{string(service.Name), string(backend.ID)}
	created := &backendMetrics{
		outcomes: map[gateway.Outcome]prometheus.Counter{},
		duration: m.duration.WithLabelValues(labels...),
		busy:     m.busy.WithLabelValues(labels...),
	}
	for _, outcome := range gateway.Outcomes() {
		created.outcomes[outcome] = m.requests.WithLabelValues(append(labels, string(outcome))...)
	}
	return created
}

// RequestDone records the outcome and the duration of a request.
func (b *backendMetrics) RequestDone(outcome gateway.Outcome, took time.Duration) {
	b.outcomes[outcome].Inc()
	b.duration.Observe(took.Seconds())
}

// SlotsBusy records the number of requests that occupy a slot.
func (b *backendMetrics) SlotsBusy(busy int) { b.busy.Set(float64(busy)) }
