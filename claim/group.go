package claim

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// group is what a replica knows and holds about one service.
type group struct {
	service catalog.ServiceName
	self    Instance
	started time.Time
	options *Options
	out     *outbox
	agents  []Agent // as configured

	latest   View   // latest view known, whether this instance is a member or not
	complete ViewID // latest view whose whole state is here
	pulls    map[ViewID]*pull
	records  *recordStore

	acceptor changeAcceptor  // for the successor of latest
	proposal *changeProposal // own proposal of a successor, nil if none
	changeAt time.Time       // earliest begin of the next one; zero if no change is due

	contact  contact
	founding foundingState
}

func (g *group) tick(now time.Time) {
	g.tickContact(now)
	g.tickPulls(now)
	g.tickChange(now)
	g.tickFounding(now)
}

// isMember says whether this instance belongs to the latest view.
func (g *group) isMember() bool { return g.latest.has(g.self) }

// holdsView says whether this instance belongs to the latest view and has its state.
func (g *group) holdsView() bool {
	return g.isMember() && g.complete == g.latest.ID
}

// votes says whether this instance may vote on claims in the latest view.
func (g *group) votes(now time.Time) bool {
	return g.holdsView() && g.inContact(now)
}

// isNeeded says whether others may depend on the state that is here.
func (g *group) isNeeded(now time.Time) bool {
	if g.isMember() {
		return len(g.agents) > 0
	}
	return g.contact.askedForState.Add(stateRequestRetries * g.options.RetryInterval).After(now)
}

// stateRequestRetries is for how many retry intervals a member of a past view
// stays after it was last asked for its state.
const stateRequestRetries = 20

// adopt takes in a view that was decided.
func (g *group) adopt(now time.Time, view View) {
	if view.ID.Compare(g.latest.ID) <= 0 {
		return
	}
	if view.ID.Epoch != g.latest.ID.Epoch {
		g.forgetGrants()
		g.learnEpoch(now, view.ID.Epoch)
	}
	g.latest = view
	g.acceptor = changeAcceptor{}
	g.proposal = nil
	g.changeAt = time.Time{}
	g.contact.interval = 0
	if !g.isMember() {
		return
	}
	if len(view.Previous) == 0 {
		g.complete = view.ID // nothing was claimed before
		return
	}
	g.startPull(now, view)
}
