// This file keeps what the agent knows of earlier configurations of its services: since when the
// list of back ends is unchanged, and which back ends came first in the candidate order of a bucket.
// The former lets searches go on at a newer revision, the latter shortens them.

package flow

import (
	"slices"

	"github.com/burlmill/burlmill/catalog"
)

// maxEarlierFirsts is the number of earlier first back ends that are kept for a bucket, which bounds
// the memory. Flows of earlier ones are found in candidate order.
const maxEarlierFirsts = 4

// serviceHistory is the history of a service with a back end behind this agent.
type serviceHistory struct {
	// backendsSince is the revision since which the list of back ends is known to be unchanged. While
	// it is, all agents have the same arbiter for a flow, whatever else changes.
	backendsSince catalog.Revision
	// earlierFirsts holds, for each bucket, the back ends that came first before, the latest one
	// first. A flow is usually admitted by the first back end of its time, so a search that passes
	// them before the others finds most flows that a change has moved at its first step.
	earlierFirsts map[Bucket][]backendIdentity
}

// updateHistories updates the histories from the current configuration to the next one.
func (d *Decider) updateHistories(next *catalog.Snapshot) {
	updated := map[catalog.ServiceName]*serviceHistory{}
	consecutive := next.Revision() == d.snapshot.Revision()+1
	for _, service := range next.Services() {
		if backendsBehind(service, d.self) == 0 {
			continue
		}
		history, previous := d.histories[service.Name], d.snapshot.Service(service.Name)
		if history == nil || previous == nil {
			history = &serviceHistory{backendsSince: service.Revision, earlierFirsts: map[Bucket][]backendIdentity{}}
		} else if service.Revision != previous.Revision {
			history.update(previous, service, consecutive)
		}
		updated[service.Name] = history
	}
	d.histories = updated
}

// update records a change of the service. The list of back ends counts as changed if the two
// revisions are not consecutive, since one between them may have changed it.
func (h *serviceHistory) update(previous, next *catalog.Service, consecutive bool) {
	if !consecutive || !sameBackends(previous, next) {
		h.backendsSince = next.Revision
	}
	for number := range BucketCount {
		bucket := Bucket(number)
		if earlier, current := firstBackend(previous, bucket), firstBackend(next, bucket); earlier != current {
			h.addEarlierFirst(bucket, earlier, current)
		}
	}
}

func (h *serviceHistory) addEarlierFirst(bucket Bucket, earlier, current backendIdentity) {
	kept := slices.DeleteFunc(h.earlierFirsts[bucket], func(identity backendIdentity) bool {
		return identity == earlier || identity == current
	})
	kept = slices.Insert(kept, 0, earlier)
	h.earlierFirsts[bucket] = kept[:min(len(kept), maxEarlierFirsts)]
}

// sameBackends reports whether two service objects have the same back ends at the same agents and
// indexes.
func sameBackends(first, second *catalog.Service) bool {
	return slices.EqualFunc(first.Backends, second.Backends, func(a, b catalog.Backend) bool {
		return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Agent == b.Agent
	})
}

// firstBackend returns the first back end of the candidate order of a bucket, the zero identity if
// the service has no back end.
func firstBackend(service *catalog.Service, bucket Bucket) backendIdentity {
	if len(service.Backends) == 0 {
		return backendIdentity{}
	}
	owner := siteOf(service.Shares, bucket)
	first := rankBackend(service, 0, owner, bucket)
	for index := 1; index < len(service.Backends); index++ {
		if ranked := rankBackend(service, index, owner, bucket); ranked.compare(first) < 0 {
			first = ranked
		}
	}
	return identityOf(service, &service.Backends[first.index])
}

// update continues a search that began at an older revision. It restarts the search if the list of
// back ends may have changed since. Otherwise it keeps the back ends that were passed; a choice or a
// refusal is valid at its own revision only, so the arbiter, which remembers its choice, is asked
// again.
func (s *search) update() {
	passed := s.route.Visited
	history := s.decider.histories[s.service.Name]
	unchanged := history != nil && s.route.Revision >= history.backendsSince
	s.restart()
	if unchanged {
		s.route.Visited = passed
	}
}

// searchOrder returns the order in which the back ends are searched, which does not affect the
// result: the earlier first ones and then the candidate order, which contains them too.
func (s *search) searchOrder() []int {
	order := s.candidateOrder()
	history := s.decider.histories[s.service.Name]
	if history == nil {
		return order
	}
	var earlier []int
	for _, identity := range history.earlierFirsts[s.key.Bucket()] {
		if index := indexOf(s.service, identity); index != NoBackend {
			earlier = append(earlier, index)
		}
	}
	if len(earlier) == 0 {
		return order
	}
	return append(earlier, order...)
}
