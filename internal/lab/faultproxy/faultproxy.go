// This file defines the options of a proxy and the faults of a direction, which can be changed at
// any time. It draws at random the faults of each datagram, chunk and stream for the UDP and TCP
// proxies, and counts the streams that they disrupt.

// Package faultproxy injects network faults between two processes of a test. Its UDP and TCP
// proxies delay, drop, reorder, duplicate, stall and cut traffic. Faults are set for each
// direction separately and may change while the proxy runs.
//
// The proxies use sockets of package net, so that they share no socket code with the processes
// under test.
package faultproxy

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Direction is the direction of traffic through a proxy.
type Direction uint8

// The directions of a proxy.
const (
	ToTarget Direction = iota // from the clients to the target
	ToClient                  // from the target to the clients
	directionCount
)

// Faults are the faults injected into one direction. The zero value forwards all traffic without
// delay. Probabilities range from 0 to 1 and apply to each datagram, or on TCP to each chunk
// returned by one read.
type Faults struct {
	Delay        time.Duration // added to each datagram or chunk
	Jitter       time.Duration // upper bound of a random additional delay; TCP stays in order
	Loss         float64       // UDP: drops the datagram. TCP: drops the chunk, resets the connection
	Duplicate    float64       // UDP only: sends the datagram twice
	Reorder      float64       // UDP only: delays the datagram by ReorderDelay more
	Stall        bool          // queues traffic until cleared; a full queue drops datagrams
	MaxCutOffset int64         // TCP only: cuts new streams at a random byte offset below it; 0: off
	CutClean     bool          // TCP only: the receiver of a cut stream sees a regular end, not a reset
}

// ReorderDelay is the additional delay of a reordered datagram.
const ReorderDelay = 5 * time.Millisecond

// Options configures a proxy.
type Options struct {
	Listen netip.AddrPort // port 0 selects a free port
	Target netip.AddrPort
	Seed   uint64 // seeds the random decisions
}

// controls holds the current faults and makes the random decisions. It is safe for concurrent use.
type controls struct {
	mutex            sync.Mutex
	random           *rand.Rand
	faults           [directionCount]Faults
	changed          chan struct{} // closed and replaced whenever the faults change
	disruptedStreams uint64        // streams refused, reset or cut by the proxy itself
}

func newControls(seed uint64) *controls {
	return &controls{random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

// DisruptedStreams returns how many streams the proxy has refused, reset or cut by injected faults
// or TCP.Close. It does not count resets that follow from an error of either connection or a failed
// dial of the target. For a UDP proxy it is 0.
func (c *controls) DisruptedStreams() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.disruptedStreams
}

func (c *controls) countDisrupted() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disruptedStreams++
}

// Set replaces the faults of one direction. Stall also affects traffic that is already queued;
// MaxCutOffset and CutClean affect only streams opened later.
func (c *controls) Set(direction Direction, faults Faults) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults[direction] = faults
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetBoth replaces the faults of both directions.
func (c *controls) SetBoth(faults Faults) {
	c.Set(ToTarget, faults)
	c.Set(ToClient, faults)
}

// stalled reports whether the direction is stalled, and returns a channel that is closed at the
// next change of the faults of either direction.
func (c *controls) stalled(direction Direction) (stalled bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.faults[direction].Stall, c.changed
}

// drawnFaults is the set of faults drawn for one datagram or chunk.
type drawnFaults struct {
	lost         bool
	copies       int
	delay        time.Duration
	reorderDelay time.Duration // additional delay of a reordered datagram
}

// drawFaults draws the faults of the next datagram or chunk.
func (c *controls) drawFaults(direction Direction) drawnFaults {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	faults := c.faults[direction]
	drawn := drawnFaults{copies: 1, delay: faults.Delay}
	drawn.lost = c.random.Float64() < faults.Loss
	if c.random.Float64() < faults.Duplicate {
		drawn.copies = 2
	}
	if c.random.Float64() < faults.Reorder {
		drawn.reorderDelay = ReorderDelay
	}
	if faults.Jitter > 0 {
		drawn.delay += time.Duration(c.random.Int64N(int64(faults.Jitter)))
	}
	return drawn
}

// cutPoint is the point at which one direction of a stream is cut.
type cutPoint struct {
	offset int64 // bytes; noCutOffset: never
	clean  bool
}

// noCutOffset is the offset of a cut that no stream reaches.
const noCutOffset = math.MaxInt64

// drawCutPoint draws the point at which a new stream is cut.
func (c *controls) drawCutPoint(direction Direction) cutPoint {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	faults := c.faults[direction]
	if faults.MaxCutOffset <= 0 {
		return cutPoint{offset: noCutOffset}
	}
	return cutPoint{offset: c.random.Int64N(faults.MaxCutOffset), clean: faults.CutClean}
}
