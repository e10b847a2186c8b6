// Package observability serves the metrics and the health of a process over HTTP: /metrics in the
// Prometheus text format, /healthz, which succeeds while the process answers, and /readyz, which
// succeeds while the process is ready to serve. It also creates the registry with the metrics of
// the Go runtime and the process.
package observability

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/burlmill/burlmill/fault"
)

// Namespace is the prefix of the name of every burlmill metric.
const Namespace = "burlmill"

// WaitBuckets returns the upper bounds, in seconds, of the buckets of histograms of the time that
// datagrams wait.
func WaitBuckets() []float64 {
	return []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}
}

// Limits of the HTTP server.
const (
	maxRequestBytes = 64 << 10        // of one request, including its body
	shutdownTimeout = 2 * time.Second // timeout of Close
)

// NewRegistry returns a registry with the metrics of the Go runtime and those that the operating
// system keeps for this process, such as CPU time and memory.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// NewSkippedEntries returns the counter of malformed objects, by kind and reason (entry.Reason).
func NewSkippedEntries() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: "entries_skipped_total",
		Help: "Objects of the store that could not be used."}, []string{"kind", "reason"})
}

// Serve starts a server at the address. It runs until the returned closer is closed. ready is
// called for each request of /readyz and must be safe for concurrent use. If the address is
// invalid, such as the zero value, Serve starts no server and returns a closer that does nothing.
// Errors are of kind fault.Unavailable.
func Serve(address netip.AddrPort, registry *prometheus.Registry, ready func() bool) (io.Closer, error) {
	if !address.IsValid() {
		return &server{}, nil
	}
	// nbhttp blocks forever if it cannot listen, so the listener is created here.
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "serve metrics at %v", address)
	}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Listen:  func(string, string) (net.Listener, error) { return listener, nil },
		Name:    "observability",
		Network: "tcp",
		Addrs:   []string{address.String()},
		// One goroutine for each connection: there are few connections, and nbhttp's poller mode
		// causes false reports by the race detector, which does not see that the poller runs after
		// the goroutine that accepts the connection.
		IOMod:     nbhttp.IOModBlocking,
		ReadLimit: maxRequestBytes,
		Handler:   newHandler(registry, ready),
	})
	if err := engine.Start(); err != nil {
		_ = listener.Close()
		return nil, fault.Wrap(fault.Unavailable, err, "serve metrics at %v", address)
	}
	return &server{engine: engine}, nil
}

func newHandler(registry *prometheus.Registry, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writeText(writer, http.StatusOK, "healthy")
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if ready() {
			writeText(writer, http.StatusOK, "ready")
			return
		}
		writeText(writer, fault.Unavailable.Codes().HTTPStatus, "not ready")
	})
	return mux
}

func writeText(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	fmt.Fprintln(writer, text)
}

// server is the closer that Serve returns. Its engine is nil if nothing is served.
type server struct {
	engine *nbhttp.Engine
	once   sync.Once
}

// Close shuts down the server within shutdownTimeout. It may be called more than once; later calls
// return nil. Errors are of kind fault.Deadline.
func (s *server) Close() error {
	if s.engine == nil {
		return nil
	}
	var err error
	s.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		err = s.engine.Shutdown(ctx)
	})
	return fault.Wrap(fault.Deadline, err, "stop serving metrics")
}
