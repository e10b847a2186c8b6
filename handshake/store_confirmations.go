// This file tracks confirmations: which balancers have recently received current data from the
// store. Statuses propagate them, so that the whole fleet soon detects that no balancer gets
// current data any more.

package handshake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// maxConfirmations bounds the confirmations in a status. It is enough for CurrentWatchers balancers
// and some that they have replaced.
const maxConfirmations = 4

// Confirmation is the result of a balancer's latest request to the store for current data.
type Confirmation struct {
	Watcher netip.AddrPort
	Age     time.Duration // since the answer or the refusal
	Served  bool          // false: the store refused the request
}

// storeResult is the latest known result of a balancer's requests for current data.
type storeResult struct {
	answeredAt time.Time // answer or refusal
	served     bool
}

// RecordStoreResult records the result of this process's own request for current data.
func (p *Peers) RecordStoreResult(now time.Time, served bool) {
	p.confirmations[p.self] = storeResult{now, served}
}

// Confirmations returns the confirmations to include in a status, none older than ConfirmationTTL:
// successful ones first, then by age.
func (p *Peers) Confirmations(now time.Time) []Confirmation {
	var list []Confirmation
	for watcher, latest := range p.confirmations {
		age := now.Sub(latest.answeredAt)
		if age > ConfirmationTTL {
			delete(p.confirmations, watcher)
			continue
		}
		list = append(list, Confirmation{Watcher: watcher, Age: age, Served: latest.served})
	}
	slices.SortFunc(list, func(a, b Confirmation) int {
		return cmp.Or(
			compareBools(b.Served, a.Served),
			cmp.Compare(a.Age, b.Age),
			a.Watcher.Compare(b.Watcher),
		)
	})
	return list[:min(len(list), maxConfirmations)]
}

// mergeConfirmations merges confirmations received from another process. The later result of each
// balancer is kept; results of this process are ignored.
func (p *Peers) mergeConfirmations(now time.Time, list []Confirmation) {
	for _, received := range list {
		at := now.Add(-received.Age)
		if received.Watcher != p.self && at.After(p.confirmations[received.Watcher].answeredAt) {
			p.confirmations[received.Watcher] = storeResult{at, received.Served}
		}
	}
}

// isConfirmed reports whether the latest known result of the balancer is an answer with current
// data within ConfirmationTTL.
func (p *Peers) isConfirmed(now time.Time, watcher netip.AddrPort) bool {
	latest, known := p.confirmations[watcher]
	return known && latest.served && now.Sub(latest.answeredAt) <= ConfirmationTTL
}
