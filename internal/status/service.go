// This file implements Service, which answers operators' queries about this process. It limits the
// number of concurrent queries, and the time, rows and bytes of each.

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

// Limits on operators' queries, so that they do not slow down the traffic of the process.
const (
	MaxRows              = 10_000           // rows of one response
	MaxRowBytes          = 1 << 20          // bytes of the rows of one response
	maxConcurrentQueries = 4                // queries above the limit fail with fault.Overloaded
	queryTimeout         = 10 * time.Second // of one query
	maxRequestBytes      = 16 << 10         // bytes of one request
)

// Service answers queries about this process. All methods are safe for concurrent use. Until Bind
// or BindSource is called, queries fail with fault.Unavailable.
type Service struct {
	events     *EventBuffer
	querySlots chan struct{} // one entry for each running query
	binding    atomic.Pointer[binding]
}

// RowSource provides the rows of a process's tables. It is safe for concurrent use.
type RowSource interface {
	// Collect adds the rows of the table to the collector. For TableBackends, these are the back
	// ends whose agent is this process or, if unreachable is true, the back ends that this process
	// knows and whose agents it cannot reach. Other tables ignore unreachable. Errors have a kind
	// of package fault.
	Collect(ctx context.Context, table string, unreachable bool, collector *query.Collector) error
}

// binding is the process whose rows a Service returns.
type binding struct {
	id     string
	source RowSource
}

// NewService returns a service that is not bound to a process yet. After Bind, TableEvents contains
// the events of the buffer. A source given to BindSource provides its own events.
func NewService(events *EventBuffer) *Service {
	return &Service{events: events, querySlots: make(chan struct{}, maxConcurrentQueries)}
}

// Identity identifies the process that answers queries.
type Identity struct {
	ID          string
	DataAddress netip.AddrPort // identifies an agent in the catalog
}

// Bind binds the service to a process whose back ends are configured in the catalog. The inspector
// is nil for a balancer.
func (s *Service) Bind(identity Identity, node Node, inspector AgentInspector) {
	source := &catalogSource{id: identity.ID, node: node, dataAddress: identity.DataAddress, inspector: inspector, events: s.events}
	node.Subscribe(func(*catalog.Snapshot) {
		now := time.Now()
		source.configuredAt.Store(&now)
	})
	s.BindSource(identity.ID, source)
}

// BindSource binds the service to the process with the id, whose rows the source provides.
func (s *Service) BindSource(id string, source RowSource) {
	s.binding.Store(&binding{id: id, source: source})
}

// Handler returns the connect-go handler of the operator service and its path. Request messages
// above maxRequestBytes are rejected.
func (s *Service) Handler() (path string, handler http.Handler) {
	return burlmillv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
}

// Query implements the operator service.
func (s *Service) Query(ctx context.Context, request *connect.Request[burlmillv1.QueryRequest]) (*connect.Response[burlmillv1.QueryResponse], error) {
	response, err := s.runQuery(ctx, request.Msg)
	if err != nil {
		return nil, connect.NewError(fault.KindOf(err).Codes().ConnectCode, err)
	}
	return connect.NewResponse(response), nil
}

func (s *Service) runQuery(ctx context.Context, request *burlmillv1.QueryRequest) (*burlmillv1.QueryResponse, error) {
	bound := s.binding.Load()
	if bound == nil {
		return nil, fault.New(fault.Unavailable, "process is starting")
	}
	select {
	case s.querySlots <- struct{}{}:
		defer func() { <-s.querySlots }()
	default:
		return nil, fault.New(fault.Overloaded, "%d queries are already running", maxConcurrentQueries)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return evaluate(ctx, bound, request)
}

// evaluate runs the query on the rows of the bound process.
func evaluate(ctx context.Context, bound *binding, request *burlmillv1.QueryRequest) (*burlmillv1.QueryResponse, error) {
	parsed, err := query.Parse(request.GetQuery(), Tables())
	if err != nil {
		return nil, err
	}
	collector := query.NewCollector(parsed, MaxRows)
	if err := bound.source.Collect(ctx, parsed.Table().Name, request.GetUnreachable(), collector); err != nil {
		return nil, err
	}
	rows, complete := encodeRows(collector.Rows(), rowBytesLimit(request))
	return &burlmillv1.QueryResponse{
		Node:      bound.id,
		Columns:   parsed.Table().ColumnNames(),
		Rows:      rows,
		Truncated: !complete || collector.Truncated(),
	}, nil
}

// rowBytesLimit returns the limit on the size of the rows in bytes: that of the request, but at
// most MaxRowBytes, which is also the default.
func rowBytesLimit(request *burlmillv1.QueryRequest) int {
	if request.GetLimitBytes() == 0 {
		return MaxRowBytes
	}
	return int(min(request.GetLimitBytes(), MaxRowBytes))
}
