// This file implements Machine: it records the offers of peers, pulls from the best peer, serves
// and applies pages, and applies changes read from the store. Pages are limited in size, and large
// ones are refused while the budget is exhausted.

// Package dissemination propagates configuration between processes. Each process
// holds one catalog snapshot and sends its revision and digest to its peers
// with every heartbeat. A process that is behind pulls the changes from one
// peer at a time. Two processes at the same revision with different digests
// compare object versions and keep the higher revision of each object. A process
// never returns to a lower revision.
//
// The package does no I/O and reads no clock: callers pass in the offers and pages
// that they receive and the current time, and send the resulting pulls and pages.
package dissemination

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Size limits and intervals of the exchanges between peers.
const (
	MaxPageBytes       = 64 << 10         // before compression; a single object may exceed it
	SmallPageBytes     = 4 << 10          // pages up to this size are sent regardless of the budget
	PullRetryDelay     = 2 * time.Second  // after a failed pull, for the same peer
	ComparisonDelay    = 5 * time.Second  // minimum age of a digest mismatch to compare
	ComparisonInterval = time.Minute      // minimum interval between comparisons with any peer
	objectOverhead     = 24               // bytes of an object in addition to name and body
	offerExpiry        = 10 * time.Second // age above which an offer is ignored
)

// Offer is the snapshot revision and digest that a process advertises.
type Offer struct {
	Revision catalog.Revision
	Digest   uint32
}

// Page is a sequence of changed objects, oldest change first.
type Page struct {
	Revision catalog.Revision // receiver's revision after it has applied the page
	Objects  []catalog.Object
	More     bool // further pages follow
	Busy     bool // refused because the sender's budget is exhausted
}

// Pull is a request to a peer for the changes after a revision.
type Pull struct {
	Peer  string
	After catalog.Revision
}

// Machine is the dissemination state machine of one process. It is not safe for concurrent
// use.
type Machine struct {
	snapshot         *catalog.Snapshot
	budget           *Budget
	offers           map[string]*peerOffer
	pullingFrom      string    // peer of the pull in progress, empty if none
	lastComparisonAt time.Time // start of the latest comparison that this process initiated
}

// peerOffer is the latest offer of one peer.
type peerOffer struct {
	Offer
	receivedAt   time.Time
	retryAfter   time.Time // earliest next pull after a failed one
	differsSince time.Time // start of a digest mismatch at the local revision; zero if none
}

// NewMachine returns a Machine that holds the empty snapshot.
func NewMachine(budget *Budget) *Machine {
	return &Machine{snapshot: catalog.Empty(), budget: budget, offers: map[string]*peerOffer{}}
}

// Snapshot returns the current configuration.
func (m *Machine) Snapshot() *catalog.Snapshot { return m.snapshot }

// Offer returns the offer that this process advertises.
func (m *Machine) Offer() Offer {
	return Offer{Revision: m.snapshot.Revision(), Digest: uint32(m.snapshot.Digest())}
}

// RecordOffer records an offer received from a peer.
func (m *Machine) RecordOffer(now time.Time, peer string, received Offer) {
	known := m.offers[peer]
	if known == nil {
		known = &peerOffer{}
		m.offers[peer] = known
	}
	known.Offer = received
	known.receivedAt = now
	local := m.Offer()
	if received.Revision != local.Revision || received.Digest == local.Digest {
		known.differsSince = time.Time{}
		return
	}
	if known.differsSince.IsZero() {
		known.differsSince = now
	}
}

// IsBehind reports whether a peer's latest offer has a lower revision than the snapshot. It is
// false for a peer without an offer.
func (m *Machine) IsBehind(peer string) bool {
	known := m.offers[peer]
	return known != nil && known.Revision < m.snapshot.Revision()
}

// OfferedRevision returns the highest revision among the unexpired offers of all peers, 0 if there
// are none.
func (m *Machine) OfferedRevision(now time.Time) catalog.Revision {
	var highest catalog.Revision
	for _, known := range m.offers {
		if now.Sub(known.receivedAt) <= offerExpiry {
			highest = max(highest, known.Revision)
		}
	}
	return highest
}

// NextPull starts a pull from a peer with a higher revision, if there is one. At most one
// pull is in progress at a time; ApplyPage or PullFailed ends it.
func (m *Machine) NextPull(now time.Time) (Pull, bool) {
	if m.pullingFrom != "" {
		return Pull{}, false
	}
	best := ""
	for peer, known := range m.offers {
		if now.Sub(known.receivedAt) > offerExpiry {
			delete(m.offers, peer)
			continue
		}
		if known.Revision <= m.snapshot.Revision() || now.Before(known.retryAfter) {
			continue
		}
		if best == "" || m.betterSource(peer, best) {
			best = peer
		}
	}
	if best == "" {
		return Pull{}, false
	}
	m.pullingFrom = best
	return Pull{Peer: best, After: m.snapshot.Revision()}, true
}

// betterSource reports whether peer is a better source than other: by higher revision, then by
// later offer, then by name. The name makes the choice independent of map order.
func (m *Machine) betterSource(peer, other string) bool {
	a, b := m.offers[peer], m.offers[other]
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	if !a.receivedAt.Equal(b.receivedAt) {
		return a.receivedAt.After(b.receivedAt)
	}
	return peer < other
}

// PullFailed ends a pull that failed and delays the next one from the same peer.
func (m *Machine) PullFailed(now time.Time, peer string) {
	if m.pullingFrom == peer {
		m.pullingFrom = ""
	}
	if known := m.offers[peer]; known != nil {
		known.retryAfter = now.Add(PullRetryDelay)
	}
}

// Serve returns the page that answers a pull. A page above SmallPageBytes is refused as Busy
// while the budget is exhausted. The caller deducts the encoded size of the page from the
// budget by Spend.
func (m *Machine) Serve(now time.Time, after catalog.Revision) Page {
	changed := m.snapshot.Since(after)
	page := Page{Revision: m.snapshot.Revision()}
	bytes := 0
	for i, object := range changed {
		if i > 0 && bytes+objectBytes(object) > MaxPageBytes {
			page.More = true
			page.Revision = page.Objects[i-1].Revision
			break
		}
		bytes += objectBytes(object)
		page.Objects = append(page.Objects, object)
	}
	if bytes > SmallPageBytes && !m.budget.Allows(now) {
		return Page{Busy: true}
	}
	return page
}

func objectBytes(object catalog.Object) int {
	return objectOverhead + len(object.Name) + len(object.Body)
}

// ApplyPage ends a pull and applies the page received. A Busy page counts as a failed pull, and a
// page that does not increase the revision is ignored. The error lists rejected objects; the
// other objects of the page are applied nevertheless.
func (m *Machine) ApplyPage(now time.Time, pull Pull, page Page) error {
	if page.Busy {
		m.PullFailed(now, pull.Peer)
		return nil
	}
	if m.pullingFrom == pull.Peer {
		m.pullingFrom = ""
	}
	if page.Revision <= m.snapshot.Revision() || pull.After > m.snapshot.Revision() {
		return nil
	}
	return m.apply(page.Objects, page.Revision)
}

// ApplyStoreChanges applies changes read from the platform's store. If the store has returned to
// an older revision, it fails with fault.Stale and keeps the snapshot.
func (m *Machine) ApplyStoreChanges(objects []catalog.Object, revision catalog.Revision) error {
	if revision < m.snapshot.Revision() {
		return fault.New(fault.Stale, "store revision %d is below current revision %d", revision, m.snapshot.Revision())
	}
	if revision == m.snapshot.Revision() && len(objects) == 0 {
		return nil
	}
	return m.apply(objects, revision)
}

func (m *Machine) apply(objects []catalog.Object, revision catalog.Revision) error {
	next, err := m.snapshot.With(objects, revision)
	m.snapshot = next
	return err
}
