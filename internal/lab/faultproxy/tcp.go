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

const (
	pieceLength = 32 << 10        // bytes read at once
	dialLimit   = 5 * time.Second // for the connection to the target
)

// TCP is a running proxy for streams. All methods are safe for concurrent use.
type TCP struct {
	*controls
	target   netip.AddrPort
	listener net.Listener
	running  sync.WaitGroup

	mutex   sync.Mutex
	closed  bool
	refuse  bool
	streams map[*stream]bool
}

// StartTCP opens the proxy's listener. Errors are of kind fault.Unavailable.
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
	proxy.running.Go(proxy.accept)
	return proxy, nil
}

// Address returns the address that clients connect to.
func (t *TCP) Address() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Cut resets every present connection, on both sides.
func (t *TCP) Cut() {
	for _, stream := range t.present() {
		stream.spoil()
	}
}

// Silence lets nothing pass any more on every present connection, and tells neither side; new ones work.
func (t *TCP) Silence() {
	for _, stream := range t.present() {
		stream.silence()
	}
}

// present returns the connections that there are.
func (t *TCP) present() []*stream {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Collect(maps.Keys(t.streams))
}

// Refuse makes the proxy reset new connections before a byte passes, or stop doing so.
func (t *TCP) Refuse(refuse bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refuse = refuse
}

// Close resets every connection and waits for the proxy's goroutines.
func (t *TCP) Close() error {
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	err := t.listener.Close()
	t.Cut()
	t.running.Wait()
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
			t.running.Go(func() { t.relay(client) })
		}
	}
}

// relay connects to the target and carries both directions until the end.
func (t *TCP) relay(client net.Conn) {
	if t.refusing() {
		t.spoil()
		resetConnection(client)
		return
	}
	server, err := net.DialTimeout("tcp", t.target.String(), dialLimit)
	if err != nil {
		resetConnection(client)
		return
	}
	current := newStream(t.controls, client, server)
	if !t.register(current) {
		current.reset()
		return
	}
	var parts sync.WaitGroup
	for _, line := range current.lines {
		parts.Go(line.run)
	}
	parts.Go(func() { t.carry(current, ToTarget, client, server) })
	parts.Go(func() { t.carry(current, ToClient, server, client) })
	parts.Wait()
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

// carry reads one direction and puts its pieces on the line. The end of the
// stream waits on the line behind them. A stream ends when both directions have.
func (t *TCP) carry(current *stream, direction Direction, source, sink net.Conn) {
	line := current.lines[direction]
	left := t.decideCut(direction)
	latest := time.Time{}
	send := func(payload []byte) {
		if _, err := sink.Write(payload); err != nil {
			current.reset()
		}
	}
	for {
		piece := make([]byte, pieceLength)
		length, err := source.Read(piece)
		if current.isSilent() {
			if err != nil {
				current.reset() // that side has given it up
				return
			}
			continue
		}
		fate := t.decide(direction)
		due := time.Now().Add(fate.delay)
		if due.Before(latest) {
			due = latest
		}
		latest = due
		if length > 0 && fate.lost {
			current.spoil()
			return
		}
		passing := min(int64(length), left.after)
		if passing > 0 && !line.put(item{payload: piece[:passing], due: due, send: send}) {
			return
		}
		if int64(length) > left.after {
			line.put(item{due: due, send: func([]byte) { current.cut(sink, left.clean) }})
			return
		}
		left.after -= passing
		if err == io.EOF {
			line.put(item{due: due, send: func([]byte) { current.finish(sink) }})
			return
		}
		if err != nil {
			current.reset()
			return
		}
	}
}
