// The tests in this file guard against rejected reports and malformed objects of the store that
// change the state or prevent valid ones from taking effect, against rejection of reports that may
// be valid, against new flows to a back end that has restarted or is of another service, and
// against malformed records that are attributed to no process or a wrong one.

package relay

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/evacuation"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/instance"
	"github.com/burlmill/burlmill/internal/entry"
	"github.com/burlmill/burlmill/internal/wire"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// ownBackend is the address of the agent's back end.
var ownBackend = netip.MustParseAddrPort("10.0.0.9:8080")

// newConfiguredAgent returns an agent of the service lessons. Its configuration also contains the
// service sheets and, only as the target of a route, songs.
func newConfiguredAgent(t *testing.T) *agent {
	t.Helper()
	a := &agent{node: newTestNode(t, recordAdapter{Adapter: &configurationAdapter{}, records: &recordStore{}}), backendSeen: newEvent(), drains: newDrainRecorder()}
	a.settings.Backend.Service = "lessons"
	a.settings.Backend.Address = ownBackend
	a.flows = handshake.NewAgent(time.Now(), handshake.AgentOptions{
		Service: "lessons", FlowLifetime: time.Minute, ReportInterval: time.Second})
	table, err := routing.New(routing.Content{Version: 5,
		Services: []routing.Service{{Name: "lessons"}, {Name: "sheets"}},
		Routes:   []routing.Route{{Name: "r", Address: ownBackend, Targets: []routing.Target{{Service: "songs", Weight: 1}}}}})
	is.New(t).NoErr(err)
	a.table = table
	a.peers.HandleStatus(time.Now(), netip.MustParseAddrPort("10.0.0.2:1"),
		handshake.Status{Role: presence.RoleBalancer, Version: 5, Incarnation: 1, Interval: time.Hour})
	a.decider = a
	a.peerConn, err = wire.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte, netip.AddrPort, wire.Arrival) {})
	is.New(t).NoErr(err)
	startDrainMaintenance(a)
	t.Cleanup(func() { _ = a.peerConn.Close() })
	return a
}

// validReport returns a report that matches the back end of newConfiguredAgent.
func validReport(sequence uint64) instance.Report {
	return instance.Report{ID: "i-1", Service: "lessons", Address: ownBackend, Zone: "a", Version: "v1", Slots: 3, Sequence: sequence}
}

// countRefusedReports returns the number of reports rejected for the reason.
func (n *node) countRefusedReports(reason entry.Reason) float64 {
	return testutil.ToFloat64(n.metrics.refusedReports.WithLabelValues(string(reason)))
}

// TestMismatchedReportChangesNothing checks that a report that does not match the agent's back end
// is rejected and changes neither the tracked state nor the time at which the back end was last
// seen.
func TestMismatchedReportChangesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		modify func(*instance.Report)
		reason entry.Reason
		want   string
	}{
		"another address":                            {func(r *instance.Report) { r.Address = netip.MustParseAddrPort("10.0.0.8:8080") }, entry.Mismatch, `address = "10.0.0.8:8080"`},
		"another port":                               {func(r *instance.Report) { r.Address = netip.MustParseAddrPort("10.0.0.9:8081") }, entry.Mismatch, `address = "10.0.0.9:8081"`},
		"a service that is not configured":           {func(r *instance.Report) { r.Service = "nobody" }, entry.UnknownName, `service = "nobody"`},
		"a service that is not configured, draining": {func(r *instance.Report) { r.Draining, r.Service = true, "nobody" }, entry.UnknownName, `service = "nobody"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newConfiguredAgent(t)
			mismatched := validReport(2)
			test.modify(&mismatched)
			err := a.Report(mismatched)
			is.Equal(fault.KindOf(err), fault.Invalid)
			is.True(strings.Contains(err.Error(), test.want))
			is.Equal(a.flows.Tracker().Latest(), instance.Report{})
			is.True(a.flows.Tracker().LastSeen().IsZero())
			select {
			case <-a.backendSeen.occurred:
				t.Error("rejected report signaled backendSeen")
			default:
			}
			is.NoErr(a.Report(validReport(1)))
			lastSeenAt, state := a.flows.Tracker().LastSeen(), a.flows.Tracker().State()
			for _, id := range []instance.ID{"i-1", "i-2"} {
				mismatched.ID = id
				is.Equal(fault.KindOf(a.Report(mismatched)), fault.Invalid)
			}
			is.Equal(a.flows.Tracker().Latest(), validReport(1))
			is.Equal(a.flows.Tracker().LastSeen(), lastSeenAt)
			is.Equal(a.flows.Tracker().State(), state)
			is.Equal(a.countRefusedReports(test.reason), 3.0)
		})
	}
}

// TestRestartedBackEndWithRejectedReports guards against new flows for a restarted back end that
// passes health checks but whose reports are rejected. Without a previous incarnation, the health
// check identifies the back end, and its slots remain unknown.
func TestRestartedBackEndWithRejectedReports(t *testing.T) {
	is := is.New(t)
	mismatched := validReport(1)
	mismatched.ID, mismatched.Service = "i-2", "nobody"
	a := newConfiguredAgent(t)
	is.NoErr(a.Report(validReport(1)))
	tracker := a.flows.Tracker()
	tracker.Checked(time.Now(), instance.Check{Healthy: true, ID: "i-1"})
	is.Equal(fault.KindOf(a.Report(mismatched)), fault.Invalid)
	is.Equal(tracker.State(), instance.Ready) // the previous incarnation may still run
	for range 3 {
		tracker.Checked(time.Now(), instance.Check{Healthy: true, ID: "i-2"})
		is.Equal(tracker.State(), instance.Unverified)
		is.Equal(tracker.Latest().ID, instance.ID("i-1"))
	}
	a = newConfiguredAgent(t)
	is.Equal(fault.KindOf(a.Report(mismatched)), fault.Invalid)
	a.flows.Tracker().Checked(time.Now(), instance.Check{Healthy: true, ID: "i-2"})
	is.Equal(a.flows.Load(time.Now()).Slots, uint32(0))
}

// TestBackEndKnownByItsHealthCheckAlone checks that the first report of a back end identified by a
// health check is accepted with any service, and that the back end then accepts no new flows if the
// service is not the agent's.
func TestBackEndKnownByItsHealthCheckAlone(t *testing.T) {
	is := is.New(t)
	a := newConfiguredAgent(t)
	a.flows.Tracker().Checked(time.Now(), instance.Check{Healthy: true, ID: "i-2"})
	is.True(a.flows.Load(time.Now()).Accepts)
	report := validReport(9)
	report.ID, report.Service = "i-2", "nobody"
	is.NoErr(a.Report(report))
	is.True(!a.flows.Load(time.Now()).Accepts)
}

// TestServicesAcceptedInReports guards against new flows to a back end of another service that has
// taken over the address. Its report must be accepted if the service is configured, or if the
// agent's configuration may be outdated.
func TestServicesAcceptedInReports(t *testing.T) {
	for name, test := range map[string]struct {
		service catalog.ServiceName
		prepare func(*agent)
	}{
		"another service of the configuration": {"sheets", func(*agent) {}},
		"the target of a route":                {"songs", func(*agent) {}},
		"no peer has been seen": {"nobody", func(a *agent) {
			a.peers = handshake.NewPeers(a.settings.Node.PeerAddress, presence.RoleAgent, "")
		}},
		"no configuration is in force": {"nobody", func(a *agent) { a.table = nil }},
		"a peer has a newer configuration": {"nobody", func(a *agent) {
			a.peers.HandleStatus(time.Now(), netip.MustParseAddrPort("10.0.0.1:1"),
				handshake.Status{Role: presence.RoleBalancer, Version: 6, Incarnation: 1, Interval: time.Hour})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newConfiguredAgent(t)
			is.NoErr(a.Report(validReport(1)))
			a.flows.Tracker().Checked(time.Now(), instance.Check{Healthy: true, ID: "i-1"})
			is.True(a.flows.Load(time.Now()).Accepts)
			test.prepare(a)
			successor := validReport(1)
			successor.ID, successor.Service = "i-2", test.service
			is.NoErr(a.Report(successor))
			is.Equal(a.flows.Tracker().Latest().ID, instance.ID("i-2"))
			is.True(!a.flows.Load(time.Now()).Accepts)
			successor.Sequence, successor.Draining = 2, true
			is.NoErr(a.Report(successor)) // even if the configuration does not contain the service
			is.Equal(a.flows.Tracker().State(), instance.Draining)
		})
	}
}

// TestServiceOfCurrentBackEndStaysAccepted checks that the draining report of the current back end
// is accepted after its service was removed from the configuration.
func TestServiceOfCurrentBackEndStaysAccepted(t *testing.T) {
	is := is.New(t)
	a := newConfiguredAgent(t)
	report := validReport(1)
	report.Service = "sheets"
	is.NoErr(a.Report(report))
	a.table, _ = routing.New(routing.Content{Version: 6})
	report.Sequence, report.Draining = 2, true
	is.NoErr(a.Report(report))
	is.Equal(a.flows.Tracker().State(), instance.Draining)
}

// malformedStore is a store that skips malformed entries in its answers.
type malformedStore struct {
	Adapter
	records []netip.AddrPort
	set     evacuation.Set
	changes evacuation.Changes
	skipped Skipped
}

func (s *malformedStore) Records(context.Context, presence.Role, bool) ([]Record, error) {
	var records []Record
	for _, address := range s.records {
		records = append(records, Record{Address: address})
	}
	return records, s.skipped.Err()
}

func (s *malformedStore) Evacuations(context.Context, bool) (evacuation.Set, error) {
	return s.set, s.skipped.Err()
}

func (s *malformedStore) WatchEvacuations(context.Context, catalog.Revision, bool) (evacuation.Changes, error) {
	return s.changes, s.skipped.Err()
}

func (s *malformedStore) WatchConfiguration(context.Context, uint64, time.Duration, bool) (Document, error) {
	return Document{Revision: 9, Bytes: []byte("good 2")}, s.skipped.Err()
}

// ParseConfiguration accepts documents that consist of "good " and a version of one digit, and
// rejects documents without that prefix.
func (s *malformedStore) ParseConfiguration(document []byte) (*routing.Table, error) {
	digit, good := strings.CutPrefix(string(document), "good ")
	if !good {
		return nil, entry.NewError(entry.WrongType, "version", string(document), "must be a whole number")
	}
	return routing.New(routing.Content{Version: routing.Version(digit[0] - '0')})
}

// newMalformedStore returns a store in which the entry with the name is malformed and skipped.
func newMalformedStore(name string) *malformedStore {
	store := &malformedStore{records: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}}
	store.skipped.Add(name, entry.NewError(entry.Missing, "address", "", "must be given"))
	return store
}

// countSkipped returns the number of entries of the kind that were skipped for the reason.
func (n *node) countSkipped(kind string, reason entry.Reason) float64 {
	return testutil.ToFloat64(n.metrics.skippedEntries.WithLabelValues(kind, string(reason)))
}

// TestBalancerIgnoresMalformedRecordsAfterTimeout checks that a balancer ignores malformed records
// after strictRecordsPeriod, when it has discovered all running agents. An agent that is known
// from its status and has a malformed record counts as recorded.
func TestBalancerIgnoresMalformedRecordsAfterTimeout(t *testing.T) {
	is := is.New(t)
	store := newMalformedStore("agent-7")
	b := &balancer{node: newTestNode(t, store), recordsDue: make(chan struct{}, 1)}
	b.flows = handshake.NewBalancer(time.Now(), handshake.BalancerOptions{})
	is.True(!b.readAgents()) // the list of agents may be incomplete
	is.Equal(b.countSkipped(entryRecord, entry.Missing), 1.0)
	b.startedAt = time.Now().Add(-strictRecordsPeriod)
	is.True(b.readAgents())

	agent := netip.MustParseAddrPort("10.0.0.7:1")
	b.peers.HandleStatus(time.Now(), agent, handshake.Status{ID: "agent-7", Role: presence.RoleAgent, Incarnation: 1, Interval: time.Hour})
	// A balancer with the same ID does not match an agent's record.
	b.peers.HandleStatus(time.Now(), netip.MustParseAddrPort("10.0.0.8:1"),
		handshake.Status{ID: "agent-7", Role: presence.RoleBalancer, Incarnation: 1, Interval: time.Hour})
	addresses, err := b.readRecords(presence.RoleAgent, false)
	is.True(isSkipped(err))
	is.Equal(addresses.addresses, []netip.AddrPort{store.records[0], agent})
}

// TestRecordWithoutNameMatchesNoProcess guards against attributing a skipped record without a name
// to a process without an ID.
func TestRecordWithoutNameMatchesNoProcess(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, newMalformedStore(""))
	n.peers.Add(time.Now(), netip.MustParseAddrPort("10.0.0.7:1"), false)
	addresses, err := n.readRecords(presence.RoleBalancer, true)
	is.True(isSkipped(err))
	is.Equal(len(addresses.addresses), 1)
}

// TestMalformedEvacuationDoesNotAffectOthers checks that a malformed evacuation does not prevent
// the others from taking effect, in a list and in a watch.
func TestMalformedEvacuationDoesNotAffectOthers(t *testing.T) {
	is := is.New(t)
	store := newMalformedStore("")
	n := newTestNode(t, store)
	recorder := &evacuationRecorder{}
	n.decider = recorder
	store.set, _ = evacuation.New(5, "a")
	watcher := &evacuationWatcher{node: n}
	_, err := watcher.poll(t.Context(), handshake.WatchLatest)
	is.NoErr(err)
	is.True(recorder.has(n, "a"))
	store.changes = evacuation.Changes{UpTo: 6, List: []evacuation.Change{{Zone: "b"}}}
	_, err = watcher.poll(t.Context(), handshake.WatchLatest)
	is.NoErr(err)
	is.True(recorder.has(n, "a") && recorder.has(n, "b"))
	is.True(watcher.known) // the watch continues from this revision
	is.Equal(n.countSkipped(entryEvacuation, entry.Missing), 2.0)
}

// TestMalformedConfigurationKeepsLastValidOne checks that the last valid configuration stays in
// force when a malformed one is rejected, and that the rejection is reported until a valid one is
// applied.
func TestMalformedConfigurationKeepsLastValidOne(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t, newMalformedStore("main"))
	n.decider = &evacuationRecorder{}
	apply := func(text string) bool { return n.applyDocument(Document{Revision: 1, Bytes: []byte(text)}) }
	is.True(apply("good 3"))
	is.Equal(n.refusalText(), "")
	is.True(!apply("spoiled"))
	is.Equal(n.versionInForce(), routing.Version(3))
	is.Equal(string(n.document), "good 3") // the document that is sent to peers
	is.True(strings.Contains(n.refusalText(), `version = "spoiled"`))
	is.Equal(n.countSkipped(entryConfiguration, entry.WrongType), 1.0)
	is.True(!apply("good 3"))
	is.Equal(n.refusalText(), "")
	is.True(!apply("spoiled again"))
	is.NoErr(n.configure([]byte("good 4"), sourcePeer))
	is.Equal(n.refusalText(), "")

	document, err := n.nextDocument(t.Context(), 8, handshake.WatchCurrent, &storeHealth{node: n})
	is.NoErr(err) // malformed events do not end the watch
	is.Equal(document.Revision, uint64(9))
	is.Equal(n.countSkipped(entryConfiguration, entry.Missing), 1.0)
}
