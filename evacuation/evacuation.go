// Package evacuation says which zones get no new flows because their operators empty
// them. The fact is the operators': it lies in the platform's store, one object for each
// zone, and an evacuation is in force from the moment at which the store has taken it
// until the object is removed. A Set is what the store held at one revision; a View is
// what one process believes, from what it has read itself and from what other processes
// tell. The package is pure: it does no I/O and asks no clock.
package evacuation

import (
	"fmt"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// MaximumZones is how many zones a set holds at most. Sets ride on the statuses that
// processes send each other in single datagrams: 64 names of ten bytes still fit.
const MaximumZones = 64

// Set says which zones were evacuated at one revision of the store. It never changes. The
// zero Set is older than all others and holds no zone.
type Set struct {
	revision catalog.Revision
	zones    []catalog.ZoneName // sorted, each once
}

// New returns the set of zones that the store held at the revision. Errors are of kind
// fault.Invalid.
func New(revision catalog.Revision, zones ...catalog.ZoneName) (Set, error) {
	sorted := slices.Compact(slices.Sorted(slices.Values(zones)))
	if len(sorted) > MaximumZones {
		return Set{}, fault.InvalidField("evacuated zones", len(sorted), fmt.Sprintf("must be at most %d", MaximumZones))
	}
	if len(sorted) > 0 && sorted[0] == "" {
		return Set{}, fault.InvalidField("evacuated zone", sorted[0], "must be given")
	}
	return Set{revision: revision, zones: sorted}, nil
}

// Revision returns the revision of the store that the set is of.
func (s Set) Revision() catalog.Revision { return s.revision }

// Zones returns the zones in order of name. The caller must not change them.
func (s Set) Zones() []catalog.ZoneName { return s.zones }

// Has says whether the zone is evacuated.
func (s Set) Has(zone catalog.ZoneName) bool {
	_, found := slices.BinarySearch(s.zones, zone)
	return found
}

// Change is the beginning or the end of one evacuation.
type Change struct {
	Zone  catalog.ZoneName
	Ended bool
}

// Changes are what the store has told of evacuations after a revision, in the order in which it
// happened.
type Changes struct {
	List []Change
	At   catalog.Revision // up to which all changes are told
}

// With returns the set after the changes. Changes that end before the set's revision
// leave it as it is: an answer that may be old is no news. Errors are of kind fault.Invalid.
func (s Set) With(changes Changes) (Set, error) {
	if changes.At <= s.revision {
		return s, nil
	}
	zones := slices.Clone(s.zones)
	for _, change := range changes.List {
		zones = slices.DeleteFunc(zones, func(zone catalog.ZoneName) bool { return zone == change.Zone })
		if !change.Ended {
			zones = append(zones, change.Zone)
		}
	}
	return New(changes.At, zones...)
}

// View is what one process believes of evacuations. The zero View believes that there is
// none.
type View struct {
	set Set // the newest that was taken in
	// known says that a set with a zone was taken in, or was heard though it was older: some
	// process may still believe it, and has to be told.
	known   bool
	changed time.Time // when the zones changed last; zero: never
}

// Take takes in a set that was read or told, and says whether other zones are evacuated
// now. A newer set counts, also one that lacks a zone of an older one: its evacuation has
// ended.
func (v *View) Take(now time.Time, set Set) (changed bool) {
	v.known = v.known || len(set.zones) > 0
	if set.revision <= v.set.revision {
		return false
	}
	changed = !slices.Equal(set.zones, v.set.zones)
	v.set = set
	if changed {
		v.changed = now
	}
	return changed
}

// Set returns what is believed.
func (v *View) Set() Set { return v.set }

// Age returns how long ago the evacuated zones changed, 0 if they never did.
func (v *View) Age(now time.Time) time.Duration {
	if v.changed.IsZero() {
		return 0
	}
	return now.Sub(v.changed)
}

// Told returns the set that other processes are to be told: the zero Set, which costs
// nothing to tell, until any evacuation is known.
func (v *View) Told() Set {
	if !v.known {
		return Set{}
	}
	return v.set
}
