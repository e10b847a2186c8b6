// This file builds the rows of all tables for a process whose back ends are configured in the
// catalog. It defines the interfaces to the process: Node and, for an agent, AgentInspector.

package status

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/version"
	"github.com/burlmill/burlmill/membership"
	"github.com/burlmill/burlmill/query"
	"github.com/burlmill/burlmill/routing"
)

// Node provides the configuration of a process and its view of other processes. *coordination.Node
// implements it. All methods are safe for concurrent use.
type Node interface {
	// Snapshot returns the current configuration.
	Snapshot() *catalog.Snapshot
	// Subscribe registers a callback that is called with the current snapshot and then with each
	// new one.
	Subscribe(callback func(*catalog.Snapshot))
	// Members returns the reachable members, including this process.
	Members() []*membership.Member
	// Alive reports whether the agent with the data address is considered reachable. It returns
	// true for an unknown address.
	Alive(agent netip.AddrPort) bool
}

// BackendLoad is the load of a back end behind an agent.
type BackendLoad struct {
	Flows    int    // open flows
	Busy     int    // slots in use; 0 unless the service is HTTP
	Refusals uint64 // requests with outcome not-run since the agent started
}

// AgentInspector reads the load and the open flows of an agent. All methods are safe for
// concurrent use. Errors are of kind fault.Unavailable if the agent has stopped, or fault.Deadline
// if the context ends first.
type AgentInspector interface {
	// Load returns the load of a back end behind this agent.
	Load(ctx context.Context, service catalog.ServiceName, backend catalog.BackendID) (BackendLoad, error)
	// Flows calls visit for each open flow. Flows that open or close meanwhile may be missing.
	Flows(ctx context.Context, visit func(flow.OpenFlow)) error
}

// catalogSource implements RowSource for a process whose back ends are configured in the catalog.
// Its fields except configuredAt are immutable.
type catalogSource struct {
	id           string // of this process
	node         Node
	dataAddress  netip.AddrPort // of this process
	inspector    AgentInspector // nil for a balancer
	events       *EventBuffer
	configuredAt atomic.Pointer[time.Time] // when the current configuration took effect
}

// Collect implements RowSource.
func (s *catalogSource) Collect(ctx context.Context, table string, unreachable bool, collector *query.Collector) error {
	switch table {
	case TableNodes:
		s.addNodes(collector)
	case TableServices:
		s.addServices(collector)
	case TableBackends:
		return s.addBackends(ctx, unreachable, collector)
	case TableFlows:
		return s.addFlows(ctx, collector)
	case TableVersions:
		s.addVersion(collector)
	case TableEvents:
		s.events.AddRows(s.id, collector)
	default:
		return fault.New(fault.Internal, "table %q has no source", table)
	}
	return nil
}

func (s *catalogSource) addNodes(collector *query.Collector) {
	for _, member := range s.node.Members() {
		collector.Add(query.Row{
			query.TextValue(member.ID),
			query.TextValue(member.Role.String()),
			query.TextValue(member.Region),
			query.TextValue(string(member.Zone)),
			query.TextValue(member.Status.String()),
			query.NumberValue(int64(member.Incarnation)),
			query.AddressValue(member.Control),
			query.AddressValue(member.Data),
		})
	}
}

func (s *catalogSource) addServices(collector *query.Collector) {
	for _, service := range s.node.Snapshot().Services() {
		draining, slots := 0, int64(0)
		for _, backend := range service.Backends {
			slots += int64(backend.Slots)
			if backend.State == catalog.BackendDraining {
				draining++
			}
		}
		collector.Add(query.Row{
			query.TextValue(string(service.Name)),
			query.TextValue(string(service.Protocol)),
			query.AddressValue(service.Address),
			query.NumberValue(int64(service.Revision)),
			query.TextValue(sharesText(service.Shares)),
			query.NumberValue(int64(len(service.Backends))),
			query.NumberValue(int64(draining)),
			query.NumberValue(slots),
			query.TextValue(requestKindText(service.Protocol)),
			query.DurationValue(0),
		})
	}
}

// requestKindText returns the value of the column "requests", the kind of a service's requests. The
// kind of an HTTP request depends on its method; that of other requests is not configured in the
// catalog.
func requestKindText(protocol catalog.Protocol) string {
	if protocol == catalog.ProtocolHTTP {
		return "by-method"
	}
	return routing.RequestKindUnknown.String()
}

// sharesText formats shares as site=percent pairs in lexical order.
func sharesText(shares []catalog.SiteShare) string {
	var texts []string
	for _, share := range shares {
		texts = append(texts, fmt.Sprintf("%s=%d", share.Site, share.Percent))
	}
	slices.Sort(texts)
	return strings.Join(texts, " ")
}

func (s *catalogSource) addBackends(ctx context.Context, unreachable bool, collector *query.Collector) error {
	for _, service := range s.node.Snapshot().Services() {
		for index := range service.Backends {
			backend := &service.Backends[index]
			if err := s.addBackend(ctx, unreachable, service, backend, collector); err != nil {
				return err
			}
		}
	}
	return nil
}

// addBackend adds the row of a back end if this process must report it: when the back end's agent
// is unreachable if unreachable is true, otherwise when this process is the back end's agent.
func (s *catalogSource) addBackend(ctx context.Context, unreachable bool, service *catalog.Service, backend *catalog.Backend, collector *query.Collector) error {
	if unreachable {
		if !s.node.Alive(backend.Agent) {
			collector.Add(backendRow("", "no", service, backend, BackendLoad{}))
		}
		return nil
	}
	if s.inspector == nil || backend.Agent != s.dataAddress {
		return nil
	}
	load, err := s.inspector.Load(ctx, service.Name, backend.ID)
	if err != nil {
		return err
	}
	collector.Add(backendRow(s.id, "yes", service, backend, load))
	return nil
}

// backendRow builds a row of TableBackends. node is the id of the back end's agent, or "" if it is
// unreachable; reachable is "yes" or "no".
func backendRow(node, reachable string, service *catalog.Service, backend *catalog.Backend, load BackendLoad) query.Row {
	return query.Row{
		query.TextValue(string(service.Name)),
		query.TextValue(string(backend.ID)),
		query.TextValue(string(backend.Site)),
		query.TextValue(string(backend.Zone)),
		query.TextValue(backendStateText(backend)),
		query.TextValue(node),
		query.TextValue(reachable),
		query.AddressValue(backend.Address),
		query.NumberValue(int64(load.Flows)),
		query.NumberValue(int64(load.Busy)),
		query.NumberValue(int64(backend.Slots)),
		query.NumberValue(int64(load.Refusals)),
		query.TextValue(""), // the incarnation of a configured back end is not known
		query.DurationValue(0),
	}
}

// StateEvacuated is the value of the column state for a back end in an evacuated zone.
const StateEvacuated = "evacuated"

func backendStateText(backend *catalog.Backend) string {
	if backend.Evacuated {
		return StateEvacuated
	}
	return string(backend.State)
}

func (s *catalogSource) addFlows(ctx context.Context, collector *query.Collector) error {
	if s.inspector == nil {
		return nil
	}
	now := time.Now()
	return s.inspector.Flows(ctx, func(open flow.OpenFlow) {
		collector.Add(query.Row{
			query.TextValue(s.id),
			query.TextValue(string(open.Service)),
			query.TextValue(string(open.Backend)),
			query.AddressValue(open.Key.Caller),
			query.DurationValue(now.Sub(open.OpenedAt)),
			query.DurationValue(now.Sub(open.LastSeenAt)),
		})
	})
}

func (s *catalogSource) addVersion(collector *query.Collector) {
	snapshot := s.node.Snapshot()
	collector.Add(query.Row{
		query.TextValue(s.id),
		query.NumberValue(int64(snapshot.Revision())),
		query.TextValue(fmt.Sprintf("%016x", snapshot.Digest())),
		query.DurationValue(time.Since(*s.configuredAt.Load())),
		query.TextValue(version.String()),
		query.TextValue(""), // objects are rejected individually, never a whole revision
	})
}
