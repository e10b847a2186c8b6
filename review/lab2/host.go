package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// flowKey identifies a flow by its client's end and the route's address.
type flowKey struct{ client, route netip.AddrPort }

// hostFlow is a flow at a host.
type hostFlow struct {
	number   uint32 // the host's own first number
	open     bool
	syn      time.Time // arrival of its opening packet
	received uint32    // next number expected from the client
	sent     uint32    // next number that the host sends
	last     time.Time // last packet of either end
	answer   []byte    // latest answer, as a packet
	asked    uint32    // number of the request that it answers
}

// host is a stand-in for one start of a host, beside the agent of a side machine.
type host struct {
	lab *lab
	m   *machine
	hostOptions
	slotsInUse chan struct{}
	udp        *net.UDPConn
	health     *http.Server
	startedAt  time.Time
	stopped    chan struct{}

	mutex       sync.Mutex
	flows       map[flowKey]*hostFlow
	leaving     bool
	saysWell    bool // its health answers say well, whatever is true
	silent      bool // it sends no heartbeats
	callSeq     uint64
	opened      map[flowKey]*hostFlow // every flow that has opened here
	ran         int
	forged      int // packets in a form that no sender wrote
	healthCalls int
}

// hostOptions are the properties of a host.
type hostOptions struct {
	id, service string
	work        time.Duration // of a request
	slots       int           // requests and health checks at a time; 0: 7
	idle        time.Duration // flows that have rested this long are forgotten; 0: none
	firstBeat   time.Duration // from the start to the first heartbeat
	nameless    bool          // its health answers don't name it
	// delayBeat is called before each heartbeat is sent, with its callSeq. It returns when the
	// heartbeat arrives, and false if that never happens.
	delayBeat func(callSeq uint64) bool
}

// startHost starts a host.
func (l *lab) startHost(m *machine, options hostOptions) (*host, error) {
	if options.slots == 0 {
		options.slots = 7
	}
	h := &host{lab: l, m: m, hostOptions: options, slotsInUse: make(chan struct{}, options.slots), startedAt: time.Now(), stopped: make(chan struct{}),
		flows: map[flowKey]*hostFlow{}, opened: map[flowKey]*hostFlow{}}
	address := netip.MustParseAddrPort(at(m.ip, l.ports.app))
	var err error
	for range 50 {
		if h.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	_ = h.udp.SetReadBuffer(1 << 20)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	h.health = &http.Server{Handler: http.HandlerFunc(h.serveHealth)}
	go func() { _ = h.health.Serve(listener) }()
	go h.receive()
	go h.heartbeats(h.firstBeat)
	if h.idle > 0 {
		go h.forgetIdle()
	}
	l.record.add("host %s: starts at %s", h.id, address)
	return h, nil
}

func (h *host) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	h.slotsInUse <- struct{}{}
	defer func() { <-h.slotsInUse }()
	h.mutex.Lock()
	h.healthCalls++
	well := !h.leaving || h.saysWell
	h.mutex.Unlock()
	if !h.nameless {
		writer.Header().Set("X-Burlmill-Instance-Id", h.id)
	}
	if !well {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	h.lab.record.add("host %s: health check answered, well=%v", h.id, well)
}

func (h *host) heartbeats(first time.Duration) {
	wait := first
	for {
		select {
		case <-h.stopped:
			return
		case <-time.After(wait):
		}
		wait = heartbeatInterval
		h.mutex.Lock()
		silent := h.silent
		h.mutex.Unlock()
		if !silent {
			go h.beat("ready")
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (h *host) beat(state string) bool {
	h.mutex.Lock()
	h.callSeq++
	body, _ := json.Marshal(map[string]any{"service": h.service, "address": at(h.m.ip, h.lab.ports.app), "zone": "a", "version": "v1",
		"slots": h.slots, "state": state, "coldLeftMs": 0, "callSeq": h.callSeq})
	callSeq := h.callSeq
	h.mutex.Unlock()
	if h.delayBeat != nil && !h.delayBeat(callSeq) {
		return false
	}
	acknowledged := h.call(http.MethodPut, body)
	if callSeq == 1 || !acknowledged {
		h.lab.record.add("host %s: heartbeat %d, %q, acknowledged=%v", h.id, callSeq, state, acknowledged)
	}
	return acknowledged
}

// leave sends DELETE and reports whether it was acknowledged.
func (h *host) leave() bool {
	h.mutex.Lock()
	h.leaving, h.silent = true, true
	h.mutex.Unlock()
	acknowledged := h.call(http.MethodDelete, nil)
	h.lab.record.add("host %s: DELETE acknowledged=%v", h.id, acknowledged)
	return acknowledged
}

func (h *host) call(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/burlmill/instances/%s", at(h.m.ip, h.lab.ports.control), h.id)
	request, _ := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode/100 == 2
}

// stop ends the host at once, as a crash or at the end of its planned leave.
func (h *host) stop() {
	h.lab.record.add("host %s: ends", h.id)
	close(h.stopped)
	_ = h.udp.Close()
	_ = h.health.Close()
}

func (h *host) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		raw := bytes.Clone(buffer[:n])
		p, ok := decode(raw)
		if !ok || !sumIsValid(raw) || raw[0]&flagBounced != 0 {
			h.mutex.Lock()
			h.forged++
			h.mutex.Unlock()
			h.lab.record.add("host %s: a packet in a form that no sender wrote", h.id)
			continue
		}
		h.handle(raw, p)
	}
}

func (h *host) handle(raw []byte, p packet) {
	key := flowKey{p.from, p.to}
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f := h.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &hostFlow{number: rand.Uint32(), syn: now, received: p.seq + 1, last: now}
			f.sent = f.number + 1
			h.flows[key] = f
		}
		if !f.open {
			h.send(encode(packet{flags: flagSYN | flagACK, seq: f.number, ack: f.received, from: key.route, to: key.client}))
		}
		return
	case f == nil || !f.open && p.ack != f.number+1:
		raw[0] |= flagBounced
		h.send(raw)
		return
	case p.flags&flagRST != 0:
		delete(h.flows, key)
		return
	}
	f.last = now
	if !f.open {
		f.open = true
		h.opened[key] = f
		h.lab.record.add("host %s: flow of %s opens (its SYN arrived at %.3f)", h.id, key.client, h.lab.record.at(f.syn))
	}
	switch {
	case len(p.data) > 0 && p.seq == f.received:
		f.received += uint32(len(p.data))
		f.asked = p.seq
		f.answer = nil
		h.send(encode(packet{flags: flagACK, seq: f.sent, ack: f.received, from: key.route, to: key.client}))
		go h.run(key, f, string(p.data))
	case len(p.data) > 0 && p.seq == f.asked && f.answer != nil:
		h.send(f.answer)
	case p.flags&flagFIN != 0:
		h.send(encode(packet{flags: flagFIN | flagACK, seq: f.sent, ack: f.received + 1, from: key.route, to: key.client}))
		delete(h.flows, key)
	}
}

// run runs one request and answers it.
func (h *host) run(key flowKey, f *hostFlow, request string) {
	id := ""
	for _, line := range strings.Split(request, "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok && name == "X-Burlmill-Request-Id" {
			id = value
		}
	}
	h.slotsInUse <- struct{}{}
	time.Sleep(h.work)
	<-h.slotsInUse
	select {
	case <-h.stopped:
		return
	default:
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ran++
	body := "answer to " + id + " by " + h.id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Burlmill-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	f.answer = encode(packet{flags: flagACK, seq: f.sent, ack: f.received, from: key.route, to: key.client, data: []byte(text)})
	f.sent += uint32(len(text))
	f.last = time.Now()
	h.lab.record.add("host %s: ran %s", h.id, id)
	h.send(f.answer)
}

func (h *host) send(raw []byte) {
	_, _ = h.udp.WriteToUDPAddrPort(raw, netip.MustParseAddrPort(at(h.m.ip, h.lab.ports.outbound)))
}

// forgetIdle forgets the flows that have rested for the idle time of the configuration.
func (h *host) forgetIdle() {
	for {
		select {
		case <-h.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		h.mutex.Lock()
		for key, f := range h.flows {
			if f.open && time.Since(f.last) > h.idle {
				delete(h.flows, key)
				h.lab.record.add("host %s: forgets the flow of %s, which has rested for %v", h.id, key.client, h.idle)
			}
		}
		h.mutex.Unlock()
	}
}

// holds reports whether the host runs and holds the flow now.
func (h *host) holds(key flowKey) bool {
	select {
	case <-h.stopped:
		return false
	default:
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f := h.flows[key]
	return f != nil && f.open
}
