// This file distributes the configuration among processes: each serves the document in force, and
// fetches a newer one from a peer whose status announces it, at a limited rate and with retries. It
// also records since when the configuration in force has been older than that of a peer, and sets
// up the handler that serves fetches and the status queries of operators.

package relay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/gen/burlmill/v1/burlmillv1connect"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// Intervals and limits of fetching the configuration.
const (
	fetchDialTimeout = 300 * time.Millisecond
	fetchTimeout     = time.Second
	minFetchInterval = 50 * time.Millisecond // pause after a fetch
	// agentFetchDelay is the mean delay of an agent's fetch, so that balancers fetch first and
	// serve the agents.
	agentFetchDelay = 300 * time.Millisecond
	// agentFetchInterval is the mean pause after a fetch of an agent that has a configuration. An
	// agent needs the document only for health checks and to serve it to balancers that start while
	// the store is down.
	agentFetchInterval = 4 * time.Second
	// agentConfigurationDelay is the time after the start of a balancer before it uses the
	// configuration of an agent as its first. Until then other balancers and the store may provide
	// one; an agent may be several changes behind. Balancers that restart together do not wait.
	agentConfigurationDelay = time.Second
	maxDocumentBytes        = 8 << 20
	// fetchRetryInterval is the mean time between a failed fetch and the next, which is most likely
	// from another peer.
	fetchRetryInterval = 200 * time.Millisecond
)

// configurationServer serves the configuration that is in force at a node.
type configurationServer struct{ node *node }

// peerHandler returns the handler for requests of other processes and of operators.
func (n *node) peerHandler() http.Handler {
	statusService := status.NewService(n.events)
	statusService.BindSource(n.settings.Node.ID, n)
	mux := http.NewServeMux()
	mux.Handle(burlmillv1connect.NewConfigurationServiceHandler(configurationServer{n}))
	mux.Handle(statusService.Handler())
	return mux
}

// Fetch implements the configuration service. The document is empty unless it is newer than
// the version in the request.
func (s configurationServer) Fetch(_ context.Context, request *connect.Request[burlmillv1.FetchRequest]) (*connect.Response[burlmillv1.FetchResponse], error) {
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	response := &burlmillv1.FetchResponse{Version: uint64(s.node.table.Version())}
	if response.Version > request.Msg.GetAbove() {
		response.Document = s.node.document
	}
	return connect.NewResponse(response), nil
}

// newPeerClient returns a client for calls between processes. Keep-alive is disabled, since
// the peer of an idle connection may have become unreachable.
func newPeerClient() *http.Client {
	return &http.Client{
		Timeout: fetchTimeout,
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: fetchDialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
	}
}

// fetchLoop fetches the configuration when a peer announces a newer one, until the node stops.
func (n *node) fetchLoop() {
	for {
		select {
		case <-n.context.Done():
			return
		case <-n.fetchDue:
		}
		if n.role == presence.RoleAgent && !n.sleep(jitter(agentFetchDelay)) {
			return
		}
		n.fetchNewest()
		if !n.sleep(n.pauseAfterFetch()) {
			return
		}
	}
}

// pauseAfterFetch returns the pause after a fetch. It is longer for an agent that
// has a configuration: fetches of every version by all agents would load the balancers when
// changes follow each other quickly.
func (n *node) pauseAfterFetch() time.Duration {
	if n.role == presence.RoleAgent && n.hasConfiguration() {
		return jitter(agentFetchInterval)
	}
	return minFetchInterval
}

// fetchNewest fetches the configuration from the peer that announces the newest one, if that is
// newer than the one in force, and applies it.
func (n *node) fetchNewest() {
	now := time.Now()
	n.mutex.Lock()
	current := n.table.Version()
	includeAgents := n.usesConfigurationOfAgents(now)
	peer, version := n.peers.NewestConfiguration(now, includeAgents)
	n.mutex.Unlock()
	if version <= current {
		if !includeAgents && n.sleep(jitter(fetchRetryInterval)) {
			n.requestFetch()
		}
		return
	}
	document, err := fetchFrom(n.context, n.peerClient, peer, uint64(current))
	if err != nil {
		n.limitedLog.Log(log.WarnLevel, "configuration-fetch-failed", log.Fields{"peer": peer, "version": version, "error": err})
		n.retryFetch(version)
		return
	}
	if len(document) > 0 {
		_ = n.configure(document, sourcePeer) // configure logs the error
	}
}

// usesConfigurationOfAgents reports whether this process fetches configurations from agents too. The
// caller holds n.mutex.
func (n *node) usesConfigurationOfAgents(now time.Time) bool {
	return n.role == presence.RoleAgent || n.table != nil || now.Sub(n.startedAt) >= agentConfigurationDelay ||
		n.peers.SeesUnconfiguredBalancer(now)
}

// retryFetch records that the fetch of a version failed, so that a balancer may read the store
// instead, waits for fetchRetryInterval with jitter, and requests another fetch.
func (n *node) retryFetch(version routing.Version) {
	n.mutex.Lock()
	n.failedFetchVersion = version
	n.mutex.Unlock()
	if n.sleep(jitter(fetchRetryInterval)) {
		n.requestFetch()
	}
}

// hasFailedFetch reports whether the fetch of a version newer than that in force has failed. The
// caller holds n.mutex.
func (n *node) hasFailedFetch() bool { return n.failedFetchVersion > n.table.Version() }

func fetchFrom(ctx context.Context, client *http.Client, peer netip.AddrPort, above uint64) ([]byte, error) {
	service := burlmillv1connect.NewConfigurationServiceClient(client, "http://"+peer.String(), connect.WithReadMaxBytes(maxDocumentBytes))
	response, err := service.Fetch(ctx, connect.NewRequest(&burlmillv1.FetchRequest{Above: above}))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "fetch configuration from %v", peer)
	}
	return response.Msg.GetDocument(), nil
}

// recordBehind records and logs that a peer has announced a newer configuration than the one in
// force, unless that is recorded already. configure clears the record when a newer configuration
// takes effect. The caller holds n.mutex.
func (n *node) recordBehind(now time.Time, peerStatus handshake.Status) {
	if !n.behindSince.IsZero() {
		return
	}
	n.behindSince = now
	n.limitedLog.Log(log.InfoLevel, "configuration-behind", log.Fields{"version": n.table.Version(), "newer": peerStatus.Version, "peer": peerStatus.ID})
}

// behindAge returns the time since a peer first announced a newer configuration than the one in
// force, 0 if none has. The caller holds n.mutex.
func (n *node) behindAge(now time.Time) time.Duration {
	if n.behindSince.IsZero() {
		return 0
	}
	return now.Sub(n.behindSince)
}
