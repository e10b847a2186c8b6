package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"sync/atomic"
	"time"
)

// HostOptions describes a host.
type HostOptions struct {
	ID, Service string
	Slots       int
	Work        time.Duration // of each request
	// InstanceHeader makes health answers carry X-Burlmill-Instance-Id, which wire.json names and
	// the pages don't describe.
	InstanceHeader bool
	// FirstHeartbeat is when the host sends its first heartbeat, counted from its start.
	FirstHeartbeat time.Duration
	Heartbeat      time.Duration // interval
	// HoldHeartbeats, if not nil, is called before each heartbeat with its callSeq, and may wait: the
	// heartbeat is late on its way by that time. The following heartbeats aren't held up by it. If it
	// returns false the heartbeat is lost.
	HoldHeartbeats func(callSeq int) bool
}

// Host is a stand-in for a host beside an agent (PROTOCOL.md, "Hosts", "Service discovery").
type Host struct {
	HostOptions
	machine Machine
	record  *Record
	socket  *net.UDPConn
	health  *http.Server
	slots   chan struct{}
	calls   atomic.Int64
	stopped chan struct{}
	once    sync.Once

	leaving     atomic.Bool // says so in heartbeats and answers health checks with 503
	noBeats     atomic.Bool // sends no heartbeats any more
	LyingHealth atomic.Bool // answers health checks with 200, leaving or not

	mutex sync.Mutex
	flows map[flowKey]*hostFlow
	runs  []Run
	Bad   []string // packets that their sender didn't write in this form

	arrivals []Arrival
}

// Arrival is a packet of a flow, other than an opening one, that has reached a host.
type Arrival struct {
	Client, Route netip.AddrPort
	At            time.Time
	Held          bool // the host holds the flow; otherwise it returned the packet
}

// Run is a request that a host has begun to work on.
type Run struct {
	Request    string
	Host       string
	Service    string
	Route      netip.AddrPort // that the client named
	OpenedAt   time.Time      // when the opening packet arrived
	At         time.Time
	AnsweredAt time.Time // zero: not yet
}

type flowKey struct{ client, route netip.AddrPort }

type hostFlow struct {
	seq      uint32 // the host's own number
	openedAt time.Time
	open     bool
	expected uint32 // position of the client's next data
	sent     uint32 // position of the host's next data
	acked    uint32
	last     packet // latest answer
}

// StartHost starts a host on the machine.
func StartHost(record *Record, machine Machine, options HostOptions) (*Host, error) {
	address := net.UDPAddrFromAddrPort(machine.at(portApp))
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", machine.at(portApp).String())
	if err != nil {
		return nil, err
	}
	h := &Host{HostOptions: options, machine: machine, record: record, socket: socket, slots: make(chan struct{}, options.Slots),
		stopped: make(chan struct{}), flows: map[flowKey]*hostFlow{}}
	h.health = &http.Server{Handler: http.HandlerFunc(h.serveHealth)}
	go func() { _ = h.health.Serve(listener) }()
	go h.receive()
	go h.beat()
	record.Line("host %s of service %s starts at %s", h.ID, h.Service, machine.at(portApp))
	return h, nil
}

// Crash ends the host at once. It says nothing.
func (h *Host) Crash(why string) {
	h.once.Do(func() {
		close(h.stopped)
		_ = h.socket.Close()
		_ = h.health.Close()
		h.record.Line("host %s ends: %s", h.ID, why)
	})
}

func (h *Host) ended() bool {
	select {
	case <-h.stopped:
		return true
	default:
		return false
	}
}

// serveHealth answers a health check, which occupies a slot.
func (h *Host) serveHealth(w http.ResponseWriter, r *http.Request) {
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	case <-r.Context().Done():
		return
	}
	if h.InstanceHeader {
		w.Header().Set("X-Burlmill-Instance-Id", h.ID)
	}
	status := http.StatusOK
	if h.leaving.Load() && !h.LyingHealth.Load() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// beat sends heartbeats until the host ends or has sent DELETE.
func (h *Host) beat() {
	wait := h.FirstHeartbeat
	for {
		select {
		case <-h.stopped:
			return
		case <-time.After(wait):
		}
		wait = h.Heartbeat
		if h.noBeats.Load() {
			return
		}
		go h.sendHeartbeat()
	}
}

func (h *Host) sendHeartbeat() {
	callSeq := int(h.calls.Add(1))
	state := "ready"
	if h.leaving.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"service": h.Service, "address": h.machine.at(portApp).String(), "zone": Zone, "version": "v1",
		"slots": h.Slots, "state": state, "coldLeftMs": 0, "callSeq": callSeq})
	if h.HoldHeartbeats != nil && !h.HoldHeartbeats(callSeq) {
		return
	}
	status := h.call(http.MethodPut, body)
	h.record.Line("heartbeat of host %s, callSeq %d, %s: answered with %s", h.ID, callSeq, state, status)
}

// Remove sends DELETE and reports whether it was acknowledged. The host leaves: it sends no more
// heartbeats, and serves on until Crash.
func (h *Host) Remove() bool {
	h.leaving.Store(true)
	h.noBeats.Store(true)
	status := h.call(http.MethodDelete, nil)
	h.record.Line("DELETE of host %s: answered with %s", h.ID, status)
	return status == "200"
}

// call makes a call to the control address of the host's own machine. The answer counts if it comes
// within a second.
func (h *Host) call(method string, body []byte) string {
	request, _ := http.NewRequest(method, fmt.Sprintf("http://%s/burlmill/instances/%s", h.machine.at(portControl), h.ID), bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "nothing"
	}
	_ = response.Body.Close()
	return fmt.Sprint(response.StatusCode)
}

func (h *Host) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p := packet(bytes.Clone(buffer[:n]))
		h.mutex.Lock()
		h.handle(p)
		h.mutex.Unlock()
	}
}

// handle handles a packet for this host. The lock is held.
func (h *Host) handle(p packet) {
	if !p.valid() || p.sum() != p.computeSum() || p.flags()&flagBounced != 0 || p.flags()&flagSYN != 0 && p.flags()&flagACK != 0 {
		h.Bad = append(h.Bad, fmt.Sprintf("%x", []byte(p)))
		return
	}
	key := flowKey{p.source(), p.destination()}
	flow := h.flows[key]
	if p.flags()&flagSYN == 0 {
		held := flow != nil && (flow.open || p.ack() == flow.seq+1)
		h.arrivals = append(h.arrivals, Arrival{key.client, key.route, time.Now(), held})
	}
	switch {
	case p.flags()&flagSYN != 0:
		if flow == nil {
			flow = &hostFlow{seq: uint32(time.Now().UnixNano()) | 1, openedAt: time.Now(), expected: p.seq() + 1}
			flow.sent, flow.acked = flow.seq+1, flow.seq+1
			h.flows[key] = flow
		}
		h.send(newPacket(key.route, key.client, flagSYN|flagACK, flow.seq, p.seq()+1, nil))
	case flow == nil, !flow.open && p.ack() != flow.seq+1:
		p[0] |= flagBounced
		h.send(p)
	case p.flags()&(flagRST|flagFIN) != 0:
		if p.flags()&flagFIN != 0 {
			h.send(newPacket(key.route, key.client, flagACK|flagFIN, flow.sent, p.seq()+uint32(len(p.data()))+1, nil))
		}
		delete(h.flows, key)
	default:
		h.handleData(key, flow, p)
	}
}

var requestID = regexp.MustCompile(`X-Burlmill-Request-Id: (\S+)`)

// handleData handles a packet of a flow that is open, or that it opens. The lock is held.
func (h *Host) handleData(key flowKey, flow *hostFlow, p packet) {
	if !flow.open {
		flow.open = true
		h.record.Line("flow %v to %v opens at host %s", key.client, key.route, h.ID)
	}
	if int32(p.ack()-flow.acked) > 0 {
		flow.acked = p.ack()
	}
	if len(p.data()) == 0 {
		return
	}
	if p.seq() != flow.expected { // sent before
		if flow.last != nil {
			h.send(flow.last)
		}
		return
	}
	flow.expected += uint32(len(p.data()))
	id := "?"
	if match := requestID.FindSubmatch(p.data()); match != nil {
		id = string(match[1])
	}
	go h.run(key, flow, id)
}

// run does the work of a request and answers it.
func (h *Host) run(key flowKey, flow *hostFlow, id string) {
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	case <-h.stopped:
		return
	}
	h.mutex.Lock()
	index := len(h.runs)
	h.runs = append(h.runs, Run{Request: id, Host: h.ID, Service: h.Service, Route: key.route, OpenedAt: flow.openedAt, At: time.Now()})
	h.mutex.Unlock()
	h.record.Line("request %s, sent to %v, runs at host %s of service %s", id, key.route, h.ID, h.Service)
	select {
	case <-time.After(h.Work):
	case <-h.stopped:
		return
	}
	body := "answer to " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Burlmill-Server-Stamp: %s\r\nX-Burlmill-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", h.ID, id, len(body), body)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended() {
		return
	}
	h.runs[index].AnsweredAt = time.Now()
	flow.last = newPacket(key.route, key.client, flagACK, flow.sent, flow.expected, []byte(answer))
	flow.sent += uint32(len(answer))
	h.send(flow.last)
	go h.repeat(key, flow, flow.last, flow.sent)
}

// repeat sends an answer again until it is acknowledged.
func (h *Host) repeat(key flowKey, flow *hostFlow, answer packet, end uint32) {
	wait := 200 * time.Millisecond
	for range 8 {
		time.Sleep(wait)
		wait = min(2*wait, 1600*time.Millisecond)
		h.mutex.Lock()
		done := int32(flow.acked-end) >= 0 || h.flows[key] != flow
		if !done && !h.ended() {
			h.send(answer)
		}
		h.mutex.Unlock()
		if done || h.ended() {
			return
		}
	}
}

// send sends a packet to the agent of this machine.
func (h *Host) send(p packet) { _, _ = h.socket.WriteToUDPAddrPort(p, h.machine.at(portOutbound)) }

// Runs returns the requests that the host has begun to work on.
func (h *Host) Runs() []Run {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]Run(nil), h.runs...)
}

// Arrivals returns the packets of a flow that have reached the host.
func (h *Host) Arrivals(client, route netip.AddrPort) []Arrival {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []Arrival
	for _, a := range h.arrivals {
		if a.Client == client && a.Route == route {
			found = append(found, a)
		}
	}
	return found
}

// Holds reports whether the host holds the client's flow.
func (h *Host) Holds(client, route netip.AddrPort) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	flow := h.flows[flowKey{client, route}]
	return flow != nil && flow.open && !h.ended()
}
