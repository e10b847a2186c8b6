package handshake

import (
	"slices"
	"time"

	"github.com/burlmill/burlmill/routing"
)

// paceSpan is the span of time in which a cold back end gets no more than its bound of new flows: the
// second for which the bound holds, and a margin for datagrams that reach the back end a little later or sooner
// than others after they were sent (the agent's clock ticks 20 ms apart, and starts its work late by
// as much).
const paceSpan = time.Second + 50*time.Millisecond

// pace bounds the new flows that a back end gets while it is cold. It remembers the time of each
// within the latest span, so that the bound holds in every span, wherever it begins: a bucket of
// tokens with the same bound would let through nearly twice as many around a pause.
type pace struct {
	bound   uint32          // new flows in any span; 0: any number
	version routing.Version // of the configuration that said so
	passed  []time.Time     // of the new flows within the latest span, the earliest first; empty while there is no bound
}

// configure takes in what an offer says of the bound, unless its balancer holds an older configuration.
func (p *pace) configure(offer Offer) {
	if offer.Version >= p.version {
		p.version, p.bound = offer.Version, offer.ColdBound
	}
}

// note notes that a new flow is passed on to the back end.
func (p *pace) note(now time.Time) {
	if p.bound == 0 {
		p.passed = nil
		return
	}
	p.expire(now)
	p.passed = append(p.passed, now)
}

// expire forgets the flows before the latest span.
func (p *pace) expire(now time.Time) {
	past := 0
	for past < len(p.passed) && now.Sub(p.passed[past]) >= paceSpan {
		past++
	}
	p.passed = slices.Delete(p.passed, 0, past)
}

// reached says whether one more flow, beside those that are promised, would be above the bound.
func (p *pace) reached(now time.Time, promised int) bool {
	p.expire(now)
	return len(p.passed)+promised >= int(p.bound)
}
