// This file answers status queries from other goroutines: it returns the load of a back end from
// the metrics and the event loop's state, and lists the open flows in pages, so that a listing does
// not block the event loop. Queries fail once the agent has stopped.

package agent

import (
	"context"
	"iter"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/gateway"
	"github.com/burlmill/burlmill/internal/status"
)

// flowsPerPage is the page size of flow listings. It bounds how long a listing delays datagrams.
const flowsPerPage = 256

// inspection gives other goroutines read access to the event loop's state. It implements
// status.AgentInspector.
type inspection struct {
	eventLoop *eventLoop
	metrics   *metrics
	queries   chan func()   // run by the event loop between two events
	stopped   chan struct{} // closed when the event loop has stopped
}

func newInspection(metrics *metrics) *inspection {
	return &inspection{
		metrics: metrics,
		queries: make(chan func()),
		stopped: make(chan struct{}),
	}
}

// query runs a function on the event loop's goroutine and waits until it returns. If the function
// is not run, the error is of kind fault.Unavailable if the agent has stopped, or fault.Deadline if
// the context has ended.
func (i *inspection) query(ctx context.Context, query func()) error {
	done := make(chan struct{})
	run := func() {
		defer close(done)
		query()
	}
	select {
	case i.queries <- run:
		<-done
		return nil
	case <-i.stopped:
		return fault.New(fault.Unavailable, "agent is stopped")
	case <-ctx.Done():
		return fault.Wrap(fault.Deadline, ctx.Err(), "query agent state")
	}
}

// Load implements status.AgentInspector. Errors are those of query.
func (i *inspection) Load(
	ctx context.Context, name catalog.ServiceName, id catalog.BackendID,
) (status.BackendLoad, error) {
	load := status.BackendLoad{
		Busy: int(readMetric(i.metrics.busy, string(name), string(id)).GetGauge().GetValue()),
		Refusals: uint64(readMetric(
			i.metrics.requests, string(name), string(id), string(gateway.OutcomeNotRun),
		).GetCounter().GetValue()),
	}
	err := i.query(ctx, func() { load.Flows = i.eventLoop.backendFlowCount(name, id) })
	return load, err
}

// backendFlowCount returns the number of open flows of a back end, 0 if it is not configured.
func (l *eventLoop) backendFlowCount(name catalog.ServiceName, id catalog.BackendID) int {
	service := l.coordination.Snapshot().Service(name)
	if service == nil {
		return 0
	}
	for index := range service.Backends {
		if service.Backends[index].ID == id {
			return l.decider.BackendFlowCount(service, &service.Backends[index])
		}
	}
	return 0
}

// metricVec is a metric vector: one metric for each set of label values.
type metricVec[Metric prometheus.Metric] interface {
	WithLabelValues(values ...string) Metric
}

// readMetric returns the current value of the metric with these label values.
func readMetric[Metric prometheus.Metric](metrics metricVec[Metric], labels ...string) *dto.Metric {
	value := new(dto.Metric)
	_ = metrics.WithLabelValues(labels...).Write(value) // fails only for a malformed metric
	return value
}

// Flows implements status.AgentInspector. The event loop can handle other events after every
// flowsPerPage flows. Errors are those of query.
func (i *inspection) Flows(ctx context.Context, visit func(flow.OpenFlow)) error {
	next, stop := iter.Pull(i.eventLoop.decider.OpenFlows())
	defer stop()
	page := make([]flow.OpenFlow, 0, flowsPerPage)
	for more := true; more; {
		page = page[:0]
		err := i.query(ctx, func() { page, more = fillPage(page, next) })
		if err != nil {
			return err
		}
		for _, open := range page {
			visit(open)
		}
	}
	return nil
}

// fillPage appends flows up to the page's capacity and reports whether more may follow.
func fillPage(
	page []flow.OpenFlow, next func() (flow.OpenFlow, bool),
) (filled []flow.OpenFlow, more bool) {
	for len(page) < cap(page) {
		open, ok := next()
		if !ok {
			return page, false
		}
		page = append(page, open)
	}
	return page, true
}
