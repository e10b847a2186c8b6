// This file contains the helpers that all tests share: they start a cluster and load on it, wait
// for conditions and configuration revisions, read metrics and environment variables, and check
// what the callers saw against the journal of the back ends.

package test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
)

// Services of the test clusters.
const (
	lessons catalog.ServiceName = "lessons" // http
	library catalog.ServiceName = "library" // http
	media   catalog.ServiceName = "media"   // udp
	scores  catalog.ServiceName = "scores"  // udp
)

// Sites of the test clusters.
const (
	oldSite catalog.SiteName = "old"
	newSite catalog.SiteName = "new"
)

const (
	revisionTimeout = 20 * time.Second // for a change to take effect on every node
	waitTimeout     = 60 * time.Second // for any other condition, and for a process to stop
	pollInterval    = 20 * time.Millisecond
	slotsPerBackend = 7 // concurrent requests

	// maxReplyDelay is how long a flow may go without a reply. An agent queues a datagram of a new
	// flow for up to 2 s until its peers have confirmed that the agent is alive. The rest allows
	// for one lost datagram and the next one of the flow.
	maxReplyDelay = 3 * time.Second
)

// timeOfDay is the layout of times in failure messages, as in the processes' logs.
const timeOfDay = "15:04:05.000"

// Zones of the test clusters. Nodes are assigned to them in turn.
var zones = []catalog.ZoneName{"zone-1", "zone-2", "zone-3"}

// deployment is a running cluster, with the test that uses it and the journal that all its back
// ends write to.
type deployment struct {
	*cluster.Cluster
	t       *testing.T
	is      *is.I
	journal *backend.Journal
}

// startDeployment starts the processes of the plan and stops them at the end of the test.
func startDeployment(t *testing.T, plan cluster.Plan) *deployment {
	t.Helper()
	plan.Zones = zones
	plan.Group = group
	plan.Journal = &backend.Journal{}
	running, err := cluster.Start(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	started := &deployment{Cluster: running, t: t, is: is.New(t), journal: plan.Journal}
	t.Cleanup(started.close)
	return started
}

// close stops the cluster. If the test has failed, it first logs the dropped datagrams and the end
// of the log of each node, and writes the whole logs to the artifact directory of the test.
func (d *deployment) close() {
	if d.t.Failed() {
		logs := d.t.ArtifactDir()
		for _, node := range d.Nodes() {
			d.t.Logf("%s: dropped %v\n%s", node.ID, d.droppedMetrics(node), lastLines(node.Process.Log()))
			if err := os.WriteFile(filepath.Join(logs, node.ID+".log"), []byte(node.Process.Log()), 0o644); err != nil {
				d.t.Error(err)
			}
		}
	}
	if err := d.Close(); err != nil {
		d.t.Error(err)
	}
}

// droppedMetrics returns the samples of a node that count dropped datagrams and are not 0.
func (d *deployment) droppedMetrics(node *cluster.Node) []string {
	var lines []string
	for line := range strings.Lines(fetchMetrics(node)) {
		if strings.Contains(line, "dropped") && !strings.HasPrefix(line, "#") && !strings.HasSuffix(line, " 0\n") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// fetchMetrics returns the metrics page of a node, empty if the node does not answer within 1 s.
func fetchMetrics(node *cluster.Node) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + node.Metrics().String() + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return string(content)
}

// fetchMetric returns the value of a metric without labels, empty if the node does not export it.
func fetchMetric(node *cluster.Node, name string) string {
	for line := range strings.Lines(fetchMetrics(node)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func lastLines(log string) string {
	const count = 12
	lines := strings.SplitAfter(log, "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "")
}

// singleSite returns the site plan of a service with all back ends at oldSite.
func singleSite(backends int) []cluster.SitePlan {
	return []cluster.SitePlan{{Name: oldSite, Percent: 100, Backends: backends}}
}

// withoutNode returns a copy of nodes without the unwanted one.
func withoutNode(nodes []*cluster.Node, unwanted *cluster.Node) []*cluster.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(node *cluster.Node) bool { return node == unwanted })
}

func (d *deployment) backendsOf(service catalog.ServiceName) []*cluster.Backend {
	var backEnds []*cluster.Backend
	for _, backEnd := range d.Backends {
		if backEnd.Service == service {
			backEnds = append(backEnds, backEnd)
		}
	}
	return backEnds
}

// flowLoad returns a load of UDP flows with one datagram per flow every 200 ms. A flow is replaced
// by a new one after the lifetime; 0: never.
func (d *deployment) flowLoad(service catalog.ServiceName, flows int, lifetime time.Duration) caller.FlowLoad {
	return caller.FlowLoad{
		Service:      service,
		Address:      d.Fabric.ServiceAddress(service),
		Flows:        flows,
		Interval:     200 * time.Millisecond,
		Lifetime:     lifetime,
		ReplyTimeout: maxReplyDelay,
		Padding:      100,
	}
}

// startFlows starts UDP flows that pass their datagrams to the fabric without sockets, and waits
// until load.Flows of them are answered.
func (d *deployment) startFlows(load caller.FlowLoad) *caller.Run {
	d.t.Helper()
	run := caller.StartInjectedFlows(load, d.Fabric)
	d.t.Cleanup(func() { run.Stop() })
	d.awaitCondition("an answer on every flow", func() bool { return run.Snapshot().FlowsAnswered >= uint64(load.Flows) })
	return run
}

// requestLoad returns a load of HTTP/3 callers that make two echo requests per download.
func (d *deployment) requestLoad(service catalog.ServiceName, callers int) caller.RequestLoad {
	return caller.RequestLoad{
		HTTPOptions:           caller.HTTPOptions{Service: service, Address: d.Fabric.ServiceAddress(service)},
		Callers:               callers,
		Pause:                 20 * time.Millisecond,
		RequestsPerConnection: 10,
		Timeout:               20 * time.Second,
		NextRequest: func(callerNumber, number int) caller.Request {
			return echoOrDownload(service, callerNumber, number)
		},
	}
}

// startRequests starts the load that requestLoad returns and waits for the first complete answer.
func (d *deployment) startRequests(service catalog.ServiceName, callers int) *caller.Run {
	d.t.Helper()
	return d.startRequestLoad(d.requestLoad(service, callers))
}

// startRequestLoad starts HTTP/3 callers and waits for the first complete answer.
func (d *deployment) startRequestLoad(load caller.RequestLoad) *caller.Run {
	d.t.Helper()
	run := caller.StartRequests(load)
	d.t.Cleanup(func() { run.Stop() })
	d.awaitCondition("the first complete answer to a request", func() bool { return run.Snapshot().Complete > 0 })
	return run
}

// requestID returns the id of a request, unique within a load.
func requestID(service catalog.ServiceName, callerNumber, number int) string {
	return fmt.Sprintf("%s-caller-%d-request-%d", service, callerNumber, number)
}

func echoOrDownload(service catalog.ServiceName, callerNumber, number int) caller.Request {
	request := caller.Request{
		ID:        requestID(service, callerNumber, number),
		Operation: caller.OperationEcho,
		Bytes:     2 << 10,
	}
	if number%3 == 0 {
		request.Operation = caller.OperationDownload
		request.Bytes = 64 << 10
		request.Duration = 200 * time.Millisecond
	}
	return request
}

// awaitCondition polls until the condition is true and fails the test after waitTimeout.
func (d *deployment) awaitCondition(description string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// awaitRevision checks that a change was written without error and waits until it has taken effect
// on every node.
func (d *deployment) awaitRevision(revision catalog.Revision, err error) {
	d.t.Helper()
	d.awaitRevisionOn(d.Nodes(), revision, err)
}

// awaitRevisionOn is awaitRevision for some of the nodes.
func (d *deployment) awaitRevisionOn(nodes []*cluster.Node, revision catalog.Revision, err error) {
	d.t.Helper()
	d.is.Helper()
	d.is.NoErr(err)
	d.is.NoErr(cluster.AwaitRevision(revision, revisionTimeout, nodes...))
}

// checkFlows checks that no flow was broken, unanswered, misrouted or answered wrongly, and
// compares the flows with the journal.
func (d *deployment) checkFlows(result caller.Result) {
	d.t.Helper()
	d.logFlows(result)
	if result.FlowsBroken+result.FlowsUnanswered+result.Misrouted+result.Wrong > 0 {
		d.t.Errorf("flows broken, unanswered, misrouted or answered wrongly; broken: %v", result.BrokenFlows)
	}
	d.logUnanswered(result.UnansweredFlows)
	d.checkJournal(result)
}

// logUnanswered logs when each unanswered flow ran, and which back ends have received a datagram of
// it, and when first.
func (d *deployment) logUnanswered(unanswered []caller.UnansweredFlow) {
	d.t.Helper()
	received := map[string][]backend.FlowRecord{}
	for _, record := range d.journal.Flows() {
		received[record.Flow] = append(received[record.Flow], record)
	}
	for _, flow := range unanswered {
		d.t.Logf("unanswered flow %s from %s to %s; received by %v", flow.Flow, flow.StartTime.Format(timeOfDay),
			flow.EndTime.Format(timeOfDay), received[flow.Flow])
	}
}

func (d *deployment) logFlows(result caller.Result) {
	d.t.Helper()
	d.t.Logf("flows: %d started, %d answered, %d broken (%d of them moved), %d unanswered, %d misrouted, %d wrong; %d datagrams at most %v apart, %d replies, p99 %.1f ms",
		result.Flows, result.FlowsAnswered, result.FlowsBroken, result.FlowsMoved, result.FlowsUnanswered, result.Misrouted, result.Wrong,
		result.DatagramsSent, result.MaxSendGap.Round(time.Millisecond), result.Replies, float64(result.Latency.ValueAtQuantile(99))/1000)
}

// checkRequests checks that every request was answered completely or refused, and compares the
// requests with the journal.
func (d *deployment) checkRequests(result caller.Result) {
	d.t.Helper()
	d.logRequests(result)
	if result.Unknown+result.Wrong+result.Misrouted+result.Unreached > 0 {
		d.t.Error("requests unreached, with an unknown outcome, or with a wrong or misrouted answer")
	}
	d.checkJournal(result)
}

func (d *deployment) logRequests(result caller.Result) {
	d.t.Helper()
	d.t.Logf("requests: %d made, %d complete, %d refused, %d unreached, %d unknown, %d wrong, %d misrouted; p99 %.1f ms",
		result.Requests, result.Complete, result.Refused, result.Unreached, result.Unknown, result.Wrong, result.Misrouted,
		float64(result.Latency.ValueAtQuantile(99))/1000)
	for _, failed := range result.FailedRequests {
		d.t.Logf("%s %s: %s at %q after %s: %v", failed.EndTime.Format(time.TimeOnly), failed.RequestID, failed.Outcome, failed.Backend, failed.Latency, failed.Error)
	}
}

// checkJournal compares what callers saw with what the back ends recorded.
func (d *deployment) checkJournal(result caller.Result) {
	d.t.Helper()
	if violations := caller.FindViolations(result, d.journal); !violations.Empty() {
		d.t.Errorf("violations in the journal of the back ends: %+v", violations)
	}
}

// environmentInt returns the value of an environment variable, or defaultValue if it is not a
// number above 0.
func environmentInt(name string, defaultValue int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil && value > 0 {
		return value
	}
	return defaultValue
}

// environmentDuration returns the value of an environment variable, or defaultValue if it is not a
// duration above 0.
func environmentDuration(name string, defaultValue time.Duration) time.Duration {
	if value, err := time.ParseDuration(os.Getenv(name)); err == nil && value > 0 {
		return value
	}
	return defaultValue
}
