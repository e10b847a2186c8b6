// This file records disturbances of a balancer: times at which it may have missed messages of other
// processes, among them shutdown notices. A stall does not count as one if the socket has dropped
// nothing meanwhile, as the messages then wait in the socket.

package handshake

import "time"

// disturbanceTimeout is the time without a message from any agent after which messages may have
// been lost.
const disturbanceTimeout = 500 * time.Millisecond

// Reasons of EventAgentNotProbed.
const (
	reasonStall           = "stalled"          // of this process, which does not know its socket's drops
	reasonDroppedMessages = "messages-dropped" // by this process's socket
	reasonNoMessages      = "no-messages"      // from any agent
)

// disturbance is the latest disturbance of a balancer, and what is needed to detect the next one.
type disturbance struct {
	startedAt   time.Time // zero: none yet
	latestAt    time.Time // of the latest update that found it to continue
	reason      string
	updatedAt   time.Time // of the last call of Balancer.updateDisturbance
	agentSeenAt time.Time // of the last message from any agent, or the end of a later stall

	dropped      uint64 // messages that the socket has dropped since it was opened
	droppedKnown bool   // dropped was recorded since updatedAt
	dropsAdded   bool   // the socket has dropped messages since updatedAt
}

// since reports whether there has been a disturbance after the given time.
func (d *disturbance) since(start time.Time) bool { return start.Before(d.latestAt) }

// RecordDroppedMessages records how many messages of other processes this process's socket has
// dropped since it was opened, as its receive buffer was full. It is called before each Tick. If it
// is not, a stall counts as a loss of messages.
func (b *Balancer) RecordDroppedMessages(total uint64) {
	d := &b.disturbance
	d.dropsAdded = d.dropsAdded || total != d.dropped
	d.dropped, d.droppedKnown = total, true
}

// updateDisturbance records whether messages may have been lost since the last update. Messages that
// arrived during a stall without drops wait in the socket: probes start anew, so that answers among
// these messages count.
func (b *Balancer) updateDisturbance(now time.Time) {
	d := &b.disturbance
	stalled := b.stallEndedAt.After(d.updatedAt)
	switch {
	case d.dropsAdded:
		d.record(now, reasonDroppedMessages)
	case stalled && !d.droppedKnown:
		d.record(now, reasonStall)
	case stalled:
		d.agentSeenAt = now
		for _, probe := range b.probedAgents {
			b.resetAgentProbe(now, probe)
			probe.sentAt = time.Time{} // the next one is due
		}
	case now.Sub(d.agentSeenAt) > disturbanceTimeout:
		d.record(now, reasonNoMessages)
	}
	d.updatedAt, d.droppedKnown, d.dropsAdded = now, false, false
}

// record records a disturbance. One with the same reason as at the previous update continues.
func (d *disturbance) record(now time.Time, reason string) {
	if d.latestAt.Before(d.updatedAt) || d.reason != reason {
		d.startedAt = now
	}
	d.latestAt, d.reason = now, reason
}
