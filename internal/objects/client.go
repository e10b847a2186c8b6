// This file contains the HTTP client, which limits the duration of a request and the size of its
// response, and its calls that list or wait for changed configuration objects and read the machine
// list.

package objects

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Defaults of Options.
const (
	DefaultTimeout          = 5 * time.Second
	DefaultMaxResponseBytes = 16 << 20
)

// Options limits the time and the response size of a request. Values that are
// not positive mean the defaults.
type Options struct {
	Timeout          time.Duration // per request; a watch adds its wait
	MaxResponseBytes int64         // bytes of a response body; a larger one is an error
}

// keepAlive detects a dead connection within 3 s, so that a watch does not wait on it until its
// timeout: a change must be in force within 8 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Client is a client of the platform's object API. It is safe for concurrent use.
type Client struct {
	baseURL          string
	timeout          time.Duration
	maxResponseBytes int64
	http             *http.Client
}

// NewClient returns a client of the API at baseURL, such as http://127.0.0.1:8080.
// It opens no connection.
func NewClient(baseURL string, options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxResponseBytes <= 0 {
		options.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Client{
		baseURL:          strings.TrimSuffix(baseURL, "/"),
		timeout:          options.Timeout,
		maxResponseBytes: options.MaxResponseBytes,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext,
				MaxIdleConnsPerHost: 4,
				IdleConnTimeout:     time.Minute,
			},
			// The API has no redirects. Following one could repeat a write on another server.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// exchange describes one request.
type exchange struct {
	operation operation
	method    string
	path      string
	query     url.Values
	header    http.Header
	body      []byte
	timeout   time.Duration
}

func (e *exchange) String() string { return e.method + " " + e.path }

// reply is one complete response.
type reply struct {
	status int
	body   []byte
}

// do sends the request and returns the complete response, whatever its status.
func (c *Client) do(ctx context.Context, exchange exchange) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchange.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), exchange)
	if err != nil {
		return reply{}, fault.Wrap(fault.Invalid, err, "%s", &exchange)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, exchange.operation.transportError(ctx, err, connected.Load(), exchange.String())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxResponseBytes+1))
	if err != nil {
		return reply{}, exchange.operation.transportError(ctx, err, true, exchange.String())
	}
	if int64(len(body)) > c.maxResponseBytes {
		tooLarge := fmt.Errorf("response exceeds %d bytes", c.maxResponseBytes)
		return reply{}, exchange.operation.responseError(tooLarge, exchange.String())
	}
	return reply{status: response.StatusCode, body: body}, nil
}

func (c *Client) request(ctx context.Context, exchange exchange) (*http.Request, error) {
	target := c.baseURL + exchange.path
	if len(exchange.query) > 0 {
		target += "?" + exchange.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, exchange.method, target, bytes.NewReader(exchange.body))
	if err != nil {
		return nil, err
	}
	if exchange.header != nil {
		request.Header = exchange.header
	}
	return request, nil
}

// get returns the response for path, decoded by parse, together with the error of parse.
func get[T any](ctx context.Context, c *Client, path string, query url.Values, timeout time.Duration, parse func([]byte) (T, error)) (result T, err error) {
	exchange := exchange{operation: readOperation, method: http.MethodGet, path: path, query: query, timeout: timeout}
	reply, err := c.do(ctx, exchange)
	if err != nil {
		return result, err
	}
	if reply.status != http.StatusOK {
		return result, readOperation.statusError(reply.status, reply.body, exchange.String())
	}
	if result, err = parse(reply.body); err != nil {
		return result, readOperation.responseError(err, exchange.String())
	}
	return result, nil
}

// Changes holds the objects changed in the store after a revision.
type Changes struct {
	// Revision is the store's version. It is below the requested revision only
	// if the store was restored to an older state.
	Revision catalog.Revision
	Objects  []catalog.Object // oldest first, deletions included
	Skipped  []error          // malformed objects that are left out, each of kind fault.Invalid
}

// Changes returns every configuration object changed after the revision. Errors
// are of kind Unavailable, Overloaded, Unauthenticated, NotFound, Deadline,
// Canceled or Invalid.
func (c *Client) Changes(ctx context.Context, after catalog.Revision) (Changes, error) {
	query := url.Values{QueryAfter: {fmt.Sprint(after)}}
	return c.changes(ctx, PathObjects, query, c.timeout)
}

// Watch is like Changes, but waits up to wait for a change of a configuration
// object. If there is none, it returns no objects and the store's current version.
func (c *Client) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (Changes, error) {
	end := time.Now().Add(wait)
	var skipped []error
	for {
		remaining := max(time.Until(end), 0).Round(time.Millisecond)
		query := url.Values{QueryAfter: {fmt.Sprint(after)}, QueryWait: {remaining.String()}}
		changes, err := c.changes(ctx, PathWatch, query, remaining+c.timeout)
		skipped = append(skipped, changes.Skipped...)
		changes.Skipped = skipped
		if err != nil || len(changes.Objects) > 0 || changes.Revision <= after || remaining == 0 {
			return changes, err
		}
		after = changes.Revision // only internal or malformed objects changed
	}
}

func (c *Client) changes(ctx context.Context, path string, query url.Values, timeout time.Duration) (Changes, error) {
	return get(ctx, c, path, query, timeout, parseChanges)
}

// Machines returns the platform's machine list, which may be out of date. Malformed
// entries are omitted and reported in an error of kind Invalid; the valid entries
// are returned together with that error.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	return get(ctx, c, PathMachines, nil, c.timeout, parseMachines)
}
