// Package faultproxy puts a network with faults between two processes of a test:
// a UDP or TCP proxy that delays, loses, reorders, duplicates, freezes and cuts
// what passes, each direction on its own, settable while it runs.
//
// Sockets are plain net connections with a goroutine each, because the proxy is
// outside burlmill and shares no socket code with the processes it disturbs.
package faultproxy

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Direction is one way through a proxy.
type Direction uint8

// The directions of a proxy.
const (
	ToTarget Direction = iota // requests: from whoever connects or sends to the proxy
	ToClient                  // replies
	directionCount
)

// Faults is what happens to one direction's traffic. The zero value passes
// everything on at once. Probabilities run from 0 to 1 and apply to a datagram,
// or on TCP to each piece that one read returns.
type Faults struct {
	Delay     time.Duration // added to everything
	Jitter    time.Duration // up to this much more, at random; TCP stays in order
	Loss      float64       // UDP: datagrams dropped. TCP: the piece is dropped and its connection reset
	Duplicate float64       // UDP only: datagrams sent twice
	Reorder   float64       // UDP only: datagrams held back by ReorderDelay
	Freeze    bool          // nothing passes until it is lifted; what waits is kept
	CutWithin int64         // TCP only: a new stream is cut after a number of bytes below this, drawn for each; 0: not
	CutClean  bool          // a cut looks like the regular end of the stream to whoever reads it, not like a reset
}

// ReorderDelay is how long a reordered datagram is held back beyond its delay.
const ReorderDelay = 5 * time.Millisecond

// Options says how a proxy starts.
type Options struct {
	Listen netip.AddrPort // port 0 lets the system choose
	Target netip.AddrPort
	Seed   uint64 // fixes the sequence of random decisions
}

// controls holds the faults in force and makes the random decisions.
type controls struct {
	mutex   sync.Mutex
	random  *rand.Rand
	faults  [directionCount]Faults
	changed chan struct{} // closed and replaced at each change
	spoiled uint64        // streams that were refused or did not pass whole
}

func newControls(seed uint64) *controls {
	return &controls{random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

// Spoiled returns how many streams were refused, reset or cut by the proxy so far.
func (c *controls) Spoiled() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.spoiled
}

func (c *controls) spoil() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.spoiled++
}

// Set puts the faults of one direction in force, also for what waits already.
func (c *controls) Set(direction Direction, faults Faults) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults[direction] = faults
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetBoth puts the same faults in force both ways.
func (c *controls) SetBoth(faults Faults) {
	c.Set(ToTarget, faults)
	c.Set(ToClient, faults)
}

// frozen says whether the direction is frozen, and returns a channel that is
// closed when the faults change.
func (c *controls) frozen(direction Direction) (frozen bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.faults[direction].Freeze, c.changed
}

// fate is what one datagram or piece meets.
type fate struct {
	lost   bool
	copies int
	delay  time.Duration
	late   time.Duration // hold-back of a reordered datagram
}

// decide draws the fate of the next datagram or piece.
func (c *controls) decide(direction Direction) fate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	faults := c.faults[direction]
	decided := fate{copies: 1, delay: faults.Delay}
	decided.lost = c.random.Float64() < faults.Loss
	if c.random.Float64() < faults.Duplicate {
		decided.copies = 2
	}
	if c.random.Float64() < faults.Reorder {
		decided.late = ReorderDelay
	}
	if faults.Jitter > 0 {
		decided.delay += time.Duration(c.random.Int64N(int64(faults.Jitter)))
	}
	return decided
}

// cut is where one direction of a stream is cut.
type cut struct {
	after int64 // bytes; noCut for nowhere
	clean bool
}

// noCut is the place of a cut that no stream reaches.
const noCut = math.MaxInt64

// decideCut draws where a new stream is cut.
func (c *controls) decideCut(direction Direction) cut {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	faults := c.faults[direction]
	if faults.CutWithin <= 0 {
		return cut{after: noCut}
	}
	return cut{after: c.random.Int64N(faults.CutWithin), clean: faults.CutClean}
}
