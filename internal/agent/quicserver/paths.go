package quicserver

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
)

// callerPath is the way back to one caller.
type callerPath struct {
	returnpath.Path
	key         flow.Key
	address     *net.UDPAddr // the caller's address as quic-go wants it
	connections int          // open connections that began at this address
	emptied     time.Time    // when the last of them ended; zero if none has
}

// callerPaths holds the paths of all callers of one back end. It is safe for
// concurrent use: connections send from goroutines of their own.
type callerPaths struct {
	mutex    sync.RWMutex
	byCaller map[netip.AddrPort]*callerPath
}

// arrive notes that a datagram of the flow came from the fabric address.
func (c *callerPaths) arrive(key flow.Key, from netip.AddrPort) (*callerPath, error) {
	if held := c.get(key.Caller); held != nil && held.key == key {
		held.SetReturn(from)
		return held, nil
	}
	opened := &callerPath{key: key, address: net.UDPAddrFromAddrPort(key.Caller)}
	if err := opened.Open(key, from); err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if former := c.byCaller[key.Caller]; former != nil {
		opened.connections = former.connections
	}
	c.byCaller[key.Caller] = opened
	return opened, nil
}

func (c *callerPaths) get(caller netip.AddrPort) *callerPath {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.byCaller[caller]
}

func (c *callerPaths) forget(key flow.Key) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if held := c.byCaller[key.Caller]; held != nil && held.key == key {
		delete(c.byCaller, key.Caller)
	}
}

// connectionOpened counts a connection that began at the caller's address.
func (c *callerPaths) connectionOpened(caller netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if held := c.byCaller[caller]; held != nil {
		held.connections++
	}
}

// connectionClosed is the counterpart of connectionOpened.
func (c *callerPaths) connectionClosed(now time.Time, caller netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.byCaller[caller]
	if held == nil || held.connections == 0 {
		return
	}
	held.connections--
	held.emptied = now
}

// emptiedBefore returns the flows whose last connection ended before the time.
func (c *callerPaths) emptiedBefore(limit time.Time) []flow.Key {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var keys []flow.Key
	for _, held := range c.byCaller {
		if held.connections == 0 && !held.emptied.IsZero() && held.emptied.Before(limit) {
			keys = append(keys, held.key)
		}
	}
	return keys
}

// keys returns all flows.
func (c *callerPaths) keys() []flow.Key {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	keys := make([]flow.Key, 0, len(c.byCaller))
	for _, held := range c.byCaller {
		keys = append(keys, held.key)
	}
	return keys
}
