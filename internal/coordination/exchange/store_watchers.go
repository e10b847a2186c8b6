package exchange

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/membership"
)

// StoreWatchers returns the IDs of the store watchers of a region: up to count balancers with the
// highest hashes, or agents if the region has no balancer. A count below 1 is treated as 1. The
// hash depends only on the region and the ID, so all processes with the same members get the same
// result.
func StoreWatchers(members []*membership.Member, region string, count int) []string {
	candidates := idsWithRole(members, region, membership.Balancer)
	if len(candidates) == 0 {
		candidates = idsWithRole(members, region, membership.Agent)
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(watcherRank(region, b), watcherRank(region, a)), cmp.Compare(a, b))
	})
	return candidates[:min(max(count, 1), len(candidates))]
}

// idsWithRole returns the IDs of the members of a region with the role.
func idsWithRole(members []*membership.Member, region string, role membership.Role) []string {
	var ids []string
	for _, member := range members {
		if member.Region == region && member.Role == role {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func watcherRank(region, id string) uint64 { return xxhash.Sum64String(region + "/" + id) }
