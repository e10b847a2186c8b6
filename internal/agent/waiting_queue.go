// This file implements the queue of datagrams that wait for a newer configuration or for the
// confirmation that this agent is alive. It rejects datagrams above its limits, and returns those
// that have waited for flow.MaxWaitTime, which the event loop drops.

package agent

import (
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Limits of waitingQueue.
const (
	maxWaitingDatagrams = 1024
	maxWaitingBytes     = 1 << 20 // total size of the datagrams including their headers
)

// waitingDatagram is a datagram that the decider could not decide yet.
type waitingDatagram struct {
	receivedDatagram
	queuedAt time.Time // time of the first decision; unchanged when the datagram is queued again
}

// waitingQueue holds datagrams that wait for a newer configuration or for the confirmation that
// this agent is alive.
type waitingQueue struct {
	entries []waitingDatagram
	bytes   int
}

// push appends the datagram and reports whether the queue had room. If not, the caller keeps
// ownership of the datagram.
func (w *waitingQueue) push(entry waitingDatagram) bool {
	size := len(entry.Bytes)
	if len(w.entries) >= maxWaitingDatagrams || w.bytes+size > maxWaitingBytes {
		return false
	}
	w.entries = append(w.entries, entry)
	w.bytes += size
	return true
}

// popAll removes and returns all datagrams.
func (w *waitingQueue) popAll() []waitingDatagram {
	removed := w.entries
	w.entries, w.bytes = nil, 0
	return removed
}

// popExpired removes and returns the datagrams that have waited for flow.MaxWaitTime.
func (w *waitingQueue) popExpired(now time.Time) []waitingDatagram {
	count := 0
	for count < len(w.entries) && now.Sub(w.entries[count].queuedAt) >= flow.MaxWaitTime {
		w.bytes -= len(w.entries[count].Bytes)
		count++
	}
	expired := w.entries[:count:count]
	w.entries = w.entries[count:]
	return expired
}
