// This file implements the TCP proxy, which forwards streams between clients and one target and
// injects faults into them. It can also refuse new connections, and reset or blackhole all open
// streams. It resets a client if the target does not accept within dialTimeout.

package faultproxy

import (
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// Limits of the TCP proxy.
const (
	maxReadBytes = 32 << 10        // size of a chunk
	dialTimeout  = 5 * time.Second // for the connection to the target
)

// TCP is a running proxy for streams. All methods are safe for concurrent use.
type TCP struct {
	*controls
	target     netip.AddrPort
	listener   net.Listener
	goroutines sync.WaitGroup

	mutex   sync.Mutex
	closed  bool
	refuse  bool
	streams map[*stream]bool
}

// StartTCP opens the proxy's listener and starts forwarding. Errors are of kind fault.Unavailable.
func StartTCP(options Options) (*TCP, error) {
	listener, err := net.Listen("tcp", options.Listen.String())
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "listen on %s", options.Listen)
	}
	proxy := &TCP{
		controls: newControls(options.Seed),
		target:   options.Target,
		listener: listener,
		streams:  map[*stream]bool{},
	}
	proxy.goroutines.Go(proxy.accept)
	return proxy, nil
}

// Address returns the address that clients connect to.
func (t *TCP) Address() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

// ResetAll resets every open stream on both sides and counts it as disrupted.
func (t *TCP) ResetAll() {
	for _, stream := range t.openStreams() {
		stream.resetInjected()
	}
}

// BlackholeAll discards all data read from now on over the open streams. A stream stays open until
// one side closes its connection; both sides are then reset. Queued data is still sent; new
// connections work.
func (t *TCP) BlackholeAll() {
	for _, stream := range t.openStreams() {
		stream.blackhole()
	}
}

func (t *TCP) openStreams() []*stream {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Collect(maps.Keys(t.streams))
}

// Refuse sets whether new connections are reset before any data is forwarded. Each such connection
// is counted as disrupted.
func (t *TCP) Refuse(refuse bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refuse = refuse
}

// Close closes the listener, resets every stream and waits for the proxy's goroutines. Calls after
// the first return nil.
func (t *TCP) Close() error {
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	err := t.listener.Close()
	t.ResetAll()
	t.goroutines.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (t *TCP) accept() {
	for {
		client, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			t.goroutines.Go(func() { t.relay(client) })
		}
	}
}

// relay connects to the target and forwards both directions until the stream ends. It resets the
// client's connection if the proxy refuses connections or the dial fails.
func (t *TCP) relay(client net.Conn) {
	if t.refusing() {
		t.countDisrupted()
		resetConnection(client)
		return
	}
	target, err := net.DialTimeout("tcp", t.target.String(), dialTimeout)
	if err != nil {
		resetConnection(client)
		return
	}
	current := newStream(t.controls, client, target)
	if !t.register(current) {
		current.reset()
		return
	}
	var goroutines sync.WaitGroup
	for _, queue := range current.queues {
		goroutines.Go(queue.run)
	}
	goroutines.Go(func() { t.forward(current, ToTarget, client, target) })
	goroutines.Go(func() { t.forward(current, ToClient, target, client) })
	goroutines.Wait()
	t.mutex.Lock()
	delete(t.streams, current)
	t.mutex.Unlock()
}

func (t *TCP) refusing() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.refuse || t.closed
}

func (t *TCP) register(current *stream) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.streams[current] = true
	return true
}

// forward reads one direction from its source and queues its chunks, followed by its end, for the
// sink. It returns when the direction ends, is cut or fails.
func (t *TCP) forward(current *stream, direction Direction, source, sink net.Conn) {
	queue := current.queues[direction]
	cut := t.drawCutPoint(direction)
	lastDue := time.Time{}
	send := func(payload []byte) {
		if _, err := sink.Write(payload); err != nil {
			current.reset()
		}
	}
	for {
		chunk := make([]byte, maxReadBytes)
		length, err := source.Read(chunk)
		if current.isBlackholed() {
			if err != nil {
				current.reset() // the source closed or reset the connection
				return
			}
			continue
		}
		drawn := t.drawFaults(direction)
		due := time.Now().Add(drawn.delay)
		if due.Before(lastDue) {
			due = lastDue
		}
		lastDue = due
		if length > 0 && drawn.lost {
			current.resetInjected()
			return
		}
		forwarded := min(int64(length), cut.offset)
		if forwarded > 0 && !queue.enqueue(queuedItem{payload: chunk[:forwarded], due: due, send: send}) {
			return
		}
		if int64(length) > cut.offset {
			queue.enqueue(queuedItem{due: due, send: func([]byte) { current.truncate(sink, cut.clean) }})
			return
		}
		cut.offset -= forwarded
		if err == io.EOF {
			queue.enqueue(queuedItem{due: due, send: func([]byte) { current.finishDirection(sink) }})
			return
		}
		if err != nil {
			current.reset()
			return
		}
	}
}
