// This file routes the HTTP paths of a back end and implements /echo, /upload, /download, /slow and
// /cut. Their requests each occupy a slot, are delayed during a cold start and recorded in the
// journal. Without a free slot the status is 503; a failed response aborts the connection.

package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Parameters of the HTTP handlers.
const (
	retryAfter      = "1"       // seconds, in a response to a shed request
	maxEchoBytes    = 8 << 20   // maximum bytes of a request body that /echo and /slow return
	downloadChunks  = 100       // approximate number of chunks of a download with a duration
	copyBufferBytes = 256 << 10 // buffer size of a download without a duration
)

// errTruncated is returned by serveCut, which truncates its response on purpose.
var errTruncated = errors.New("response truncated on request")

// runHandler serves a request that occupies a slot. It returns an error if the response was not
// written completely.
type runHandler func(writer http.ResponseWriter, request *http.Request) error

func (b *Backend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", b.serveHealth)
	mux.HandleFunc("GET /load", b.serveLoad)
	mux.HandleFunc("POST /lab/endpoints", b.serveSetEndpoints)
	mux.HandleFunc("POST /lab/drain", b.serveDrain)
	mux.HandleFunc("GET "+pathRuns, b.serveRuns)
	mux.HandleFunc("GET "+pathFlows, b.serveFlows)
	mux.HandleFunc("GET "+PathCounts, b.serveCounts)
	mux.HandleFunc("GET "+pathStream, b.serveStream)
	mux.HandleFunc("/echo", b.runInSlot(b.serveEcho))
	mux.HandleFunc("/upload", b.runInSlot(b.serveUpload))
	mux.HandleFunc("/download", b.runInSlot(b.serveDownload))
	mux.HandleFunc("/slow", b.runInSlot(b.serveSlow))
	mux.HandleFunc("/cut", b.runInSlot(b.serveCut))
	return mux
}

// runInSlot returns an HTTP handler that acquires a slot, calls handle and records the run in the
// journal. Without a free slot it rejects the request with status 503 and records no run. If handle
// fails, it aborts the connection.
func (b *Backend) runInSlot(handle runHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(HeaderService, string(b.options.Service))
		writer.Header().Set(HeaderBackend, string(b.options.ID))
		if !b.slots.acquire() {
			writer.Header().Set("Retry-After", retryAfter)
			http.Error(writer, "no slot is free", http.StatusServiceUnavailable)
			return
		}
		defer b.slots.release()
		b.runs.Add(1)
		index := b.journal.startRun(Run{
			RequestID:      request.Header.Get(HeaderRequestID),
			IdempotencyKey: request.Header.Get(HeaderIdempotencyKey),
			Intended:       catalog.ServiceName(request.Header.Get(HeaderService)),
			Service:        b.options.Service,
			Backend:        b.options.ID,
			Method:         request.Method,
			Path:           request.URL.Path,
			Started:        time.Now(),
			WhileDraining:  b.draining.Load(),
		})
		outcome := RunCanceled
		defer func() { b.journal.finishRun(index, time.Now(), outcome) }()
		err := b.delayColdStart(request.Context())
		if err == nil {
			err = handle(writer, request)
		}
		outcome = outcomeOf(err)
		if err != nil {
			// Aborts the connection, so that the caller detects a partial response.
			panic(http.ErrAbortHandler)
		}
	}
}

func outcomeOf(err error) RunOutcome {
	switch {
	case err == nil:
		return RunComplete
	case errors.Is(err, errTruncated):
		return RunTruncated
	default:
		return RunCanceled
	}
}

// delayColdStart delays a request during Options.ColdStart. It returns the context's error if the
// context is done first.
func (b *Backend) delayColdStart(ctx context.Context) error {
	remaining := b.options.ColdStart - time.Since(b.started)
	if remaining <= 0 {
		return nil
	}
	fraction := float64(remaining) / float64(b.options.ColdStart)
	return sleep(ctx, time.Duration(fraction*float64(b.options.ColdDelay)))
}

// serveEcho responds with at most maxEchoBytes of the request body, and the digest of the returned
// part.
func (b *Backend) serveEcho(writer http.ResponseWriter, request *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxEchoBytes))
	if err != nil {
		return err
	}
	digest, _, _ := DigestOf(request.Header.Get(HeaderRequestID), bytes.NewReader(body))
	return writeResponse(writer, digest, body)
}

// serveUpload responds with the digest of the complete request body.
func (b *Backend) serveUpload(writer http.ResponseWriter, request *http.Request) error {
	digest, _, err := DigestOf(request.Header.Get(HeaderRequestID), request.Body)
	if err != nil {
		return err
	}
	return writeResponse(writer, digest, []byte(digest))
}

// serveSlow responds like serveEcho after "ms" milliseconds.
func (b *Backend) serveSlow(writer http.ResponseWriter, request *http.Request) error {
	if err := sleep(request.Context(), queryMilliseconds(request, "ms")); err != nil {
		return err
	}
	return b.serveEcho(writer, request)
}

// serveDownload responds with "bytes" bytes of DownloadContent, spread over about "ms" milliseconds
// if that is positive.
func (b *Backend) serveDownload(writer http.ResponseWriter, request *http.Request) error {
	total := queryInteger(request, "bytes")
	writer.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	content := io.LimitReader(DownloadContent(b.options.Service, request.Header.Get(HeaderRequestID)), total)
	duration := queryMilliseconds(request, "ms")
	if duration <= 0 {
		_, err := io.CopyBuffer(onlyWriter{writer}, content, make([]byte, copyBufferBytes))
		return err
	}
	chunk := max(total/downloadChunks, 1)
	interval := duration / time.Duration(max((total+chunk-1)/chunk, 1))
	for {
		written, err := io.CopyN(writer, content, chunk)
		if err == io.EOF || (err == nil && written == 0) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := http.NewResponseController(writer).Flush(); err != nil {
			return err
		}
		if err := sleep(request.Context(), interval); err != nil {
			return err
		}
	}
}

// serveCut sends "after" bytes of DownloadContent under a Content-Length of one byte more, and then
// aborts the connection.
func (b *Backend) serveCut(writer http.ResponseWriter, request *http.Request) error {
	after := queryInteger(request, "after")
	writer.Header().Set("Content-Length", strconv.FormatInt(after+1, 10))
	content := DownloadContent(b.options.Service, request.Header.Get(HeaderRequestID))
	if _, err := io.CopyN(writer, content, after); err != nil {
		return err
	}
	if err := http.NewResponseController(writer).Flush(); err != nil {
		return err
	}
	return errTruncated
}

func writeResponse(writer http.ResponseWriter, digest string, body []byte) error {
	writer.Header().Set(HeaderDigest, digest)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := writer.Write(body)
	return err
}

// onlyWriter hides the ReadFrom method of a writer, so that io.CopyBuffer uses the buffer.
type onlyWriter struct{ io.Writer }

// queryInteger returns the query parameter as a number, 0 if it is missing, negative or not an
// integer.
func queryInteger(request *http.Request, name string) int64 {
	value, err := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	if err != nil || value < 0 {
		return 0
	}
	return value
}

func queryMilliseconds(request *http.Request, name string) time.Duration {
	return time.Duration(queryInteger(request, name)) * time.Millisecond
}

// sleep waits for the duration. It returns the context's error if the context is done first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
