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

// Meter counts the bytes that a relay has carried. Its methods are called from
// two goroutines.
type Meter interface {
	// CarriedToBackend is called for each part of a stream towards its back end.
	CarriedToBackend(bytes int)
	// CarriedToCaller is called for each part of a stream towards its caller.
	CarriedToCaller(bytes int)
}

// Relay carries bytes both ways and returns when both directions have ended. The
// end of each direction is passed on by itself. If anything goes wrong, both
// connections are reset and the error, of kind fault.Unavailable, tells the first
// cause. Both connections are closed afterwards in any case.
func Relay(caller, backend *Connection, meter Meter) error {
	current := &relay{caller: caller, backend: backend}
	current.open.Store(2)
	var directions sync.WaitGroup
	directions.Go(func() { current.run(backend, caller, meter.CarriedToCaller) })
	current.run(caller, backend, meter.CarriedToBackend)
	directions.Wait()
	if current.cause != nil {
		return fault.Wrap(fault.Unavailable, current.cause, "stream cut")
	}
	return fault.Wrap(fault.Unavailable, errors.Join(caller.end(), backend.end()), "end stream")
}

// relay is what the goroutines of the two directions share.
type relay struct {
	caller, backend *Connection

	open    atomic.Int32 // directions that have not ended
	cutOnce sync.Once
	cause   error // why the stream was cut; set once, by cut
}

// run carries one direction until it ends or the stream is cut.
func (r *relay) run(source, sink *Connection, carried func(bytes int)) {
	if err := carry(source, sink, carried); err != nil {
		r.cut(err)
		return
	}
	r.ended()
	// The source may still reset the connection while it waits for the answer.
	if err := source.awaitReset(); !errors.Is(err, os.ErrDeadlineExceeded) {
		r.cut(err)
	}
}

// cut resets both connections, which also ends the other direction.
func (r *relay) cut(cause error) {
	r.cutOnce.Do(func() { r.cause = cause })
	r.caller.Abort()
	r.backend.Abort()
}

// ended notes the clean end of one direction. The last one wakes both.
func (r *relay) ended() {
	if r.open.Add(-1) > 0 {
		return
	}
	passed := time.Unix(1, 0)
	_ = r.caller.socket.SetReadDeadline(passed) // fails only if closed
	_ = r.backend.socket.SetReadDeadline(passed)
}

// carry copies one direction and then ends it at the sink. A sink that is slow
// holds the source up: nothing is read before the last part has been written.
func carry(source, sink *Connection, carried func(bytes int)) error {
	if err := sendEarly(source, sink, carried); err != nil {
		return err
	}
	for {
		next, err := source.next()
		if errors.Is(err, io.EOF) {
			return sink.endSending()
		}
		if err != nil {
			return err
		}
		length := next.length
		_, err = sink.socket.Write(next.content[:length])
		pieces.Put(next)
		if err != nil {
			return err
		}
		carried(length)
	}
}

// sendEarly sends what was read together with the beginning of the stream.
func sendEarly(source, sink *Connection, carried func(bytes int)) error {
	early := source.early
	source.early = nil
	if len(early) == 0 {
		return nil
	}
	if _, err := sink.socket.Write(early); err != nil {
		return err
	}
	carried(len(early))
	return nil
}
