// This file relays the bytes of a stream in both directions between two connections. It applies
// backpressure, forwards the end of one direction and resets both connections after a failure.

package stream

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// Meter counts the bytes that a relay forwards. Its methods are called concurrently
// from two goroutines.
type Meter interface {
	// ForwardedToBackend is called after each write to the back end.
	ForwardedToBackend(bytes int)
	// ForwardedToCaller is called after each write to the caller.
	ForwardedToCaller(bytes int)
}

// Relay forwards bytes both ways and returns when both directions have ended. The
// end of one direction is forwarded while the other continues. On failure, Relay
// resets both connections and returns the first cause as an error of kind
// fault.Unavailable. Both connections are closed when Relay returns.
func Relay(caller, backend *Connection, meter Meter) error {
	current := &relay{caller: caller, backend: backend}
	current.open.Store(2)
	var directions sync.WaitGroup
	directions.Go(func() { current.run(backend, caller, meter.ForwardedToCaller) })
	current.run(caller, backend, meter.ForwardedToBackend)
	directions.Wait()
	if current.cause != nil {
		return fault.Wrap(fault.Unavailable, current.cause, "relay stream")
	}
	return fault.Wrap(fault.Unavailable, errors.Join(caller.closeGracefully(), backend.closeGracefully()), "close stream")
}

// relay is the state shared by the goroutines of the two directions.
type relay struct {
	caller, backend *Connection

	open      atomic.Int32 // directions that have not ended
	resetOnce sync.Once
	cause     error // why the stream was reset; set once
}

// run forwards one direction until it ends or the stream is reset.
func (r *relay) run(source, sink *Connection, onForwarded func(bytes int)) {
	if err := forward(source, sink, onForwarded); err != nil {
		r.reset(err)
		return
	}
	r.directionEnded()
	// The source may still reset the connection before the other direction ends.
	if err := source.awaitReset(); !errors.Is(err, os.ErrDeadlineExceeded) {
		r.reset(err)
	}
}

// reset records the first cause and resets both connections, which also ends the
// other direction.
func (r *relay) reset(cause error) {
	r.resetOnce.Do(func() { r.cause = cause })
	r.caller.Abort()
	r.backend.Abort()
}

// directionEnded records the clean end of one direction. The second call wakes both
// goroutines by an expired read deadline.
func (r *relay) directionEnded() {
	if r.open.Add(-1) > 0 {
		return
	}
	expired := time.Unix(1, 0)
	_ = r.caller.socket.SetReadDeadline(expired) // fails only if closed
	_ = r.backend.socket.SetReadDeadline(expired)
}

// forward copies one direction and then closes the write side of the sink. A slow
// sink applies backpressure: each chunk is written before the next one is read.
func forward(source, sink *Connection, onForwarded func(bytes int)) error {
	if err := sendBuffered(source, sink, onForwarded); err != nil {
		return err
	}
	for {
		next, err := source.readChunk()
		if errors.Is(err, io.EOF) {
			return sink.closeWrite()
		}
		if err != nil {
			return err
		}
		length := next.length
		_, err = sink.socket.Write(next.content[:length])
		chunkPool.Put(next)
		if err != nil {
			return err
		}
		onForwarded(length)
	}
}

// sendBuffered sends the bytes that were read together with the preamble.
func sendBuffered(source, sink *Connection, onForwarded func(bytes int)) error {
	buffered := source.buffered
	source.buffered = nil
	if len(buffered) == 0 {
		return nil
	}
	if _, err := sink.socket.Write(buffered); err != nil {
		return err
	}
	onForwarded(len(buffered))
	return nil
}
