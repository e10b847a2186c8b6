// The tests in this file guard against accepted messages of a previous incarnation of the back end,
// against such messages and changes of the incarnation that are not counted, and against values of
// handshake.Holding that cannot be sent.

package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/internal/wire"
)

// newUnstartedAgent returns an agent whose loops are not started.
func newUnstartedAgent(t *testing.T) *agent {
	t.Helper()
	a := &agent{node: newTestNode(t, recordAdapter{Adapter: &configurationAdapter{}, records: &recordStore{}}), backendSeen: newEvent(), drains: newDrainRecorder()}
	a.settings.Backend.Service = "lessons"
	a.flows = handshake.NewAgent(time.Now(), handshake.AgentOptions{
		Service: "lessons", FlowLifetime: time.Minute, ReportInterval: time.Second})
	a.decider = a
	peerConn, err := wire.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte, netip.AddrPort, wire.Arrival) {})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = peerConn.Close() })
	a.peerConn = peerConn
	startDrainMaintenance(a)
	return a
}

// TestMessagesOfPreviousIncarnationAreRejected checks that reports and removals of a previous
// incarnation of the back end are rejected as stale and counted, and that changes of the
// incarnation are counted by cause.
func TestMessagesOfPreviousIncarnationAreRejected(t *testing.T) {
	is := is.New(t)
	a := newUnstartedAgent(t)
	report := func(startedAtMillis int64, draining bool) instance.Report {
		return instance.Report{ID: "i-1", StartedAt: time.UnixMilli(startedAtMillis), Service: "lessons", Slots: 3, Sequence: 1, Draining: draining}
	}
	is.NoErr(a.Report(report(1000, false)))
	is.NoErr(a.Report(report(1001, false)))
	lastSeenAt := a.flows.Tracker().LastSeen()
	is.Equal(fault.KindOf(a.Report(report(1000, true))), fault.Stale)
	is.Equal(fault.KindOf(a.Remove(instance.Incarnation{ID: "i-1", StartedAt: time.UnixMilli(1000)})), fault.Stale)
	is.Equal(a.flows.Tracker().LastSeen(), lastSeenAt)
	is.Equal(a.flows.Tracker().State(), instance.Unverified)
	is.Equal(testutil.ToFloat64(a.metrics.staleReports.WithLabelValues(string(kindReport))), 1.0)
	is.Equal(testutil.ToFloat64(a.metrics.staleReports.WithLabelValues(string(kindRemoval))), 1.0)
	is.Equal(testutil.ToFloat64(a.metrics.backendIncarnations.WithLabelValues(string(instance.CauseID))), 1.0)
	is.Equal(testutil.ToFloat64(a.metrics.backendIncarnations.WithLabelValues(string(instance.CauseStartTime))), 1.0)
	is.NoErr(a.Remove(instance.Incarnation{ID: "i-1", StartedAt: time.UnixMilli(1001)}))
	is.Equal(a.flows.Tracker().State(), instance.Draining)
}

// TestEveryHoldingRoundTrips checks that every value of handshake.Holding can be encoded and
// decoded, including HoldsNoLonger, which agents send without a query after a restart of the back
// end.
func TestEveryHoldingRoundTrips(t *testing.T) {
	is := is.New(t)
	key := flow.Key{Caller: netip.MustParseAddrPort("10.0.0.1:1"), Service: netip.MustParseAddrPort("10.0.0.2:2")}
	for _, holding := range []handshake.Holding{handshake.HoldsNot, handshake.HoldsPossibly, handshake.Holds, handshake.HoldsNoLonger} {
		encoded, err := Encode(time.Now(), handshake.FlowQueryAnswer{Key: key, Holding: holding})
		is.NoErr(err)
		decoded, err := Decode(time.Now(), encoded)
		is.NoErr(err)
		is.Equal(decoded, handshake.FlowQueryAnswer{Key: key, Holding: holding})
	}
}
