package agent

import (
	"context"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/agent/quicserver"
)

// How the servers of http back ends end: shut down, drained, forgotten.

// drainAll shuts all servers down, since the agent stops.
func (h *httpBackends) drainAll() {
	h.stopping = true
	for key, held := range h.byKey {
		held.gateway.Leave()
		h.drain(h.cutOff, key, held)
	}
}

// removalGrace is the time in which a back end that was taken out of the
// configuration may still answer.
const removalGrace = time.Second

// drainRemoved shuts down the server of a back end that is no longer configured.
// Datagrams of its callers do not come here any more, so it closes their
// connections soon instead of letting them run into their idle timeout.
func (h *httpBackends) drainRemoved(key backendKey, held *httpBackend) {
	limited, cancel := context.WithTimeout(h.cutOff, removalGrace)
	context.AfterFunc(limited, cancel)
	h.drain(limited, key, held)
}

// drain shuts the current server down: its callers are told to open their next
// connection elsewhere, and its requests are finished unless the context ends first.
func (h *httpBackends) drain(limit context.Context, key backendKey, held *httpBackend) {
	server := held.current
	if server == nil {
		return
	}
	held.current = nil
	held.draining = append(held.draining, server)
	go func() {
		err := server.Shutdown(limit)
		h.drained <- drainedServer{key, server, err}
	}()
}

// remove forgets a server that has ended and returns the flows it still had.
func (h *httpBackends) remove(ended drainedServer) []flow.Key {
	held := h.byKey[ended.key]
	held.draining = slices.DeleteFunc(held.draining, func(server *quicserver.Server) bool {
		return server == ended.server
	})
	h.removeIfOver(ended.key)
	return ended.server.Flows()
}

// removeIfOver forgets a back end that leaves and has no server any more.
func (h *httpBackends) removeIfOver(key backendKey) {
	held := h.byKey[key]
	if len(held.servers()) > 0 || !(held.leaving || h.stopping) {
		return
	}
	held.close()
	delete(h.byKey, key)
}

// close refuses all further requests.
func (h *httpBackend) close() {
	if h.detach != nil {
		h.detach()
	}
	h.gateway.Close()
}

// empty says whether no server is left and no request of another agent.
func (h *httpBackends) empty() bool {
	if h.handover != nil && h.handover.Open() > 0 {
		return false
	}
	for _, held := range h.byKey {
		if len(held.servers()) > 0 {
			return false
		}
	}
	return true
}

// close ends what is left. Servers must be drained before.
func (h *httpBackends) close() {
	h.cutOffNow()
	for key, held := range h.byKey {
		held.close()
		delete(h.byKey, key)
	}
}
