// This file opens the sockets of a service. It forwards the datagrams of callers, with sockets or
// injected, to random balancers behind a PROXY header, and replies back to the callers. It drops
// and counts datagrams without a balancer or that cannot be sent, and invalid replies.

package fabric

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/wire"
)

// Limits for forwarding the datagrams of a service.
const (
	socketBufferBytes = 4 << 20 // bytes requested for the kernel buffer of each direction of a socket
	maxHeaderBytes    = 256     // bytes reserved in front of a datagram for its header
	maxBindAttempts   = 20      // ports tried if the system selects the port of a service
	maxCachedHeaders  = 1 << 17 // callers whose header is cached; the cache is cleared when it is full
	replyHeaderCache  = 1 << 14 // parsed headers of replies in a generation of the cache
)

// port forwards the datagrams of one service and owns its sockets. Callers send to callerSocket;
// balancers and agents send replies to balancerSocket.
type port struct {
	service        ServicePort
	callerSocket   *net.UDPConn
	balancerSocket *net.UDPConn
	streams        *streamPort
	picker         *picker
	counts         *counters
	replyDecoder   *wire.Decoder // used only by forwardToCallers

	mutex    sync.RWMutex
	injected map[netip.AddrPort]*injectedCaller // by caller address
}

// injectedCaller is a caller without a socket, whose datagrams come from Inject.
type injectedCaller struct {
	header []byte // PROXY header in front of each datagram
	reply  func(payload []byte)
}

func openPort(service ServicePort, picker *picker, counts *counters) (*port, error) {
	callerSocket, streams, err := openCallerSockets(service, picker, counts)
	if err != nil {
		return nil, err
	}
	balancerSocket, err := net.ListenUDP("udp", &net.UDPAddr{IP: service.Address.Addr().AsSlice()})
	if err != nil {
		return nil, errors.Join(fault.Wrap(fault.Unavailable, err, "listen for replies of %s", service.Name), callerSocket.Close(), streams.close())
	}
	for _, socket := range []*net.UDPConn{callerSocket, balancerSocket} {
		_ = socket.SetReadBuffer(socketBufferBytes)
		_ = socket.SetWriteBuffer(socketBufferBytes)
	}
	service.Address = unmapped(callerSocket.LocalAddr().(*net.UDPAddr).AddrPort())
	return &port{
		service:        service,
		callerSocket:   callerSocket,
		balancerSocket: balancerSocket,
		streams:        streams,
		picker:         picker,
		counts:         counts,
		replyDecoder:   wire.NewDecoder(replyHeaderCache),
		injected:       map[netip.AddrPort]*injectedCaller{},
	}, nil
}

// openCallerSockets opens a UDP socket and a TCP listener at the service's address. With port 0 it
// tries up to maxBindAttempts ports, as a port selected by the system may be free for UDP only.
func openCallerSockets(service ServicePort, picker *picker, counts *counters) (*net.UDPConn, *streamPort, error) {
	var lastErr error
	for range maxBindAttempts {
		callerSocket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(service.Address))
		if err != nil {
			return nil, nil, fault.Wrap(fault.Unavailable, err, "listen for callers of %s", service.Name)
		}
		bound := unmapped(callerSocket.LocalAddr().(*net.UDPAddr).AddrPort())
		streams, err := openStreamPort(bound, picker, counts)
		if err == nil {
			return callerSocket, streams, nil
		}
		lastErr = errors.Join(err, callerSocket.Close())
		if service.Address.Port() != 0 {
			break
		}
	}
	return nil, nil, lastErr
}

// forwardToBalancers forwards callers' datagrams until the socket is closed. It reads each datagram
// at offset maxHeaderBytes, so that the header can be put in front without copying the payload.
func (p *port) forwardToBalancers() {
	buffer := make([]byte, maxHeaderBytes+wire.MaxDatagramBytes)
	headers := map[netip.AddrPort][]byte{}
	for {
		length, source, err := p.callerSocket.ReadFromUDPAddrPort(buffer[maxHeaderBytes:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.counts.in.Add(1)
		caller := unmapped(source)
		header := headers[caller]
		if header == nil {
			header, err = p.formatHeader(caller)
			if err != nil {
				p.counts.dropped.Add(1)
				continue
			}
			if len(headers) >= maxCachedHeaders {
				clear(headers)
			}
			headers[caller] = header
		}
		start := maxHeaderBytes - len(header)
		copy(buffer[start:], header)
		p.sendToBalancer(buffer[start : maxHeaderBytes+length])
	}
}

// forwardToCallers forwards replies from balancers and agents until the socket is closed.
func (p *port) forwardToCallers() {
	buffer := make([]byte, wire.MaxDatagramBytes)
	for {
		length, _, err := p.balancerSocket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.sendToCaller(buffer[:length])
	}
}

// sendToCaller sends the payload of a reply to the caller in its header, over UDP or, for an
// injected caller, through its reply function. Only forwardToCallers may call it.
func (p *port) sendToCaller(datagram []byte) {
	envelope, headerLength, err := p.replyDecoder.Decode(datagram)
	if err != nil || envelope.Key.Service != p.service.Address {
		p.counts.invalid.Add(1)
		return
	}
	payload := datagram[headerLength:]
	if injected := p.injectedAt(envelope.Key.Caller); injected != nil {
		p.counts.out.Add(1)
		injected.reply(payload)
		return
	}
	if _, err := p.callerSocket.WriteToUDPAddrPort(payload, envelope.Key.Caller); err != nil {
		p.counts.invalid.Add(1)
		return
	}
	p.counts.out.Add(1)
}

func (p *port) inject(key flow.Key, payload []byte, reply func([]byte)) error {
	injected := p.injectedAt(key.Caller)
	if injected == nil {
		header, err := p.formatHeader(key.Caller)
		if err != nil {
			return err
		}
		injected = &injectedCaller{header: header, reply: reply}
		p.mutex.Lock()
		p.injected[key.Caller] = injected
		p.mutex.Unlock()
	}
	p.counts.in.Add(1)
	datagram := make([]byte, 0, len(injected.header)+len(payload))
	datagram = append(datagram, injected.header...)
	datagram = append(datagram, payload...)
	p.sendToBalancer(datagram)
	return nil
}

func (p *port) removeInjected(key flow.Key) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.injected, key.Caller)
}

func (p *port) injectedAt(caller netip.AddrPort) *injectedCaller {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	return p.injected[caller]
}

// sendToBalancer sends the datagram to a random balancer. It sends from balancerSocket, so that
// replies are addressed to that socket.
func (p *port) sendToBalancer(datagram []byte) {
	balancer, ok := p.picker.pick()
	if !ok {
		p.counts.dropped.Add(1)
		return
	}
	if _, err := p.balancerSocket.WriteToUDPAddrPort(datagram, balancer); err != nil {
		p.counts.dropped.Add(1)
	}
}

func (p *port) formatHeader(caller netip.AddrPort) ([]byte, error) {
	header, err := wire.FormatEnvelope(wire.Envelope{Key: flow.Key{Caller: caller, Service: p.service.Address}})
	if err != nil {
		return nil, err
	}
	if len(header) > maxHeaderBytes {
		return nil, fault.New(fault.Internal, "PROXY header of %d bytes exceeds the limit of %d bytes", len(header), maxHeaderBytes)
	}
	return header, nil
}

func (p *port) close() error {
	return errors.Join(p.callerSocket.Close(), p.balancerSocket.Close(), p.streams.close())
}

// unmapped converts an IPv4-mapped IPv6 address to IPv4.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
