package agent

import (
	"time"

	"github.com/burlmill/burlmill/internal/agent/buffer"
)

// Bounds of the datagrams that wait for a newer configuration.
const (
	maximumWaiting      = 1024    // datagrams
	maximumWaitingBytes = 1 << 20 // bytes of datagrams with their headers
	maximumWait         = 2 * time.Second
)

// waitingDatagram is a datagram that was sent by a newer configuration than the
// one in force here.
type waitingDatagram struct {
	datagram *buffer.Buffer
	since    time.Time
}

// waitingQueue holds datagrams in the order in which they began to wait.
type waitingQueue struct {
	entries []waitingDatagram
	bytes   int
}

// put takes the datagram over and says whether there was room; if not, it stays
// with the caller.
func (w *waitingQueue) put(entry waitingDatagram) bool {
	size := len(entry.datagram.Bytes)
	if len(w.entries) >= maximumWaiting || w.bytes+size > maximumWaitingBytes {
		return false
	}
	w.entries = append(w.entries, entry)
	w.bytes += size
	return true
}

// takeAll empties the queue and returns what it held.
func (w *waitingQueue) takeAll() []waitingDatagram {
	taken := w.entries
	w.entries, w.bytes = nil, 0
	return taken
}

// takeExpired removes and returns the datagrams that have waited too long.
func (w *waitingQueue) takeExpired(now time.Time) []waitingDatagram {
	count := 0
	for count < len(w.entries) && now.Sub(w.entries[count].since) >= maximumWait {
		w.bytes -= len(w.entries[count].datagram.Bytes)
		count++
	}
	expired := w.entries[:count:count]
	w.entries = w.entries[count:]
	return expired
}
