package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// router is a stand-in for the platform's routers. It asks each balancer twice a second whether it
// is ready, and takes one out that misses two of these.
type router struct {
	lab       *lab
	balancers []*machine
	mutex     sync.Mutex
	in        map[string]bool
}

func (l *lab) startRouter(balancers []*machine) *router {
	r := &router{lab: l, balancers: balancers, in: map[string]bool{}}
	for _, m := range balancers {
		go r.poll(m)
	}
	return r
}

func (r *router) poll(m *machine) {
	missed := 0
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(500 * time.Millisecond) {
		response, err := client.Get("http://" + at(m.ip, r.lab.ports.ready) + "/burlmill/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if missed++; ready {
			missed = 0
		}
		r.mutex.Lock()
		if ready && !r.in[m.ip] {
			r.in[m.ip] = true
			r.lab.record.add("routers: %s is in", m.name)
		} else if missed >= 2 && r.in[m.ip] {
			delete(r.in, m.ip)
			r.lab.record.add("routers: %s is out", m.name)
		}
		r.mutex.Unlock()
	}
}

func (r *router) countIn() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.in)
}

// pick returns the balancer for a flow, by rendezvous hashing over those that are in (steady).
func (r *router) pick(key flowKey) netip.AddrPort {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	best, bestRank := r.balancers[0], uint64(0)
	for _, m := range r.balancers {
		if !r.in[m.ip] {
			continue
		}
		hash := fnv.New64a()
		fmt.Fprint(hash, m.ip, key.client, key.route, m.ip)
		rank := hash.Sum64() * 0x9e3779b97f4a7c15
		if rank >= bestRank {
			best, bestRank = m, rank
		}
	}
	return netip.MustParseAddrPort(at(best.ip, r.lab.ports.packets))
}

// client is a stand-in for a machine of clients.
type client struct {
	lab    *lab
	router *router
	ip     netip.Addr
	udp    *net.UDPConn
	ports  atomic.Uint32
	mutex  sync.Mutex
	flows  map[uint16]*clientFlow
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	client     *client
	key        flowKey
	inbox      chan packet
	next       uint32 // next number that the client sends
	confirmed  uint32 // next number expected from the host
	opened     bool
	openedAt   time.Time
	synAt      time.Time // when its first SYN was sent
	lastActive time.Time
}

var (
	errReset      = errors.New("reset")
	errUnanswered = errors.New("no answer")
)

func (l *lab) startClient(r *router) (*client, error) {
	c := &client{lab: l, router: r, ip: netip.MustParseAddr(l.nextIP()), flows: map[uint16]*clientFlow{}}
	var err error
	c.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, uint16(l.ports.packets))))
	if err != nil {
		return nil, err
	}
	_ = c.udp.SetReadBuffer(1 << 20)
	c.ports.Store(30000)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		c.mutex.Lock()
		f := c.flows[p.to.Port()]
		c.mutex.Unlock()
		if f == nil || f.key.route != p.from {
			continue
		}
		select {
		case f.inbox <- p:
		default:
		}
	}
}

// connect opens a flow: a SYN, and copies after 200 and 600 ms.
func (c *client) connect(route netip.AddrPort) (*clientFlow, error) {
	port := uint16(c.ports.Add(1))
	f := &clientFlow{client: c, key: flowKey{netip.AddrPortFrom(c.ip, port), route}, inbox: make(chan packet, 256), next: rand.Uint32(), synAt: time.Now()}
	c.mutex.Lock()
	c.flows[port] = f
	c.mutex.Unlock()
	for copies, wait := range []time.Duration{200, 400, 800} {
		f.send(packet{flags: flagSYN, seq: f.next, ack: uint32(copies)})
		deadline := time.Now().Add(wait * time.Millisecond)
		for {
			p, err := f.await(deadline)
			if err == errReset {
				return f, errReset
			}
			if err != nil {
				break
			}
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
				f.opened, f.openedAt, f.lastActive = true, time.Now(), time.Now()
				f.next++
				f.confirmed = p.seq + 1
				f.send(packet{flags: flagACK, seq: f.next, ack: f.confirmed})
				return f, nil
			}
		}
	}
	return f, errUnanswered
}

// request sends a request and returns the body of its answer. Missing packets are sent again.
func (f *clientFlow) request(id string, patience time.Duration) (string, error) {
	text := fmt.Sprintf("GET /page HTTP/1.1\r\nHost: service\r\nX-Burlmill-Request-Id: %s\r\n\r\n", id)
	deadline := time.Now().Add(patience)
	f.lastActive = time.Now()
	acknowledged := false
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		if !acknowledged {
			f.send(packet{flags: flagACK, seq: f.next, ack: f.confirmed, data: []byte(text)})
		}
		again := time.Now().Add(wait)
		if again.After(deadline) {
			again = deadline
		}
		for {
			p, err := f.await(again)
			if err == errReset {
				return "", errReset
			}
			if err != nil {
				break
			}
			if p.ack == f.next+uint32(len(text)) {
				acknowledged = true
			}
			if len(p.data) == 0 || p.seq != f.confirmed {
				continue
			}
			f.next += uint32(len(text))
			f.confirmed += uint32(len(p.data))
			f.lastActive = time.Now()
			f.send(packet{flags: flagACK, seq: f.next, ack: f.confirmed})
			_, body, _ := strings.Cut(string(p.data), "\r\n\r\n")
			return body, nil
		}
	}
	return "", errUnanswered
}

// rest waits without sending. It returns errReset if the flow is reset meanwhile.
func (f *clientFlow) rest(pause time.Duration) error {
	deadline := time.Now().Add(pause)
	for {
		if _, err := f.await(deadline); err == errReset {
			return errReset
		} else if err != nil {
			return nil
		}
	}
}

// closeFlow sends FIN and forgets the flow.
func (f *clientFlow) closeFlow() {
	if f.opened {
		f.send(packet{flags: flagFIN | flagACK, seq: f.next, ack: f.confirmed})
		_, _ = f.await(time.Now().Add(50 * time.Millisecond))
		f.send(packet{flags: flagACK, seq: f.next + 1, ack: f.confirmed + 1})
	}
	f.forget()
}

func (f *clientFlow) forget() {
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	delete(f.client.flows, f.key.client.Port())
}

func (f *clientFlow) send(p packet) {
	p.from, p.to = f.key.client, f.key.route
	_, _ = f.client.udp.WriteToUDPAddrPort(encode(p), f.client.router.pick(f.key))
}

// resetWindow is the distance from the client's last ack within which a reset of an open flow
// counts.
const resetWindow = 76800

// await returns the next packet, errReset after a reset that counts, or errUnanswered at the
// deadline.
func (f *clientFlow) await(deadline time.Time) (packet, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case p := <-f.inbox:
			if p.flags&flagRST == 0 {
				return p, nil
			}
			distance := int32(p.seq - f.confirmed)
			if !f.opened || distance >= -resetWindow && distance <= resetWindow {
				return packet{}, errReset
			}
		case <-timer.C:
			return packet{}, errUnanswered
		}
	}
}
