package catalog

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/fault"
)

// ServerID returns the four-byte id by which connection ids name this back end
// within its service. It changes with the incarnation, so that a new host under
// an old id is never taken for its predecessor.
func (b *Backend) ServerID() uint32 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(b.ID))
	var incarnation [8]byte
	binary.BigEndian.PutUint64(incarnation[:], b.Incarnation)
	_, _ = digest.Write(incarnation[:])
	return uint32(digest.Sum64())
}

// Snapshot is one immutable state of the whole configuration. All methods are
// safe for concurrent use; nothing it returns may be changed.
//
// Which services are in force is a pure function of the objects held, so that
// processes that received the same objects in different orders agree.
type Snapshot struct {
	revision  Revision
	digest    uint64
	objects   map[ServiceName]Object
	claimants map[ServiceName]*Service // every valid service, in force or not
	services  map[ServiceName]*Service // those in force
	byAddress map[netip.AddrPort]*Service
}

// Empty returns the snapshot at revision 0 that holds nothing.
func Empty() *Snapshot {
	return &Snapshot{
		objects:   map[ServiceName]Object{},
		claimants: map[ServiceName]*Service{},
		services:  map[ServiceName]*Service{},
		byAddress: map[netip.AddrPort]*Service{},
	}
}

// Revision returns the highest revision whose changes the snapshot holds.
func (s *Snapshot) Revision() Revision { return s.revision }

// Digest returns a hash over all objects held. Two snapshots at the same
// revision with different digests hold different objects.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Service returns the service of that name, nil if there is none in force.
func (s *Snapshot) Service(name ServiceName) *Service { return s.services[name] }

// ServiceAt returns the service at a caller-facing address, nil if there is none.
func (s *Snapshot) ServiceAt(address netip.AddrPort) *Service { return s.byAddress[address] }

// Services returns all services in force in order of name.
func (s *Snapshot) Services() []*Service {
	names := slices.Sorted(maps.Keys(s.services))
	services := make([]*Service, 0, len(names))
	for _, name := range names {
		services = append(services, s.services[name])
	}
	return services
}

// Since returns every object changed after the revision, oldest change first,
// deletions included.
func (s *Snapshot) Since(after Revision) []Object {
	var changed []Object
	for _, object := range s.objects {
		if object.Revision > after {
			changed = append(changed, object)
		}
	}
	slices.SortFunc(changed, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

// With returns a snapshot that also holds the objects and stands at the
// revision. Objects older than what the snapshot holds are ignored, so deltas
// may arrive twice or in any order. An object that breaks a rule keeps its last
// good version in force: the returned error, of kind fault.Invalid, joins the
// reasons, and the returned snapshot is valid all the same. A revision below
// the present one gives fault.Stale and the unchanged snapshot.
func (s *Snapshot) With(objects []Object, revision Revision) (*Snapshot, error) {
	if revision < s.revision {
		return s, fault.New(fault.Stale, "revision %d is below revision %d in force", revision, s.revision)
	}
	next := &Snapshot{
		revision:  revision,
		digest:    s.digest,
		objects:   maps.Clone(s.objects),
		claimants: maps.Clone(s.claimants),
	}
	ordered := slices.Clone(objects)
	slices.SortFunc(ordered, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	var problems []error
	for _, object := range ordered {
		if err := next.put(object); err != nil {
			problems = append(problems, err)
		}
	}
	next.settleClaims()
	for _, object := range ordered {
		if err := next.checkClaim(object.Name); err != nil {
			problems = append(problems, err)
		}
	}
	return next, errors.Join(problems...)
}

// put takes one object in. An invalid object leaves no trace, so that the last
// good version stays in force here and is what peers receive.
func (s *Snapshot) put(object Object) error {
	held, ok := s.objects[object.Name]
	if ok && held.Revision > object.Revision {
		return nil
	}
	var service *Service
	if !object.Deleted {
		parsed, err := ParseService(object.Name, object.Body)
		if err != nil {
			return err
		}
		parsed.Revision = object.Revision
		parsed.applyEvacuations()
		service = &parsed
	}
	object.ClaimedAt = s.claimedAt(object, service)
	if ok && held.Revision == object.Revision && !object.supersedes(&held) {
		return nil
	}
	s.record(object, service)
	return nil
}

// claimedAt returns since when the object's service has held its address, as far
// as the object itself and the version held here tell.
func (s *Snapshot) claimedAt(object Object, service *Service) Revision {
	if service == nil {
		return 0
	}
	earliest := object.ClaimedAt
	if earliest == 0 {
		earliest = object.Revision
	}
	if former := s.claimants[object.Name]; former != nil && former.Address == service.Address {
		earliest = min(earliest, s.objects[object.Name].ClaimedAt)
	}
	return earliest
}

// supersedes decides between two objects of one name and revision, the same way
// everywhere. Bodies differ only if a restored store used a revision again.
func (o *Object) supersedes(held *Object) bool {
	if mine, theirs := xxhash.Sum64(o.Body), xxhash.Sum64(held.Body); mine != theirs {
		return mine > theirs
	}
	return o.ClaimedAt < held.ClaimedAt
}

// record stores the object and its service, nil for a deletion, and keeps the
// digest in step.
func (s *Snapshot) record(object Object, service *Service) {
	if held, ok := s.objects[object.Name]; ok {
		s.digest ^= held.Hash()
	}
	s.digest ^= object.Hash()
	s.objects[object.Name] = object
	if service == nil {
		delete(s.claimants, object.Name)
		return
	}
	s.claimants[object.Name] = service
}

// settleClaims gives each address to the service that has claimed it for longest.
func (s *Snapshot) settleClaims() {
	s.services = make(map[ServiceName]*Service, len(s.claimants))
	s.byAddress = make(map[netip.AddrPort]*Service, len(s.claimants))
	for _, service := range s.claimants {
		holder := s.byAddress[service.Address]
		if holder == nil || s.claimsBefore(service, holder) {
			s.byAddress[service.Address] = service
		}
	}
	for _, holder := range s.byAddress {
		s.services[holder.Name] = holder
	}
}

func (s *Snapshot) claimsBefore(service, holder *Service) bool {
	return cmp.Or(
		cmp.Compare(s.objects[service.Name].ClaimedAt, s.objects[holder.Name].ClaimedAt),
		cmp.Compare(service.Name, holder.Name),
	) < 0
}

// checkClaim returns an error if the service of that name is held but not in force.
func (s *Snapshot) checkClaim(name ServiceName) error {
	service := s.claimants[name]
	if service == nil || s.services[name] == service {
		return nil
	}
	holder := s.byAddress[service.Address]
	return fault.InvalidField("address", service.Address, "is already held by service "+string(holder.Name))
}

// Hash identifies one version of one object with everything that decides what is
// in force.
func (o *Object) Hash() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(o.Name))
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(o.Revision))
	binary.BigEndian.PutUint64(numbers[8:], uint64(o.ClaimedAt))
	_, _ = digest.Write(numbers[:])
	_, _ = digest.Write(o.Body)
	return digest.Sum64()
}
