// This file delivers the datagrams of http services to the HTTP/3 servers of this agent's back
// ends. It starts a server when a back end gets its first flow, applies configuration changes,
// attaches the back ends to handover, and lists and removes closed flows. A back end that drains or
// is not configured gets no new flows.

package agent

import (
	"cmp"
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/buffer"
	"github.com/burlmill/burlmill/internal/agent/gateway"
	"github.com/burlmill/burlmill/internal/agent/handover"
	"github.com/burlmill/burlmill/internal/agent/quicserver"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
)

// httpBackends holds the back ends of http services that this agent has flows for or accepts
// handed-over requests for. Only the event loop's goroutine may use it.
type httpBackends struct {
	sender       returnpath.Sender
	tls          *tls.Config
	idleTimeout  time.Duration
	drainTimeout time.Duration // see quicserver.Options.DrainIdleTimeout
	metrics      *metrics
	self         selfAddress
	handover     *handover.Service // nil if all requests run locally
	byKey        map[backendKey]*httpBackend
	snapshot     *catalog.Snapshot // the configuration in force
	shuttingDown bool              // the agent accepts no new flows

	// requestsContext is the parent context of all server shutdowns. Its end aborts all requests of
	// servers that are shutting down, and all handed-over requests.
	requestsContext context.Context
	cancelRequests  context.CancelFunc
	// stoppedServers receives each server whose shutdown is complete.
	stoppedServers chan stoppedServer
}

// backendKey identifies one incarnation of a back end. The server ID changes with the incarnation.
type backendKey struct {
	service  catalog.ServiceName
	serverID uint32
}

// httpBackend is one back end. When the back end drains, its server shuts down and keeps its flows
// until the shutdown is complete. If the back end becomes active again, new flows get a new server.
type httpBackend struct {
	gateway *gateway.Gateway
	// current is the server of new flows. It is nil before the first flow and while the back end
	// drains.
	current         *quicserver.Server
	drainingServers []*quicserver.Server
	serverCount     uint8 // number of servers started, modulo 256; generation of the latest one
	refusesNewFlows bool
	detach          func() // detaches the gateway from handover; nil if it is not attached
}

// stoppedServer is a server whose shutdown is complete.
type stoppedServer struct {
	key    backendKey
	server *quicserver.Server
	err    error // fault.Deadline if requests were aborted
}

// deliver passes a datagram to its server. It takes ownership of the buffer.
func (h *httpBackends) deliver(
	action flow.Action, key flow.Key, from netip.AddrPort, payload *buffer.Buffer,
) error {
	entry := h.backend(action.Service, action.Backend)
	server, err := h.serverFor(entry, action, key, payload.Bytes)
	if err != nil {
		payload.Release()
		return err
	}
	return server.Deliver(key, from, payload)
}

// prepare starts the server that a datagram is for if it is not running.
func (h *httpBackends) prepare(action flow.Action, key flow.Key, payload []byte) error {
	_, err := h.serverFor(h.backend(action.Service, action.Backend), action, key, payload)
	return err
}

// backend returns the entry of the back end and creates it if it does not exist.
func (h *httpBackends) backend(service *catalog.Service, backend *catalog.Backend) *httpBackend {
	key := backendKey{service.Name, backend.ServerID()}
	if existing := h.byKey[key]; existing != nil {
		return existing
	}
	// The flow keeps the back end as configured at its admission, which may be outdated.
	current := findBackend(h.snapshot, key)
	created := &httpBackend{
		gateway:         gateway.New(cmp.Or(current, backend), h.metrics.forBackend(service, backend)),
		refusesNewFlows: refusesNewFlows(current),
	}
	if h.handover != nil {
		created.gateway.SetPeers(h.handover.Attach(service.Name, backend.ID, created.gateway))
		created.detach = func() { h.handover.Detach(service.Name, backend.ID, created.gateway) }
	}
	h.byKey[key] = created
	return created
}

// serverFor returns the server that a datagram is for. A datagram with a connection ID of this back
// end goes to the server that issued the ID. Any other datagram opens a connection and goes to the
// server of new flows, which is started if necessary. If the back end accepts no new flows, the
// datagram goes to a server that still has the flow, which refuses the connection's requests.
func (h *httpBackends) serverFor(
	entry *httpBackend, action flow.Action, key flow.Key, payload []byte,
) (*quicserver.Server, error) {
	if generation, ok := quicserver.GenerationOf(payload, action.Backend.ServerID()); ok {
		return entry.serverByGeneration(generation, action)
	}
	if entry.refusesNewFlows || h.shuttingDown {
		return entry.serverWithFlow(key, action)
	}
	if entry.current != nil {
		return entry.current, nil
	}
	server, err := h.startServer(entry, action)
	if err != nil {
		return nil, err
	}
	entry.current = server
	return server, nil
}

func (h *httpBackend) serverByGeneration(
	generation uint8, action flow.Action,
) (*quicserver.Server, error) {
	for _, server := range h.servers() {
		if server.Generation() == generation {
			return server, nil
		}
	}
	return nil, fault.New(
		fault.Unavailable, "server of the connection at back end %s has shut down", action.Backend.ID,
	)
}

// serverWithFlow returns the most recently started server that has the flow.
func (h *httpBackend) serverWithFlow(key flow.Key, action flow.Action) (*quicserver.Server, error) {
	for _, server := range slices.Backward(h.servers()) {
		if server.HasFlow(key) {
			return server, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "back end %s accepts no new flows", action.Backend.ID)
}

func (h *httpBackends) startServer(
	entry *httpBackend, action flow.Action,
) (*quicserver.Server, error) {
	entry.serverCount++
	return quicserver.Start(quicserver.Options{
		Generation:     entry.serverCount,
		Service:        action.Service.Address,
		ServerID:       action.Backend.ServerID(),
		Sender:         h.sender,
		Handler:        entry.gateway,
		RefusalHandler: http.HandlerFunc(entry.gateway.Refuse),
		TLS:            h.tls,
		IdleTimeout:    h.idleTimeout,

		DrainIdleTimeout: h.drainTimeout,
	})
}

// hasFlow reports whether any server has received a datagram of the flow since the flow was last
// removed.
func (h *httpBackends) hasFlow(key flow.Key) bool {
	for _, entry := range h.byKey {
		for _, server := range entry.servers() {
			if server.HasFlow(key) {
				return true
			}
		}
	}
	return false
}

// removeFlow removes a closed flow from all servers.
func (h *httpBackends) removeFlow(key flow.Key) {
	for _, entry := range h.byKey {
		for _, server := range entry.servers() {
			server.RemoveFlow(key)
		}
	}
}

// closedFlows returns the flows whose connections have all been closed for at least the linger time
// of package quicserver.
func (h *httpBackends) closedFlows(now time.Time) []flow.Key {
	var keys []flow.Key
	for _, entry := range h.byKey {
		for _, server := range entry.servers() {
			keys = append(keys, server.ClosedFlows(now)...)
		}
	}
	return keys
}

// servers returns all servers of the back end in the order in which they were started.
func (h *httpBackend) servers() []*quicserver.Server {
	if h.current == nil {
		return h.drainingServers
	}
	return append(slices.Clone(h.drainingServers), h.current)
}

// applySnapshot applies a newer configuration.
func (h *httpBackends) applySnapshot(snapshot *catalog.Snapshot) {
	h.snapshot = snapshot
	for key, entry := range h.byKey {
		backend := findBackend(snapshot, key)
		entry.refusesNewFlows = refusesNewFlows(backend)
		if backend != nil {
			entry.gateway.Update(backend)
		}
		if backend == nil {
			h.drainRemoved(key, entry)
		} else if entry.refusesNewFlows {
			h.drain(h.requestsContext, key, entry)
		}
		h.removeIfDrained(key)
	}
	h.attachLocal(snapshot)
}

// attachLocal creates entries for this agent's active back ends, so that other agents can hand over
// requests to back ends that have no flow yet.
func (h *httpBackends) attachLocal(snapshot *catalog.Snapshot) {
	if h.handover == nil || h.shuttingDown {
		return
	}
	for _, service := range snapshot.Services() {
		for index := range service.Backends {
			backend := &service.Backends[index]
			local := service.Protocol == catalog.ProtocolHTTP && backend.Agent == h.self
			if local && backend.State == catalog.BackendActive {
				h.backend(service, backend)
			}
		}
	}
}

// refusesNewFlows reports whether the back end is draining or, if nil, not configured.
func refusesNewFlows(backend *catalog.Backend) bool {
	return backend == nil || backend.State == catalog.BackendDraining
}

// findBackend returns the back end with that key, or nil if it is not configured.
func findBackend(snapshot *catalog.Snapshot, key backendKey) *catalog.Backend {
	service := snapshot.Service(key.service)
	if service == nil {
		return nil
	}
	for index := range service.Backends {
		if service.Backends[index].ServerID() == key.serverID {
			return &service.Backends[index]
		}
	}
	return nil
}
