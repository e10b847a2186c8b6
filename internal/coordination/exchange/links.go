package exchange

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/dissemination"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/membership"
)

// link is what a process keeps about one neighbour: a member that it calls, or
// one that calls it.
type link struct {
	peer      string
	watched   bool          // this process is a monitor of the peer
	interval  time.Duration // between heartbeats; 0: only the peer calls
	next      time.Time     // next heartbeat
	sent      time.Time     // latest request
	called    time.Time     // latest request from the peer
	open      uint64        // id of the request under way, 0 if none
	told      membership.Cursor
	announced catalog.Revision // latest revision told in a request
	heard     uint64           // stamp of the latest response
	differs   time.Time        // since when the member digests differ; zero: they do not
	introduce bool             // the peer does not know this process
	failed    bool             // the latest request got no answer
}

// refreshLinks makes links to all targets and drops those no longer wanted.
func (d *Decider) refreshLinks(now time.Time) {
	targets := d.members.Targets(now)
	for _, link := range d.links {
		link.interval = 0
		link.watched = false
	}
	for _, target := range targets.Gateways {
		d.wantLink(now, target.ID, membership.GatewayInterval)
	}
	for _, target := range targets.Watched {
		d.wantLink(now, target.ID, membership.HeartbeatInterval).watched = true
	}
	for peer, link := range d.links {
		if link.interval == 0 && now.Sub(link.called) > callerExpiry {
			delete(d.links, peer)
			d.orderLinks()
		}
	}
}

func (d *Decider) wantLink(now time.Time, peer string, interval time.Duration) *link {
	wanted := d.linkTo(peer)
	wanted.interval = interval
	if wanted.next.IsZero() {
		wanted.next = now.Add(time.Duration(d.random.Int64N(int64(interval))))
	}
	return wanted
}

func (d *Decider) linkTo(peer string) *link {
	known := d.links[peer]
	if known == nil {
		known = &link{peer: peer, told: d.members.NewsEnd().Back(catchUpNews)}
		d.links[peer] = known
		d.orderLinks()
	}
	return known
}

func (d *Decider) orderLinks() {
	d.ordered = slices.SortedFunc(maps.Values(d.links), func(a, b *link) int { return strings.Compare(a.peer, b.peer) })
}

func (d *Decider) sendHeartbeats(now time.Time) {
	for _, link := range d.ordered {
		if link.interval > 0 && !now.Before(link.next) {
			d.sendOn(now, link)
		}
	}
}

// announce tells neighbours at once about a new revision that they lack, and
// about members that leave or are gone.
func (d *Decider) announce(now time.Time) {
	revision := d.catalog.Snapshot().Revision()
	affordable := d.budget.Allows(now)
	for _, link := range d.ordered {
		news := affordable && d.members.HasUrgentNews(link.told, link.peer)
		behind := link.announced < revision && d.catalog.Behind(link.peer)
		if (news || behind) && link.open == 0 && now.Sub(link.sent) >= announceGap {
			d.sendOn(now, link)
		}
	}
}

// sendOn opens an exchange with a neighbour.
func (d *Decider) sendOn(now time.Time, link *link) {
	peer := d.members.Table().Get(link.peer)
	if peer == nil {
		return
	}
	request, told := d.request(now, link)
	link.next = now.Add(link.interval)
	link.sent = now
	link.announced = d.catalog.Snapshot().Revision()
	link.open = d.send(peer, request, pending{peer: link.peer, link: link, told: told})
}

// request builds the part of a request that every exchange with a neighbour has.
func (d *Decider) request(now time.Time, link *link) (*burlmillv1.ExchangeRequest, membership.Cursor) {
	state, told := d.state(now, link)
	if link.introduce {
		state.Members = append(state.Members, encodeMember(d.members.Self()))
	}
	return &burlmillv1.ExchangeRequest{State: state, Heard: link.heard, Monitor: link.watched}, told
}

// send hands a request out and remembers what its answer means.
func (d *Decider) send(peer *membership.Member, request *burlmillv1.ExchangeRequest, meaning pending) uint64 {
	d.lastID++
	d.pending[d.lastID] = meaning
	d.output.Sends = append(d.output.Sends, Send{ID: d.lastID, Peer: peer.ID, To: peer.Control, Request: request})
	return d.lastID
}

// state builds what this process tells a neighbour of itself.
func (d *Decider) state(now time.Time, link *link) (*burlmillv1.State, membership.Cursor) {
	records, told := d.members.News(link.told, link.peer, d.newsLimit(now))
	state := d.bareState()
	state.Members = encodeMembers(records)
	if peer := d.members.Table().Get(link.peer); peer != nil && peer.Region == d.members.Self().Region {
		state.Regions = d.regionAges(now)
	}
	d.budget.Spend(now, len(records)*memberBytes)
	return state, told
}

// newsLimit bounds the news in one message, more so when the budget is spent.
func (d *Decider) newsLimit(now time.Time) int {
	if d.budget.Allows(now) {
		return newsPerExchange
	}
	return newsWithoutBudget
}

func (d *Decider) bareState() *burlmillv1.State {
	offer := d.catalog.Offer()
	return &burlmillv1.State{
		From:          d.members.Self().ID,
		Revision:      uint64(offer.Revision),
		CatalogDigest: offer.Digest,
		MembersDigest: d.members.Table().Digest(),
	}
}

func (d *Decider) regionAges(now time.Time) []*burlmillv1.RegionAge {
	var ages []*burlmillv1.RegionAge
	for _, contact := range d.members.RegionContacts(now) {
		ages = append(ages, &burlmillv1.RegionAge{
			Region: regionHash(contact.Region),
			Age:    uint32(contact.Age / ageUnit),
		})
	}
	return ages
}

// probe sends an exchange to a member that may have been split from this one. It
// tells what is held of both, so that each can deny what is wrong.
func (d *Decider) probe(now time.Time) {
	peer := d.members.NextProbe(now, d.random)
	if peer == nil {
		return
	}
	state := d.bareState()
	state.Members = encodeMembers([]*membership.Member{d.members.Self(), peer})
	d.send(peer, &burlmillv1.ExchangeRequest{State: state}, pending{peer: peer.ID})
}

// pullCatalog asks one peer for changes if this process is behind.
func (d *Decider) pullCatalog(now time.Time) {
	pull, due := d.catalog.NextPull(now)
	if !due {
		return
	}
	peer := d.members.Table().Get(pull.Peer)
	if peer == nil {
		d.catalog.PullFailed(now, pull.Peer)
		return
	}
	request := &burlmillv1.ExchangeRequest{
		State: d.bareState(),
		Pull:  &burlmillv1.PullRequest{After: uint64(pull.After)},
	}
	d.send(peer, request, pending{peer: pull.Peer, pull: &pull})
}

// observe takes in what the other side of an exchange tells of itself.
func (d *Decider) observe(now time.Time, state *burlmillv1.State) {
	from := state.GetFrom()
	d.mergeMembers(now, state.GetMembers(), from)
	d.members.Heard(now, from)
	d.observeRegions(now, state)
	d.catalog.Observe(now, from, dissemination.Offer{
		Revision: catalog.Revision(state.GetRevision()),
		Digest:   state.GetCatalogDigest(),
	})
	if known := d.links[from]; known != nil {
		known.observeDigest(now, state.GetMembersDigest() == d.members.Table().Digest())
	}
}

func (l *link) observeDigest(now time.Time, equal bool) {
	if equal {
		l.differs = time.Time{}
		return
	}
	if l.differs.IsZero() {
		l.differs = now
	}
}

func (d *Decider) mergeMembers(now time.Time, records []*burlmillv1.Member, source string) {
	for _, encoded := range records {
		record, err := decodeMember(encoded)
		if err != nil {
			d.notice("member-refused", nil, err)
			continue
		}
		d.members.Merge(now, record, source)
	}
}

func (d *Decider) observeRegions(now time.Time, state *burlmillv1.State) {
	from := d.members.Table().Get(state.GetFrom())
	if from == nil || from.Region != d.members.Self().Region {
		return
	}
	for _, known := range d.members.RegionContacts(now) {
		for _, told := range state.GetRegions() {
			if told.GetRegion() == regionHash(known.Region) {
				age := time.Duration(told.GetAge()) * ageUnit
				d.members.MergeContact(now, membership.RegionContact{Region: known.Region, Age: age})
			}
		}
	}
}

// StatusTold says whether every neighbour that answers has been told all that
// is urgent, which includes this process's own leaving.
func (d *Decider) StatusTold() bool {
	for _, link := range d.links {
		if link.failed {
			continue
		}
		if link.open != 0 || d.members.HasUrgentNews(link.told, link.peer) {
			return false
		}
	}
	return true
}
