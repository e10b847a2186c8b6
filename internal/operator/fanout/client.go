// Package fanout sends an operator's query concurrently to the processes that have rows of the
// queried table, and merges their results. Processes that fail or do not answer in time are listed
// in the merged answer. Each query is limited in time, bytes and rows; an answer from which rows
// are left out because of a limit is marked as truncated.
package fanout

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/gen/burlmill/v1/burlmillv1connect"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/query"
)

// Defaults of Options and limits of one query.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultMaxBytes     = 1 << 20   // bytes
	maxRows             = 1_000_000 // rows of one Answer
	maxConcurrency      = 16        // processes queried at once
	maxResponseOverhead = 64 << 10  // bytes of a response in addition to its rows
)

// Options configure a Client. EntryPoints must not be empty.
type Options struct {
	EntryPoints []netip.AddrPort // control addresses of processes that list all processes
	Timeout     time.Duration    // of a whole query; 0: DefaultTimeout
	MaxBytes    int              // of all rows of a query together; 0: DefaultMaxBytes
}

// Client queries running processes. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client. The caller must close it after use.
func New(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxBytes <= 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	return &Client{options: options, http: &http.Client{Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Failure is a process whose rows are missing because its query failed.
type Failure struct {
	Node    string // id of the process; empty for an entry point
	Address netip.AddrPort
	Err     error
}

// Answer is the merged result of a query.
type Answer struct {
	Table      *query.Table
	Rows       []query.Row
	QueryCount int       // number of queries for rows; 1 if any process has all rows
	Failures   []Failure // sorted by node id, then address
	Truncated  bool      // rows are missing because of a limit on bytes or rows
}

// Partial reports whether the answer is truncated or a process failed, so that rows may be missing.
func (a *Answer) Partial() bool { return a.Truncated || len(a.Failures) > 0 }

// member is a process of the deployment, as listed by an entry point. For an entry point itself,
// only control is set.
type member struct {
	id      string
	role    string
	control netip.AddrPort
}

// nodeResult is the result of a query of one process.
type nodeResult struct {
	from      member
	rows      []query.Row
	size      int // bytes of the rows received
	truncated bool
	err       error
}

// queryNode sends the request to one process and decodes its rows.
func (c *Client) queryNode(ctx context.Context, to member, request *burlmillv1.QueryRequest, table *query.Table) nodeResult {
	result := nodeResult{from: to}
	client := burlmillv1connect.NewOperatorServiceClient(c.http, "http://"+to.control.String(),
		connect.WithReadMaxBytes(int(request.GetLimitBytes())+maxResponseOverhead))
	response, err := client.Query(ctx, connect.NewRequest(request))
	if err != nil {
		result.err = fromConnectError(err)
		return result
	}
	result.rows, result.err = status.DecodeRows(table, response.Msg)
	result.size = rowBytes(response.Msg)
	result.truncated = response.Msg.GetTruncated()
	return result
}

// fromConnectError returns an error of the fault kind that corresponds to the Connect code of err.
// Without a code, the kind is fault.Unavailable; if no kind corresponds, it is fault.Internal.
func fromConnectError(err error) error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return fault.Wrap(fault.Unavailable, err, "no answer")
	}
	for _, kind := range fault.Kinds() {
		if kind.Codes().ConnectCode == connectErr.Code() {
			return fault.New(kind, "%s", connectErr.Message())
		}
	}
	return fault.Wrap(fault.Internal, err, "unexpected Connect code")
}
