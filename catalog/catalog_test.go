// This file guards against invalid objects that are accepted or replace valid ones, errors that do
// not name the field, lower revisions that are accepted, wrong owners of contested addresses,
// snapshots that depend on the order of changes, and back ends of evacuated zones that accept new
// flows or do not return to their configured states.

package catalog

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/fault"
)

func validService(name ServiceName) Service {
	return Service{
		Name: name, Protocol: ProtocolHTTP, Address: netip.MustParseAddrPort("192.0.2.1:443"),
		Shares: []SiteShare{{Site: "old", Percent: 70}, {Site: "new", Percent: 30}},
		Backends: []Backend{{
			ID: "host-1", Site: "old", Zone: "z1",
			Agent: netip.MustParseAddrPort("10.0.0.1:7000"), Address: netip.MustParseAddrPort("10.0.0.1:8000"),
			Weight: 1, Slots: 7, Connections: 2000, State: BackendActive,
		}},
	}
}

func objectOf(t interface{ Fatal(...any) }, service Service, revision Revision) Object {
	body, err := json.Marshal(service)
	if err != nil {
		t.Fatal(err)
	}
	return Object{Name: service.Name, Revision: revision, Body: body}
}

// TestParseServiceReportsFieldAndValue checks that the error for a violated rule contains the field
// and its value.
func TestParseServiceReportsFieldAndValue(t *testing.T) {
	cases := map[string]struct {
		edit func(*Service)
		want string
	}{
		"protocol":       {func(s *Service) { s.Protocol = "sctp" }, `protocol = "sctp"`},
		"address":        {func(s *Service) { s.Address = netip.AddrPort{} }, `address = "invalid AddrPort"`},
		"unspecified":    {func(s *Service) { s.Address = netip.MustParseAddrPort("0.0.0.0:1") }, `address = "0.0.0.0:1"`},
		"share sum":      {func(s *Service) { s.Shares[0].Percent = 60 }, `shares = "90"`},
		"share twice":    {func(s *Service) { s.Shares[1].Site = "old" }, `shares[1].site = "old"`},
		"site unknown":   {func(s *Service) { s.Backends[0].Site = "moon" }, `backends[0].site = "moon"`},
		"back-end twice": {func(s *Service) { s.Backends = append(s.Backends, s.Backends[0]) }, `backends[1].id = "host-1"`},
		"weight":         {func(s *Service) { s.Backends[0].Weight = 1001 }, `backends[0].weight = "1001"`},
		"slots":          {func(s *Service) { s.Backends[0].Slots = 0 }, `backends[0].slots = "0"`},
		"connections":    {func(s *Service) { s.Backends[0].Connections = 0 }, `backends[0].connections = "0"`},
		"state":          {func(s *Service) { s.Backends[0].State = "gone" }, `backends[0].state = "gone"`},
		"id":             {func(s *Service) { s.Backends[0].ID = "Host 1" }, `backends[0].id = "Host 1"`},
		"agent":          {func(s *Service) { s.Backends[0].Agent = netip.MustParseAddrPort("10.0.0.1:0") }, `backends[0].agent = "10.0.0.1:0"`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := validService("lessons")
			test.edit(&service)
			_, err := ParseService("lessons", objectOf(t, service, 1).Body)
			is.Equal(fault.KindOf(err), fault.Invalid)
			is.True(strings.Contains(fmt.Sprint(err), test.want)) // error names field and value
		})
	}
}

// TestParseServiceRejectsInvalidBodies checks that bodies that do not contain a valid service are
// rejected.
func TestParseServiceRejectsInvalidBodies(t *testing.T) {
	valid := string(objectOf(t, validService("lessons"), 1).Body)
	for name, body := range map[string]string{
		"empty": "", "null": "null", "list": "[]", "unknown key": `{"colour":1}`,
		"two values": valid + valid, "cut": valid[:len(valid)/2], "other name": strings.Replace(valid, "lessons", "sheets", 1),
		"too long": valid + strings.Repeat(" ", MaxBodySize),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseService("lessons", []byte(body))
			is.New(t).Equal(fault.KindOf(err), fault.Invalid)
		})
	}
}

// TestInvalidObjectKeepsLastValidVersion checks that an invalid object does not replace the
// last valid version, and that a lower revision is rejected.
func TestInvalidObjectKeepsLastValidVersion(t *testing.T) {
	is := is.New(t)
	first, err := Empty().With([]Object{objectOf(t, validService("lessons"), 1)}, 1)
	is.NoErr(err)
	invalid := validService("lessons")
	invalid.Shares = nil
	second, err := first.With([]Object{objectOf(t, invalid, 2)}, 2)
	is.Equal(fault.KindOf(err), fault.Invalid)
	is.Equal(second.Revision(), Revision(2))
	is.Equal(second.ServiceAt(netip.MustParseAddrPort("192.0.2.1:443")).Revision, Revision(1))
	is.Equal(second.Digest(), first.Digest()) // peers receive no invalid object
	_, err = second.With(nil, 1)
	is.Equal(fault.KindOf(err), fault.Stale)
}

// TestAddressConflictKeepsEarlierClaim checks that the service that claimed an address first keeps
// it after an update, and that the other service gets it after the first one changes its address.
func TestAddressConflictKeepsEarlierClaim(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("192.0.2.1:443")
	holder, rival := validService("lessons"), validService("a-rival")
	snapshot, err := Empty().With([]Object{objectOf(t, holder, 1)}, 1)
	is.NoErr(err)
	snapshot, err = snapshot.With([]Object{objectOf(t, rival, 2)}, 2)
	is.Equal(fault.KindOf(err), fault.Invalid)
	is.Equal(snapshot.ServiceAt(address).Name, holder.Name)
	snapshot, err = snapshot.With([]Object{objectOf(t, holder, 3)}, 3)
	is.NoErr(err)
	is.Equal(snapshot.ServiceAt(address).Name, holder.Name)
	is.Equal(snapshot.Service("a-rival"), nil)
	holder.Address = netip.MustParseAddrPort("192.0.2.2:443")
	snapshot, err = snapshot.With([]Object{objectOf(t, holder, 4)}, 4)
	is.NoErr(err)
	is.Equal(snapshot.ServiceAt(address).Name, rival.Name)
}

// TestDeltasMergeInAnyOrder checks that two snapshots that received the same objects in different
// orders, some twice, are equal after they exchange their objects. Before the exchange they may
// differ, because ClaimedAt depends on the earlier versions that a snapshot has received.
func TestDeltasMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var objects []Object
		for revision := range rapid.IntRange(1, 12).Draw(t, "objects") {
			number := rapid.IntRange(1, 4).Draw(t, "service")
			service := validService(ServiceName(fmt.Sprintf("service-%d", number)))
			address := rapid.IntRange(1, 3).Draw(t, "address")
			service.Address = netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:443", address))
			object := objectOf(t, service, Revision(revision+1))
			if rapid.Bool().Draw(t, "deleted") {
				object.Deleted, object.Body = true, nil
			}
			objects = append(objects, object)
		}
		finalRevision := Revision(len(objects))
		inOrder := Empty()
		for _, object := range objects {
			// Address conflicts are expected.
			inOrder, _ = inOrder.With([]Object{object}, object.Revision)
		}
		shuffled := Empty()
		for _, object := range rapid.Permutation(append(objects, objects...)).Draw(t, "order") {
			shuffled, _ = shuffled.With([]Object{object}, shuffled.Revision())
		}
		fromInOrder, fromShuffled := inOrder.Since(0), shuffled.Since(0)
		inOrder, _ = inOrder.With(fromShuffled, finalRevision)
		shuffled, _ = shuffled.With(fromInOrder, finalRevision)
		is.Equal(shuffled.Digest(), inOrder.Digest())
		is.Equal(len(shuffled.Services()), len(inOrder.Services()))
		for index, service := range inOrder.Services() {
			is.Equal(shuffled.Services()[index].Name, service.Name)
			is.Equal(shuffled.Services()[index].Address, service.Address)
		}
	})
}

// TestEvacuatedZone checks that the back ends of an evacuated zone accept no new flows and return
// to their configured states after the evacuation.
func TestEvacuatedZone(t *testing.T) {
	is := is.New(t)
	service := validService("lessons")
	for i, zone := range []ZoneName{"z1", "z2", "z2"} {
		backend := service.Backends[0]
		backend.ID, backend.Zone = BackendID(fmt.Sprintf("host-%d", i+1)), zone
		service.Backends = append(service.Backends[:i:i], backend)
	}
	service.Backends[2].State = BackendDraining
	states := func(evacuated ...ZoneName) []BackendState {
		service.EvacuatedZones = evacuated
		snapshot, err := Empty().With([]Object{objectOf(t, service, 1)}, 1)
		is.NoErr(err)
		var found []BackendState
		for _, backend := range snapshot.Service("lessons").Backends {
			is.Equal(backend.Evacuated, slices.Contains(evacuated, backend.Zone))
			found = append(found, backend.State)
		}
		return found
	}
	is.Equal(states(), []BackendState{BackendActive, BackendActive, BackendDraining})
	is.Equal(states("z2"), []BackendState{BackendActive, BackendDraining, BackendDraining})
	is.Equal(states("z1", "z2"), []BackendState{BackendDraining, BackendDraining, BackendDraining})
	is.Equal(states(), []BackendState{BackendActive, BackendActive, BackendDraining})

	service.EvacuatedZones = []ZoneName{"z1", "Z", "z1"}
	err := service.Validate()
	is.Equal(fault.KindOf(err), fault.Invalid)
	is.True(strings.Contains(err.Error(), `evacuated[1] = "Z"`))
	is.True(strings.Contains(err.Error(), `evacuated[2] = "z1": is listed twice`))
}

// TestObjectOfLaterRevisionIsSkipped guards against an object with a revision that the snapshot has
// not reached, which would hide later changes of it.
func TestObjectOfLaterRevisionIsSkipped(t *testing.T) {
	is := is.New(t)
	odd, lessons := objectOf(t, validService("odd"), 1<<62), objectOf(t, validService("lessons"), 3)
	snapshot, err := Empty().With([]Object{odd, lessons}, 3)
	is.Equal(fault.KindOf(err), fault.Invalid)
	is.True(snapshot.Service("lessons") != nil)
	is.True(snapshot.Service("odd") == nil)
	later := validService("odd")
	later.Address = netip.MustParseAddrPort("192.0.2.2:443")
	snapshot, err = snapshot.With([]Object{objectOf(t, later, 4)}, 4)
	is.NoErr(err)
	is.True(snapshot.Service("odd") != nil)
}

// FuzzParseService checks that no body makes the parser panic, and that every accepted one is valid.
func FuzzParseService(f *testing.F) {
	f.Add(objectOf(f, validService("lessons"), 1).Body)
	f.Add([]byte(`{"name":"lessons","backends":[{"weight":1e999,"agent":"10.0.0.1:70000"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		service, err := ParseService("lessons", body)
		if err == nil && service.Validate() != nil {
			t.Fatalf("%q: %v", body, service.Validate())
		}
		if err != nil && fault.KindOf(err) != fault.Invalid {
			t.Fatalf("%q: error of kind %v", body, fault.KindOf(err))
		}
	})
}
