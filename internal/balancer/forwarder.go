// This file forwards datagrams from fabrics to agents and caches their first hops. It counts and
// logs the datagrams that it drops.

package balancer

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/wire"
)

// Configuration provides the services and the liveness of agents. Its methods are safe for
// concurrent use and do not block.
type Configuration interface {
	flow.Liveness
	// Snapshot returns the current configuration.
	Snapshot() *catalog.Snapshot
	// MembershipVersion returns a number that changes whenever a result of Alive may change.
	MembershipVersion() uint64
}

// Sender sends one datagram.
type Sender interface {
	Send(datagram []byte, to netip.AddrPort) error
}

// forwarder forwards datagrams from fabrics to agents. It is not safe for concurrent use. Its only
// state is a cache of first hops, which does not affect the result.
type forwarder struct {
	configuration Configuration
	sender        Sender
	metrics       *metrics
	drops         *dropLog

	hopCache *wire.Cache[*cachedHop]
	cacheKey []byte // cache key buffer, reused
	output   []byte // output datagram buffer, reused

	snapshot          *catalog.Snapshot // as of the last datagram
	membershipVersion uint64            // as of the last datagram
	generation        uint64            // incremented when either of the two above changes
}

// cachedHop is the first hop for one header from one fabric.
type cachedHop struct {
	key        flow.Key
	generation uint64          // forwarder generation for which the fields below are valid
	serverID   payloadServerID // server id for which they are valid; used only if usesQUIC
	usesQUIC   bool            // the service's payloads are QUIC

	agent  netip.AddrPort // data address of an agent
	header []byte         // header of the datagram to the agent
	reason dropReason     // why there is no hop; used only if err is set
	err    error
}

// payloadServerID is the server id encoded in a payload's QUIC connection id, if any.
type payloadServerID struct {
	id uint32
	ok bool
}

// validFor reports whether the hop is valid for the generation and the server id of the payload.
// Only the last server id is stored, because it rarely changes within a flow.
func (h *cachedHop) validFor(generation uint64, serverID payloadServerID) bool {
	return h.generation == generation && (!h.usesQUIC || h.serverID == serverID)
}

func newForwarder(configuration Configuration, sender Sender, metrics *metrics, drops *dropLog, cacheSize int) *forwarder {
	return &forwarder{
		configuration: configuration,
		sender:        sender,
		metrics:       metrics,
		drops:         drops,
		hopCache:      wire.NewCache[*cachedHop](cacheSize),
	}
}

// receive forwards one datagram from a fabric, which has spent the time waited in the socket, and
// updates the metrics. It logs drops.
func (f *forwarder) receive(datagram []byte, from netip.AddrPort, waited time.Duration) {
	f.metrics.received.Inc()
	f.metrics.socketWait.Observe(waited.Seconds())
	if waited > flow.MaxWaitTime {
		f.drop(dropWaitTimeout, fault.New(fault.Deadline, "datagram waited %v, limit %v", waited, flow.MaxWaitTime), from)
		return
	}
	reason, err := f.forward(datagram, from, waited)
	if err != nil {
		f.drop(reason, err, from)
		return
	}
	f.metrics.sent.Inc()
}

func (f *forwarder) drop(reason dropReason, err error, from netip.AddrPort) {
	f.metrics.dropped[reason].Inc()
	f.drops.log(reason, err, from)
}

// forward sends the datagram to its first hop, with the time waited as its age. The reason is
// meaningful only if the error is not nil.
func (f *forwarder) forward(datagram []byte, from netip.AddrPort, waited time.Duration) (dropReason, error) {
	f.refreshGeneration()
	header, err := wire.HeaderBytes(datagram)
	if err != nil {
		return dropInvalidHeader, err
	}
	payload := datagram[len(header):]
	hop, err := f.hop(header, payload, from)
	if err != nil {
		return dropInvalidHeader, err
	}
	if hop.err != nil {
		return hop.reason, hop.err
	}
	if len(hop.header)+len(payload) > wire.MaxDatagramBytes {
		return dropOversize, fault.New(fault.Invalid, "payload of %d bytes exceeds the datagram size limit with its header", len(payload))
	}
	f.output = append(f.output[:0], hop.header...)
	wire.SetAge(f.output, waited)
	f.output = append(f.output, payload...)
	return dropSendError, f.sender.Send(f.output, hop.agent)
}

// refreshGeneration starts a new generation, which invalidates all cached hops, if the
// configuration or the membership has changed.
func (f *forwarder) refreshGeneration() {
	snapshot := f.configuration.Snapshot()
	version := f.configuration.MembershipVersion()
	if snapshot == f.snapshot && version == f.membershipVersion {
		return
	}
	f.snapshot = snapshot
	f.membershipVersion = version
	f.generation++
}

// hop returns the first hop for the datagram, from the cache if the entry is valid. It returns an
// error if the header is invalid; the err field of the result is set if there is no hop.
func (f *forwarder) hop(header, payload []byte, from netip.AddrPort) (*cachedHop, error) {
	var serverID payloadServerID
	serverID.id, serverID.ok = flow.ServerIDOf(payload)
	f.cacheKey = append(f.cacheKey[:0], header...)
	f.cacheKey, _ = from.AppendBinary(f.cacheKey) // the error is always nil
	hop, cached := f.hopCache.Get(f.cacheKey)
	if cached && hop.validFor(f.generation, serverID) {
		return hop, nil
	}
	f.metrics.hopCacheMisses.Inc()
	if !cached {
		key, err := parseKey(header)
		if err != nil {
			return nil, err
		}
		hop = &cachedHop{key: key}
		f.hopCache.Put(f.cacheKey, hop)
	}
	hop.generation = f.generation
	hop.serverID = serverID
	hop.reason, hop.err = hop.update(f.snapshot, f.configuration, payload, from)
	return hop, nil
}

// parseKey parses the header of a datagram from a fabric, which must not have a route.
func parseKey(header []byte) (flow.Key, error) {
	envelope, _, err := wire.ParseEnvelope(header)
	if err != nil {
		return flow.Key{}, err
	}
	if envelope.HasRoute {
		return flow.Key{}, fault.New(fault.Invalid, "datagram from %v already has a route", envelope.Key.Caller)
	}
	return envelope.Key, nil
}

// update recomputes the agent and the header. If there is no hop, it returns the reason and the
// error.
func (h *cachedHop) update(snapshot *catalog.Snapshot, liveness flow.Liveness, payload []byte, from netip.AddrPort) (dropReason, error) {
	service := snapshot.ServiceAt(h.key.Service)
	h.usesQUIC = service != nil && service.Protocol == catalog.ProtocolHTTP
	hop, err := flow.FirstHop(snapshot, liveness, h.key, payload)
	if err != nil {
		return dropReasonOf(err), err
	}
	hop.Route.ReplyTo = from
	header, err := wire.FormatEnvelope(wire.Envelope{Key: h.key, Route: hop.Route, HasRoute: true})
	if err != nil {
		return dropInvalidHeader, err
	}
	h.agent = hop.To
	h.header = header
	return 0, nil
}

// dropReasonOf maps an error of flow.FirstHop to a drop reason.
func dropReasonOf(err error) dropReason {
	if fault.KindOf(err) == fault.NotFound {
		return dropUnknownService
	}
	return dropNoBackend
}
