// This file guards against malformed member records and requests that make a process panic, hide
// valid records, or are merged.

package exchange

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/membership"
)

var testSelf = membership.Member{ID: "self", Incarnation: 1, Role: membership.Balancer, Region: "r", Zone: "z",
	Control: netip.MustParseAddrPort("10.0.0.1:7000"), Data: netip.MustParseAddrPort("10.0.0.1:7001")}

func newTestDecider(now time.Time) *Decider {
	return New(now, testSelf, rand.New(rand.NewPCG(1, 2)))
}

func memberRecord(id string) *burlmillv1.Member {
	member := testSelf
	member.ID = id
	return encodeMember(&member)
}

// malformedMembers change a valid member record to one that must not be merged.
var malformedMembers = map[string]func(*burlmillv1.Member){
	"no id":               func(m *burlmillv1.Member) { m.Id = "" },
	"no status":           func(m *burlmillv1.Member) { m.Status = 0 },
	"status out of range": func(m *burlmillv1.Member) { m.Status = 99 },
	"no control address":  func(m *burlmillv1.Member) { m.Control = nil },
	"control of 3 bytes":  func(m *burlmillv1.Member) { m.Control = []byte{1, 2, 3} },
	"control port 0":      func(m *burlmillv1.Member) { m.Control = encodeAddress(netip.MustParseAddrPort("10.0.0.9:0")) },
	"data of 3 bytes":     func(m *burlmillv1.Member) { m.Data = []byte{1, 2, 3} },
	"incarnation":         func(m *burlmillv1.Member) { m.Incarnation = math.MaxUint64 },
}

func TestMalformedMemberIsSkipped(t *testing.T) {
	for name, change := range malformedMembers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			decider := newTestDecider(now)
			odd := memberRecord("odd")
			change(odd)
			_, output := decider.HandleRequest(now, &burlmillv1.ExchangeRequest{State: &burlmillv1.State{From: "first",
				Members: []*burlmillv1.Member{memberRecord("first"), odd, memberRecord("last")}}})
			is.True(decider.Members().Table().Get("first") != nil)
			is.True(decider.Members().Table().Get("last") != nil)
			is.True(decider.Members().Table().Get("odd") == nil)
			refused := 0
			for _, notice := range output.Notices {
				if notice.Event == "member-refused" {
					refused++
				}
			}
			is.Equal(refused, 1)
		})
	}
}

// FuzzRequest checks that no request makes a process panic, and that no merged member lacks an
// address.
func FuzzRequest(f *testing.F) {
	add := func(request *burlmillv1.ExchangeRequest) {
		encoded, err := proto.Marshal(request)
		is.New(f).NoErr(err)
		f.Add(encoded)
	}
	members := []*burlmillv1.Member{memberRecord("first"), memberRecord("self")}
	add(&burlmillv1.ExchangeRequest{State: &burlmillv1.State{From: "first", Members: members}, Monitor: true, Heard: 3, Pull: &burlmillv1.PullRequest{After: 2}})
	add(&burlmillv1.ExchangeRequest{State: &burlmillv1.State{From: "first", Members: members}, Members: &burlmillv1.MembersRequest{Buckets: make([]uint32, membership.BucketCount)}})
	add(&burlmillv1.ExchangeRequest{State: &burlmillv1.State{From: "first", Regions: []*burlmillv1.RegionAge{{Region: 7, Age: 1 << 31}}}, Members: &burlmillv1.MembersRequest{After: "a"}})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		request := &burlmillv1.ExchangeRequest{}
		if proto.Unmarshal(encoded, request) != nil {
			return
		}
		now := time.Unix(1000, 0)
		decider := newTestDecider(now)
		decider.HandleRequest(now, request)
		decider.HandleResponse(now, 1, &burlmillv1.ExchangeResponse{State: request.GetState()})
		for range 3 {
			now = now.Add(TickInterval)
			decider.Tick(now)
		}
		for _, member := range decider.Members().Table().All() {
			if !member.Control.IsValid() {
				t.Fatalf("merged %+v", member)
			}
		}
	})
}

// FuzzPage checks that no page of configuration objects makes the decoder panic.
func FuzzPage(f *testing.F) {
	f.Add(compress(&burlmillv1.CatalogObjects{Objects: []*burlmillv1.CatalogObject{{Name: "lessons", Revision: 3, Body: []byte(`{}`)}}}))
	f.Fuzz(func(t *testing.T, compressed []byte) {
		_, _ = decodePage(&burlmillv1.CatalogPage{Revision: 7, Objects: compressed})
		_, _ = decodeMemberList(compressed)
	})
}
