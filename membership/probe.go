// This file selects dead or unreachable members to probe, so that partitions rejoin, and limits the
// rate of probes. An isolated member probes any member that has not left.

package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Mean intervals between probes.
const (
	isolatedProbeInterval = HeartbeatInterval // for an isolated member
	fleetProbeInterval    = 5 * time.Second   // for all members together
	maxProbeInterval      = 10 * time.Minute  // limit for a single member
)

// NextProbe returns a member to probe with one exchange, or nil if no probe is due. Probes
// let partitions rejoin. An isolated member probes any other member that has not left. Other
// members probe those that are dead or in an unreachable region, at a mean interval that grows
// with the number of live members, up to maxProbeInterval. The first call only schedules the
// next probe.
func (m *Machine) NextProbe(now time.Time, random *rand.Rand) *Member {
	if now.Before(m.nextProbeAt) {
		return nil
	}
	isolated := m.isolated(now)
	interval := isolatedProbeInterval
	if !isolated {
		interval = min(fleetProbeInterval*time.Duration(max(m.table.LiveCount(), 1)), maxProbeInterval)
	}
	first := m.nextProbeAt.IsZero()
	m.nextProbeAt = now.Add(interval/2 + time.Duration(random.Int64N(int64(interval))))
	candidates := m.probeCandidates(isolated)
	if first || len(candidates) == 0 {
		return nil
	}
	return candidates[random.IntN(len(candidates))]
}

func (m *Machine) probeCandidates(isolated bool) []*Member {
	var candidates []*Member
	for _, candidate := range m.table.members {
		member := candidate.member
		if member.ID == m.self.ID || member.Status == Left {
			continue
		}
		if isolated || member.Status == Dead || !m.regionReachable(member.Region) {
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	return candidates
}
