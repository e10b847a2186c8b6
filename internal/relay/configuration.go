package relay

import (
	"context"
	"errors"
	"math/rand/v2"
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
	refusalTime        = 10 * time.Second       // for which a refused call for the present configuration counts more than answers that may be old, while others ask for it (a guess)
	servedTime         = 6 * time.Second        // after any answer of the store, during which it counts as serving this process: a watch of old answers takes up to 5 s
	fetchRetry         = 200 * time.Millisecond // on average, after a fetch that failed, before the next: another peer is asked, most likely
)

// Waits of a watch of the configuration, asked of the store. That for the present is short: only its end shows that the connection still
// works, and a change may have been confirmed just after it fell silent. With 1 s such a change is in force within 2 s, with 4 s it took
// 5 s (TestConfigurationWhenConnectionsFallSilent). It is drawn for each call, as each change ends all watches at once, and the next ones are
// to end at different moments.
const (
	currentWait       = time.Second
	currentWaitSpread = currentWait / 4 // by which it is shorter at most
	latestWait        = 4 * time.Second
)

// watchWait returns how long the next watch waits.
func watchWait(reading handshake.Reading) time.Duration {
	if reading == handshake.ReadsCurrent {
		return currentWait - rand.N(currentWaitSpread)
	}
	return latestWait
}

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
		n.noteUnfetched(version)
		return
	}
	if len(document) > 0 {
		_ = n.configure(document, sourcePeer) // logged there
	}
}

// noteUnfetched notes that a version could not be fetched: it is tried again, and a balancer reads the store meanwhile.
func (n *node) noteUnfetched(version routing.Version) {
	n.mutex.Lock()
	n.unfetched = version
	n.mutex.Unlock()
	if n.sleep(jitter(fetchRetry)) {
		n.wantFetch()
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
	var revision uint64 // that the next watch goes on from; 0: the next call is a read
	read := handshake.ReadsNothing
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
		if duty.Reading > read {
			revision = 0 // what was read until now may be old
		}
		read = duty.Reading
		begun := time.Now()
		wait := n.beginWait(&n.configurationWait, duty.Reading)
		document, err := n.nextDocument(wait.context, revision, duty.Reading, health)
		if wait.ended() || errors.Is(err, errPeerWasFirst) {
			revision = 0
			continue
		}
		n.noteAnswer(health, err, revision, duty.Reading)
		if err == nil {
			n.noteServed(duty)
			revision = max(revision, document.Revision)
			if pause := retry.pauseAfter(duty.Reading, time.Since(begun), n.takeDocument(document)); pause > 0 {
				n.sleep(pause)
			}
			continue
		}
		// The next call is a short one: a store that was silent does not answer what it got meanwhile.
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

// mostPause returns the longest pause between two calls that fail. Whoever asks for the present has no time.
func mostPause(duty handshake.StoreDuty) time.Duration {
	if duty.Served && duty.Reading != handshake.ReadsCurrent {
		return storeRetryServed
	}
	return storeRetryMost
}

// storeDuty says whether and how this process reads the store.
func (n *node) storeDuty() handshake.StoreDuty {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	duty := n.dutyAt(now)
	if duty.Reading != n.reading {
		n.reading = duty.Reading
		n.log.WithFields(log.Fields{"reads": duty.Reading, "served": n.storeServed(now), "others_current": duty.Served, "unfetched": n.isUnfetched(),
			"version": n.table.Version(), "peers": n.contacts.CountHeard(now), "confirmed_age": n.confirmedAge(now)}).Info("store-reader")
	}
	return duty
}

// dutyAt is storeDuty without a log line. The lock is held.
func (n *node) dutyAt(now time.Time) handshake.StoreDuty {
	return n.contacts.StoreDuty(now, handshake.StoreState{Version: n.table.Version(), Served: n.storeServed(now), Unfetched: n.isUnfetched()})
}

// isUnfetched says whether a newer version than that in force could not be fetched. The lock is held.
func (n *node) isUnfetched() bool { return n.unfetched > n.table.Version() }

// stillReadsAfter waits and says whether this process is to read the store then.
func (n *node) stillReadsAfter(pause time.Duration) bool {
	return n.sleep(jitter(pause)) && n.storeDuty().Reading != handshake.ReadsNothing
}

// noteServed notes that the store has answered. Where it has refused a call for the present
// configuration not long ago, and others ask for that, an answer that may be old does not say that it serves those again.
func (n *node) noteServed(duty handshake.StoreDuty) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	if duty.Reading == handshake.ReadsCurrent {
		n.confirmedAt = now
	}
	if duty.Reading == handshake.ReadsCurrent || !duty.Served || now.Sub(n.storeRefused) > refusalTime {
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
	n.evacuationWait.end() // its connection may have fallen silent as well
}

// storeServed says whether the store has answered of late, be it with what is old. The lock is held.
func (n *node) storeServed(now time.Time) bool {
	return !n.storeHeard.IsZero() && now.Sub(n.storeHeard) <= servedTime
}

// storeFresh says whether the store has told of late what it holds now. The lock is held.
func (n *node) storeFresh(now time.Time) bool {
	return n.storeServed(now) && !n.confirmedAt.IsZero() && now.Sub(n.confirmedAt) <= handshake.StoreFreshTime
}

func (n *node) nextDocument(ctx context.Context, revision uint64, reading handshake.Reading, health *storeHealth) (Document, error) {
	mayBeOld := reading == handshake.ReadsLatest
	switch {
	case revision == 0 && !n.holdsConfiguration():
		return n.firstDocument(health)
	case revision == 0:
		return n.read(ctx, mayBeOld)
	default:
		begun := time.Now()
		document, err := n.adapter.Watch(ctx, revision, watchWait(reading), mayBeOld)
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
