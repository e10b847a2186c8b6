// This file implements Queue, which writes log lines in the background, so that a slow reader of
// the log does not block the process. Lines are dropped and counted while the queue is full; a
// log-dropped event reports their number. Close writes the queued lines within a timeout.

package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the capacity of a Queue in lines.
const maxQueuedLines = 1024

// Queue is an io.Writer that never blocks: a goroutine writes the queued lines to the underlying
// writer, and lines are dropped and counted while the queue is full. All methods are safe for
// concurrent use.
type Queue struct {
	writer    io.Writer
	lines     chan []byte
	dropped   atomic.Uint64 // lines dropped since the latest report
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when run returns
	closeOnce sync.Once
}

// NewQueue returns a queue that writes to the writer. Close stops its goroutine.
func NewQueue(writer io.Writer) *Queue {
	queue := &Queue{writer: writer, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go queue.run()
	return queue
}

// Write queues a copy of one line. It never returns an error: if the queue is full, the line is
// dropped and counted. A line written after Close may be discarded without being counted.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case <-q.stop:
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no log-dropped event has reported yet.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.stop:
			q.drain()
			return
		}
	}
}

// drain writes the lines that are still queued, then reports dropped lines.
func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			q.reportDropped()
			return
		}
	}
}

func (q *Queue) write(line []byte) {
	q.reportDropped()
	_, _ = q.writer.Write(line) // ignores errors: the process runs even if its log cannot be written
}

// reportDropped writes a log-dropped event with the number of dropped lines, if there are any.
func (q *Queue) reportDropped() {
	dropped := q.dropped.Swap(0)
	if dropped == 0 {
		return
	}
	_, _ = fmt.Fprintf(q.writer, "%s=%s %s=warn %s=log-dropped %s=%d\n",
		timeKey, time.Now().UTC().Format(time.RFC3339Nano), levelKey, eventKey, suppressedKey, dropped)
}

// Close stops the queue and waits until the queued lines are written, or the timeout has passed.
// After the timeout, the goroutine continues to write the queued lines. Close does not close the
// underlying writer. It may be called more than once.
func (q *Queue) Close(timeout time.Duration) {
	q.closeOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
