package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Times between probes of members with whom nothing is exchanged.
const (
	isolatedProbeInterval = HeartbeatInterval // while this member hears nobody
	fleetProbeInterval    = 5 * time.Second   // of all members together
	maximumProbeInterval  = 10 * time.Minute  // of one member
)

// NextProbe returns a member to send one exchange to, nil if none is due. Probes
// join what was split: a member that hears nobody tries those it believes alive,
// and otherwise all members together try, at a low rate that does not depend on
// their number, those that were declared dead or whose region cannot be reached.
func (m *Machine) NextProbe(now time.Time, random *rand.Rand) *Member {
	if now.Before(m.nextProbe) {
		return nil
	}
	isolated := m.isolated(now)
	interval := isolatedProbeInterval
	if !isolated {
		interval = min(fleetProbeInterval*time.Duration(max(m.table.Live(), 1)), maximumProbeInterval)
	}
	first := m.nextProbe.IsZero()
	m.nextProbe = now.Add(interval/2 + time.Duration(random.Int64N(int64(interval))))
	candidates := m.probeCandidates(isolated)
	if first || len(candidates) == 0 {
		return nil
	}
	return candidates[random.IntN(len(candidates))]
}

func (m *Machine) probeCandidates(isolated bool) []*Member {
	var candidates []*Member
	for _, held := range m.table.members {
		member := held.member
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
