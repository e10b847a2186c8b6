// This file contains what balancers and agents have in common: the sockets and HTTP servers, the
// start and end of goroutines, the tick loop, the seeds, and the configuration in force, which only
// a newer valid document replaces. It also defines decider, the interface of their specific parts.

package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/entry"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/internal/wire"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/query"
	"github.com/burlmill/burlmill/routing"
)

// Intervals of periodic tasks.
const (
	tickInterval      = 20 * time.Millisecond
	flushInterval     = 10 * time.Second       // between summaries of suppressed log lines
	peerCheckInterval = 250 * time.Millisecond // for unreachable peers and outdated store calls
)

// Rate limits of the log, per event.
const (
	logLinesPerSecond = 25
	logLineBurst      = 50
)

// Limits of the HTTP servers.
const (
	headerTimeout = 2 * time.Second
	maxHeaders    = 16 << 10 // bytes
)

// decider is the role-specific part of a node. Its methods are called with the
// node's lock held.
type decider interface {
	status(now time.Time) handshake.Status
	announces(now time.Time) bool // whether the status is sent to peers
	handleMessage(now time.Time, from netip.AddrPort, message handshake.Message)
	handleRecord(now time.Time, record presence.Record) // a changed record of another process
	handleConfiguration(now time.Time, table *routing.Table)
	handleEvacuations(set evacuation.Set)
	tick(now time.Time)
	backendRows(now time.Time, into *query.Collector)
	flowRows(now time.Time, into *query.Collector)
}

// node is the common part of balancers and agents: the peer socket, the peers, the
// configuration and the log. Its mutex, "the lock", guards the fields from decider to
// nextPeerCheckAt and the state of the decider. Code that holds it must not block.
type node struct {
	settings    settings.Settings
	adapter     Adapter
	log         log.Interface
	events      *status.EventBuffer
	limitedLog  *logging.Limiter
	metrics     *metrics
	incarnation uint64
	role        presence.Role
	context     context.Context // canceled when the process stops
	cancel      context.CancelFunc
	running     sync.WaitGroup

	mutex              sync.Mutex
	decider            decider
	peers              *handshake.Peers
	table              *routing.Table
	document           []byte    // from which table was parsed
	configuredAt       time.Time // when table came into force; initially the start time
	configurationError error     // rejection of the store's latest document; nil if none
	evacuations        evacuation.View
	watchMode          handshake.WatchMode // current mode of watching the store
	storeAnsweredAt    time.Time           // last answer of the store; zero if a later call failed
	storeFailedAt      time.Time           // last failure of a call for current data; zero if none
	confirmedAt        time.Time           // last answer that had to be current; zero if none
	behindSince        time.Time           // when a peer first had a newer version; zero if none
	failedFetchVersion routing.Version     // latest version whose fetch failed; 0 if none
	newestAnnounced    routing.Version     // newest version that a peer has announced; 0 if none

	configurationCall *storeCall // latest call of watchLoop; nil before the first
	evacuationCall    *storeCall // latest call of evacuationLoop; nil before the first
	shuttingDown      bool
	statusUrgent      bool      // the status has changed and is sent ahead of its interval
	startedAt         time.Time // start of the process
	started           bool      // messages and ticks are passed to the decider
	nextPeerCheckAt   time.Time // next check for unreachable peers

	recordRevision      atomic.Uint64 // revision of this process's record in the store; 0 if none
	withdrawalRequested atomic.Bool   // set by a withdrawal, cleared by the next publication
	publishStopped      atomic.Bool   // the record is no longer published
	// rewriteRecord stores the record of this process again and returns its revision. It is nil if the
	// record never changes.
	rewriteRecord func() (uint64, error)

	peerConn   peerSocket
	peerClient *http.Client // for fetches from peers
	servers    []*http.Server
	fetchDue   chan struct{} // signals that a peer has a newer configuration
	// versionAnnounced signals that a peer has a configuration that none had before, which it may
	// have read from the store just now.
	versionAnnounced chan struct{}
}

// peerSocket sends datagrams to other processes and counts those from them that were dropped.
type peerSocket interface {
	Send(datagram []byte, to netip.AddrPort) error
	DroppedDatagrams() (uint64, error)
	Close() error
}

func newNode(s settings.Settings, adapter Adapter, role presence.Role, output *log.Logger) *node {
	events := status.NewEventBuffer()
	logger := events.WrapLogger(output).WithField("node", s.Node.ID)
	ctx, cancel := context.WithCancel(context.Background())
	return &node{
		settings:     s,
		adapter:      adapter,
		log:          logger,
		events:       events,
		limitedLog:   logging.NewLimiter(logging.LimiterOptions{Log: logger, PerSecond: logLinesPerSecond, Burst: logLineBurst, Now: time.Now}),
		metrics:      newMetrics(),
		startedAt:    time.Now(),
		configuredAt: time.Now(),
		incarnation:  rand.Uint64(),
		role:         role,
		context:      ctx,
		cancel:       cancel,
		peers:        handshake.NewPeers(s.Node.PeerAddress, role, s.Node.Zone),
		peerClient:   newPeerClient(),
		fetchDue:     make(chan struct{}, 1),

		versionAnnounced: make(chan struct{}, 1),
	}
}

// open opens the peer socket, the peer server and, if configured, the metrics server.
func (n *node) open() error {
	socket, err := wire.Listen(n.settings.Node.PeerAddress, n.receivePeerDatagram)
	if err != nil {
		return err
	}
	n.peerConn = socket
	if err := n.serve(n.settings.Node.PeerAddress, n.peerHandler()); err != nil {
		return err
	}
	n.addGauges()
	if !n.settings.Node.MetricsAddress.IsValid() {
		return nil
	}
	return n.serve(n.settings.Node.MetricsAddress, n.metrics.handler())
}

// serve serves HTTP at the address until the node is closed.
func (n *node) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "listen on %v", address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true) // used by operators' commands
	server := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaders}
	n.servers = append(n.servers, server)
	n.spawn(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.WithError(err).WithField("address", address).Error("server-failed")
		}
	})
	return nil
}

func (n *node) spawn(work func()) {
	n.running.Go(work)
}

// start passes messages and ticks to the decider from now on.
func (n *node) start(d decider) {
	n.mutex.Lock()
	n.decider = d
	n.started = true
	n.addSeeds(time.Now(), n.settings.Peers.Seeds)
	n.mutex.Unlock()
	n.spawn(n.tickLoop)
	n.spawn(n.fetchLoop)
}

// addSeeds adds the peers at the seeds' control addresses. The peer port is the same
// on all machines.
func (n *node) addSeeds(now time.Time, seeds []netip.AddrPort) {
	var peerAddresses []netip.AddrPort
	for _, seed := range seeds {
		peerAddresses = append(peerAddresses, netip.AddrPortFrom(seed.Addr(), n.settings.Node.PeerAddress.Port()))
	}
	n.peers.AddSeeds(now, peerAddresses)
}

// close stops all servers and goroutines of the node.
func (n *node) close() error {
	n.cancel()
	err := n.peerConn.Close()
	for _, server := range n.servers {
		err = errors.Join(err, server.Close())
	}
	n.running.Wait()
	n.limitedLog.Flush()
	return err
}

func (n *node) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-n.context.Done():
			return
		case <-flush.C:
			n.limitedLog.Flush()
		case due := <-ticker.C:
			now := time.Now()
			n.metrics.tickDelay.Observe(now.Sub(due).Seconds())
			n.tick(now)
		}
	}
}

func (n *node) tick(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.decider.tick(now)
	n.checkLostPeers(now)
	n.sendStatuses(now)
	n.gossipRecords(now)
}

func (n *node) requestFetch() {
	select {
	case n.fetchDue <- struct{}{}:
	default:
	}
}

// recordAnnouncedVersion signals versionAnnounced if no peer has announced a version as new. The lock
// is held.
func (n *node) recordAnnouncedVersion(version routing.Version) {
	if version <= n.newestAnnounced {
		return
	}
	n.newestAnnounced = version
	select {
	case n.versionAnnounced <- struct{}{}:
	default:
	}
}

// sourceStore is the source, in log lines, of configurations and evacuations read from the store.
// Configurations fetched from peers have sourcePeer.
const sourceStore = "store"

// configure applies a document if it is newer than the one in force. An invalid document leaves the
// current one in force. source is for the log.
func (n *node) configure(document []byte, source string) error {
	table, err := n.adapter.ParseConfiguration(document)
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if source == sourceStore {
		n.configurationError = err
	}
	if err != nil {
		n.metrics.skippedEntries.WithLabelValues(entryConfiguration, string(entry.ReasonOf(err))).Inc()
		n.limitedLog.Log(log.ErrorLevel, "configuration-invalid", log.Fields{"source": source, "error": err, "version": n.table.Version()})
		return err
	}
	if table.Version() <= n.table.Version() {
		return nil
	}
	n.log.WithFields(log.Fields{"version": table.Version(), "previous": n.table.Version(), "source": source,
		"routes": table.Len(), "behind": n.behindAge(now), "confirmed_age": n.confirmedAge(now)}).Info("configuration")
	for _, warning := range table.Warnings() {
		n.limitedLog.Log(log.WarnLevel, "configuration-remark", log.Fields{"version": table.Version(), "error": warning})
	}
	n.table = table
	n.document = document
	n.configuredAt = now
	n.behindSince = time.Time{}
	n.configurationError = nil
	n.statusUrgent = true
	n.decider.handleConfiguration(now, table)
	n.sendStatuses(now)
	return nil
}

// sleep waits for the duration and reports whether the node is still running.
func (n *node) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-n.context.Done():
		return false
	case <-timer.C:
		return true
	}
}
