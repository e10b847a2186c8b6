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
)

// Times and bounds of fetching the configuration.
const (
	fetchDialTimeout   = 300 * time.Millisecond
	fetchTimeout       = time.Second
	fetchPause         = 50 * time.Millisecond  // after a fetch, before the next
	agentFetchDelay    = 300 * time.Millisecond // on average: agents need it less than balancers, from whom they then take it
	agentFetchInterval = 4 * time.Second        // on average, between two fetches of an agent: it needs the path of health checks only, and keeps the rest for balancers that start while the store is down
	maximumDocument    = 8 << 20                // bytes
	readerLook         = 250 * time.Millisecond // between two looks whether to read the store
)

// configurationServer hands out the configuration that a node holds.
type configurationServer struct{ node *node }

// peerHandler serves other processes and operators.
func (n *node) peerHandler() http.Handler {
	operators := status.NewService(n.events)
	operators.BindRows(n.settings.Node.ID, n)
	mux := http.NewServeMux()
	mux.Handle(burlmillv1connect.NewConfigurationServiceHandler(configurationServer{n}))
	mux.Handle(operators.Handler())
	return mux
}

// Fetch implements the configuration service.
func (s configurationServer) Fetch(_ context.Context, request *connect.Request[burlmillv1.FetchRequest]) (*connect.Response[burlmillv1.FetchResponse], error) {
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	response := &burlmillv1.FetchResponse{Version: uint64(s.node.table.Version())}
	if response.Version > request.Msg.GetAbove() {
		response.Document = s.node.document
	}
	return connect.NewResponse(response), nil
}

// newPeerClient returns a client for calls between processes. Connections are not
// kept: a kept one may lead to a machine that has fallen silent.
func newPeerClient() *http.Client {
	return &http.Client{
		Timeout: fetchTimeout,
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: fetchDialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
	}
}

// fetchLoop pulls the configuration from peers that hold a newer one.
func (n *node) fetchLoop() {
	client := newPeerClient()
	for {
		select {
		case <-n.context.Done():
			return
		case <-n.fetch:
		}
		if n.role == handshake.RoleAgent && !n.sleep(jitter(agentFetchDelay)) {
			return
		}
		n.fetchNewest(client)
		if !n.sleep(n.pauseAfterFetch()) {
			return
		}
	}
}

// pauseAfterFetch returns how long to wait before the next fetch. Many changes in quick
// succession would otherwise cost every agent the whole document each time, and the
// balancers, of which there are fewer, the sending.
func (n *node) pauseAfterFetch() time.Duration {
	if n.role == handshake.RoleAgent && n.holdsConfiguration() {
		return jitter(agentFetchInterval)
	}
	return fetchPause
}

func (n *node) fetchNewest(client *http.Client) {
	n.mutex.Lock()
	held := n.table.Version()
	peer, version := n.contacts.Newest(time.Now())
	n.mutex.Unlock()
	if version <= held {
		return
	}
	document, err := fetchFrom(n.context, client, peer, uint64(held))
	if err != nil {
		n.limited.Log(log.WarnLevel, "configuration-fetch-failed", log.Fields{"peer": peer, "version": version, "error": err})
		return
	}
	if len(document) > 0 {
		_ = n.configure(document, "peer") // logged there
	}
}

func fetchFrom(ctx context.Context, client *http.Client, peer netip.AddrPort, above uint64) ([]byte, error) {
	service := burlmillv1connect.NewConfigurationServiceClient(client, "http://"+peer.String(), connect.WithReadMaxBytes(maximumDocument))
	response, err := service.Fetch(ctx, connect.NewRequest(&burlmillv1.FetchRequest{Above: above}))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "fetch configuration from %v", peer)
	}
	return response.Msg.GetDocument(), nil
}

// storeHealth logs when the store is lost and when it answers again.
type storeHealth struct {
	node *node
	lost time.Time // zero: it answers
}

func (h *storeHealth) note(err error) {
	switch {
	case err == nil && !h.lost.IsZero():
		h.node.log.WithField("outage", time.Since(h.lost)).Info("store-regained")
		h.lost = time.Time{}
	case err != nil && h.lost.IsZero() && h.node.context.Err() == nil:
		h.lost = time.Now()
		h.node.log.WithError(err).WithField("kind", fault.Of(err)).Warn("store-lost")
	}
}

// watchLoop keeps the configuration in step with the store.
func (n *node) watchLoop() {
	health := &storeHealth{node: n}
	var retry backoff
	var revision uint64
	for n.context.Err() == nil {
		if !n.shouldRead() {
			revision = 0
			n.sleep(readerLook)
			continue
		}
		document, err := n.nextDocument(revision, health)
		health.note(err)
		switch {
		case err == nil:
			n.noteStore()
			retry.reset()
			revision = max(revision, document.Revision)
			if document.Bytes != nil {
				_ = n.configure(document.Bytes, "store") // logged there
			}
			continue
		case fault.Of(err) == fault.Stale:
			revision = 0
		}
		if !n.sleep(retry.next()) {
			return
		}
	}
}

// shouldRead says whether this process is one of the store's readers.
func (n *node) shouldRead() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	reads := n.contacts.ShouldRead(now, n.table.Version())
	if reads != n.reads {
		n.reads = reads
		n.log.WithFields(log.Fields{"reads": reads, "version": n.table.Version(), "peers": n.contacts.CountHeard(now)}).Info("store-reader")
	}
	return reads
}

// noteStore notes that the store has answered.
func (n *node) noteStore() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.storeHeard = time.Now()
}

// storeFresh says whether the store has answered of late. The lock is held.
func (n *node) storeFresh(now time.Time) bool {
	return !n.storeHeard.IsZero() && now.Sub(n.storeHeard) <= handshake.StoreFreshTime
}

func (n *node) nextDocument(revision uint64, health *storeHealth) (Document, error) {
	switch {
	case revision == 0 && !n.holdsConfiguration():
		return n.firstDocument(health)
	case revision == 0:
		return n.read(n.context)
	default:
		begun := time.Now()
		document, err := n.adapter.Watch(n.context, revision)
		n.metrics.called("watch", begun, err)
		return document, err
	}
}

func (n *node) read(ctx context.Context) (Document, error) {
	begun := time.Now()
	document, err := n.adapter.Read(ctx)
	n.metrics.called("read", begun, err)
	return document, err
}
