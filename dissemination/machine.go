// Package dissemination decides how configuration spreads from process to
// process. Each process holds one catalog snapshot and tells its revision and
// digest to its neighbours with every heartbeat. One that is behind pulls the
// changes from one neighbour at a time; two at the same revision with different
// digests compare object versions and keep the higher revision of each object.
// The package is pure: offers, pages and a clock go in; pulls, pages and
// snapshots come out. A process never goes back to a lower revision.
package dissemination

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Bounds of what is sent.
const (
	PageBytes       = 64 << 10        // object bytes in one page before compression, but at least one object
	SmallPageBytes  = 4 << 10         // pages up to this size are sent whatever the budget holds
	PullRetryTime   = 2 * time.Second // before a peer whose pull failed is asked again
	CompareDelay    = 5 * time.Second // for which digests must differ before they are compared
	CompareInterval = time.Minute     // between two comparisons with any peer
	objectOverhead  = 24              // bytes of an object besides name and body
	offerExpiry     = 10 * time.Second
)

// Offer is what a peer says it holds.
type Offer struct {
	Revision catalog.Revision
	Digest   uint32
}

// Page is a run of objects, oldest change first.
type Page struct {
	Revision catalog.Revision // where the receiver stands after it has taken the page in
	Objects  []catalog.Object
	More     bool // the sender holds further changes
	Busy     bool // the sender's budget is spent
}

// Pull is a decision to ask a peer for the changes after a revision.
type Pull struct {
	Peer  string
	After catalog.Revision
}

// Machine decides for one process. It is not safe for concurrent use.
type Machine struct {
	snapshot    *catalog.Snapshot
	budget      *Budget
	offers      map[string]*offer
	pulling     string    // peer of the pull under way, empty if none
	lastCompare time.Time // latest comparison that this process began
}

// offer is the latest offer of one peer.
type offer struct {
	Offer
	received   time.Time
	retryAfter time.Time // after a failed pull
	differs    time.Time // since when the digest differs at the own revision; zero: it does not
}

// NewMachine returns a machine that holds the empty snapshot.
func NewMachine(budget *Budget) *Machine {
	return &Machine{snapshot: catalog.Empty(), budget: budget, offers: map[string]*offer{}}
}

// Snapshot returns the configuration in force.
func (m *Machine) Snapshot() *catalog.Snapshot { return m.snapshot }

// Offer returns what this process says it holds.
func (m *Machine) Offer() Offer {
	return Offer{Revision: m.snapshot.Revision(), Digest: uint32(m.snapshot.Digest())}
}

// Observe notes a peer's offer.
func (m *Machine) Observe(now time.Time, peer string, received Offer) {
	known := m.offers[peer]
	if known == nil {
		known = &offer{}
		m.offers[peer] = known
	}
	known.Offer = received
	known.received = now
	own := m.Offer()
	if received.Revision != own.Revision || received.Digest == own.Digest {
		known.differs = time.Time{}
		return
	}
	if known.differs.IsZero() {
		known.differs = now
	}
}

// Behind says whether a peer, as far as is known, holds a lower revision.
func (m *Machine) Behind(peer string) bool {
	known := m.offers[peer]
	return known != nil && known.Revision < m.snapshot.Revision()
}

// NextPull decides whether to ask a peer for changes now. It begins at most one
// pull at a time; Take or PullFailed ends it.
func (m *Machine) NextPull(now time.Time) (Pull, bool) {
	if m.pulling != "" {
		return Pull{}, false
	}
	best := ""
	for peer, known := range m.offers {
		if now.Sub(known.received) > offerExpiry {
			delete(m.offers, peer)
			continue
		}
		if known.Revision <= m.snapshot.Revision() || now.Before(known.retryAfter) {
			continue
		}
		if best == "" || m.better(peer, best) {
			best = peer
		}
	}
	if best == "" {
		return Pull{}, false
	}
	m.pulling = best
	return Pull{Peer: best, After: m.snapshot.Revision()}, true
}

// better prefers the higher revision, then the later news, then the name, so
// that the choice does not depend on the order of a map.
func (m *Machine) better(peer, other string) bool {
	a, b := m.offers[peer], m.offers[other]
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	if !a.received.Equal(b.received) {
		return a.received.After(b.received)
	}
	return peer < other
}

// PullFailed ends the pull from a peer that did not answer.
func (m *Machine) PullFailed(now time.Time, peer string) {
	if m.pulling == peer {
		m.pulling = ""
	}
	if known := m.offers[peer]; known != nil {
		known.retryAfter = now.Add(PullRetryTime)
	}
}

// Serve answers a pull. A page above SmallPageBytes is refused while the budget
// is spent. The caller spends the page's size on the wire when it is known.
func (m *Machine) Serve(now time.Time, after catalog.Revision) Page {
	changed := m.snapshot.Since(after)
	page := Page{Revision: m.snapshot.Revision()}
	bytes := 0
	for i, object := range changed {
		if i > 0 && bytes+objectBytes(object) > PageBytes {
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

// Take ends the pull from a peer with its answer. The error tells which objects
// were refused; the rest of the page is in force all the same.
func (m *Machine) Take(now time.Time, pull Pull, page Page) error {
	if page.Busy {
		m.PullFailed(now, pull.Peer)
		return nil
	}
	if m.pulling == pull.Peer {
		m.pulling = ""
	}
	if page.Revision <= m.snapshot.Revision() || pull.After > m.snapshot.Revision() {
		return nil
	}
	return m.advance(page.Objects, page.Revision)
}

// TakeFromStore takes in changes that the platform's store reports. A store
// that has gone back to an older state gives fault.Stale, and what is in force stays.
func (m *Machine) TakeFromStore(objects []catalog.Object, revision catalog.Revision) error {
	if revision < m.snapshot.Revision() {
		return fault.New(fault.Stale, "the store is at revision %d, below revision %d in force", revision, m.snapshot.Revision())
	}
	if revision == m.snapshot.Revision() && len(objects) == 0 {
		return nil
	}
	return m.advance(objects, revision)
}

func (m *Machine) advance(objects []catalog.Object, revision catalog.Revision) error {
	next, err := m.snapshot.With(objects, revision)
	m.snapshot = next
	return err
}
