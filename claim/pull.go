package claim

import (
	"maps"
	"slices"
	"time"
)

// pull is the copying of what was claimed before a view. It is done when a quorum
// of the view before has sent all its records, or one instance that has done so.
type pull struct {
	view     View
	done     map[Instance]bool   // those whose records are all here
	after    map[Instance]string // last key received of the others
	complete map[Instance]bool   // those that held everything when they sent their first page
	sentAt   time.Time
}

// startPull begins to copy what a quorum of the view before holds.
func (g *group) startPull(now time.Time, view View) {
	started := &pull{
		view:     view,
		done:     map[Instance]bool{},
		after:    map[Instance]string{},
		complete: map[Instance]bool{},
	}
	if g.wasMember(&view) {
		started.done[g.self] = true
	}
	g.pulls[view.ID] = started
	g.request(now, started)
	g.finishPull(started)
}

func (g *group) tickPulls(now time.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(g.pulls), ViewID.Compare) {
		pull := g.pulls[id]
		if id.Compare(g.complete) <= 0 {
			delete(g.pulls, id)
			continue
		}
		if !now.Before(pull.sentAt.Add(pullRetries * g.options.RetryInterval)) {
			g.request(now, pull)
		}
	}
}

// pullRetries is after how many retry intervals a request for state is repeated.
const pullRetries = 4

// request asks all that have not sent everything.
func (g *group) request(now time.Time, pull *pull) {
	pull.sentAt = now
	asked := slices.Clone(pull.view.Previous)
	for _, member := range pull.view.Members {
		if !slices.Contains(asked, member) {
			asked = append(asked, member)
		}
	}
	for _, member := range asked {
		if member != g.self && !pull.done[member] {
			g.requestPage(pull, member)
		}
	}
}

// askHolder begins again with an instance that holds everything claimed before the
// view, if it did not yet do so when it was asked first.
func (g *group) askHolder(view ViewID, holder Instance) {
	pull := g.pulls[view]
	if pull == nil || pull.complete[holder] {
		return
	}
	delete(pull.done, holder)
	delete(pull.after, holder)
	g.requestPage(pull, holder)
}

func (g *group) requestPage(pull *pull, member Instance) {
	g.out.send(member.Node, StateRequest{
		Service: g.service,
		From:    g.self,
		View:    pull.view,
		After:   pull.after[member],
	})
}

// wasMember says whether this instance was a member of the view before the given
// one, holds its whole state, and votes in it no more.
func (g *group) wasMember(view *View) bool {
	sameChain := g.complete.Epoch == view.ID.Epoch
	whole := sameChain && g.complete.Compare(view.previousID()) >= 0
	return whole && slices.Contains(view.Previous, g.self) && g.latest.ID.Compare(view.ID) >= 0
}

// isComplete says whether this instance holds what was claimed before the view.
func (g *group) isComplete(view *View) bool {
	return g.complete.Epoch == view.ID.Epoch && g.complete.Compare(view.ID) >= 0
}

// stateRequest sends a page of records.
func (g *group) stateRequest(now time.Time, message StateRequest) {
	g.adopt(now, message.View)
	complete := g.isComplete(&message.View)
	if !complete && !g.wasMember(&message.View) {
		return
	}
	g.contact.askedForState = now
	records, more := g.records.page(now, message.After)
	g.out.send(message.From.Node, StatePage{
		Service:  g.service,
		From:     g.self,
		View:     message.View.ID,
		After:    message.After,
		Records:  records,
		Floor:    g.records.floor,
		More:     more,
		Complete: complete,
	})
}

// statePage takes in a page of records.
func (g *group) statePage(now time.Time, message StatePage) {
	pull := g.pulls[message.View]
	if pull == nil || pull.done[message.From] || message.After != pull.after[message.From] {
		return
	}
	g.records.raiseFloor(message.Floor)
	for index := range message.Records {
		g.records.merge(now, &message.Records[index])
	}
	if message.After == "" {
		pull.complete[message.From] = message.Complete
	}
	if message.More {
		pull.after[message.From] = message.Records[len(message.Records)-1].Key
		g.requestPage(pull, message.From)
		return
	}
	pull.done[message.From] = true
	g.finishPull(pull)
}

// finishPull ends the copying once enough is here.
func (g *group) finishPull(pull *pull) {
	previous := View{Members: pull.view.Previous}
	if !previous.isQuorum(pull.done) && !pull.hasCompleteSource() {
		return
	}
	delete(g.pulls, pull.view.ID)
	if pull.view.ID.Compare(g.complete) > 0 {
		g.complete = pull.view.ID
	}
}

// hasCompleteSource says whether one that held everything has sent all its records.
func (p *pull) hasCompleteSource() bool {
	for instance := range p.done {
		if p.complete[instance] {
			return true
		}
	}
	return false
}
