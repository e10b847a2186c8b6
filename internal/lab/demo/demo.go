// Package demo runs a load on a cluster of the lab: HTTP/3 and UDP clients send to two services
// through three balancers and four agents, one balancer is killed during the load, and a table
// shows the results of the clients. Run returns an error if a flow, or a request that was not
// refused, failed.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
)

// Options are the duration and the size of the load.
type Options struct {
	Duration time.Duration // of the load, above 0; a balancer is killed after a third of it
	Callers  int           // HTTP/3 clients
	Flows    int           // UDP flows
}

// DefaultOptions are the defaults of the command.
var DefaultOptions = Options{Duration: 9 * time.Second, Callers: 8, Flows: 200}

// Names of the two services.
const (
	Lessons catalog.ServiceName = "lessons" // HTTP/3
	Media   catalog.ServiceName = "media"   // UDP
)

// Parameters of the load.
const (
	downloadBytes         = 256 << 10 // each third request is a download
	echoBytes             = 2 << 10   // the other requests are echoes
	requestTimeout        = 10 * time.Second
	requestPause          = 5 * time.Millisecond
	requestsPerConnection = 20
	flowInterval          = 50 * time.Millisecond
	flowReplyTimeout      = 5 * time.Second
)

// Plan returns the cluster plan of the demo.
func Plan() cluster.Plan {
	sites := []cluster.SitePlan{{Name: "old", Percent: 100, Backends: 2}}
	return cluster.Plan{
		Zones:     []catalog.ZoneName{"zone-1", "zone-2", "zone-3"},
		Balancers: 3,
		// Can be short: all callers have stopped before the processes are stopped.
		DrainIdleTimeout: time.Second,
		Services: []cluster.ServicePlan{
			{Name: Lessons, Protocol: catalog.ProtocolHTTP, Slots: 7, Sites: sites},
			{Name: Media, Protocol: catalog.ProtocolUDP, Slots: 7, Sites: sites},
		},
	}
}

// Run runs the demo and writes its progress and a table of the results to output. The error is of
// kind fault.Internal if a process did not stop cleanly, if a flow or a request that was not refused
// failed, or if a service has no complete request or no answered flow. It is of kind fault.Canceled
// if ctx ends during the load. Other errors are those of the cluster.
func Run(ctx context.Context, output io.Writer, options Options) (err error) {
	progress := newProgress(output)
	progress.print("building and starting the store, 3 balancers, 4 agents, 4 back ends")
	deployment, err := cluster.Start(ctx, Plan())
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := deployment.Close(); err == nil {
			err = closeErr
		}
	}()
	progress.print("all processes are ready; load starts")
	report, err := runLoad(ctx, deployment, progress, options)
	if err != nil {
		return err
	}
	progress.print("stopping every process")
	stopErr := deployment.StopAll()
	report.writeTable(output)
	if stopErr != nil {
		return fault.Wrap(fault.Internal, stopErr, "a process did not stop cleanly")
	}
	checkErr := report.check()
	if checkErr != nil {
		report.writeFailures(output, deployment)
	}
	return checkErr
}

// runLoad runs the clients of both services, kills one balancer during the load and returns the
// results.
func runLoad(ctx context.Context, deployment *cluster.Cluster, progress progress, options Options) (report, error) {
	requests := caller.StartRequests(requestLoad(deployment, options))
	flows := caller.StartFlows(flowLoad(deployment, options))
	waitErr := killOneBalancer(ctx, deployment, progress, options.Duration)
	report := report{requests: requests.Stop(), flows: flows.Stop()}
	if waitErr != nil {
		return report, waitErr
	}
	return report, report.readBackendCounts(ctx, deployment)
}

// killOneBalancer kills a balancer after a third of the duration and returns at the end of the
// duration.
func killOneBalancer(ctx context.Context, deployment *cluster.Cluster, progress progress, duration time.Duration) error {
	if err := wait(ctx, duration/3); err != nil {
		return err
	}
	balancer := deployment.Balancers[0]
	progress.print(fmt.Sprintf("killing %s", balancer.ID))
	deployment.KillBalancer(balancer)
	progress.print("the fabric no longer uses it")
	return wait(ctx, duration-duration/3)
}

// wait waits for the duration. The error is of kind fault.Canceled if ctx ends first.
func wait(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return fault.Wrap(fault.Canceled, ctx.Err(), "wait during the load")
	case <-time.After(duration):
		return nil
	}
}

func requestLoad(deployment *cluster.Cluster, options Options) caller.RequestLoad {
	return caller.RequestLoad{
		HTTPOptions: caller.HTTPOptions{
			Service: Lessons,
			Address: deployment.Fabric.ServiceAddress(Lessons),
		},
		Callers:               options.Callers,
		Pause:                 requestPause,
		RequestsPerConnection: requestsPerConnection,
		Timeout:               requestTimeout,
		NextRequest:           nextRequest,
	}
}

func nextRequest(callerNumber, number int) caller.Request {
	request := caller.Request{
		ID:        fmt.Sprintf("caller-%d-request-%d", callerNumber, number),
		Operation: caller.OperationEcho,
		Bytes:     echoBytes,
	}
	if number%3 == 0 {
		request.Operation = caller.OperationDownload
		request.Bytes = downloadBytes
	}
	return request
}

func flowLoad(deployment *cluster.Cluster, options Options) caller.FlowLoad {
	return caller.FlowLoad{
		Service:      Media,
		Address:      deployment.Fabric.ServiceAddress(Media),
		Flows:        options.Flows,
		Interval:     flowInterval,
		ReplyTimeout: flowReplyTimeout,
		Padding:      100,
	}
}
