// This file prints the progress of the demo, and computes, prints and checks its results. After a
// failed check it prints the failed requests and the logs of the balancers and agents.

package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
)

// progress prints the steps of the demo with the time since its start.
type progress struct {
	output  io.Writer
	started time.Time
}

func newProgress(output io.Writer) progress { return progress{output: output, started: time.Now()} }

func (p progress) print(text string) {
	fmt.Fprintf(p.output, "%6.1fs  %s\n", time.Since(p.started).Seconds(), text)
}

// report holds the results of the clients and the distribution of load over the back ends.
type report struct {
	requests         caller.Result
	flows            caller.Result
	requestImbalance float64 // busiest back end's requests divided by the mean
	flowImbalance    float64 // busiest back end's flows divided by the mean
}

// readBackendCounts queries the counts of the back ends and computes the imbalances.
func (r *report) readBackendCounts(ctx context.Context, deployment *cluster.Cluster) error {
	var runs, flows []uint64
	for _, backend := range deployment.Backends {
		counts, err := backend.Counts(ctx)
		if err != nil {
			return err
		}
		if backend.Service == Lessons {
			runs = append(runs, counts.Runs)
		} else {
			flows = append(flows, counts.Flows)
		}
	}
	r.requestImbalance = imbalance(runs)
	r.flowImbalance = imbalance(flows)
	return nil
}

// imbalance returns the largest value divided by the mean, or 0 if all values are 0.
func imbalance(values []uint64) float64 {
	var largest, sum uint64
	for _, value := range values {
		largest = max(largest, value)
		sum += value
	}
	if sum == 0 {
		return 0
	}
	return float64(largest) * float64(len(values)) / float64(sum)
}

// unknownOutcomes returns the number of requests with an unknown outcome, such as those whose
// response ended early with an error.
func (r *report) unknownOutcomes() uint64 { return r.requests.Unknown }

// writeTable prints the results as a table; write errors are ignored.
func (r *report) writeTable(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	latency := func(result caller.Result, percentile float64) string {
		return fmt.Sprintf("%.2f ms", float64(result.Latency.ValueAtQuantile(percentile))/1000)
	}
	row("requests", r.requests.Requests)
	row("requests complete", r.requests.Complete)
	row("requests refused (not run)", r.requests.Refused)
	row("requests without a connection", r.requests.Unreached)
	row("flows", r.flows.Flows)
	row("broken flows", r.flows.FlowsBroken+r.flows.FlowsUnanswered)
	row("misrouted", r.requests.Misrouted+r.flows.Misrouted)
	row("wrong answers", r.requests.Wrong+r.flows.Wrong)
	row("cut answers", r.unknownOutcomes())
	row("request latency p50", latency(r.requests, 50))
	row("request latency p99", latency(r.requests, 99))
	row("datagram latency p50", latency(r.flows, 50))
	row("datagram latency p99", latency(r.flows, 99))
	row("request imbalance (max / mean)", fmt.Sprintf("%.2f", r.requestImbalance))
	row("flow imbalance (max / mean)", fmt.Sprintf("%.2f", r.flowImbalance))
	_ = table.Flush()
}

// maxPrintedFailures is the maximum number of failed requests that are printed.
const maxPrintedFailures = 10

// writeFailures prints the first failed requests and the log of each balancer and agent.
func (r *report) writeFailures(output io.Writer, deployment *cluster.Cluster) {
	for _, request := range r.requests.FailedRequests[:min(len(r.requests.FailedRequests), maxPrintedFailures)] {
		fmt.Fprintf(output, "%s %s %s %s after %s: %v\n",
			request.EndTime.Format(time.TimeOnly), request.RequestID, request.Outcome, request.Backend, request.Latency, request.Error)
	}
	for _, node := range deployment.Nodes() {
		fmt.Fprintf(output, "log of %s:\n%s\n", node.ID, node.Process.Log())
	}
}

// check returns an error of kind fault.Internal if a flow was broken or unanswered, if a request
// was wrong, misrouted, unreached or of unknown outcome, or if a service has no complete request or
// no answered flow.
func (r *report) check() error {
	if r.requests.Complete == 0 || r.flows.FlowsAnswered == 0 {
		return fault.New(fault.Internal, "a service sent no valid response: %d requests complete, %d flows answered", r.requests.Complete, r.flows.FlowsAnswered)
	}
	faulty := r.flows.FlowsBroken + r.flows.FlowsUnanswered +
		r.requests.Misrouted + r.flows.Misrouted +
		r.requests.Wrong + r.flows.Wrong + r.unknownOutcomes() + r.requests.Unreached
	if faulty > 0 {
		return fault.New(fault.Internal, "%d requests or flows were broken, unanswered, misrouted, wrong, unreached or of unknown outcome", faulty)
	}
	return nil
}
