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
	"github.com/burlmill/burlmill/routing"
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
	refusalTime        = 10 * time.Second       // for which a refused call for the present configuration counts more than answers that may be old (a guess)
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
	for {
		select {
		case <-n.context.Done():
			return
		case <-n.fetch:
		}
		if n.role == handshake.RoleAgent && !n.sleep(jitter(agentFetchDelay)) {
			return
		}
		n.fetchNewest()
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

func (n *node) fetchNewest() {
	n.mutex.Lock()
	held := n.table.Version()
	peer, version := n.contacts.Newest(time.Now())
	n.mutex.Unlock()
	if version <= held {
		return
	}
	document, err := fetchFrom(n.context, n.peerClient, peer, uint64(held))
	if err != nil {
		n.limited.Log(log.WarnLevel, "configuration-fetch-failed", log.Fields{"peer": peer, "version": version, "error": err})
		return
	}
	if len(document) > 0 {
		_ = n.configure(document, sourcePeer) // logged there
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
		duty := n.storeDuty()
		if duty.Reading == handshake.ReadsNothing {
			revision = 0
			n.sleep(readerLook)
			continue
		}
		if duty.Pause > 0 && !n.stillReadsAfter(duty.Pause) {
			continue
		}
		begun := time.Now()
		document, err := n.nextDocument(revision, duty.Reading, health)
		n.noteAnswer(health, err, revision, duty.Reading)
		if err == nil {
			n.noteServed(duty.Reading)
			revision = max(revision, document.Revision)
			if pause := retry.pauseAfter(duty.Reading, time.Since(begun), n.takeDocument(document)); pause > 0 {
				n.sleep(pause)
			}
			continue
		}
		// The next call is a short one: a store that was silent does not answer what it got meanwhile, and a
		// watch would notice up to 5 s late.
		revision = 0
		if fault.Of(err) != fault.Stale { // then the store has answered: its history is gone
			n.noteRefused(duty.Reading)
		}
		if !n.sleep(retry.next(mostPause(duty))) {
			return
		}
	}
}

// noteAnswer logs what an answer says of the store. One that has forgotten its history has answered.
func (n *node) noteAnswer(health *storeHealth, err error, revision uint64, reading handshake.Reading) {
	if fault.Of(err) != fault.Stale {
		health.note(err)
		return
	}
	health.note(nil)
	n.limited.Log(log.InfoLevel, "store-history-gone", log.Fields{"after": revision, "reads": reading, "error": err})
}

// takeDocument puts what the store has answered in force and says whether it was news.
func (n *node) takeDocument(document Document) (news bool) {
	if document.Bytes == nil {
		return false
	}
	before := n.heldVersion()
	_ = n.configure(document.Bytes, sourceStore) // logged there
	return n.heldVersion() > before
}

// heldVersion returns the version of the configuration in force.
func (n *node) heldVersion() routing.Version {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.Version()
}

// mostPause returns the longest pause between two calls that fail.
func mostPause(duty handshake.StoreDuty) time.Duration {
	if duty.Served {
		return storeRetryServed
	}
	return storeRetryMost
}

// storeDuty says whether and how this process reads the store.
func (n *node) storeDuty() handshake.StoreDuty {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	duty := n.contacts.StoreDuty(now, n.table.Version(), n.storeFresh(now))
	if duty.Reading != n.reading {
		n.reading = duty.Reading
		n.log.WithFields(log.Fields{"reads": duty.Reading, "served": n.storeFresh(now), "others_served": duty.Served,
			"version": n.table.Version(), "peers": n.contacts.CountHeard(now), "confirmed_age": n.confirmedAge(now)}).Info("store-reader")
	}
	return duty
}

// stillReadsAfter waits and says whether this process is to read the store then.
func (n *node) stillReadsAfter(pause time.Duration) bool {
	return n.sleep(jitter(pause)) && n.storeDuty().Reading != handshake.ReadsNothing
}

// noteServed notes that the store has answered. Where it has refused a call for the present
// configuration not long ago, an answer that may be old does not say that it serves those again.
func (n *node) noteServed(reading handshake.Reading) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	if reading == handshake.ReadsCurrent {
		n.confirmedAt = now
	}
	if reading == handshake.ReadsCurrent || now.Sub(n.storeRefused) > refusalTime {
		n.storeHeard = now
	}
}

// confirmedAge returns how long ago the store last told this process itself what it held then, 0 if it never has. The lock
// is held.
func (n *node) confirmedAge(now time.Time) time.Duration {
	if n.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(n.confirmedAt)
}

// noteBehind notes that another process holds a newer configuration. The lock is held.
func (n *node) noteBehind(now time.Time, told handshake.Status) {
	if !n.behindSince.IsZero() {
		return
	}
	n.behindSince = now
	n.limited.Log(log.InfoLevel, "configuration-behind", log.Fields{"version": n.table.Version(), "newer": told.Version, "peer": told.ID})
}

// behindAge returns since when another process is known to hold a newer configuration than this one, 0 if none is. The
// lock is held.
func (n *node) behindAge(now time.Time) time.Duration {
	if n.behindSince.IsZero() {
		return 0
	}
	return now.Sub(n.behindSince)
}

// noteRefused notes that the store has not answered, and tells other balancers at once if
// they take this one for a reader.
func (n *node) noteRefused(reading handshake.Reading) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	if reading == handshake.ReadsCurrent {
		n.storeRefused = now
	}
	n.urgent = n.urgent || n.storeFresh(now)
	n.storeHeard = time.Time{}
	if n.endWatch != nil {
		n.endWatch() // its connection may have fallen silent as well
	}
}

// storeFresh says whether the store has answered of late. The lock is held.
func (n *node) storeFresh(now time.Time) bool {
	return !n.storeHeard.IsZero() && now.Sub(n.storeHeard) <= handshake.StoreFreshTime
}

func (n *node) nextDocument(revision uint64, reading handshake.Reading, health *storeHealth) (Document, error) {
	mayBeOld := reading == handshake.ReadsLatest
	switch {
	case revision == 0 && !n.holdsConfiguration():
		return n.firstDocument(health)
	case revision == 0:
		return n.read(n.context, mayBeOld)
	default:
		begun := time.Now()
		document, err := n.adapter.Watch(n.context, revision, mayBeOld)
		n.metrics.called(callName("watch", mayBeOld), begun, err)
		return document, n.passOver(entryConfiguration, err)
	}
}

func (n *node) read(ctx context.Context, mayBeOld bool) (Document, error) {
	begun := time.Now()
	document, err := n.adapter.Read(ctx, mayBeOld)
	n.metrics.called(callName("read", mayBeOld), begun, err)
	return document, err
}

// callName returns the name of a call in metrics.
func callName(name string, mayBeOld bool) string {
	if mayBeOld {
		return name + "-latest"
	}
	return name
}
