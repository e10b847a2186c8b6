package flow

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
)

// Liveness tells which agents can be reached at present.
type Liveness interface {
	// Alive says whether the agent with that data address is believed to run.
	// It is true for an agent that nothing is known about.
	Alive(agent netip.AddrPort) bool
}

// Row returns the indexes of all back ends of the service in the order in which
// a flow of the bucket looks for its back end: first the active back ends of the
// site that owns the bucket, then the active ones of other sites, then the
// leaving ones. Within each group the order is a weighted rendezvous hash, so a
// change of one back end moves only the flows it gains or loses.
//
// A row lists every back end. A flow is therefore found after any number of
// changes for as long as its back end stays in the service object.
func Row(service *catalog.Service, bucket Bucket) []int {
	owner := siteOf(service.Shares, bucket)
	ranked := make([]rankedBackend, len(service.Backends))
	for index := range service.Backends {
		backend := &service.Backends[index]
		ranked[index] = rankedBackend{
			index: index,
			group: groupOf(backend, owner),
			score: weightedScore(backend, bucket),
		}
	}
	slices.SortFunc(ranked, rankedBackend.compare)
	row := make([]int, len(ranked))
	for position, backend := range ranked {
		row[position] = backend.index
	}
	return row
}

// rankedBackend is one back end with what decides its place in a row.
type rankedBackend struct {
	index int
	group backendGroup
	score float64 // lower comes first
}

func (r rankedBackend) compare(other rankedBackend) int {
	return cmp.Or(
		cmp.Compare(r.group, other.group),
		cmp.Compare(r.score, other.score),
		cmp.Compare(r.index, other.index),
	)
}

// backendGroup is the coarse place of a back end in a row.
type backendGroup uint8

const (
	groupOwnerSite backendGroup = iota // active, in the site that owns the bucket
	groupOtherSite                     // active, in another site
	groupLeaving                       // keeps old flows only
)

func groupOf(backend *catalog.Backend, owner catalog.SiteName) backendGroup {
	if backend.State == catalog.BackendLeaving {
		return groupLeaving
	}
	if backend.Site == owner {
		return groupOwnerSite
	}
	return groupOtherSite
}

// siteOf returns the site that owns the bucket. Sites own consecutive ranges of
// buckets in order of name, so with two sites a change of the split from a to b
// percent moves |b-a| percent of the buckets and no others.
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

// weightedScore is an exponential variate with the back end's weight as its
// rate: the smallest of several belongs to each with a chance in proportion to
// its weight.
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

// arbiterOf returns the index of the back end whose agent decides where a new
// flow goes, NoBackend if no agent is alive. It ignores weights, sites and
// states, so that of all configuration changes only a change of the list of
// back ends can move it.
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

// agentSet returns the back ends that stand behind one agent.
func agentSet(service *catalog.Service, agent netip.AddrPort) BackendSet {
	var set BackendSet
	for index := range service.Backends {
		if service.Backends[index].Agent == agent {
			set = set.With(index)
		}
	}
	return set
}

// nextUnvisited returns the first live back end of the row that is not in the
// set, NoBackend if there is none.
func nextUnvisited(service *catalog.Service, row []int, liveness Liveness, visited BackendSet) int {
	for _, index := range row {
		if !visited.Has(index) && liveness.Alive(service.Backends[index].Agent) {
			return index
		}
	}
	return NoBackend
}

// rowCache keeps the rows of one service object, each made when first asked for.
type rowCache struct {
	service *catalog.Service
	rows    [BucketCount][]int
}

func (c *rowCache) row(bucket Bucket) []int {
	if c.rows[bucket] == nil {
		c.rows[bucket] = Row(c.service, bucket)
	}
	return c.rows[bucket]
}
