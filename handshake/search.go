package handshake

import (
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/flow"
)

// Searches: an agent finds out for a balancer which agent holds a flow. Balancers carry
// everybody's datagrams on small machines, while agents are many: so a question to all
// agents costs a balancer one message and one answer, whatever the size of the fleet. Few agents
// are asked about the flow alone; many, about all flows at once (census.go).

// Bounds of searches.
const (
	// MaximumSearched is how many agents one Search names: with 6 bytes for each, the
	// message stays within one packet of a usual network.
	MaximumSearched = 100
	// mostSearches is how many searches an agent runs at once; further ones are answered
	// with nothing found out. (A guess: with 15 balancers that ask 16 at once each, all of
	// them may ask the same agent.)
	mostSearches = 256
)

// search is a question of a balancer that an agent finds the answer to.
type search struct {
	key       flow.Key
	hash      uint64 // of the key
	confirms  uint32
	question  uint32 // the balancer's number of it
	asker     netip.AddrPort
	waiting   []netip.AddrPort // asked, or to be asked, and not answered yet
	perhaps   []netip.AddrPort // that may hold the flow
	collected bool             // it is answered by a census
	census    uint32           // that it has joined; 0: none yet
	exact     []netip.AddrPort // of those in waiting, whose digests seem to have the flow
	deadline  time.Time
}

// Searched begins a search for a balancer.
func (a *Agent) Searched(now time.Time, from netip.AddrPort, question Search) []Action {
	if len(a.searches) >= mostSearches {
		a.act(Send{To: from, Message: Found{Key: question.Key, Unanswered: uint32(len(question.Agents)), Question: question.Question}})
		return a.take()
	}
	begun := &search{key: question.Key, hash: keyHash(question.Key), confirms: question.Confirms, question: question.Question, asker: from,
		waiting: slices.Clone(question.Agents), deadline: now.Add(LocateTime)}
	if question.Datagram != nil {
		begun.waiting, begun.perhaps = a.mayTry(now, question)
	}
	a.searches = append(a.searches, begun)
	if len(begun.waiting) > mostAskedSingly {
		begun.collected = true
		begun.deadline = begun.deadline.Add(censusInterval)
		a.startCensus(now)
		return a.take()
	}
	for _, agent := range begun.waiting {
		a.act(Send{To: agent, Message: question.messageTo()})
	}
	if len(begun.waiting) == 0 {
		a.endSearch(begun, netip.AddrPort{})
	}
	return a.take()
}

// messageTo returns what each of the agents is sent.
func (s Search) messageTo() Message {
	if s.Datagram != nil {
		return Forward{Bytes: s.Datagram}
	}
	return Locate{Key: s.Key, Confirms: s.Confirms}
}

// Located handles another agent's answer to a search's question.
func (a *Agent) Located(from netip.AddrPort, answer Located) []Action {
	for _, found := range a.searchesOf(answer.Key, from) {
		switch answer.Holding {
		case Holds:
			found.waiting = nil
			a.endSearch(found, from)
			continue
		case HoldsPerhaps:
			found.perhaps = append(found.perhaps, from)
		}
		a.noteAnswer(found, from)
	}
	return a.take()
}

// Returned handles a datagram that another agent's back end has given back.
func (a *Agent) Returned(from netip.AddrPort, key flow.Key) []Action {
	for _, found := range a.searchesOf(key, from) {
		a.noteDenied(key, from)
		a.noteAnswer(found, from)
	}
	return a.take()
}

// searchesOf returns the searches for the flow that wait for an answer of the agent.
func (a *Agent) searchesOf(key flow.Key, agent netip.AddrPort) []*search {
	var searches []*search
	for _, one := range a.searches {
		if one.key == key && one.counts(agent) {
			searches = append(searches, one)
		}
	}
	return searches
}

// noteAnswer notes that the agent does not say that it holds the flow.
func (a *Agent) noteAnswer(found *search, agent netip.AddrPort) {
	found.waiting = slices.DeleteFunc(found.waiting, func(one netip.AddrPort) bool { return one == agent })
	if len(found.waiting) == 0 {
		a.endSearch(found, netip.AddrPort{})
	}
}

// endSearch answers the balancer. The holder is zero if none was found.
func (a *Agent) endSearch(ended *search, holder netip.AddrPort) {
	a.searches = slices.DeleteFunc(a.searches, func(one *search) bool { return one == ended })
	a.act(Send{To: ended.asker, Message: Found{Key: ended.key, Agent: holder, Perhaps: ended.perhaps,
		Unanswered: uint32(len(ended.waiting)), Question: ended.question}})
}

// expireSearches ends the searches whose time is over.
func (a *Agent) expireSearches(now time.Time) {
	for _, one := range slices.Clone(a.searches) {
		if !now.Before(one.deadline) {
			a.endSearch(one, netip.AddrPort{})
		}
	}
}
