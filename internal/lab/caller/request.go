// This file defines the requests of an HTTPCaller, their operations and outcomes. It verifies the
// body and the digest of responses, and spreads a request body over its duration.

package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/backend"
)

// HeaderOutcome is the response header in which burlmill reports the outcome of a request.
const HeaderOutcome = "Burlmill-Outcome"

// Values of HeaderOutcome that determine the outcome without the rest of the response.
const (
	headerValueNotRun  = "not-run"
	headerValueUnknown = "unknown"
)

// Operation is the URL path of an operation of the lab's back ends.
type Operation string

// Operations. Bytes and Duration are those of the Request.
const (
	OperationEcho     Operation = "/echo"     // sends Bytes, spread over Duration, and receives them back
	OperationUpload   Operation = "/upload"   // sends Bytes, spread over Duration
	OperationDownload Operation = "/download" // receives Bytes, spread over Duration
	OperationSlow     Operation = "/slow"     // runs for Duration
)

// Request is an HTTP request to a back end of the lab.
type Request struct {
	ID             string // unique for each Request; kept by the retry of Do
	Operation      Operation
	Bytes          int64         // size of the body that is sent, received or both
	Duration       time.Duration // whole milliseconds for OperationDownload and OperationSlow
	IdempotencyKey string        // empty: none
	Header         http.Header   // additional header fields; may be nil
}

func (r Request) hasBody() bool {
	return r.Operation == OperationEcho || r.Operation == OperationUpload
}

func (r Request) method() string {
	if r.hasBody() || r.IdempotencyKey != "" {
		return http.MethodPost
	}
	return http.MethodGet
}

func (r Request) path() string {
	switch r.Operation {
	case OperationDownload:
		return fmt.Sprintf("%s?bytes=%d&ms=%d", r.Operation, r.Bytes, r.Duration.Milliseconds())
	case OperationSlow:
		return fmt.Sprintf("%s?ms=%d", r.Operation, r.Duration.Milliseconds())
	default:
		return string(r.Operation)
	}
}

// Outcome is the final state of a request as seen by its caller.
type Outcome string

// The outcomes of a request, described at the fields of Result.
const (
	OutcomeComplete  Outcome = "complete"
	OutcomeRefused   Outcome = "refused"
	OutcomeUnreached Outcome = "unreached"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeWrong     Outcome = "wrong"
	OutcomeMisrouted Outcome = "misrouted"
)

// RequestResult is the result of a request: its outcome and details of the response.
type RequestResult struct {
	Outcome    Outcome
	Status     int               // HTTP status; 0 without a response
	Backend    catalog.BackendID // empty if unknown
	RetryAfter time.Duration     // 0: none given
	Latency    time.Duration     // from the start of Do to its end, with connecting and a retry
	Error      error             // nil if complete or refused by a response
}

// verifyResponse compares the body and the digest of the response with the expected ones.
func (c *HTTPCaller) verifyResponse(request Request, response *http.Response) RequestResult {
	if request.Operation == OperationDownload {
		return verifyBody(response.Body, c.content(request))
	}
	var sent io.Reader = http.NoBody
	if request.hasBody() {
		sent = c.content(request)
	}
	digest, _, _ := backend.DigestOf(request.ID, sent)
	if got := response.Header.Get(backend.HeaderDigest); got != digest {
		return wrongResult("digest %q, want %q", got, digest)
	}
	switch request.Operation {
	case OperationEcho:
		return verifyBody(response.Body, c.content(request))
	case OperationUpload:
		return verifyBody(response.Body, bytes.NewReader([]byte(digest)))
	default:
		return verifyBody(response.Body, http.NoBody)
	}
}

func wrongResult(format string, arguments ...any) RequestResult {
	return RequestResult{Outcome: OutcomeWrong, Error: fault.New(fault.Internal, format, arguments...)}
}

const compareBufferBytes = 32 << 10

// verifyBody compares the body of a response with the expected content. The outcome is unknown if
// reading the body fails, and wrong if the body ends early without an error.
func verifyBody(got, want io.Reader) RequestResult {
	received := make([]byte, compareBufferBytes)
	expected := make([]byte, compareBufferBytes)
	total := 0
	for {
		length, err := got.Read(received)
		if _, wantErr := io.ReadFull(want, expected[:length]); wantErr != nil {
			return wrongResult("body is longer than expected: excess in the read after %d bytes", total)
		}
		if !bytes.Equal(received[:length], expected[:length]) {
			return wrongResult("body differs from the expected content within %d bytes after offset %d", length, total)
		}
		total += length
		switch {
		case err == io.EOF:
			if missing, _ := io.Copy(io.Discard, want); missing > 0 {
				return wrongResult("body ended without an error, %d bytes early", missing)
			}
			return RequestResult{Outcome: OutcomeComplete}
		case err != nil:
			return RequestResult{Outcome: OutcomeUnknown, Error: fault.Wrap(fault.OutcomeUnknown, err, "read body after %d bytes", total)}
		}
	}
}

// maxPacePieces is the maximum number of pieces in which a paced body is sent.
const maxPacePieces = 50

// newPacedReader returns a reader that spreads the total bytes of content evenly over the duration.
// It returns the content itself if the total or the duration is not positive.
func newPacedReader(ctx context.Context, content io.Reader, total int64, duration time.Duration) io.Reader {
	if duration <= 0 || total <= 0 {
		return content
	}
	piece := (total + maxPacePieces - 1) / maxPacePieces
	return &pacedReader{ctx: ctx, content: content, pieceBytes: piece, pause: duration / time.Duration((total+piece-1)/piece)}
}

// pacedReader returns its content in pieces, with a pause before each.
type pacedReader struct {
	ctx        context.Context
	content    io.Reader
	pieceBytes int64
	pause      time.Duration
	remaining  int64 // bytes of the current piece that are not read yet
}

// Read implements io.Reader. The error is that of the context if it ends during the pause.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	if p.remaining == 0 {
		timer := time.NewTimer(p.pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		}
		p.remaining = p.pieceBytes
	}
	length, err := p.content.Read(buffer[:min(int64(len(buffer)), p.remaining)])
	p.remaining -= int64(length)
	return length, err
}
