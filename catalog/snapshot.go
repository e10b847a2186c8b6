// This file builds immutable snapshots from objects, assigns an address claimed by several services
// to one of them, and provides the services, changes and digest of a snapshot. An invalid object
// does not replace its last valid version, and a lower revision is rejected. The file also hashes
// objects and derives the server ids of back ends.

package catalog

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/fault"
)

// ServerID returns the four-byte id that identifies this back end in connection ids
// of its service. It changes with the incarnation, so that a host that reuses the id
// of another one gets a different server id.
func (b *Backend) ServerID() uint32 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(b.ID))
	var incarnation [8]byte
	binary.BigEndian.PutUint64(incarnation[:], b.Incarnation)
	_, _ = digest.Write(incarnation[:])
	return uint32(digest.Sum64())
}

// Snapshot is an immutable state of the whole configuration. All methods are safe for
// concurrent use. Callers must not modify returned values.
//
// If several valid services claim the same address, only one of them is active. The set
// of active services is a pure function of the objects in the snapshot, including their
// ClaimedAt fields, so processes whose snapshots contain the same objects agree on it.
type Snapshot struct {
	revision       Revision
	digest         uint64
	objects        map[ServiceName]Object      // latest valid versions, including deletions
	validServices  map[ServiceName]*Service    // all valid services, active or not
	activeServices map[ServiceName]*Service    // services that have their address
	byAddress      map[netip.AddrPort]*Service // active services
}

// Empty returns a snapshot without objects, at revision 0.
func Empty() *Snapshot {
	return &Snapshot{
		objects:        map[ServiceName]Object{},
		validServices:  map[ServiceName]*Service{},
		activeServices: map[ServiceName]*Service{},
		byAddress:      map[netip.AddrPort]*Service{},
	}
}

// Revision returns the store revision of the snapshot, as last passed to With.
func (s *Snapshot) Revision() Revision { return s.revision }

// Digest returns a hash of all objects in the snapshot. Two snapshots with different
// digests at the same revision contain different objects.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Service returns the active service with the given name, or nil if there is none.
func (s *Snapshot) Service(name ServiceName) *Service { return s.activeServices[name] }

// ServiceAt returns the active service with the given caller-facing address, or nil if there is
// none.
func (s *Snapshot) ServiceAt(address netip.AddrPort) *Service { return s.byAddress[address] }

// Services returns all active services, sorted by name.
func (s *Snapshot) Services() []*Service {
	names := slices.Sorted(maps.Keys(s.activeServices))
	services := make([]*Service, 0, len(names))
	for _, name := range names {
		services = append(services, s.activeServices[name])
	}
	return services
}

// Since returns all objects that changed after the given revision, including deletions,
// sorted by revision.
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

// With returns a snapshot at the given revision that includes the objects. Objects
// older than the version in the snapshot are ignored, so deltas may arrive twice or in
// any order. If an object is invalid, its last valid version stays. So it does if the object has a
// higher revision than the snapshot, which would hide later changes of it. A service whose address
// belongs to another service is stored, but not active. The returned error, of kind
// fault.Invalid, joins the errors of invalid objects and address conflicts; the returned
// snapshot is valid nevertheless. If the given revision is lower than that of the snapshot,
// With returns an error of kind fault.Stale and the unchanged snapshot.
func (s *Snapshot) With(objects []Object, revision Revision) (*Snapshot, error) {
	if revision < s.revision {
		return s, fault.New(fault.Stale, "revision %d is lower than the current revision %d", revision, s.revision)
	}
	next := &Snapshot{
		revision:      revision,
		digest:        s.digest,
		objects:       maps.Clone(s.objects),
		validServices: maps.Clone(s.validServices),
	}
	ordered := slices.Clone(objects)
	slices.SortFunc(ordered, func(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) })
	var problems []error
	for _, object := range ordered {
		if object.Revision > revision {
			problems = append(problems, fault.InvalidField("revision", object.Revision, fmt.Sprintf("of object %q must be at most that of the snapshot, %d", object.Name, revision)))
			continue
		}
		if err := next.put(object); err != nil {
			problems = append(problems, err)
		}
	}
	next.assignAddresses()
	for _, object := range ordered {
		if err := next.checkAddressConflict(object.Name); err != nil {
			problems = append(problems, err)
		}
	}
	return next, errors.Join(problems...)
}

// put adds one object, unless the snapshot has a newer version. An invalid object changes nothing,
// so the last valid version stays in the snapshot and is the one sent to peers.
func (s *Snapshot) put(object Object) error {
	current, ok := s.objects[object.Name]
	if ok && current.Revision > object.Revision {
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
	if ok && current.Revision == object.Revision && !object.supersedes(&current) {
		return nil
	}
	s.record(object, service)
	return nil
}

// claimedAt returns the revision since which the object's service has had its address,
// derived from the object and the version in the snapshot. It returns 0 if service is nil.
func (s *Snapshot) claimedAt(object Object, service *Service) Revision {
	if service == nil {
		return 0
	}
	earliest := object.ClaimedAt
	if earliest == 0 {
		earliest = object.Revision
	}
	if previous := s.validServices[object.Name]; previous != nil && previous.Address == service.Address {
		earliest = min(earliest, s.objects[object.Name].ClaimedAt)
	}
	return earliest
}

// supersedes reports whether o replaces an object with the same name and revision. The result
// depends only on the two objects, so all processes keep the same one. Bodies differ only if a
// restored store reused a revision.
func (o *Object) supersedes(current *Object) bool {
	if ownHash, currentHash := xxhash.Sum64(o.Body), xxhash.Sum64(current.Body); ownHash != currentHash {
		return ownHash > currentHash
	}
	return o.ClaimedAt < current.ClaimedAt
}

// record stores the object and its service, nil for a deletion, and updates the digest.
func (s *Snapshot) record(object Object, service *Service) {
	if current, ok := s.objects[object.Name]; ok {
		s.digest ^= current.Hash()
	}
	s.digest ^= object.Hash()
	s.objects[object.Name] = object
	if service == nil {
		delete(s.validServices, object.Name)
		return
	}
	s.validServices[object.Name] = service
}

// assignAddresses assigns each address to the service with the earliest claim to it and rebuilds
// the set of active services.
func (s *Snapshot) assignAddresses() {
	s.activeServices = make(map[ServiceName]*Service, len(s.validServices))
	s.byAddress = make(map[netip.AddrPort]*Service, len(s.validServices))
	for _, service := range s.validServices {
		holder := s.byAddress[service.Address]
		if holder == nil || s.hasEarlierClaim(service, holder) {
			s.byAddress[service.Address] = service
		}
	}
	for _, holder := range s.byAddress {
		s.activeServices[holder.Name] = holder
	}
}

// hasEarlierClaim reports whether service claimed its address before holder did. Equal claims are
// decided by name.
func (s *Snapshot) hasEarlierClaim(service, holder *Service) bool {
	return cmp.Or(
		cmp.Compare(s.objects[service.Name].ClaimedAt, s.objects[holder.Name].ClaimedAt),
		cmp.Compare(service.Name, holder.Name),
	) < 0
}

// checkAddressConflict returns an error if another service has the address of the named service.
func (s *Snapshot) checkAddressConflict(name ServiceName) error {
	service := s.validServices[name]
	if service == nil || s.activeServices[name] == service {
		return nil
	}
	holder := s.byAddress[service.Address]
	return fault.InvalidField("address", service.Address, "is already used by service "+string(holder.Name))
}

// Hash returns a hash of the object's name, revision, ClaimedAt and body.
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
