// This file ranks the back ends of a service for a flow: the order in which their agents are
// searched, by site share and weight, and the arbiter that chooses the back end of a new flow. It
// also defines Liveness, selects the next back end of a search, and caches the orders.

package flow

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
)

// Liveness reports which agents are currently reachable.
type Liveness interface {
	// Alive reports whether the agent with the data address is considered alive. An unknown agent
	// is considered alive.
	Alive(agent netip.AddrPort) bool
}

// CandidateOrder returns the candidate order of the bucket: the indexes of all back ends of the
// service in the order in which they are searched for a flow of the bucket. The active back ends of
// the site that owns the bucket come first, then the active ones of other sites, then the draining
// ones. Each group is ordered by weighted rendezvous hashing, so that a change of one back end does
// not change the relative order of the others in their groups.
//
// The order contains every back end, so that a flow can be found after any number of configuration
// changes while its back end remains in the service object.
func CandidateOrder(service *catalog.Service, bucket Bucket) []int {
	owner := siteOf(service.Shares, bucket)
	ranked := make([]rankedBackend, len(service.Backends))
	for index := range service.Backends {
		ranked[index] = rankBackend(service, index, owner, bucket)
	}
	slices.SortFunc(ranked, rankedBackend.compare)
	order := make([]int, len(ranked))
	for position, backend := range ranked {
		order[position] = backend.index
	}
	return order
}

// rankedBackend is a back end with its sort keys for the candidate order.
type rankedBackend struct {
	index int
	group backendGroup
	score float64 // in ascending order
}

func rankBackend(service *catalog.Service, index int, owner catalog.SiteName, bucket Bucket) rankedBackend {
	backend := &service.Backends[index]
	return rankedBackend{index: index, group: groupOf(backend, owner), score: weightedScore(backend, bucket)}
}

func (r rankedBackend) compare(other rankedBackend) int {
	return cmp.Or(
		cmp.Compare(r.group, other.group),
		cmp.Compare(r.score, other.score),
		cmp.Compare(r.index, other.index),
	)
}

// backendGroup is the primary sort key of the candidate order.
type backendGroup uint8

const (
	groupOwnerSite backendGroup = iota // active, in the site that owns the bucket
	groupOtherSite                     // active, in another site
	groupDraining                      // draining: keeps its open flows, admits no new ones
)

func groupOf(backend *catalog.Backend, owner catalog.SiteName) backendGroup {
	if backend.State == catalog.BackendDraining {
		return groupDraining
	}
	if backend.Site == owner {
		return groupOwnerSite
	}
	return groupOtherSite
}

// siteOf returns the site that owns the bucket, "" if there is none. Sites own consecutive ranges
// of buckets in the order of their names. With two sites, a change of one site's share from a to b
// percent therefore moves only |b-a| percent of the buckets.
func siteOf(shares []catalog.SiteShare, bucket Bucket) catalog.SiteName {
	ordered := slices.Clone(shares)
	slices.SortFunc(ordered, func(a, b catalog.SiteShare) int { return cmp.Compare(a.Site, b.Site) })
	coordinate := (float64(bucket) + 0.5) * 100 / BucketCount
	upper := 0.0
	for _, share := range ordered {
		upper += float64(share.Percent)
		if coordinate < upper {
			return share.Site
		}
	}
	return ""
}

// weightedScore returns an exponential variate with the back end's weight as its rate. The
// probability that a back end has the lowest score is proportional to its weight.
func weightedScore(backend *catalog.Backend, bucket Bucket) float64 {
	hash := backendHash(backend.ID, uint64(bucket))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / float64(backend.Weight)
}

func backendHash(id catalog.BackendID, salt uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// arbiterOf returns the index of the back end whose agent chooses the back end of a new flow,
// NoBackend if no agent is alive. It ignores weights, sites and states: only a change of the list
// of back ends or of the liveness of their agents can change the arbiter.
func arbiterOf(service *catalog.Service, liveness Liveness, key Key) int {
	salt := key.Hash()
	best := NoBackend
	var bestHash uint64
	for index := range service.Backends {
		backend := &service.Backends[index]
		if !liveness.Alive(backend.Agent) {
			continue
		}
		hash := backendHash(backend.ID, salt)
		if best == NoBackend || hash > bestHash {
			best, bestHash = index, hash
		}
	}
	return best
}

// backendsBehind returns the set of back ends behind the agent.
func backendsBehind(service *catalog.Service, agent netip.AddrPort) BackendSet {
	var set BackendSet
	for index := range service.Backends {
		if service.Backends[index].Agent == agent {
			set = set.With(index)
		}
	}
	return set
}

// nextUnvisited returns the first back end of the candidate order that is not in the visited set
// and whose agent is alive, NoBackend if there is none.
func nextUnvisited(service *catalog.Service, order []int, liveness Liveness, visited BackendSet) int {
	for _, index := range order {
		if !visited.Has(index) && liveness.Alive(service.Backends[index].Agent) {
			return index
		}
	}
	return NoBackend
}

// orderCache caches the candidate orders of one service object. Each is computed on first use.
type orderCache struct {
	service *catalog.Service
	orders  [BucketCount][]int
}

func (c *orderCache) candidateOrder(bucket Bucket) []int {
	if c.orders[bucket] == nil {
		c.orders[bucket] = CandidateOrder(c.service, bucket)
	}
	return c.orders[bucket]
}
