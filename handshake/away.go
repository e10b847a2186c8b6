package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Agents that are away: a caller with a flow at a machine without power, frozen or cut off sends
// its request again until its deadline. Once its agent is known to be away, a caller whose request may be
// repeated is reset, so that it is answered elsewhere in time. A flow whose agent runs, however
// slowly, or stops on purpose, is never reset for this: docs/design/callers.md says what proves that an agent is away.

// Times and bounds of the sign that an agent is away.
const (
	AwayTime      = 800 * time.Millisecond // silence of an agent, at least, until it is away: above the half second that a choked link delays answers by
	awayRounds    = 4                      // questions in a row that it has not answered, and its witness has (a guess: where one datagram in ten is lost, four answers are once in 800 rows, and all statuses of AwayTime besides)
	askInterval   = 150 * time.Millisecond // between two questions: half of AwayTime and more for the four, many round trips between zones each
	awayInterval  = 300 * time.Millisecond // the same once the agent is away, to notice that the way to its zone has failed
	witnessTime   = 500 * time.Millisecond // for the witness to answer; then the rounds are counted anew with another
	askedTime     = 5 * time.Second        // after which an agent is asked no more that no caller has waited for (a guess: the longest pause of a caller is 1.6 s)
	maximumSilent = 24                     // agents that are asked at once: 320 datagrams a second at most (a guess)
	quietTime     = 500 * time.Millisecond // silence of all agents after which this balancer may have missed what they say (a guess: two and a half of the shortest intervals)
	carryPause    = 30 * time.Second       // after which an agent counts as not used before: half of CarrierTime
	brokenOffSpan = 300 * time.Millisecond // before an agent's last sign: what callers sent since then may be unanswered (a guess: a request's work, and its ways)
)

// silentAgent is an agent that may be away, and is asked whether it runs.
type silentAgent struct {
	address  netip.AddrPort
	key      flow.Key       // of a flow that it holds: the question is who holds it
	confirms uint32         // what the flow's caller confirmed: an agent that runs says that it holds it
	begun    time.Time      // of the first question
	sentAt   time.Time      // of the question under way, or when there was no witness
	witness  netip.AddrPort // that was asked the same; zero: nobody was
	heard    bool           // the witness has answered it
	missed   int            // rounds in a row that only the witness answered
	wanted   time.Time      // when a caller last waited for the agent
	away     bool
}

// awayReason is the reason of resets of flows whose agent is away.
const awayReason = "agent-away"

// suspectAway begins to ask an agent whether it runs: a caller has sent again what the agent was
// sent before, and the agent has said nothing of late.
func (b *Balancer) suspectAway(now time.Time, known *balancedFlow) {
	agent := b.board.agents[known.agent]
	if agent == nil || now.Sub(agent.alive) < askInterval || !b.wouldSayThatItLeaves(now, agent) {
		return
	}
	if silent := b.silentAgent(known.agent); silent != nil {
		silent.wanted = now
		return
	}
	if len(b.silent) >= maximumSilent {
		return
	}
	silent := &silentAgent{address: known.agent, key: known.key, confirms: known.latest, begun: now, wanted: now}
	b.silent = append(b.silent, silent)
	b.askWhetherAway(now, silent)
}

// silentAgent returns the agent's entry among those that are asked, nil if it is not.
func (b *Balancer) silentAgent(address netip.AddrPort) *silentAgent {
	for _, silent := range b.silent {
		if silent.address == address {
			return silent
		}
	}
	return nil
}

// askWhetherAway sends the next question to the agent and a witness. Without a witness it waits for witnessTime.
func (b *Balancer) askWhetherAway(now time.Time, silent *silentAgent) {
	witness := b.witness(now, silent)
	if witness == nil {
		b.startAnew(now, silent)
		silent.sentAt = now
		return
	}
	silent.sentAt, silent.witness, silent.heard = now, witness.address, false
	question := Locate{Key: silent.key, Confirms: silent.confirms}
	b.act(Send{To: silent.address, Message: question})
	b.act(Send{To: witness.address, Message: question})
}

// startAnew forgets what has been counted.
func (b *Balancer) startAnew(now time.Time, silent *silentAgent) {
	b.endAway(now, silent)
	silent.missed, silent.away = 0, false
	silent.heard, silent.witness = false, netip.AddrPort{}
}

// endAway says that the agent is held for away no more, if it was.
func (b *Balancer) endAway(now time.Time, silent *silentAgent) {
	if silent.away {
		b.act(Decision{Event: EventBack, Key: silent.key, Peer: silent.address, Attempts: silent.missed, Age: now.Sub(silent.begun)})
	}
}

// witness returns the agent of the same zone that was heard last, nil if none is heard. The one that
// has answered stays.
func (b *Balancer) witness(now time.Time, silent *silentAgent) *agentState {
	agent := b.board.agents[silent.address]
	if agent == nil {
		return nil
	}
	if before := b.board.agents[silent.witness]; before != nil && silent.heard && !before.status.Leaving {
		return before
	}
	var best *agentState
	for _, other := range b.board.order {
		fits := other.status.Zone == agent.status.Zone && !other.status.Leaving && other.address != silent.address &&
			other.address != silent.witness && b.silentAgent(other.address) == nil
		if fits && now.Sub(other.alive) <= other.freshTime() && (best == nil || other.alive.After(best.alive)) {
			best = other
		}
	}
	return best
}

// witnessed notes the answer of a witness.
func (b *Balancer) witnessed(from netip.AddrPort, answer Located) {
	for _, silent := range b.silent {
		if silent.witness == from && silent.key == answer.Key {
			silent.heard = true
		}
	}
}

// watchSilent looks at the agents that are asked whether they run.
func (b *Balancer) watchSilent(now time.Time) {
	b.noteDisturbance(now)
	b.silent = slices.DeleteFunc(b.silent, func(silent *silentAgent) bool {
		over := !b.isSilent(now, silent)
		if over {
			b.endAway(now, silent)
		}
		return over
	})
	for _, silent := range b.silent {
		b.watch(now, silent)
	}
}

// isSilent says whether the agent is still to be asked.
func (b *Balancer) isSilent(now time.Time, silent *silentAgent) bool {
	agent := b.board.agents[silent.address]
	switch {
	case agent == nil || !b.wouldSayThatItLeaves(now, agent) || now.Sub(silent.wanted) > askedTime:
		return false
	default:
		return !agent.alive.After(silent.begun)
	}
}

// wouldSayThatItLeaves says whether this balancer would know if the agent were stopping: it has been used from here before its
// last sign, so that it tells this balancer (Contacts.Leave), it has not said so, and nothing kept this balancer from hearing it.
func (b *Balancer) wouldSayThatItLeaves(now time.Time, agent *agentState) bool {
	used := !agent.carriedFirst.IsZero() && agent.alive.After(agent.carriedFirst)
	disturbed := agent.alive.Before(b.disturbed) || now.Sub(b.lastTick) > CopyTime
	return used && !agent.status.Leaving && !disturbed
}

// noteCarried notes that the agent is sent a caller's datagram.
func (a *agentState) noteCarried(now time.Time) {
	if now.Sub(a.carriedLast) > carryPause {
		a.carriedFirst = now
	}
	a.carriedLast = now
}

// noteAlive takes in that an agent has said something.
func (b *Balancer) noteAlive(now time.Time, from netip.AddrPort) {
	if agent := b.board.agents[from]; agent != nil {
		agent.alive = now
		b.lastHeard = now
	}
}

// watch counts the question under way and sends the next one.
func (b *Balancer) watch(now time.Time, silent *silentAgent) {
	interval := askInterval
	if silent.away {
		interval = awayInterval
	}
	switch {
	case silent.heard && now.Sub(silent.sentAt) >= interval:
		silent.missed++
		b.findAway(now, silent)
		b.askWhetherAway(now, silent)
	case now.Sub(silent.sentAt) >= witnessTime:
		witness := silent.witness
		b.startAnew(now, silent)
		silent.witness = witness // another one is asked next
		b.askWhetherAway(now, silent)
	}
}

// findAway finds the agent away once it has been silent for long enough, and breaks off the flows whose
// callers wait for it.
func (b *Balancer) findAway(now time.Time, silent *silentAgent) {
	agent := b.board.agents[silent.address]
	silence := now.Sub(agent.alive)
	if silent.away || silent.missed < awayRounds || silence < AwayTime {
		return
	}
	silent.away = true
	b.act(Decision{Event: EventAway, Key: silent.key, Service: agent.status.Service, Peer: silent.address, Attempts: silent.missed, Age: silence})
	for _, known := range b.waitingFor(agent) {
		b.breakOff(now, known, silent)
	}
}

// waitingFor returns the flows of the agent whose callers may wait for an answer, in a fixed order.
func (b *Balancer) waitingFor(agent *agentState) []*balancedFlow {
	since := agent.alive.Add(-brokenOffSpan)
	var found []*balancedFlow
	for _, known := range b.flows {
		if known.agent == agent.address && !known.finished && known.seen.After(since) && b.mayRepeat(known) {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(x, y *balancedFlow) int {
		return cmp.Or(x.key.Caller.Compare(y.key.Caller), x.key.Service.Compare(y.key.Service))
	})
	return found
}

// mayRepeat says whether the flow's requests may be tried elsewhere.
func (b *Balancer) mayRepeat(known *balancedFlow) bool {
	route := b.route(known)
	return route != nil && route.Requests.MayRepeat()
}

// breaksOff handles a caller's datagram of a flow whose agent may be away. It says whether the
// caller was told, so that the datagram is not sent on. With again, its content has come before.
func (b *Balancer) breaksOff(now time.Time, known *balancedFlow, datagram *Datagram, again bool) bool {
	if datagram.Finish || datagram.Kind == Reset {
		known.finished = true
	}
	if known.finished || !b.mayRepeat(known) {
		return false
	}
	silent := b.silentAgent(known.agent)
	switch {
	case silent != nil && silent.away && b.isSilent(now, silent):
		silent.wanted = now
		b.breakOff(now, known, silent)
		return true
	case again:
		b.suspectAway(now, known)
	}
	return false
}

// breakOff tells the caller that its flow has ended, unless it was told just now. The flow keeps its agent: once that is
// heard again, what the caller sends goes there.
func (b *Balancer) breakOff(now time.Time, known *balancedFlow, silent *silentAgent) {
	if now.Sub(known.resetAt) < resetPause {
		return
	}
	known.resetAt = now
	agent := b.board.agents[silent.address]
	b.act(Decision{Event: EventBrokenOff, Key: known.key, Service: agent.status.Service, Peer: silent.address, Reason: awayReason,
		Version: b.table.Version(), Attempts: silent.missed, Age: now.Sub(agent.alive)})
	b.act(ResetCaller{Key: known.key, Confirms: known.latest, Away: true})
}

// noteDisturbance notes that this balancer stood still, or heard no agent at all: what agents have said meanwhile
// may be lost, that they leave among it.
func (b *Balancer) noteDisturbance(now time.Time) {
	if now.Sub(b.lastHeard) > quietTime || b.resumed.After(b.disturbed) {
		b.disturbed = now
	}
}
