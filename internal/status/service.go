package status

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/gen/burlmill/v1/burlmillv1connect"
	"github.com/burlmill/burlmill/query"
)

// Bounds on what one process does for operators, so that its own work goes on.
const (
	MaximumRows    = 10_000           // of one answer
	MaximumBytes   = 1 << 20          // of one answer's rows
	maximumQueries = 4                // at once
	maximumTime    = 10 * time.Second // of one query
	maximumRequest = 16 << 10         // bytes
)

// Service answers queries about this process. All methods are safe for
// concurrent use. It refuses queries until Bind is called.
type Service struct {
	events  *Events
	running chan struct{} // holds one entry for each query that runs
	bound   atomic.Pointer[source]
	since   atomic.Pointer[time.Time] // when the configuration in force came
}

// NewService returns a service that has nothing to tell yet.
func NewService(events *Events) *Service {
	return &Service{events: events, running: make(chan struct{}, maximumQueries)}
}

// Identity says which process answers.
type Identity struct {
	ID   string
	Data netip.AddrPort // by which the catalog names an agent
}

// Bind gives the service what it tells about. work is nil for a balancer.
func (s *Service) Bind(identity Identity, node Node, work Work) {
	node.Subscribe(func(*catalog.Snapshot) {
		now := time.Now()
		s.since.Store(&now)
	})
	s.bound.Store(&source{id: identity.ID, node: node, data: identity.Data, work: work, events: s.events})
}

// Handler returns the path and the handler to serve.
func (s *Service) Handler() (path string, handler http.Handler) {
	return burlmillv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maximumRequest))
}

// Query implements the operator service.
func (s *Service) Query(ctx context.Context, request *connect.Request[burlmillv1.QueryRequest]) (*connect.Response[burlmillv1.QueryResponse], error) {
	response, err := s.answer(ctx, request.Msg)
	if err != nil {
		return nil, connect.NewError(fault.Of(err).Answer().ConnectCode, err)
	}
	return connect.NewResponse(response), nil
}

func (s *Service) answer(ctx context.Context, request *burlmillv1.QueryRequest) (*burlmillv1.QueryResponse, error) {
	bound := s.bound.Load()
	if bound == nil {
		return nil, fault.New(fault.Unavailable, "process is starting")
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	default:
		return nil, fault.New(fault.Overloaded, "%d queries run already", maximumQueries)
	}
	ctx, cancel := context.WithTimeout(ctx, maximumTime)
	defer cancel()
	return s.run(ctx, *bound, request)
}

// run evaluates the query over the source.
func (s *Service) run(ctx context.Context, source source, request *burlmillv1.QueryRequest) (*burlmillv1.QueryResponse, error) {
	parsed, err := query.Parse(request.GetQuery(), Tables())
	if err != nil {
		return nil, err
	}
	source.since = *s.since.Load()
	source.unreachable = request.GetUnreachable()
	collector := query.NewCollector(parsed, MaximumRows)
	if err := source.collect(ctx, parsed.Table().Name, collector); err != nil {
		return nil, err
	}
	rows, whole := encodeRows(collector.Rows(), limitOf(request))
	return &burlmillv1.QueryResponse{
		Node:      source.id,
		Columns:   parsed.Table().Names(),
		Rows:      rows,
		Truncated: !whole || collector.Truncated(),
	}, nil
}

// limitOf returns the limit on the rows' size in bytes.
func limitOf(request *burlmillv1.QueryRequest) int {
	if request.GetLimitBytes() == 0 {
		return MaximumBytes
	}
	return int(min(request.GetLimitBytes(), MaximumBytes))
}
