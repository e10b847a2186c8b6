// This file converts members, objects, catalog pages, object versions and bucket numbers to and
// from their protobuf messages, and rejects invalid member records. It also defines the region hash
// and the unit of region ages in messages.

package exchange

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/dissemination"
	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/membership"
)

// maxIncarnation is the maximum incarnation of a member record. It leaves room for refutations, each
// of which increases it.
const maxIncarnation = math.MaxInt64

// regionAgeUnit is the unit of burlmillv1.RegionAge.Age.
const regionAgeUnit = 100 * time.Millisecond

func encodeMembers(members []*membership.Member) []*burlmillv1.Member {
	encoded := make([]*burlmillv1.Member, 0, len(members))
	for _, member := range members {
		encoded = append(encoded, encodeMember(member))
	}
	return encoded
}

// decodeMemberList decompresses member records without validating them. Errors are of kind
// fault.Invalid.
func decodeMemberList(compressed []byte) ([]*burlmillv1.Member, error) {
	list := &burlmillv1.Members{}
	err := decompress(compressed, list)
	return list.GetMembers(), err
}

func encodeMember(member *membership.Member) *burlmillv1.Member {
	return &burlmillv1.Member{
		Id:          member.ID,
		Incarnation: member.Incarnation,
		Status:      burlmillv1.MemberStatus(member.Status) + burlmillv1.MemberStatus_MEMBER_STATUS_ALIVE,
		Role:        burlmillv1.MemberRole(member.Role),
		Region:      member.Region,
		Zone:        string(member.Zone),
		Control:     encodeAddress(member.Control),
		Data:        encodeAddress(member.Data),
		Ended:       encodeTime(member.EndedAt),
	}
}

// encodeTime returns Unix seconds, or 0 for the zero time.
func encodeTime(at time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(at.Unix(), 0))
}

// decodeTime reverses encodeTime. It limits the time to 32-bit Unix seconds.
func decodeTime(encoded uint64) time.Time {
	if encoded == 0 {
		return time.Time{}
	}
	return time.Unix(int64(min(encoded, math.MaxUint32)), 0)
}

// decodeMember decodes and validates a member record. Errors are of kind fault.Invalid.
func decodeMember(encoded *burlmillv1.Member) (*membership.Member, error) {
	status := encoded.GetStatus()
	if status < burlmillv1.MemberStatus_MEMBER_STATUS_ALIVE || status > burlmillv1.MemberStatus_MEMBER_STATUS_LEFT {
		return nil, fault.InvalidField("member.status", status, "is not a known status")
	}
	if encoded.GetId() == "" || len(encoded.GetId()) > catalog.MaxNameLength {
		return nil, fault.InvalidField("member.id", encoded.GetId(), "must be 1 to 63 bytes")
	}
	if encoded.GetIncarnation() > maxIncarnation {
		return nil, fault.InvalidField("member.incarnation", encoded.GetIncarnation(), fmt.Sprintf("must be at most %d", uint64(maxIncarnation)))
	}
	control, err := decodeAddress(encoded.GetControl())
	if err != nil {
		return nil, err
	}
	if !control.IsValid() || control.Port() == 0 {
		return nil, fault.InvalidField("member.control", control, "must be an IP address and a port above 0")
	}
	data, err := decodeAddress(encoded.GetData())
	if err != nil {
		return nil, err
	}
	return &membership.Member{
		ID:          encoded.GetId(),
		Incarnation: encoded.GetIncarnation(),
		Status:      membership.Status(status - burlmillv1.MemberStatus_MEMBER_STATUS_ALIVE),
		Role:        membership.Role(encoded.GetRole()),
		Region:      encoded.GetRegion(),
		Zone:        catalog.ZoneName(encoded.GetZone()),
		Control:     control,
		Data:        data,
		EndedAt:     decodeTime(encoded.GetEnded()),
	}, nil
}

func encodeAddress(address netip.AddrPort) []byte {
	encoded, _ := address.MarshalBinary() // netip.AddrPort.MarshalBinary never fails
	return encoded
}

func decodeAddress(encoded []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(encoded); err != nil {
		return address, fault.Wrap(fault.Invalid, err, "member address of %d bytes", len(encoded))
	}
	return address, nil
}

// regionHash returns the hash that identifies a region in burlmillv1.RegionAge.
func regionHash(region string) uint32 { return uint32(xxhash.Sum64String(region)) }

// encodeObjects encodes and compresses objects. It returns nil if there are none.
func encodeObjects(objects []catalog.Object) []byte {
	encoded := &burlmillv1.CatalogObjects{}
	for _, object := range objects {
		encoded.Objects = append(encoded.Objects, &burlmillv1.CatalogObject{
			Name:      string(object.Name),
			Revision:  uint64(object.Revision),
			Deleted:   object.Deleted,
			Body:      object.Body,
			ClaimedAt: uint64(object.ClaimedAt),
		})
	}
	return compress(encoded)
}

// decodeObjects reverses encodeObjects. Errors are of kind fault.Invalid.
func decodeObjects(compressed []byte) ([]catalog.Object, error) {
	encoded := &burlmillv1.CatalogObjects{}
	if err := decompress(compressed, encoded); err != nil {
		return nil, err
	}
	objects := make([]catalog.Object, 0, len(encoded.GetObjects()))
	for _, object := range encoded.GetObjects() {
		objects = append(objects, catalog.Object{
			Name:      catalog.ServiceName(object.GetName()),
			Revision:  catalog.Revision(object.GetRevision()),
			Deleted:   object.GetDeleted(),
			Body:      object.GetBody(),
			ClaimedAt: catalog.Revision(object.GetClaimedAt()),
		})
	}
	return objects, nil
}

func encodePage(page dissemination.Page) *burlmillv1.CatalogPage {
	return &burlmillv1.CatalogPage{
		Revision: uint64(page.Revision),
		Objects:  encodeObjects(page.Objects),
		More:     page.More,
		Busy:     page.Busy,
	}
}

// decodePage reverses encodePage. Errors are of kind fault.Invalid.
func decodePage(encoded *burlmillv1.CatalogPage) (dissemination.Page, error) {
	objects, err := decodeObjects(encoded.GetObjects())
	return dissemination.Page{
		Revision: catalog.Revision(encoded.GetRevision()),
		Objects:  objects,
		More:     encoded.GetMore(),
		Busy:     encoded.GetBusy(),
	}, err
}

func encodeVersions(versions []dissemination.Version) []*burlmillv1.ObjectVersion {
	encoded := make([]*burlmillv1.ObjectVersion, 0, len(versions))
	for _, version := range versions {
		encoded = append(encoded, &burlmillv1.ObjectVersion{
			Name:     string(version.Name),
			Revision: uint64(version.Revision),
			Hash:     version.Hash,
		})
	}
	return encoded
}

func decodeVersions(encoded []*burlmillv1.ObjectVersion) []dissemination.Version {
	versions := make([]dissemination.Version, 0, len(encoded))
	for _, version := range encoded {
		versions = append(versions, dissemination.Version{
			Name:     catalog.ServiceName(version.GetName()),
			Revision: catalog.Revision(version.GetRevision()),
			Hash:     version.GetHash(),
		})
	}
	return versions
}

func encodeBuckets(buckets []int) []uint32 {
	encoded := make([]uint32, 0, len(buckets))
	for _, bucket := range buckets {
		encoded = append(encoded, uint32(bucket))
	}
	return encoded
}

func decodeBuckets(encoded []uint32) []int {
	buckets := make([]int, 0, len(encoded))
	for _, bucket := range encoded {
		buckets = append(buckets, int(bucket))
	}
	return buckets
}
