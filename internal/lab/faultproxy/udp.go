// This file implements the UDP proxy, which forwards datagrams between clients and one target over
// a socket for each client, and injects faults. It drops datagrams that do not fit into the queue.

package faultproxy

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// Buffer sizes of the UDP proxy.
const (
	maxDatagramBytes  = 65507   // maximum UDP payload over IPv4
	socketBufferBytes = 4 << 20 // requested receive buffer of each socket
)

// UDP is a running proxy for datagrams. For each client address it opens a socket, the session of
// the client. Every datagram that this socket receives, from any address, is forwarded to the
// client. All methods are safe for concurrent use.
type UDP struct {
	*controls
	target     net.Addr
	socket     *net.UDPConn
	toTarget   *delayQueue
	toClient   *delayQueue
	goroutines sync.WaitGroup

	mutex    sync.Mutex
	closed   bool
	sessions map[netip.AddrPort]*net.UDPConn // by client address
}

// StartUDP opens the proxy's socket and starts forwarding. Errors are of kind fault.Unavailable.
func StartUDP(options Options) (*UDP, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "listen on %s", options.Listen)
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	controls := newControls(options.Seed)
	proxy := &UDP{
		controls: controls,
		target:   net.UDPAddrFromAddrPort(options.Target),
		socket:   socket,
		toTarget: newDelayQueue(controls, ToTarget),
		toClient: newDelayQueue(controls, ToClient),
		sessions: map[netip.AddrPort]*net.UDPConn{},
	}
	proxy.goroutines.Go(proxy.toTarget.run)
	proxy.goroutines.Go(proxy.toClient.run)
	proxy.goroutines.Go(proxy.readClients)
	return proxy, nil
}

// Address returns the address that clients send to.
func (u *UDP) Address() netip.AddrPort {
	return u.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes every socket, drops queued datagrams and waits for the proxy's goroutines. Calls
// after the first return nil at once.
func (u *UDP) Close() error {
	u.mutex.Lock()
	if u.closed {
		u.mutex.Unlock()
		return nil
	}
	u.closed = true
	errs := []error{u.socket.Close()}
	for _, session := range u.sessions {
		errs = append(errs, session.Close())
	}
	u.mutex.Unlock()
	close(u.toTarget.closed)
	close(u.toClient.closed)
	u.goroutines.Wait()
	return errors.Join(errs...)
}

func (u *UDP) readClients() {
	readDatagrams(u.socket, func(payload []byte, source netip.AddrPort) {
		session := u.session(source)
		if session == nil {
			return
		}
		u.enqueue(u.toTarget, payload, func(payload []byte) { _, _ = session.WriteTo(payload, u.target) })
	})
}

// session returns the socket for datagrams of a client and opens it at the client's first datagram.
// It returns nil if opening fails, or if the proxy is closed and the client has no socket.
func (u *UDP) session(source netip.AddrPort) *net.UDPConn {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if session := u.sessions[source]; session != nil || u.closed {
		return session
	}
	local := u.socket.LocalAddr().(*net.UDPAddr)
	session, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP})
	if err != nil {
		return nil
	}
	_ = session.SetReadBuffer(socketBufferBytes)
	u.sessions[source] = session
	u.goroutines.Go(func() {
		readDatagrams(session, func(payload []byte, _ netip.AddrPort) {
			u.enqueue(u.toClient, payload, func(payload []byte) { _, _ = u.socket.WriteToUDPAddrPort(payload, source) })
		})
	})
	return session
}

// enqueue draws the faults of a datagram and queues its copies, or none if it is lost. The payload
// is cloned.
func (u *UDP) enqueue(queue *delayQueue, payload []byte, send func([]byte)) {
	drawn := u.drawFaults(queue.direction)
	if drawn.lost {
		return
	}
	cloned := bytes.Clone(payload)
	due := time.Now().Add(drawn.delay + drawn.reorderDelay)
	for range drawn.copies {
		queue.enqueueOrDrop(queuedItem{payload: cloned, due: due, send: send})
	}
}

// readDatagrams calls handle for each datagram until the socket is closed. The payload is valid
// only during the call of handle.
func readDatagrams(socket *net.UDPConn, handle func(payload []byte, source netip.AddrPort)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, source, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(buffer[:length], source)
		}
	}
}
