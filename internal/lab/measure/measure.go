// Package measure compares the path through burlmill with the direct path to a back end: the
// round-trip time of a datagram and the time of a large download. Both paths are measured on the
// same machine. As times on one machine are noisy, each round measures both paths, and the result
// gives differences, ratios and their range over the rounds. Run returns an error if a download, or
// a flow through burlmill, failed.
package measure

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
	"github.com/burlmill/burlmill/internal/lab/demo"
)

// Options are the number of rounds and the size of the downloads.
type Options struct {
	Rounds        int   // at least 1
	DownloadBytes int64 // bytes of one download
}

// DefaultOptions are the defaults of the command and the options used for docs/MEASUREMENTS.md.
var DefaultOptions = Options{Rounds: 5, DownloadBytes: 100 << 20}

// The load and the timeouts of a round, the same for both paths.
const (
	flowsPerRound   = 20
	flowInterval    = 5 * time.Millisecond
	flowDuration    = 3 * time.Second // time that the flows run
	replyTimeout    = 2 * time.Second
	downloadTimeout = 2 * time.Minute
)

// roundResult holds the measurements of one round.
type roundResult struct {
	direct, balanced caller.Result // UDP flows
	directDownload   time.Duration // HTTP/1.1 from the back end
	balancedDownload time.Duration // HTTP/3 through burlmill
	balancedComplete bool          // the download through burlmill was received and verified
}

// Run starts the cluster of the demo, measures and writes a table to output. The error is of kind
// fault.Unavailable if the direct download got no response, and of kind fault.Internal if a
// download was incomplete, or if a flow through burlmill broke or got no reply. Other errors are
// those of the cluster.
func Run(ctx context.Context, output io.Writer, options Options) (err error) {
	deployment, err := cluster.Start(ctx, demo.Plan())
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := deployment.Close(); err == nil {
			err = closeErr
		}
	}()
	rounds := make([]roundResult, 0, options.Rounds)
	for number := range options.Rounds {
		measured, err := measureRound(ctx, deployment, number, options)
		if err != nil {
			return err
		}
		rounds = append(rounds, measured)
	}
	writeTable(output, rounds, options)
	return checkRounds(rounds)
}

// measureRound measures the flows and then the download, each first on the direct path.
func measureRound(ctx context.Context, deployment *cluster.Cluster, number int, options Options) (roundResult, error) {
	media, lessons := firstBackend(deployment, demo.Media), firstBackend(deployment, demo.Lessons)
	measured := roundResult{
		direct:   measureFlows(media.Address),
		balanced: measureFlows(deployment.Fabric.ServiceAddress(demo.Media)),
	}
	id := fmt.Sprintf("measure-%d", number)
	var err error
	measured.directDownload, err = downloadDirect(ctx, lessons.Address, id, options.DownloadBytes)
	if err != nil {
		return measured, err
	}
	measured.balancedDownload, measured.balancedComplete, err = downloadBalanced(ctx, deployment, id, options.DownloadBytes)
	return measured, err
}

// firstBackend returns the first back end of the service, or nil if it has none.
func firstBackend(deployment *cluster.Cluster, service catalog.ServiceName) *cluster.Backend {
	for _, candidate := range deployment.Backends {
		if candidate.Service == service {
			return candidate
		}
	}
	return nil
}

func measureFlows(address netip.AddrPort) caller.Result {
	run := caller.StartFlows(caller.FlowLoad{
		Service:      demo.Media,
		Address:      address,
		Flows:        flowsPerRound,
		Interval:     flowInterval,
		ReplyTimeout: replyTimeout,
		Padding:      200,
	})
	time.Sleep(flowDuration)
	return run.Stop()
}

func downloadDirect(ctx context.Context, address netip.AddrPort, id string, size int64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, downloadTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/download?bytes=%d", address, size)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "create direct download request")
	}
	request.Header.Set(backend.HeaderRequestID, id+"-direct")
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fault.Wrap(fault.Unavailable, err, "start direct download")
	}
	defer response.Body.Close()
	received, err := io.Copy(io.Discard, response.Body)
	if err != nil || received != size {
		return 0, fault.New(fault.Internal, "direct download ended after %d of %d bytes: %v", received, size, err)
	}
	return time.Since(started), nil
}

// downloadBalanced returns the duration of the download and whether it is complete. The error is
// that of opening the socket.
func downloadBalanced(ctx context.Context, deployment *cluster.Cluster, id string, size int64) (time.Duration, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, downloadTimeout)
	defer cancel()
	client, err := caller.NewHTTPCaller(caller.HTTPOptions{
		Service: demo.Lessons,
		Address: deployment.Fabric.ServiceAddress(demo.Lessons),
	})
	if err != nil {
		return 0, false, err
	}
	defer client.Close()
	result := client.Do(ctx, caller.Request{ID: id + "-through", Operation: caller.OperationDownload, Bytes: size})
	return result.Latency, result.Outcome == caller.OutcomeComplete, nil
}

func writeTable(output io.Writer, rounds []roundResult, options Options) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "measure\tdirect\tthrough burlmill\tdifference or ratio, mean (least to most)")
	for _, percentile := range []float64{50, 99} {
		direct := spreadOf(rounds, func(r roundResult) float64 { return latencyMilliseconds(r.direct, percentile) })
		balanced := spreadOf(rounds, func(r roundResult) float64 { return latencyMilliseconds(r.balanced, percentile) })
		added := spreadOf(rounds, func(r roundResult) float64 {
			return latencyMilliseconds(r.balanced, percentile) - latencyMilliseconds(r.direct, percentile)
		})
		fmt.Fprintf(table, "datagram latency p%.0f, ms\t%s\t%s\t+%s\n", percentile, direct, balanced, added)
	}
	direct := spreadOf(rounds, func(r roundResult) float64 { return r.directDownload.Seconds() })
	balanced := spreadOf(rounds, func(r roundResult) float64 { return r.balancedDownload.Seconds() })
	ratio := spreadOf(rounds, func(r roundResult) float64 { return r.balancedDownload.Seconds() / r.directDownload.Seconds() })
	fmt.Fprintf(table, "download of %d MiB, s (HTTP/1.1 direct, HTTP/3 through)\t%s\t%s\tx %s\n", options.DownloadBytes>>20, direct, balanced, ratio)
	_ = table.Flush()
	fmt.Fprintf(output, "rounds: %d\n", len(rounds))
}

// latencyMilliseconds returns a percentile, from 0 to 100, of the latencies.
func latencyMilliseconds(result caller.Result, percentile float64) float64 {
	return float64(result.Latency.ValueAtQuantile(percentile)) / 1000
}

// spread holds the mean, the minimum and the maximum of a value over all rounds.
type spread struct{ mean, min, max float64 }

func spreadOf(rounds []roundResult, value func(roundResult) float64) spread {
	result := spread{min: math.Inf(1), max: math.Inf(-1)}
	for _, measured := range rounds {
		v := value(measured)
		result.mean += v / float64(len(rounds))
		result.min = min(result.min, v)
		result.max = max(result.max, v)
	}
	return result
}

// String returns the spread as "mean (min to max)", with two decimals.
func (s spread) String() string { return fmt.Sprintf("%.2f (%.2f to %.2f)", s.mean, s.min, s.max) }

// checkRounds returns an error of kind fault.Internal if a download or a flow through burlmill
// failed.
func checkRounds(rounds []roundResult) error {
	for number, measured := range rounds {
		if !measured.balancedComplete {
			return fault.New(fault.Internal, "round %d: download through burlmill is incomplete or wrong", number)
		}
		if broken := measured.balanced.FlowsBroken + measured.balanced.FlowsUnanswered; broken > 0 {
			return fault.New(fault.Internal, "round %d: %d flows through burlmill broke or got no reply", number, broken)
		}
	}
	return nil
}
