// This file implements HTTPCaller, an HTTP/3 client. It connects when needed, within
// quicDialTimeout, retries once if no part of a request was sent, and determines the outcome of a
// request from its response or error.

package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/backend"
)

// Timeouts and keep-alive period of the QUIC connection of an HTTPCaller.
const (
	quicIdleTimeout = 15 * time.Second // after which a connection without any packet is closed
	keepAlivePeriod = 3 * time.Second
	quicDialTimeout = 10 * time.Second
)

// HTTPOptions are the options of an HTTPCaller.
type HTTPOptions struct {
	Service catalog.ServiceName // that requests are sent to
	Address netip.AddrPort      // of the service, at the fabric
	TLS     *tls.Config         // cloned; nil: any certificate is accepted
}

// HTTPCaller is an HTTP/3 client with its own UDP socket and at most one connection. It must not be
// used for concurrent requests.
type HTTPCaller struct {
	options        HTTPOptions
	socket         *net.UDPConn
	quicTransport  *quic.Transport
	http3Transport *http3.Transport
	connection     *quic.Conn        // nil: none
	client         *http3.ClientConn // HTTP/3 client on connection
}

// NewHTTPCaller opens the UDP socket of a caller, which the first request connects. The error is of
// kind fault.Unavailable.
func NewHTTPCaller(options HTTPOptions) (*HTTPCaller, error) {
	socket, err := net.ListenUDP("udp", localAddress(options.Address))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "open UDP socket of HTTP caller")
	}
	configuration := &tls.Config{InsecureSkipVerify: true} //nolint:gosec // self-signed agents
	if options.TLS != nil {
		configuration = options.TLS.Clone()
	}
	configuration.NextProtos = []string{http3.NextProtoH3}
	options.TLS = configuration
	return &HTTPCaller{
		options:        options,
		socket:         socket,
		quicTransport:  &quic.Transport{Conn: socket},
		http3Transport: &http3.Transport{DisableCompression: true},
	}, nil
}

// localAddress returns the local address for sockets that send to an address of this machine: the
// same IP address and any free port.
func localAddress(address netip.AddrPort) *net.UDPAddr {
	return &net.UDPAddr{IP: address.Addr().AsSlice()}
}

// Close closes the connection and the socket.
func (c *HTTPCaller) Close() error {
	c.closeConnection()
	return errors.Join(c.http3Transport.Close(), c.quicTransport.Close(), c.socket.Close())
}

// Do sends the request, reads the whole response and verifies it. If an attempt fails before any
// part of the request was sent, Do retries once on a new connection.
func (c *HTTPCaller) Do(ctx context.Context, request Request) RequestResult {
	start := time.Now()
	attempt := c.send(ctx, request)
	if !attempt.sent && attempt.result.Outcome == OutcomeUnknown {
		// For example, the server is closing the connection.
		c.closeConnection()
		attempt = c.send(ctx, request)
	}
	attempt.result.Latency = time.Since(start)
	return attempt.result
}

// attemptResult is the result of one attempt at a request.
type attemptResult struct {
	result RequestResult
	sent   bool // part of the request may have reached the server
}

func (c *HTTPCaller) send(ctx context.Context, request Request) attemptResult {
	if err := c.connect(ctx); err != nil {
		return attemptResult{result: RequestResult{Outcome: OutcomeUnreached, Error: err}}
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	response, err := c.client.RoundTrip(c.newRequest(ctx, request))
	if err != nil {
		return attemptResult{result: RequestResult{Outcome: outcomeOfError(err), Error: err}, sent: sent.Load()}
	}
	defer response.Body.Close()
	result := c.checkResponse(request, response)
	result.Status = response.StatusCode
	result.Backend = catalog.BackendID(response.Header.Get(backend.HeaderBackend))
	return attemptResult{result: result, sent: true}
}

// outcomeOfError returns the outcome of a request that failed without a response. The error code
// H3_REQUEST_REJECTED means that the server did not process the request (RFC 9114, section 4.1.1).
func outcomeOfError(err error) Outcome {
	var h3Error *http3.Error
	if errors.As(err, &h3Error) && h3Error.ErrorCode == http3.ErrCodeRequestRejected {
		return OutcomeRefused
	}
	return OutcomeUnknown
}

// connect opens a connection unless there is an open one. The error is of kind fault.Unavailable.
func (c *HTTPCaller) connect(ctx context.Context) error {
	if c.connection != nil && c.connection.Context().Err() == nil {
		return nil
	}
	c.closeConnection()
	ctx, cancel := context.WithTimeout(ctx, quicDialTimeout)
	defer cancel()
	connection, err := c.quicTransport.Dial(ctx, net.UDPAddrFromAddrPort(c.options.Address), c.options.TLS, &quic.Config{
		MaxIdleTimeout:  quicIdleTimeout,
		KeepAlivePeriod: keepAlivePeriod,
	})
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "connect to %s at %s", c.options.Service, c.options.Address)
	}
	c.connection = connection
	c.client = c.http3Transport.NewClientConn(connection)
	return nil
}

func (c *HTTPCaller) closeConnection() {
	if c.connection != nil {
		_ = c.connection.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		c.connection = nil
	}
}

func (c *HTTPCaller) newRequest(ctx context.Context, request Request) *http.Request {
	prepared, err := http.NewRequestWithContext(ctx, request.method(), "https://"+c.options.Address.String()+request.path(), nil)
	if err != nil {
		panic("invalid request path: " + err.Error())
	}
	if request.Header != nil {
		prepared.Header = request.Header.Clone()
	}
	prepared.Header.Set(backend.HeaderRequestID, request.ID)
	prepared.Header.Set(backend.HeaderService, string(c.options.Service))
	if request.IdempotencyKey != "" {
		prepared.Header.Set(backend.HeaderIdempotencyKey, request.IdempotencyKey)
	}
	if request.hasBody() {
		prepared.Body = io.NopCloser(newPacedReader(ctx, c.content(request), request.Bytes, request.Duration))
		prepared.ContentLength = request.Bytes
	}
	return prepared
}

// content returns the body of the request, for an upload or echo, or the expected body of its
// response, for an echo or download.
func (c *HTTPCaller) content(request Request) io.Reader {
	return io.LimitReader(backend.DownloadContent(c.options.Service, request.ID), request.Bytes)
}

// checkResponse determines the outcome of the request from the header and body of the response.
func (c *HTTPCaller) checkResponse(request Request, response *http.Response) RequestResult {
	switch response.Header.Get(HeaderOutcome) {
	case headerValueNotRun:
		_, _ = io.Copy(io.Discard, response.Body)
		return RequestResult{Outcome: OutcomeRefused, RetryAfter: retryAfter(response)}
	case headerValueUnknown:
		return RequestResult{Outcome: OutcomeUnknown, Error: fault.New(fault.OutcomeUnknown, "response states an unknown outcome, status %d", response.StatusCode)}
	}
	service := response.Header.Get(backend.HeaderService)
	if service != "" && service != string(c.options.Service) {
		return RequestResult{Outcome: OutcomeMisrouted, Error: fault.New(fault.Internal, "response is from service %q", service)}
	}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return RequestResult{Outcome: OutcomeRefused, RetryAfter: retryAfter(response)}
	case response.StatusCode != http.StatusOK:
		return RequestResult{Outcome: OutcomeUnknown, Error: fault.New(fault.OutcomeUnknown, "unexpected status %d", response.StatusCode)}
	case service == "":
		return RequestResult{Outcome: OutcomeWrong, Error: fault.New(fault.Internal, "response has no Lab-Service header")}
	}
	return c.verifyResponse(request, response)
}

// retryAfter returns the Retry-After header, or 0 if it is absent or not a number of seconds.
func retryAfter(response *http.Response) time.Duration {
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second
}
