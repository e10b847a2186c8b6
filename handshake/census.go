package handshake

import (
	"net/netip"
	"slices"
	"time"
)

// Censuses: questions that name more than a few agents are answered together. All
// balancers of a zone put them to the same agent, which asks each agent at most once in
// censusInterval what flows it knows, whatever the number of questions.

// Bounds of censuses.
const (
	// mostAskedSingly is how many agents a question may name that are asked about its flow alone:
	// the candidates of a flow of a route with two services.
	mostAskedSingly = 2 * (candidatesNear + candidatesFar)
	// censusInterval is the time between two censuses of an agent: a caller whose flow is gone is told in a
	// tenth of a second, and what it costs does not depend on how many ask. (A guess.)
	censusInterval = 50 * time.Millisecond
	// mostInCensus is how many agents one census asks: some 10 kB at one moment. Where there are more, the
	// questions about the others wait for the next one.
	mostInCensus = 256
)

// startCensus begins a census for the questions that wait for one, unless the latest began too lately.
func (a *Agent) startCensus(now time.Time) {
	if now.Before(a.nextCensus) {
		return
	}
	asked := a.joinCensus()
	if len(asked) == 0 {
		return
	}
	a.nextCensus = now.Add(censusInterval)
	for _, agent := range asked {
		a.act(Send{To: agent, Message: Summarize{Census: a.census}})
	}
	a.act(Decision{Event: EventCensus, Service: a.options.Service, Attempts: len(asked)})
}

// joinCensus lets the questions that wait join a new census, as many as it bears. It returns the agents that they name.
func (a *Agent) joinCensus() []netip.AddrPort {
	var asked []netip.AddrPort
	named := map[netip.AddrPort]bool{}
	a.census = max(a.census+1, 1)
	for _, one := range a.searches {
		if !one.collected || one.census != 0 || len(named)+len(one.waiting) > mostInCensus {
			continue
		}
		one.census = a.census
		for _, agent := range one.waiting {
			if !named[agent] {
				named[agent] = true
				asked = append(asked, agent)
			}
		}
	}
	return asked
}

// Digested handles another agent's answer to a census. Only answers to the census that a question
// joined count for it: an earlier one may be older than its flow.
func (a *Agent) Digested(from netip.AddrPort, answer Digest) []Action {
	known := filter(answer.Filter)
	for _, one := range slices.Clone(a.searches) {
		if one.census == 0 || one.census != answer.Census || !one.waitsFor(from) {
			continue
		}
		switch {
		case known.has(one.hash):
			one.exact = append(one.exact, from)
			a.act(Send{To: from, Message: Locate{Key: one.key, Confirms: one.confirms}})
			continue
		case answer.MayHold:
			one.perhaps = append(one.perhaps, from)
		}
		a.noteAnswer(one, from)
	}
	return a.take()
}

// waitsFor says whether the search waits for the agent's digest.
func (s *search) waitsFor(agent netip.AddrPort) bool {
	return slices.Contains(s.waiting, agent) && !slices.Contains(s.exact, agent)
}

// counts says whether the agent's answer about the search's flow alone is waited for.
func (s *search) counts(agent netip.AddrPort) bool {
	if s.collected {
		return slices.Contains(s.exact, agent)
	}
	return slices.Contains(s.waiting, agent)
}
