package handshake

import (
	"bytes"
	"net/netip"
	"slices"
	"time"
)

// Finding: a balancer that gets a datagram of a flow it does not know (routers have moved
// the flow, or the balancer has just started) lets an agent search for the one that holds it.
// Flows that nobody holds any more come in crowds after an outage, so the work is bounded: so
// many searches run at once, the rest wait, and a flow that was not found is left alone for a
// while, longer each time. Where answers come late because processes are busy, fewer searches
// run in a second.

// Times and bounds of finding flows.
const (
	LocateTime       = 60 * time.Millisecond  // for agents to say who holds a flow: some round trips between zones, and the work of a busy agent (a guess)
	MaximumBuffered  = 16                     // datagrams of one flow that wait for its agent
	maximumFindings  = 16                     // flows that are searched for at once (a guess: at 10 ms each, more than all flows of a balancer that move in a second)
	maximumUnfound   = 4096                   // flows that wait to be searched for, as MaximumHeld
	maximumMissed    = 2                      // searches for one flow that may stay without an answer: one agent may be dead, hardly two
	firstFindPause   = 50 * time.Millisecond  // for which a flow that was not found is left alone; doubled each time (a guess)
	mostFindPause    = time.Second            // at most: below the longest pause between two copies of a caller
	resetPause       = 100 * time.Millisecond // between two resets of one flow: half of a caller's shortest pause between copies
	callerPause      = 2 * time.Second        // silence after which a caller has given up: the longest between two of its copies is 1.6 s
	DiscoveryTime    = 4 * time.Second        // after a balancer's start, in which it may not know all agents (2.15 s in virtual time with 40 balancers and 120 agents)
	maximumNeighbors = 16                     // other balancers asked for one flow
	// Between two looks at the records of agents that are wanted: the first pause lets many
	// flows share one; the longest is for records that nobody removes, of machines that were lost.
	firstRecordsPause = time.Second
	mostRecordsPause  = 30 * time.Second
	youngRecordsPause = 300 * time.Millisecond // while the balancer is young: about what agents take to find that nobody runs beside them
	recordsLifetime   = 30 * time.Second       // of what was read: agents that were added since tell it within DiscoveryTime, if they reach this process
)

// finding is the search for the agent that holds one flow.
type finding struct {
	queued    bool             // waits for its turn
	running   bool             // counts as one of maximumFindings
	searcher  netip.AddrPort   // agent that searches; zero: none
	under     []netip.AddrPort // agents of the question under way
	asked     []netip.AddrPort // agents that were asked before it
	perhaps   []netip.AddrPort // agents that may hold the flow
	unnamed   []netip.AddrPort // those of them that were not named to the trier
	tries     bool             // the question under way is a datagram tried at back ends
	tried     bool             // it has been: it is not again before the caller's next datagram
	undecided bool             // some have not answered
	missed    int              // searches without an answer
	hinted    bool             // other balancers were asked
}

// locate lets a datagram of a flow that is not known wait until its agent is found.
func (b *Balancer) locate(now time.Time, known *balancedFlow, datagram *Datagram) {
	if known.restarted && now.Sub(b.started) > togetherTime {
		known.gone, known.restarted = false, false // the flow may live, and may be found by now
	}
	if known.gone {
		b.resetAgain(now, known)
		return
	}
	if datagram.Kind == Reset && known.finding == nil {
		return // its caller has given up; the back end notices without it
	}
	if now.Before(known.findAgain) && !b.newsAt.After(known.leftAt) || len(known.buffered) >= MaximumBuffered {
		return
	}
	known.buffered = append(known.buffered, bytes.Clone(datagram.Bytes))
	if known.finding != nil {
		return
	}
	known.confirms = datagram.Confirms
	known.finding = &finding{}
	b.queueFinding(now, known)
	b.startFindings(now)
}

// resetAgain tells the caller of a flow that is known to be gone once more: the reset
// may have been lost.
func (b *Balancer) resetAgain(now time.Time, known *balancedFlow) {
	if now.Sub(known.resetAt) < resetPause {
		return
	}
	known.resetAt = now
	b.act(ResetCaller{Key: known.key, Confirms: known.latest, Restarted: known.restarted})
}

// queueFinding lets a flow wait until it is its turn to be searched for.
func (b *Balancer) queueFinding(now time.Time, known *balancedFlow) {
	if len(b.unfound) >= maximumUnfound {
		first := b.unfound[0]
		b.unfound = slices.Delete(b.unfound, 0, 1)
		if first.finding != nil && first.finding.queued {
			b.giveUpFinding(now, first)
		}
	}
	known.finding.queued = true
	b.unfound = append(b.unfound, known)
}

// startFindings begins as many searches as may run, the flow whose caller sent last first:
// callers of the others have given up, or wait before they send again.
func (b *Balancer) startFindings(now time.Time) {
	for b.findings < maximumFindings && len(b.unfound) > 0 {
		known := b.takeUnfound()
		if known == nil {
			return
		}
		if now.Sub(known.seen) > callerPause {
			b.giveUpFinding(now, known)
			continue
		}
		known.finding.running = true
		b.findings++
		b.ask(now, known)
	}
}

// takeUnfound takes the flow whose caller sent last out of those that wait, nil if none does.
func (b *Balancer) takeUnfound() *balancedFlow {
	b.unfound = slices.DeleteFunc(b.unfound, func(known *balancedFlow) bool { return known.finding == nil || !known.finding.queued })
	if len(b.unfound) == 0 {
		return nil
	}
	latest := 0
	for i, known := range b.unfound {
		if !known.seen.Before(b.unfound[latest].seen) {
			latest = i
		}
	}
	known := b.unfound[latest]
	b.unfound = slices.Delete(b.unfound, latest, latest+1)
	known.finding.queued = false
	return known
}

// ask lets an agent search among those that have not been asked yet, then try the datagram
// at back ends that may hold the flow.
func (b *Balancer) ask(now time.Time, known *balancedFlow) {
	f := known.finding
	f.tries = false
	remaining := b.unasked(now, known)
	switch {
	case len(remaining) > 0:
		b.search(now, known, remaining)
	case len(f.perhaps) > 0 && !f.tried && !now.Before(known.tryAgain):
		b.try(now, known)
	default:
		b.findingEnded(now, known)
	}
}

// search lets an agent ask the others.
func (b *Balancer) search(now time.Time, known *balancedFlow, agents []netip.AddrPort) {
	f := known.finding
	searcher := b.searcher(now, f, len(agents))
	if searcher == nil {
		f.undecided = true
		b.findingEnded(now, known)
		return
	}
	b.act(Decision{Event: EventLocating, Key: known.key, Peer: searcher.address, Attempts: len(agents)})
	b.sendSearch(now, known, searcher, agents, nil)
}

// sendSearch sends a question about the flow to an agent.
func (b *Balancer) sendSearch(now time.Time, known *balancedFlow, searcher *agentState, agents []netip.AddrPort, datagram []byte) {
	f := known.finding
	f.searcher = searcher.address
	f.under = agents
	known.sentAt = now
	b.await(known, now.Add(2*LocateTime+searcher.patience()))
	b.act(Send{To: searcher.address, Message: Search{Key: known.key, Confirms: known.confirms, Agents: agents, Datagram: datagram, Question: known.questions}})
}

// found handles the answer of the agent that has searched.
func (b *Balancer) found(now time.Time, from netip.AddrPort, answer Found) {
	known := b.flows[answer.Key]
	if known == nil || known.agent.IsValid() || known.finding == nil {
		return
	}
	if answer.Agent.IsValid() {
		b.foundAt(now, known, answer.Agent)
		return
	}
	f := known.finding
	if f.searcher != from || f.under == nil || answer.Question != known.questions {
		return // a late answer, which says nothing of those who have been asked since
	}
	known.questions++
	f.undecided = f.undecided || answer.Unanswered > 0
	if f.tries {
		b.triedBy(now, known, answer)
		b.startFindings(now)
		return
	}
	f.asked = append(f.asked, f.under...)
	f.under = nil
	f.perhaps = append(f.perhaps, answer.Perhaps...)
	b.ask(now, known)
	b.startFindings(now)
}

// located handles the answer of an agent that another balancer has named, or whose back end has not proved
// that it holds a flow whose datagrams are sent to it: the next one is searched for.
func (b *Balancer) located(now time.Time, from netip.AddrPort, answer Located) {
	known := b.flows[answer.Key]
	if known != nil && known.agent == from && answer.Holding != Holds {
		known.agent = netip.AddrPort{}
		b.act(Decision{Event: EventNotHeld, Key: known.key, Peer: from, Reason: reasonAnother})
		return
	}
	if known == nil || known.agent.IsValid() || known.finding == nil || answer.Holding != Holds {
		return
	}
	b.foundAt(now, known, from)
}

// foundAt sends on what has waited for the flow's agent.
func (b *Balancer) foundAt(now time.Time, known *balancedFlow, agent netip.AddrPort) {
	b.hold(now, known, agent, EventLocated)
	b.startFindings(now)
}

// findingLate handles a search without an answer, and flows that wait for agents that the
// balancer does not know yet.
func (b *Balancer) findingLate(now time.Time, known *balancedFlow) {
	f := known.finding
	if f.under == nil {
		b.settle(known)
		b.queueFinding(now, known)
		return
	}
	known.questions++
	if f.tries {
		f.under = nil
		b.ask(now, known) // agents that were heard meanwhile
		return
	}
	f.missed++
	if f.missed >= maximumMissed {
		f.undecided = true
		f.asked = append(f.asked, f.under...)
	}
	f.under = nil
	b.ask(now, known)
}

// findingEnded handles a flow that none of the agents that are known holds. In a balancer's first
// seconds others may be learned of: the flow waits for them. If all agents that there are
// have said for certain that they do not hold it, and no other balancer knows where it is, it is gone: another one may
// have opened it at an agent that has just come, and is not heard here yet. Else it may be held by an agent
// that cannot be heard from here, and its caller is left to its own patience.
func (b *Balancer) findingEnded(now time.Time, known *balancedFlow) {
	f := known.finding
	b.stopSearching(known)
	certain := !f.undecided && len(b.unasked(now, known)) == 0 && b.knowsAll(now)
	b.recordsWanted = b.recordsWanted || !f.undecided && !certain
	switch {
	case certain && len(f.perhaps) == 0 && (f.hinted || b.neighbors.heardOnce() == 0):
		b.lose(now, known, reasonNobody)
	case !f.undecided && len(b.unasked(now, known)) == 0 && b.mayRepeat(known) && b.restartedTogether(now, f.perhaps):
		b.tellRestarted(now, known)
	case !f.hinted:
		b.hint(now, known)
		b.await(known, now.Add(2*LocateTime))
	case b.discovers(now):
		b.await(known, b.nextDiscovery(now, f))
	default:
		b.giveUpFinding(now, known)
	}
}

// nextDiscovery returns when a flow is searched for again that no agent known so far holds.
func (b *Balancer) nextDiscovery(now time.Time, f *finding) time.Time {
	if settled := b.started.Add(trySettleTime); len(f.perhaps) > 0 && now.Before(settled) {
		return settled
	}
	return b.started.Add(DiscoveryTime)
}

// discovers says whether the balancer has started so lately that the agent which holds a
// flow may not be known yet.
func (b *Balancer) discovers(now time.Time) bool {
	return now.Sub(b.started) < DiscoveryTime && !b.knowsAll(now)
}

// Record takes in the addresses of all agents that have recorded themselves where it lasts,
// as they stood at the time. Flows that waited for certainty are decided on.
func (b *Balancer) Record(now, at time.Time, agents []netip.AddrPort) {
	b.recorded = agents
	b.recordedAt = at
	b.board.noteRecords(agents)
	b.recordsWanted = false
	b.recordsPause = min(max(2*b.recordsPause, firstRecordsPause), mostRecordsPause)
	if b.knowsAll(now) {
		b.recordsPause = 0
	}
	b.recordsAgain = now.Add(b.nextRecordsPause(now))
	b.board.grown = true
}

// nextRecordsPause returns the pause before the records may be read again. In a balancer's first seconds, after an
// outage perhaps, agents withdraw those of back ends that have not come back, and many callers wait.
func (b *Balancer) nextRecordsPause(now time.Time) time.Duration {
	if now.Sub(b.started) < DiscoveryTime {
		return youngRecordsPause
	}
	return max(b.recordsPause, firstRecordsPause)
}

// RecordsDue says whether Record is to be called soon: a flow may be gone, and only which
// agents there are can tell. Where the records do not help, since one of them is of an agent
// that cannot be heard, they are read more and more seldom.
func (b *Balancer) RecordsDue(now time.Time) bool {
	return b.recordsWanted && !now.Before(b.recordsAgain)
}

// knowsAll says whether the balancer hears every agent that may hold flows: those that have
// recorded themselves, and those that it has heard itself. Agents that were started while
// the records could not be read or written tell it within DiscoveryTime.
func (b *Balancer) knowsAll(now time.Time) bool {
	fresh := !b.recordedAt.IsZero() && now.Sub(b.recordedAt) <= recordsLifetime
	return fresh && b.board.hearsAll(now, b.recorded, b.recordedAt)
}

// hint asks other balancers which agent holds a flow: it may be one that is not known here.
func (b *Balancer) hint(now time.Time, known *balancedFlow) {
	known.finding.hinted = true
	for _, other := range b.neighbors.nearest(now) {
		b.act(Send{To: other, Message: Locate{Key: known.key, Confirms: known.confirms}})
	}
}

// searchNewAgents searches anew for the flows that wait for agents which are not known yet.
func (b *Balancer) searchNewAgents(now time.Time) {
	if b.board.grown || b.board.changed {
		b.newsAt = now
		b.board.changed = false
	}
	if !b.board.grown {
		return
	}
	b.board.grown = false
	for _, known := range b.waitingBy(func(known *balancedFlow) bool { return known.finding != nil && known.finding.under == nil }) {
		b.settle(known)
		b.queueFinding(now, known)
	}
}

// giveUpFinding drops what has waited and leaves the flow alone for a while.
func (b *Balancer) giveUpFinding(now time.Time, known *balancedFlow) {
	known.findPause = min(max(2*known.findPause, firstFindPause), mostFindPause)
	if f := known.finding; !f.undecided && len(f.perhaps) > 0 && !b.young(now) {
		known.findPause = mostFindPause // all have answered, and tries take their time; but agents that have just started know more soon
	}
	known.findAgain = now.Add(known.findPause)
	known.leftAt = now
	b.act(Decision{Event: EventLost, Key: known.key, Attempts: len(known.finding.asked), Reason: reasonUnheard, Age: known.findPause})
	b.endFinding(known)
}

// stopSearching lets another search run in the place of the flow's.
func (b *Balancer) stopSearching(known *balancedFlow) {
	b.settle(known)
	if known.finding.running {
		known.finding.running = false
		b.findings--
	}
}

// endFinding ends the search for a flow, found or not.
func (b *Balancer) endFinding(known *balancedFlow) {
	if known.finding == nil {
		return
	}
	b.stopSearching(known)
	known.questions++ // one may be under way
	known.finding = nil
	known.buffered = nil
}

// lose ends a flow that is known to be gone: the caller is told at once, and again
// whenever it sends on.
func (b *Balancer) lose(now time.Time, known *balancedFlow, reason string) {
	attempts := 0
	if known.finding != nil {
		attempts = len(known.finding.asked)
	}
	b.endFinding(known)
	known.gone = true
	known.resetAt = now
	b.act(Decision{Event: EventLost, Key: known.key, Attempts: attempts, Reason: reason})
	b.act(ResetCaller{Key: known.key, Confirms: known.latest})
}
