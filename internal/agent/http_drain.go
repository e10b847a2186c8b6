// This file shuts down the HTTP/3 servers of back ends that drain or are removed from the
// configuration, and of all back ends when the agent shuts down, and reports when all are drained.
// It aborts requests that still run removalGracePeriod after the removal or when the agent stops,
// and removes back ends that have no servers left.

package agent

import (
	"context"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/quicserver"
)

// drainAll starts the shutdown of all servers because the agent shuts down.
func (h *httpBackends) drainAll() {
	h.shuttingDown = true
	for key, entry := range h.byKey {
		entry.gateway.Drain()
		h.drain(h.requestsContext, key, entry)
	}
}

// removalGracePeriod is how long requests to a back end may still run after the back end is removed
// from the configuration.
const removalGracePeriod = time.Second

// drainRemoved starts the shutdown of the server of a back end that is no longer configured. This
// agent receives no more datagrams of the server's callers, so requests that still run after
// removalGracePeriod are aborted and the connections are closed.
func (h *httpBackends) drainRemoved(key backendKey, entry *httpBackend) {
	graceContext, cancel := context.WithTimeout(h.requestsContext, removalGracePeriod)
	context.AfterFunc(graceContext, cancel)
	h.drain(graceContext, key, entry)
}

// drain starts the shutdown of the current server, if there is one, and does not wait for it. The
// server sends GOAWAY to its callers. Its requests finish unless the context ends first.
func (h *httpBackends) drain(ctx context.Context, key backendKey, entry *httpBackend) {
	server := entry.current
	if server == nil {
		return
	}
	entry.current = nil
	entry.drainingServers = append(entry.drainingServers, server)
	go func() {
		err := server.Shutdown(ctx)
		h.stoppedServers <- stoppedServer{key, server, err}
	}()
}

// removeServer removes a server that has shut down and returns the flows that it still has.
func (h *httpBackends) removeServer(stopped stoppedServer) []flow.Key {
	entry := h.byKey[stopped.key]
	entry.drainingServers = slices.DeleteFunc(
		entry.drainingServers,
		func(server *quicserver.Server) bool { return server == stopped.server },
	)
	h.removeIfDrained(stopped.key)
	return stopped.server.Flows()
}

// removeIfDrained removes a back end that accepts no new flows and has no servers left.
func (h *httpBackends) removeIfDrained(key backendKey) {
	entry := h.byKey[key]
	if len(entry.servers()) > 0 || !(entry.refusesNewFlows || h.shuttingDown) {
		return
	}
	entry.close()
	delete(h.byKey, key)
}

// close detaches the back end from handover and refuses all further requests.
func (h *httpBackend) close() {
	if h.detach != nil {
		h.detach()
	}
	h.gateway.Close()
}

// isDrained reports whether no servers are left and other agents hold no slots.
func (h *httpBackends) isDrained() bool {
	if h.handover != nil && h.handover.PeerSlots() > 0 {
		return false
	}
	for _, entry := range h.byKey {
		if len(entry.servers()) > 0 {
			return false
		}
	}
	return true
}

// close aborts the remaining requests and removes all back ends. All servers must have been drained
// or be shutting down.
func (h *httpBackends) close() {
	h.cancelRequests()
	for key, entry := range h.byKey {
		entry.close()
		delete(h.byKey, key)
	}
}
