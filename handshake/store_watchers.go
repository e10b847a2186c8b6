// This file decides whether and how a balancer watches the store for the configuration. A few
// balancers, the store watchers, always do; others take over after a delay if too few are
// confirmed.

package handshake

import (
	"time"

	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// The store watchers are few, so that the load of the store does not grow with the fleet; the other
// balancers get the configuration from them. CurrentWatchers of them request current data. The rest
// make cheaper requests that allow stale answers, and take over if the store refuses the first
// ones.
//
// Stale answers have no maximum age, so only answers to requests for current data count as
// confirmations. Confirmations propagate between balancers and are valid for ConfirmationTTL. A
// store watcher that the store serves requests current data while fewer than CurrentWatchers of
// those before it in the order are confirmed. If one of these fails, a configuration change is
// delayed at most by the time until the failure is detected or a request times out. Each balancer
// decides for itself from the confirmations that it has received, so the number of balancers that
// request current data may briefly differ from CurrentWatchers.

// Numbers of store watchers, and times of their requests.
const (
	CurrentWatchers = 2               // balancers that request current data; one may fail
	StoreWatchers   = 8               // first balancers of the order, which always watch the store
	ConfirmationTTL = 2 * time.Second // validity of a confirmation
	// storeFallbackInterval is the average time between two requests of all other balancers
	// together while fewer than CurrentWatchers balancers are confirmed. If the store serves only
	// one of 24 balancers, that one sends a request within 2.2 s; with 250 ms it took up to 9 s.
	storeFallbackInterval = 60 * time.Millisecond
	// unfetchedDelay is the average delay before a balancer that is not a store watcher requests
	// a configuration that it could not fetch from a peer. It spreads the requests of a fleet: if
	// the only holder of a configuration fails, all other balancers request it.
	unfetchedDelay = 400 * time.Millisecond
)

// WatchMode is how a balancer watches the store.
type WatchMode uint8

// Watch modes, in order of increasing cost.
const (
	WatchNone    WatchMode = iota // does not watch; other balancers do
	WatchLatest                   // allows stale answers
	WatchCurrent                  // requires current data
)

// String returns the name used in logs.
func (m WatchMode) String() string {
	return [...]string{"nothing", "latest", "current"}[m]
}

// WatchPolicy determines whether and how a balancer watches the store.
type WatchPolicy struct {
	Mode WatchMode
	// Delay is the average delay before the next request. It is 0 for the first StoreWatchers
	// balancers of the order. Other balancers watch if too few balancers are confirmed, or if they
	// could not fetch a newer configuration. In the first case the delay is proportional to the
	// number of balancers, and 0 for a balancer that the store serves.
	Delay time.Duration
	// OthersCurrent is set if at least CurrentWatchers other balancers are confirmed, so that this
	// one need not request current data if the store refuses it.
	OthersCurrent bool
}

// StoreState is what a balancer knows of the configuration and of its own access to the store.
type StoreState struct {
	Version routing.Version // of the configuration in force; 0: none
	Served  bool            // recently answered by the store, and not refused since
	// FetchFailed is set if another process has a newer configuration that could not be fetched
	// from it.
	FetchFailed bool
}

// WatchPolicy decides whether and how this balancer watches the store. Balancers have an order that
// is the same at all processes (see watcherRank). The first StoreWatchers always watch, and the
// first CurrentWatchers of those that the store serves request current data. While fewer than
// CurrentWatchers balancers are confirmed, the others watch too, after a delay, and those that the
// store serves take over.
func (p *Peers) WatchPolicy(now time.Time, state StoreState) WatchPolicy {
	own := watcherRank{p.zoneLeader, presence.Point(p.self)}
	ahead, confirmedAhead, confirmed, others := 0, 0, 0, 0
	for address, peer := range p.peers {
		if peer.status.Role != presence.RoleBalancer || peer.status.ShuttingDown || !peer.reachable(now) {
			continue
		}
		others++
		isAhead := peer.rank().compare(own) > 0
		if isAhead {
			ahead++
		}
		if p.isConfirmed(now, address) {
			confirmed++
			if isAhead {
				confirmedAhead++
			}
		}
	}
	policy := WatchPolicy{OthersCurrent: confirmed >= CurrentWatchers}
	switch {
	case state.Version == 0 && ahead < StoreWatchers:
		policy.Mode = WatchCurrent // it cannot forward without a configuration
	case state.FetchFailed:
		policy.Mode = WatchCurrent // it cannot get the configuration from other balancers
		if ahead >= StoreWatchers {
			policy.Delay = unfetchedDelay
		}
	case ahead < StoreWatchers && !state.Served && policy.OthersCurrent:
		policy.Mode = WatchLatest // a cheap check whether the store serves this balancer again
	case confirmedAhead < CurrentWatchers && (ahead < CurrentWatchers || state.Served):
		policy.Mode = WatchCurrent
	case ahead < StoreWatchers:
		policy.Mode = WatchLatest
	case confirmed < CurrentWatchers:
		policy.Mode = WatchLatest
		policy.Delay = time.Duration(others) * storeFallbackInterval
	}
	return policy
}
