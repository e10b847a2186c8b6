package lab

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"sync"
	"time"
)

// Client is a client machine. Each flow has a port of its own.
type Client struct {
	record  *Record
	router  *Router
	address netip.Addr
	socket  *net.UDPConn
	mutex   sync.Mutex
	port    uint16
	inboxes map[uint16]chan packet
}

// StartClient starts a client at the address.
func StartClient(record *Record, router *Router, address netip.Addr) (*Client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, portPackets)))
	if err != nil {
		return nil, err
	}
	c := &Client{record: record, router: router, address: address, socket: socket, port: 20000, inboxes: map[uint16]chan packet{}}
	go c.receive()
	return c, nil
}

// Close closes the client's socket.
func (c *Client) Close() { _ = c.socket.Close() }

func (c *Client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p := packet(append([]byte(nil), buffer[:n]...))
		if !p.valid() {
			continue
		}
		c.mutex.Lock()
		inbox := c.inboxes[p.destination().Port()]
		c.mutex.Unlock()
		select {
		case inbox <- p:
		default:
		}
	}
}

// Flow is a client's end of a flow.
type Flow struct {
	client     *Client
	Key        netip.AddrPort // the client's address and port
	Route      netip.AddrPort
	OpenedSent time.Time // when the opening packet was first sent
	inbox      chan packet
	seq, ack   uint32
	open       bool
	Reset      packet // that ended the flow; nil: none
}

// Errors of flows.
var (
	ErrReset  = errors.New("reset")
	ErrSilent = errors.New("no answer")
)

// synTimes are the times at which an opening packet and its copies are sent; the attempt ends at the
// last one (PROTOCOL.md, "Flows").
var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// Open opens a flow.
func (c *Client) Open(route netip.AddrPort) (*Flow, error) {
	c.mutex.Lock()
	c.port++
	f := &Flow{client: c, Key: netip.AddrPortFrom(c.address, c.port), Route: route, inbox: make(chan packet, 64), seq: uint32(c.port) * 7919, OpenedSent: time.Now()}
	c.inboxes[c.port] = f.inbox
	c.mutex.Unlock()
	for copies, at := range synTimes[:3] {
		f.send(flagSYN, f.seq, uint32(copies), nil)
		p, err := f.await(f.OpenedSent.Add(synTimes[copies+1]))
		if err != nil && !errors.Is(err, ErrSilent) {
			return f, err
		}
		if p != nil && p.flags()&flagSYN != 0 {
			f.open = true
			f.seq++
			f.ack = p.seq() + 1
			return f, nil
		}
		_ = at
	}
	return f, ErrSilent
}

var stamp = regexp.MustCompile(`X-Burlmill-Server-Stamp: (\S+)\r\nX-Burlmill-Request-Id: (\S+)`)

// Answer is an answer as a client has received it.
type Answer struct{ Request, Host string }

// Request sends a request and waits for its answer until the deadline.
func (f *Flow) Request(id string, deadline time.Duration) (Answer, error) {
	data := fmt.Appendf(nil, "POST /work HTTP/1.1\r\nHost: lab\r\nX-Burlmill-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	end := time.Now().Add(deadline)
	wait := 200 * time.Millisecond
	for time.Now().Before(end) {
		f.send(flagACK, f.seq, f.ack, data)
		next := time.Now().Add(wait)
		if next.After(end) {
			next = end
		}
		wait = min(2*wait, 1600*time.Millisecond)
		for {
			p, err := f.await(next)
			if errors.Is(err, ErrReset) {
				return Answer{}, err
			}
			if p == nil {
				break
			}
			if len(p.data()) == 0 || p.seq() != f.ack {
				continue
			}
			f.ack += uint32(len(p.data()))
			f.seq += uint32(len(data))
			f.send(flagACK, f.seq, f.ack, nil)
			match := stamp.FindSubmatch(p.data())
			if match == nil {
				return Answer{}, errors.New("an answer without a stamp")
			}
			return Answer{Request: string(match[2]), Host: string(match[1])}, nil
		}
	}
	return Answer{}, ErrSilent
}

// Close ends the flow.
func (f *Flow) Close() {
	if f.open && f.Reset == nil {
		f.send(flagACK|flagFIN, f.seq, f.ack, nil)
	}
	go func() {
		time.Sleep(3 * time.Second)
		f.client.mutex.Lock()
		defer f.client.mutex.Unlock()
		delete(f.client.inboxes, f.Key.Port())
	}()
}

func (f *Flow) send(flags byte, seq, ack uint32, data []byte) {
	to := f.client.router.pick(f.Key, f.Route)
	_, _ = f.client.socket.WriteToUDPAddrPort(newPacket(f.Key, f.Route, flags, seq, ack, data), to)
}

// resetWindow is the largest distance of a reset's number from the client's last ack.
const resetWindow = 76800

// await returns the next packet. It fails with ErrSilent at the given time, and with ErrReset.
func (f *Flow) await(until time.Time) (packet, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case p := <-f.inbox:
			if p.flags()&flagRST == 0 {
				return p, nil
			}
			distance := int32(p.seq() - f.ack)
			if !f.open || distance >= -resetWindow && distance <= resetWindow {
				f.Reset = p
				return nil, ErrReset
			}
		case <-timer.C:
			return nil, ErrSilent
		}
	}
}

// Exchange opens a flow, makes one request and closes the flow.
func (c *Client) Exchange(route netip.AddrPort, id string, deadline time.Duration) (Answer, *Flow, error) {
	f, err := c.Open(route)
	if err != nil {
		return Answer{}, f, err
	}
	defer f.Close()
	answer, err := f.Request(id, deadline)
	return answer, f, err
}
