// This file defines the interfaces between the relay and a platform: Adapter, which consists of
// Transport, Store and the calls for back ends and readiness, and HostReports, to which an adapter
// passes what a back end reports.

// Package relay runs the flow logic of package handshake as processes: a balancer in
// front of callers and an agent beside a back end. It owns the sockets, the clock, the
// messages between processes and the log. Adapter hides the names and formats of the
// platform.
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// Adapter translates between the relay and a platform: the datagrams, the store, the reports and
// health checks of back ends, and the readiness probe. It makes no decisions.
type Adapter interface {
	Transport
	Store
	// HostHandler receives the reports of back ends.
	HostHandler(reports HostReports) http.Handler
	// ReadyHandler answers the platform's readiness probe.
	ReadyHandler(ready func() bool) http.Handler
	// CheckHealth runs a health check of the back end at the address.
	CheckHealth(ctx context.Context, address netip.AddrPort, path string) instance.Check
}

// Transport parses and formats the datagrams between callers and back ends. A parsed
// datagram refers to the bytes from which it was parsed. Errors are of kind
// fault.Invalid.
type Transport interface {
	// ParseCaller parses a datagram that a caller has sent.
	ParseCaller(datagram []byte) (handshake.Datagram, error)
	// ParseBackend parses a datagram received from a back end: one of its own, or a
	// caller's datagram that it has returned, from which the return mark is removed.
	ParseBackend(datagram []byte) (handshake.Datagram, error)
	// RequestID returns the id of the request that begins in a caller's datagram, "" if
	// none begins there or its id cannot be parsed. It is for the log.
	RequestID(datagram *handshake.Datagram) string
	// FormatReset returns the datagram that resets a flow towards its caller. confirms is
	// what the caller's latest datagram confirmed (handshake.Datagram.Confirms), 0 if the
	// flow has not opened.
	FormatReset(key flow.Key, confirms uint32) []byte
	// ReplyAddress returns the address to which datagrams for a caller are sent, given the
	// data address of this process.
	ReplyAddress(caller, data netip.AddrPort) netip.AddrPort
}

// Document is one version of the configuration as stored at its source.
type Document struct {
	// Revision is the revision of the source when it was read, 0 if the source has none. It is
	// not that of the latest change to the document, which may be too old for a watch.
	Revision uint64
	Bytes    []byte // nil if there is no newer document
}

// Store keeps the configuration, the evacuations and the addresses of processes. Errors carry a
// kind of package fault. An answer with an error of type *Skipped is usable; malformed objects were
// left out of it.
//
// Calls with allowStale cost less, and their answers may be seconds old.
type Store interface {
	// ReadConfiguration returns the configuration, or fault.NotFound if there is none.
	ReadConfiguration(ctx context.Context, allowStale bool) (Document, error)
	// WatchConfiguration waits, at most for the duration given, until the configuration is newer
	// than the revision. It returns fault.Stale if the revision is too old for a watch; the caller
	// must then start over with ReadConfiguration.
	WatchConfiguration(ctx context.Context, revision uint64, wait time.Duration, allowStale bool) (Document, error)
	// ParseConfiguration parses a document. Errors are of kind fault.Invalid.
	ParseConfiguration(document []byte) (*routing.Table, error)
	// Evacuations returns the set of evacuated zones.
	Evacuations(ctx context.Context, allowStale bool) (evacuation.Set, error)
	// WatchEvacuations waits until an evacuation starts or ends after the revision, or until
	// the store's own time limit. It returns fault.Stale as WatchConfiguration does.
	WatchEvacuations(ctx context.Context, after catalog.Revision, allowStale bool) (evacuation.Changes, error)
	// Publish stores the record of a process in place of an earlier one with the same id,
	// and returns the revision of the new record.
	Publish(ctx context.Context, record Record) (revision uint64, err error)
	// RecordRevision returns the revision of the record, 0 if the store has none or a different
	// one with the same id. The answer may be seconds old. It costs less than Publish.
	RecordRevision(ctx context.Context, record Record) (revision uint64, err error)
	// Withdraw removes the record with the revision. It returns fault.Conflict if the
	// record has been replaced.
	Withdraw(ctx context.Context, record Record, revision uint64) error
	// ReadRecord returns the current record of the process with the id. It returns fault.NotFound if
	// there is none, and fault.Invalid, with the revision, if the record is malformed.
	ReadRecord(ctx context.Context, role presence.Role, id string) (StoredRecord, error)
	// Replace stores the record of a process in place of the one with the revision, or as a new
	// one if the revision is 0, and returns the revision of the new record. It returns
	// fault.Conflict if the store has a record with another revision, and fault.NotFound if it has
	// none.
	Replace(ctx context.Context, record Record, revision uint64) (uint64, error)
	// Records returns the records of the role that are not vacated, without their drains. They
	// include those of processes that ended without withdrawing their record.
	Records(ctx context.Context, role presence.Role, allowStale bool) ([]Record, error)
}

// Record is the entry of a process in the store.
type Record struct {
	Role    presence.Role
	ID      string
	Address netip.AddrPort // peer address
	// Drains are the drains that an agent has acknowledged to its back end, oldest first.
	Drains []instance.Drain
	// Vacated is true after the agent has ended and its back end holds no flow. Such a record only
	// keeps the drains.
	Vacated bool
	// Stopped is true if the agent was stopped as planned and its back end may hold flows. The next
	// start removes it after the maximum duration of a flow.
	Stopped bool
}

// StoredRecord is a record in the store.
type StoredRecord struct {
	Record
	Revision uint64 // of its latest change
}

// holds reports whether the stored record has the content of the other one.
func (r StoredRecord) holds(other Record) bool {
	return r.Address == other.Address && r.Vacated == other.Vacated && r.Stopped == other.Stopped && slices.Equal(r.Drains, other.Drains)
}

// HostReports receives what a back end reports about itself. Its methods may be called from
// any goroutine. A report or a removal is acknowledged to the back end only if no error is
// returned.
type HostReports interface {
	// Report applies a report. It returns fault.Stale if the report is of an earlier
	// incarnation than the current one, and fault.Invalid if it does not match the back end
	// of this agent. Such a report has no effect.
	Report(report instance.Report) error
	// Remove records that an incarnation has ended permanently. It returns fault.Stale as
	// Report does.
	Remove(incarnation instance.Incarnation) error
	// RecordRejected counts and logs a report or a removal that could not be parsed. It has no
	// other effect. err is of kind fault.Invalid.
	RecordRejected(err error)
}
