// This file sends this process's statuses, gossiped records and other messages to other processes,
// and handles those received: it applies statuses and records, requests a fetch of a newer
// configuration, answers requests to compare records, and passes the rest to the balancer or agent.
// Messages that cannot be decoded are counted, logged and dropped.

package relay

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/wire"
)

// sendStatuses sends this process's status to all peers for which one is due. The lock is held.
func (n *node) sendStatuses(now time.Time) {
	if !n.decider.announces(now) {
		return
	}
	recipients := n.peers.DueStatuses(now, n.statusUrgent)
	n.statusUrgent = false
	if len(recipients) == 0 {
		return
	}
	outgoing := n.ownStatus(now)
	n.peers.UpdateOwnRecord(now, outgoing)
	confirmations, records := n.peers.Confirmations(now), n.peers.Digest()
	for _, to := range recipients {
		outgoing.Interval = to.Interval
		outgoing.Subscribe = to.Subscribe
		outgoing.Peers = n.peers.AdvertisedPeers(now, to)
		outgoing.Confirmations, outgoing.Records = nil, handshake.RecordsDigest{}
		if to.Digest {
			outgoing.Confirmations, outgoing.Records = confirmations, records
		}
		if to.Brief {
			n.send(to.Address, outgoing.Brief())
			continue
		}
		n.send(to.Address, outgoing)
	}
}

// ownStatus returns the status that this process sends to others. The lock is held.
func (n *node) ownStatus(now time.Time) handshake.Status {
	own := n.decider.status(now)
	own.ID = n.settings.Node.ID
	own.Role = n.role
	own.Zone = n.settings.Node.Zone
	own.Region = n.settings.Node.Region
	own.Incarnation = n.incarnation
	own.Uptime = max(now.Sub(n.startedAt), time.Millisecond)
	own.Version = n.table.Version()
	own.ShuttingDown = n.shuttingDown
	own.Evacuations = n.evacuations.Announced()
	return own
}

// send sends a message to another process. The lock is held.
func (n *node) send(to netip.AddrPort, message handshake.Message) {
	encoded, err := Encode(time.Now(), message)
	if err != nil {
		n.limitedLog.Log(log.ErrorLevel, "encode-failed", log.Fields{"error": err})
		return
	}
	n.metrics.countSent(message, n.distance(to), len(encoded))
	n.sendBytes(encoded, to)
}

// distance returns the value of the label distance for another process. The lock is held.
func (n *node) distance(to netip.AddrPort) string {
	zone, known := n.peers.Zone(to)
	switch {
	case !known:
		return distanceUnknown
	case zone == n.settings.Node.Zone:
		return distanceOwnZone
	default:
		return distanceOtherZone
	}
}

func (n *node) sendBytes(encoded []byte, to netip.AddrPort) {
	if err := n.peerConn.Send(encoded, to); err != nil {
		n.limitedLog.Log(log.WarnLevel, "send-failed", log.Fields{"to": to, "error": err})
	}
}

// receivePeerDatagram handles a datagram from another process. The socket calls it.
func (n *node) receivePeerDatagram(datagram []byte, from netip.AddrPort, _ wire.Arrival) {
	n.metrics.peerDatagrams.Inc()
	now := time.Now()
	message, err := Decode(now, datagram)
	if err = n.handleSkipped(entryMessage, err); err != nil {
		n.metrics.invalid.WithLabelValues(sourcePeer).Inc()
		n.limitedLog.Log(log.WarnLevel, "message-invalid", log.Fields{"from": from, "error": err})
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.started {
		return
	}
	switch body := message.(type) {
	case handshake.Status:
		completed, ok := n.peers.Complete(now, from, body)
		if !ok {
			return // a complete status follows soon
		}
		n.receiveStatus(now, from, completed)
		n.decider.handleMessage(now, from, completed)
		n.applyRecordChanges(now)
	case handshake.Records:
		n.peers.HandleRecords(now, from, body)
		n.applyRecordChanges(now)
	case handshake.CompareRequest:
		for _, answer := range n.peers.HandleCompareRequest(now, body) {
			n.send(from, answer)
		}
	default:
		n.decider.handleMessage(now, from, message)
	}
}

// gossipRecords sends changed records of processes to other balancers. The lock is held.
func (n *node) gossipRecords(now time.Time) {
	n.applyRecordChanges(now)
	for _, outgoing := range n.peers.DueRecords(now) {
		n.send(outgoing.To, outgoing.Message)
	}
}

// applyRecordChanges passes changed records of processes to the decider and logs them. The lock is
// held.
func (n *node) applyRecordChanges(now time.Time) {
	for _, record := range n.peers.Changes() {
		n.decider.handleRecord(now, record)
		n.limitedLog.Log(log.InfoLevel, "process-recorded", log.Fields{"peer": record.Address, "role": record.Role,
			"zone": record.Zone, "service": record.Service, "stage": record.Stage, "gone": record.Failed,
			"age": now.Sub(record.ObservedAt), "present": n.peers.Digest().RunningCount})
	}
}

// receiveStatus handles the status of another process, and requests a fetch if that process has a
// newer configuration. The lock is held.
func (n *node) receiveStatus(now time.Time, from netip.AddrPort, received handshake.Status) {
	if gap, known := n.peers.SinceLastSeen(now, from); known {
		n.metrics.statusGaps.Observe(gap.Seconds())
	}
	if n.peers.HandleStatus(now, from, received) {
		n.log.WithFields(log.Fields{"peer": from, "id": received.ID, "role": received.Role, "zone": received.Zone,
			"service": received.Service, "version": received.Version}).Info("peer-reachable")
	}
	n.recordAnnouncedVersion(received.Version)
	if received.Version > n.table.Version() {
		n.recordBehind(now, received)
		n.requestFetch()
	}
	n.applyEvacuations(now, received.Evacuations, received.ID)
}
