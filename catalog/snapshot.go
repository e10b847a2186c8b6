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
type Snapshot struct {
	revision  Revision
	digest    uint64
	objects   map[ServiceName]Object
	services  map[ServiceName]*Service
	byAddress map[netip.AddrPort]*Service
}

// Empty returns the snapshot at revision 0 that holds nothing.
func Empty() *Snapshot {
	return &Snapshot{
		objects:   map[ServiceName]Object{},
		services:  map[ServiceName]*Service{},
		byAddress: map[netip.AddrPort]*Service{},
	}
}

// Revision returns the highest revision whose changes the snapshot holds.
func (s *Snapshot) Revision() Revision { return s.revision }

// Digest returns a hash over the name and revision of every object held. Two
// snapshots at the same revision with different digests hold different objects.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Service returns the service of that name, nil if there is none.
func (s *Snapshot) Service(name ServiceName) *Service { return s.services[name] }

// ServiceAt returns the service at a caller-facing address, nil if there is none.
func (s *Snapshot) ServiceAt(address netip.AddrPort) *Service { return s.byAddress[address] }

// Services returns all services in order of name.
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
		services:  maps.Clone(s.services),
		byAddress: maps.Clone(s.byAddress),
	}
	ordered := slices.Clone(objects)
	slices.SortFunc(ordered, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	var problems []error
	for _, object := range ordered {
		if err := next.put(object); err != nil {
			problems = append(problems, err)
		}
	}
	return next, errors.Join(problems...)
}

// put takes one object in. An object that is refused leaves no trace, so that the
// last good version stays in force here and is what peers receive.
func (s *Snapshot) put(object Object) error {
	if held, ok := s.objects[object.Name]; ok && held.Revision >= object.Revision {
		return nil
	}
	if object.Deleted {
		s.remove(object.Name)
		s.record(object)
		return nil
	}
	service, err := ParseService(object.Name, object.Body)
	if err != nil {
		return err
	}
	if holder := s.byAddress[service.Address]; holder != nil && holder.Name != service.Name {
		return fault.InvalidField("address", service.Address, "is already held by service "+string(holder.Name))
	}
	service.Revision = object.Revision
	s.remove(object.Name)
	s.record(object)
	s.services[service.Name] = &service
	s.byAddress[service.Address] = &service
	return nil
}

// record stores the object and keeps the digest in step.
func (s *Snapshot) record(object Object) {
	if held, ok := s.objects[object.Name]; ok {
		s.digest ^= held.hash()
	}
	s.digest ^= object.hash()
	s.objects[object.Name] = object
}

// hash identifies one version of one object.
func (o *Object) hash() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(o.Name))
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], uint64(o.Revision))
	_, _ = digest.Write(revision[:])
	return digest.Sum64()
}

func (s *Snapshot) remove(name ServiceName) {
	service := s.services[name]
	if service == nil {
		return
	}
	delete(s.byAddress, service.Address)
	delete(s.services, name)
}
