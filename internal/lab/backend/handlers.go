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

const (
	retryAfter      = "1"       // seconds, on an answer that sheds
	maximumEcho     = 8 << 20   // bytes of a body that /echo keeps
	downloadPieces  = 100       // parts into which a paced download is split
	copyBufferBytes = 256 << 10 // bytes written at once by an unpaced download
)

// errCut ends a run whose answer is cut on purpose.
var errCut = errors.New("the answer was cut as asked")

// runHandler answers a request that holds a slot. Its error says that the answer
// did not go out whole.
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
	mux.HandleFunc("/echo", b.run(b.serveEcho))
	mux.HandleFunc("/upload", b.run(b.serveUpload))
	mux.HandleFunc("/download", b.run(b.serveDownload))
	mux.HandleFunc("/slow", b.run(b.serveSlow))
	mux.HandleFunc("/cut", b.run(b.serveCut))
	return mux
}

// run gives the request a slot, or sheds it, and keeps its entry in the journal.
func (b *Backend) run(handle runHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(HeaderService, string(b.options.Service))
		writer.Header().Set(HeaderBackend, string(b.options.ID))
		if !b.slots.take() {
			writer.Header().Set("Retry-After", retryAfter)
			http.Error(writer, "no slot is free", http.StatusServiceUnavailable)
			return
		}
		defer b.slots.release()
		b.runs.Add(1)
		number := b.journal.begin(Run{
			RequestID:      request.Header.Get(HeaderRequestID),
			IdempotencyKey: request.Header.Get(HeaderIdempotencyKey),
			Intended:       catalog.ServiceName(request.Header.Get(HeaderService)),
			Service:        b.options.Service,
			Backend:        b.options.ID,
			Method:         request.Method,
			Path:           request.URL.Path,
			Begin:          time.Now(),
			WhileDraining:  b.draining.Load(),
		})
		end := RunCanceled
		defer func() { b.journal.finish(number, time.Now(), end) }()
		err := b.warmUp(request.Context())
		if err == nil {
			err = handle(writer, request)
		}
		end = endOf(err)
		if err != nil {
			// Closes the connection, so that a part is never taken for the whole.
			panic(http.ErrAbortHandler)
		}
	}
}

func endOf(err error) RunEnd {
	switch {
	case err == nil:
		return RunComplete
	case errors.Is(err, errCut):
		return RunCut
	default:
		return RunCanceled
	}
}

// warmUp delays a request of a back end that has not been up for long.
func (b *Backend) warmUp(ctx context.Context) error {
	left := b.options.ColdStart - time.Since(b.started)
	if left <= 0 {
		return nil
	}
	part := float64(left) / float64(b.options.ColdStart)
	return sleep(ctx, time.Duration(part*float64(b.options.ColdDelay)))
}

func (b *Backend) serveEcho(writer http.ResponseWriter, request *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(request.Body, maximumEcho))
	if err != nil {
		return err
	}
	digest, _, _ := DigestOf(request.Header.Get(HeaderRequestID), bytes.NewReader(body))
	return writeAnswer(writer, digest, body)
}

func (b *Backend) serveUpload(writer http.ResponseWriter, request *http.Request) error {
	digest, _, err := DigestOf(request.Header.Get(HeaderRequestID), request.Body)
	if err != nil {
		return err
	}
	return writeAnswer(writer, digest, []byte(digest))
}

// serveSlow answers after the asked number of milliseconds.
func (b *Backend) serveSlow(writer http.ResponseWriter, request *http.Request) error {
	if err := sleep(request.Context(), millisecondsOf(request, "ms")); err != nil {
		return err
	}
	return b.serveEcho(writer, request)
}

// serveDownload answers "bytes" bytes of Content, spread over "ms" milliseconds when given.
func (b *Backend) serveDownload(writer http.ResponseWriter, request *http.Request) error {
	total := integerOf(request, "bytes")
	writer.Header().Set("Content-Length", strconv.FormatInt(total, 10))
	content := io.LimitReader(Content(b.options.Service, request.Header.Get(HeaderRequestID)), total)
	duration := millisecondsOf(request, "ms")
	if duration <= 0 {
		_, err := io.CopyBuffer(onlyWriter{writer}, content, make([]byte, copyBufferBytes))
		return err
	}
	piece := max(total/downloadPieces, 1)
	pause := duration / time.Duration(max((total+piece-1)/piece, 1))
	for {
		written, err := io.CopyN(writer, content, piece)
		if err == io.EOF || (err == nil && written == 0) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := http.NewResponseController(writer).Flush(); err != nil {
			return err
		}
		if err := sleep(request.Context(), pause); err != nil {
			return err
		}
	}
}

// serveCut announces one byte more than "after" and cuts the connection after those.
func (b *Backend) serveCut(writer http.ResponseWriter, request *http.Request) error {
	after := integerOf(request, "after")
	writer.Header().Set("Content-Length", strconv.FormatInt(after+1, 10))
	content := Content(b.options.Service, request.Header.Get(HeaderRequestID))
	if _, err := io.CopyN(writer, content, after); err != nil {
		return err
	}
	if err := http.NewResponseController(writer).Flush(); err != nil {
		return err
	}
	return errCut
}

func writeAnswer(writer http.ResponseWriter, digest string, body []byte) error {
	writer.Header().Set(HeaderDigest, digest)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := writer.Write(body)
	return err
}

// onlyWriter hides ReadFrom, so that the given buffer is used.
type onlyWriter struct{ io.Writer }

// integerOf returns a query parameter, 0 when it is missing, negative or no number.
func integerOf(request *http.Request, name string) int64 {
	value, err := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	if err != nil || value < 0 {
		return 0
	}
	return value
}

func millisecondsOf(request *http.Request, name string) time.Duration {
	return time.Duration(integerOf(request, name)) * time.Millisecond
}

// sleep waits, or returns the context's error as soon as that is done.
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
