// This file implements callerPaths, which holds the return path to each caller, counts the caller's
// open connections, and lists the flows whose connections have all closed.

package quicserver

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
)

// callerPath is the return path to one caller.
type callerPath struct {
	returnpath.Path
	key          flow.Key
	address      *net.UDPAddr // the caller's address in the form that quic-go uses
	connections  int          // open connections that started from this address
	lastClosedAt time.Time    // time at which the latest of them closed; zero if none has
	handshakes   atomic.Int64 // connections from this address whose handshake is in progress
}

// callerPaths holds the return paths of all callers of one back end. It is safe for
// concurrent use, because each connection sends from its own goroutines.
type callerPaths struct {
	mutex    sync.RWMutex
	byCaller map[netip.AddrPort]*callerPath

	handshakes atomic.Int64 // connections whose handshake is in progress
}

// recordArrival records that a datagram of the flow was received from the fabric address,
// and returns the flow's path. Errors are of kind fault.Invalid.
func (c *callerPaths) recordArrival(key flow.Key, from netip.AddrPort) (*callerPath, error) {
	if existing := c.get(key.Caller); existing != nil && existing.key == key {
		existing.SetReturnAddress(from)
		return existing, nil
	}
	opened := &callerPath{key: key, address: net.UDPAddrFromAddrPort(key.Caller)}
	if err := opened.Open(key, from); err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if previous := c.byCaller[key.Caller]; previous != nil {
		opened.connections = previous.connections
	}
	c.byCaller[key.Caller] = opened
	return opened, nil
}

func (c *callerPaths) get(caller netip.AddrPort) *callerPath {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.byCaller[caller]
}

func (c *callerPaths) remove(key flow.Key) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if path := c.byCaller[key.Caller]; path != nil && path.key == key {
		delete(c.byCaller, key.Caller)
	}
}

// connectionOpened counts a connection that started from the caller's address and returns the
// caller's path, nil if it has been removed.
func (c *callerPaths) connectionOpened(caller netip.AddrPort) *callerPath {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	path := c.byCaller[caller]
	if path != nil {
		path.connections++
	}
	return path
}

// connectionClosed removes a connection from the count and records when it closed.
func (c *callerPaths) connectionClosed(now time.Time, caller netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	path := c.byCaller[caller]
	if path == nil || path.connections == 0 {
		return
	}
	path.connections--
	path.lastClosedAt = now
}

// closedBefore returns the flows that have no open connection and whose latest
// connection closed before the limit. Flows that never had a connection are excluded.
func (c *callerPaths) closedBefore(limit time.Time) []flow.Key {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var keys []flow.Key
	for _, path := range c.byCaller {
		if path.connections == 0 && !path.lastClosedAt.IsZero() && path.lastClosedAt.Before(limit) {
			keys = append(keys, path.key)
		}
	}
	return keys
}

func (c *callerPaths) keys() []flow.Key {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	keys := make([]flow.Key, 0, len(c.byCaller))
	for _, path := range c.byCaller {
		keys = append(keys, path.key)
	}
	return keys
}
