// This file runs a load of TCP echo streams, verifies every byte of the echo and counts the
// outcomes. A stream fails if connecting takes longer than streamDialTimeout or the rest longer
// than StreamLoad.Timeout.

package caller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
)

// Sizes and the dial timeout of TCP echo streams.
const (
	streamPieces      = 50 // a piece has Bytes/streamPieces bytes, at least 1
	streamDialTimeout = 10 * time.Second
	streamReadBytes   = 16 << 10 // size of each compared buffer
)

// StreamLoad is the configuration of a load of callers, each of which opens one TCP echo stream
// after another.
type StreamLoad struct {
	Service  catalog.ServiceName
	Address  netip.AddrPort // of the service, at the fabric
	Callers  int
	Bytes    int           // sent on each stream and expected back
	Duration time.Duration // over which a stream's bytes are spread
	Timeout  time.Duration // of a stream once connected; must be above Duration
	Pause    time.Duration // between two streams of a caller
}

// StartStreams starts the TCP callers of the load. The run continues until Run.Stop.
func StartStreams(load StreamLoad) *Run {
	run := newRun()
	for range load.Callers {
		run.callers.Go(func() { load.runCaller(run) })
	}
	return run
}

func (l StreamLoad) runCaller(run *Run) {
	for !run.stopped() {
		run.result.update(func(result *Result) { result.Streams++ })
		outcome := l.runStream(run)
		run.result.update(outcome.record)
		run.sleep(l.Pause)
	}
}

// streamOutcome is the outcome of a stream. It is the zero value for a complete stream.
type streamOutcome struct {
	refused, wrong, misrouted bool
	wrongLength               bool // wrong because of a clean end after the wrong number of bytes
	err                       error
}

func (o streamOutcome) record(result *Result) {
	switch {
	case o.err == nil:
		result.StreamsComplete++
		return
	case o.refused:
		result.StreamsRefused++
	case o.wrong:
		result.StreamsWrong++
	case o.misrouted:
		result.StreamsMisrouted++
	default:
		result.StreamsAborted++
	}
	result.StreamErrors = append(result.StreamErrors, o.err)
}

// runStream opens one stream, sends its bytes and verifies the echo.
func (l StreamLoad) runStream(run *Run) streamOutcome {
	name := backend.FlowName(l.Service, rand.Uint64())
	connection, err := net.DialTimeout("tcp", l.Address.String(), streamDialTimeout)
	if err != nil {
		return streamOutcome{refused: true, err: fmt.Errorf("connect stream %s: %w", name, err)}
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(l.Timeout))
	reader := bufio.NewReader(connection)
	response, err := startEcho(connection, reader, name)
	if err != nil {
		return streamOutcome{refused: true, err: fmt.Errorf("start stream %s: %w", name, err)}
	}
	if service := response.Header.Get(backend.HeaderService); service != string(l.Service) {
		return streamOutcome{misrouted: true, err: fmt.Errorf("stream %s was answered by service %q", name, service)}
	}
	run.result.update(func(result *Result) { result.StreamsAnswered++ })
	sent := make(chan error, 1)
	go func() { sent <- l.sendContent(connection.(*net.TCPConn), name) }()
	outcome := l.verifyEcho(reader, name)
	if outcome.err != nil {
		_ = connection.Close()
	}
	return outcome.withSendError(name, <-sent)
}

// withSendError merges the error of sending into the outcome of receiving. The kernel reports a
// reset only once: if a write gets ECONNRESET, the read sees a clean end, but the stream counts as
// aborted. After a clean end by the other side, a write gets EPIPE instead.
func (o streamOutcome) withSendError(name string, sendError error) streamOutcome {
	switch {
	case o.err == nil && sendError != nil:
		o.err = fmt.Errorf("send on stream %s: %w", name, sendError)
	case o.wrongLength && errors.Is(sendError, syscall.ECONNRESET):
		o.wrong = false
		o.err = fmt.Errorf("stream %s was reset: %w", name, sendError)
	}
	return o
}

// startEcho upgrades the connection to an echo stream and returns the response of the back end.
func startEcho(connection net.Conn, reader *bufio.Reader, name string) (*http.Response, error) {
	request := backend.NewStreamRequest(name)
	if err := request.Write(connection); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("unexpected status %s", response.Status)
	}
	return response, nil
}

// sendContent sends the content of the stream and closes the sending direction.
func (l StreamLoad) sendContent(connection *net.TCPConn, name string) error {
	content := backend.DownloadContent(l.Service, name)
	piece := max(l.Bytes/streamPieces, 1)
	for left := l.Bytes; left > 0; left -= piece {
		if _, err := io.CopyN(connection, content, int64(min(piece, left))); err != nil {
			return err
		}
		time.Sleep(l.Duration / streamPieces)
	}
	return connection.CloseWrite()
}

// verifyEcho compares the received bytes with the content sent on the stream until the stream ends.
func (l StreamLoad) verifyEcho(reader io.Reader, name string) streamOutcome {
	content := backend.DownloadContent(l.Service, name)
	received, expected := make([]byte, streamReadBytes), make([]byte, streamReadBytes)
	for total := 0; ; {
		length, err := reader.Read(received)
		_, _ = io.ReadFull(content, expected[:length]) // the content is endless
		if !bytes.Equal(received[:length], expected[:length]) {
			return streamOutcome{wrong: true, err: fmt.Errorf("stream %s: received bytes differ after offset %d", name, total)}
		}
		total += length
		switch {
		case errors.Is(err, io.EOF) && total == l.Bytes:
			return streamOutcome{}
		case errors.Is(err, io.EOF):
			return streamOutcome{wrong: true, wrongLength: true, err: fmt.Errorf("stream %s: clean end after %d of %d bytes", name, total, l.Bytes)}
		case err != nil:
			return streamOutcome{err: fmt.Errorf("read stream %s after %d bytes: %w", name, total, err)}
		}
	}
}
