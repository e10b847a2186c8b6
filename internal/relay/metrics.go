// This file defines, updates and serves the Prometheus metrics of balancers and agents.

package relay

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/observability"
)

// durationBuckets are upper bounds in seconds, from a round trip within a zone to the length of a
// long outage.
var durationBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)

// offerCountBuckets are upper bounds for the number of offers made for one flow.
var offerCountBuckets = prometheus.LinearBuckets(1, 1, handshake.MaxOffers+1)

// Values of the label source: senders of datagrams.
const (
	sourceCaller  = "caller"
	sourceBackend = "backend"
	sourcePeer    = "peer"
)

// Values of the label distance: location of a message's receiver.
const (
	distanceOwnZone   = "own-zone"
	distanceOtherZone = "other-zone"
	distanceUnknown   = "unknown" // no status received yet
)

// metrics holds the Prometheus metrics of a node. docs/OPERATIONS.md lists them.
type metrics struct {
	registry            *prometheus.Registry
	decisions           *prometheus.CounterVec   // by event and reason
	resets              *prometheus.CounterVec   // by reason and kind of request
	datagrams           *prometheus.CounterVec   // by source
	invalid             *prometheus.CounterVec   // by source
	peerBytes           *prometheus.CounterVec   // bytes sent to processes, by kind and distance
	openingDuration     prometheus.Histogram     // time from the last offer to its acceptance
	openingOffers       prometheus.Histogram     // offers for one accepted flow
	queryDuration       prometheus.Histogram     // time from a query until the holder is found
	storeCalls          *prometheus.HistogramVec // duration of store calls, by call and outcome
	backendIncarnations *prometheus.CounterVec   // accepted incarnations of the back end, by reason
	staleReports        *prometheus.CounterVec   // messages of other incarnations, by kind
	reportGaps          prometheus.Histogram     // time between consecutive reports of the back end
	tickDelay           prometheus.Histogram     // delay of ticks
	statusGaps          prometheus.Histogram     // time between consecutive statuses of a peer

	// Counters of rejected input.
	refusedReports *prometheus.CounterVec // rejected reports and removals, by reason
	skippedEntries *prometheus.CounterVec // unusable objects of the store, by kind and reason

	unacknowledgedDrains prometheus.Counter // drains and removals that the store did not record in time

	// Cached counters of frequent events, which avoid a lookup by labels. The maps are guarded by
	// the node's lock.
	callerDatagrams, backendDatagrams, peerDatagrams prometheus.Counter
	messageCounters                                  map[messageLabels]prometheus.Counter
	decisionCounters                                 map[decisionLabels]prometheus.Counter
}

// decisionLabels are the labels of the counter of decisions.
type decisionLabels struct {
	event  handshake.Event
	reason string
}

// messageLabels are the labels of the counter of sent bytes.
type messageLabels struct{ kind, distance string }

func newMetrics() *metrics {
	m := &metrics{
		registry:            observability.NewRegistry(),
		decisions:           newCounterVec("decisions_total", "Decisions about flows.", "event", "reason"),
		resets:              newCounterVec("resets_total", "Resets sent to callers.", "reason", "requests"),
		datagrams:           newCounterVec("datagrams_total", "Datagrams received.", "source"),
		invalid:             newCounterVec("datagrams_invalid_total", "Datagrams received that could not be read.", "source"),
		peerBytes:           newCounterVec("peer_bytes_total", "Bytes of messages to other processes, without headers.", "kind", "distance"),
		openingDuration:     newHistogram("opening_seconds", "From an offer of a flow to its acceptance.", durationBuckets),
		openingOffers:       newHistogram("opening_attempts", "Offers made for a flow until one was accepted.", offerCountBuckets),
		queryDuration:       newHistogram("locating_seconds", "From the question who holds a flow to the agent that does.", durationBuckets),
		backendIncarnations: newCounterVec("backend_lives_total", "Lives of the back end that were taken for the present one.", "reason"),
		staleReports:        newCounterVec("backend_stale_total", "Reports and removals that were not of the back end's present life, and were not acknowledged.", "said"),
		reportGaps:          newHistogram("backend_report_gap_seconds", "Silence of the back end before each of its reports.", durationBuckets),
		tickDelay:           newHistogram("tick_delay_seconds", "By how much the process's own clock ticks came late.", durationBuckets),
		statusGaps:          newHistogram("peer_status_gap_seconds", "Silence of a peer before each of its statuses.", durationBuckets),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: observability.Namespace, Name: "store_call_seconds",
			Help: "Calls to the store; watches wait on purpose.", Buckets: durationBuckets}, []string{"call", "outcome"}),
	}
	m.refusedReports = newCounterVec("reports_refused_total", "Reports and removals that name no back end.", "reason")
	m.skippedEntries = observability.NewSkippedEntries()
	m.unacknowledgedDrains = prometheus.NewCounter(prometheus.CounterOpts{Namespace: observability.Namespace, Name: "drains_unacknowledged_total",
		Help: "Draining reports and removals that were not acknowledged because the store did not record them in time."})
	m.registry.MustRegister(m.refusedReports, m.skippedEntries, m.unacknowledgedDrains)
	m.callerDatagrams = m.datagrams.WithLabelValues(sourceCaller)
	m.backendDatagrams = m.datagrams.WithLabelValues(sourceBackend)
	m.peerDatagrams = m.datagrams.WithLabelValues(sourcePeer)
	m.decisionCounters = map[decisionLabels]prometheus.Counter{}
	m.messageCounters = map[messageLabels]prometheus.Counter{}
	m.registry.MustRegister(m.decisions, m.resets, m.datagrams, m.invalid, m.peerBytes, m.openingDuration, m.openingOffers,
		m.queryDuration, m.storeCalls, m.backendIncarnations, m.staleReports, m.reportGaps, m.tickDelay, m.statusGaps)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: observability.Namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: observability.Namespace, Name: name, Help: help, Buckets: buckets})
}

// addGauge registers a gauge whose value is read on each scrape.
func (m *metrics) addGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: observability.Namespace, Name: name, Help: help}, read))
}

// countDecision counts a decision and observes its durations. The node's lock is held.
func (m *metrics) countDecision(d handshake.Decision) {
	labels := decisionLabels{d.Event, d.Reason}
	counter := m.decisionCounters[labels]
	if counter == nil {
		counter = m.decisions.WithLabelValues(string(d.Event), d.Reason)
		m.decisionCounters[labels] = counter
	}
	counter.Inc()
	switch d.Event {
	case handshake.EventAccepted:
		m.openingDuration.Observe(d.Age.Seconds())
		m.openingOffers.Observe(float64(d.Attempts))
	case handshake.EventHolderFound:
		m.queryDuration.Observe(d.Age.Seconds())
	}
}

// countSent counts the bytes of a message to another process. The node's lock is held.
func (m *metrics) countSent(message handshake.Message, distance string, bytes int) {
	labels := messageLabels{messageKind(message), distance}
	counter := m.messageCounters[labels]
	if counter == nil {
		counter = m.peerBytes.WithLabelValues(labels.kind, labels.distance)
		m.messageCounters[labels] = counter
	}
	counter.Add(float64(bytes))
}

// messageKind returns the value of the label kind for a message.
func messageKind(message handshake.Message) string {
	switch message.(type) {
	case handshake.Status:
		return "status"
	case handshake.Offer, handshake.Accepted, handshake.Refused:
		return "opening"
	case handshake.ReservationRequest, handshake.ReservationGranted, handshake.ReservationReleased:
		return "reservation"
	case handshake.Forward, handshake.NotHeld:
		return "forward"
	case handshake.FlowQuery, handshake.FlowQueryAnswer, handshake.Hint:
		return "locate"
	case handshake.Search, handshake.SearchAnswer:
		return "search"
	case handshake.StoreLocations:
		return "location"
	case handshake.Records, handshake.CompareRequest:
		return "records"
	case handshake.SummaryRequest, handshake.FlowSummary:
		return "census"
	default:
		return "unknown"
	}
}

// outcomeSuccess is the label value of a store call that succeeded. For a failed call the value is
// the kind of its error.
const outcomeSuccess = "success"

// observeStoreCall observes the duration and outcome of a store call.
func (m *metrics) observeStoreCall(call string, startedAt time.Time, err error) {
	outcome := outcomeSuccess
	if err != nil {
		outcome = fault.KindOf(err).String()
	}
	m.storeCalls.WithLabelValues(call, outcome).Observe(time.Since(startedAt).Seconds())
}

// handler serves the metrics at /metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
