// Package evacuation tracks which zones operators have evacuated; an evacuated zone receives
// no new flows. The platform's store holds one object per evacuated zone: an evacuation is in
// effect from the time the store accepts the object until the object is removed. A Set is the
// state of the store at one revision. A View is the state known to one process, from its own
// reads and from sets that other processes announce. The package does no I/O and reads no clock.
package evacuation

import (
	"fmt"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// MaxZones is the maximum number of zones in a set. Sets are part of the statuses that
// processes exchange, each of which must fit into a single datagram.
const MaxZones = 64

// Set holds the zones that were evacuated at one revision of the store. It is immutable. The
// zero Set is older than every other set and contains no zone.
type Set struct {
	revision catalog.Revision
	zones    []catalog.ZoneName // sorted, each once
}

// New returns the set of zones that were evacuated at the revision. Errors are of kind
// fault.Invalid.
func New(revision catalog.Revision, zones ...catalog.ZoneName) (Set, error) {
	sorted := slices.Compact(slices.Sorted(slices.Values(zones)))
	if len(sorted) > MaxZones {
		return Set{}, fault.InvalidField("evacuated zones", len(sorted), fmt.Sprintf("must be at most %d", MaxZones))
	}
	if len(sorted) > 0 && sorted[0] == "" {
		return Set{}, fault.InvalidField("evacuated zone", sorted[0], "must be given")
	}
	return Set{revision: revision, zones: sorted}, nil
}

// Revision returns the store revision at which the set was current.
func (s Set) Revision() catalog.Revision { return s.revision }

// Zones returns the zones sorted by name. The caller must not modify the slice.
func (s Set) Zones() []catalog.ZoneName { return s.zones }

// Contains reports whether the zone is evacuated.
func (s Set) Contains(zone catalog.ZoneName) bool {
	_, found := slices.BinarySearch(s.zones, zone)
	return found
}

// Change is the start or the end of one evacuation.
type Change struct {
	Zone  catalog.ZoneName
	Ended bool
}

// Changes holds the evacuation changes that the store reported after a revision, oldest first.
type Changes struct {
	List []Change
	UpTo catalog.Revision // revision up to which List is complete
}

// With returns the set with the changes applied. Changes up to the set's own revision or an
// earlier one are outdated and leave the set as it is. Errors are of kind fault.Invalid.
func (s Set) With(changes Changes) (Set, error) {
	if changes.UpTo <= s.revision {
		return s, nil
	}
	zones := slices.Clone(s.zones)
	for _, change := range changes.List {
		zones = slices.DeleteFunc(zones, func(zone catalog.ZoneName) bool { return zone == change.Zone })
		if !change.Ended {
			zones = append(zones, change.Zone)
		}
	}
	return New(changes.UpTo, zones...)
}

// View is the newest evacuation state known to one process. The zero View has no evacuated zone.
type View struct {
	set Set // newest set received
	// zonesSeen is true once a set with a zone has been received, even an outdated one. Another
	// process may still use such a set, so the current set has to be announced.
	zonesSeen bool
	changedAt time.Time // when the zones last changed; zero: never
}

// Update applies a set that was read from the store or received from another process, and
// reports whether the evacuated zones changed. A set with a newer revision replaces the
// current one; the evacuation of a zone that it lacks has ended.
func (v *View) Update(now time.Time, set Set) (changed bool) {
	v.zonesSeen = v.zonesSeen || len(set.zones) > 0
	if set.revision <= v.set.revision {
		return false
	}
	changed = !slices.Equal(set.zones, v.set.zones)
	v.set = set
	if changed {
		v.changedAt = now
	}
	return changed
}

// Set returns the newest set received.
func (v *View) Set() Set { return v.set }

// Age returns the time since the evacuated zones last changed, 0 if they never did.
func (v *View) Age(now time.Time) time.Duration {
	if v.changedAt.IsZero() {
		return 0
	}
	return now.Sub(v.changedAt)
}

// Announced returns the set to announce to other processes. It is the zero Set, which takes no
// space in a status, until a set with a zone has been received.
func (v *View) Announced() Set {
	if !v.zonesSeen {
		return Set{}
	}
	return v.set
}
