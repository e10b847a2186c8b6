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

// receivedDatagram is a datagram on its way to the decider.
type receivedDatagram struct {
	*buffer.Buffer
	arrived time.Time // the earliest time at which it can have come, as in flow.Packet
}

// waitingDatagram is a datagram that the decider has put off.
type waitingDatagram struct {
	receivedDatagram
	since time.Time // when it was handled first
}

// waitingQueue holds datagrams in the order in which they began to wait.
type waitingQueue struct {
	entries []waitingDatagram
	bytes   int
}

// put takes the datagram over and says whether there was room; if not, it stays
// with the caller.
func (w *waitingQueue) put(entry waitingDatagram) bool {
	size := len(entry.Bytes)
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
		w.bytes -= len(w.entries[count].Bytes)
		count++
	}
	expired := w.entries[:count:count]
	w.entries = w.entries[count:]
	return expired
}
