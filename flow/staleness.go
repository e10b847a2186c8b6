// This file detects stale datagrams: the progress of their search, which their Route contains, may
// be out of date, because the agent was stalled or not confirmed alive while they waited. Decider
// restarts the search of a stale datagram. One that is due to be arbitrated or admitted is queued
// until the backlog of the agent's socket has been read.

package flow

import "time"

// Thresholds for the detection of stale datagrams.
const (
	// stallThreshold is the time between two observations above which the process counts as
	// stalled. It must be well below the time after which peers consider an agent dead.
	stallThreshold = time.Second
	// backlogWindow is the time after the end of a stall during which arriving datagrams still
	// count as stale, because the agent reads the backlog of its socket.
	backlogWindow = 500 * time.Millisecond
)

// staleness determines which datagrams are stale. While an agent is stalled or partitioned, its
// peers may consider it dead and admit flows without it. The flow of a datagram that waited at the
// agent meanwhile may therefore be open elsewhere.
type staleness struct {
	observedAt   time.Time // time of the latest observation
	stalledUntil time.Time // end of the latest stall; zero if there was none
	staleUntil   time.Time // datagrams whose earliest arrival is not after this time are stale
	readUntil    time.Time // all datagrams that arrived before this time have been read
}

// observe records an observation of the process. confirmed states whether the agent is confirmed
// alive, and confirmedSince since when; datagrams that arrive while it is not are stale.
func (s *staleness) observe(now time.Time, confirmed bool, confirmedSince time.Time) {
	if !s.observedAt.IsZero() && now.Sub(s.observedAt) > stallThreshold {
		s.stalledUntil = now
		s.staleUntil = now.Add(backlogWindow)
	}
	if !confirmed && s.staleUntil.Before(now) {
		s.staleUntil = now
	}
	if confirmedSince.After(s.staleUntil) {
		s.staleUntil = confirmedSince
	}
	s.observedAt = now
}

// isStale reports whether a datagram is stale. earliestArrival is Packet.EarliestArrival; zero
// means that the datagram arrives now.
func (s *staleness) isStale(now, earliestArrival time.Time) bool {
	if earliestArrival.IsZero() {
		return now.Before(s.staleUntil)
	}
	return !earliestArrival.After(s.staleUntil)
}

// recordRead records that a datagram was read, and up to which time of arrival all others have been
// read too.
func (s *staleness) recordRead(now time.Time, packet Packet) {
	readUntil := packet.ReadUntil
	if readUntil.IsZero() {
		readUntil = packet.EarliestArrival
	}
	if readUntil.IsZero() {
		readUntil = now
	}
	if readUntil.After(s.readUntil) {
		s.readUntil = readUntil
	}
}

// mayHaveUnreadBacklog reports whether stale datagrams may still be in the socket.
func (s *staleness) mayHaveUnreadBacklog(now time.Time) bool {
	return now.Before(s.staleUntil) || !s.readUntil.After(s.staleUntil)
}
