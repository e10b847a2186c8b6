// This file adds this process's rows to the status tables that operators query: nodes, services,
// back ends, flows, versions and events.

package relay

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/internal/version"
	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/query"
	"github.com/burlmill/burlmill/routing"
)

// protocolHandshake is the protocol that is shown for all services of this transport.
const protocolHandshake = "handshake"

// Collect implements status.RowSource. It adds this process's rows of a status table. With
// unreachable, the table of back ends stays empty. The error is of kind fault.Internal if the table
// is unknown.
func (n *node) Collect(_ context.Context, table string, unreachable bool, into *query.Collector) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	switch table {
	case status.TableNodes:
		n.nodeRows(now, into)
	case status.TableServices:
		n.serviceRows(into)
	case status.TableBackends:
		if !unreachable {
			n.decider.backendRows(now, into)
		}
	case status.TableFlows:
		n.decider.flowRows(now, into)
	case status.TableVersions:
		n.versionRow(now, into)
	case status.TableEvents:
		n.events.AddRows(n.settings.Node.ID, into)
	default:
		return fault.New(fault.Internal, "table %q has no source", table)
	}
	return nil
}

// nodeRows adds a row for this process, and for each peer that is known through gossip or was last
// seen within handshake.PeerTTL.
func (n *node) nodeRows(now time.Time, into *query.Collector) {
	own := n.ownStatus(now)
	into.Add(n.nodeRow(own, n.settings.Node.PeerAddress, n.settings.Node.DataAddress))
	for _, peer := range n.peers.List() {
		if !peer.KnownByGossip && (peer.LastSeenAt.IsZero() || now.Sub(peer.LastSeenAt) > handshake.PeerTTL) {
			continue
		}
		dataAddress := netip.AddrPortFrom(peer.Address.Addr(), n.settings.Node.DataAddress.Port())
		into.Add(n.nodeRow(peer.Status, peer.Address, dataAddress))
	}
}

func (n *node) nodeRow(reported handshake.Status, control, data netip.AddrPort) query.Row {
	state := "alive"
	if reported.ShuttingDown {
		state = "leaving"
	}
	return query.Row{
		query.TextValue(reported.ID),
		query.TextValue(reported.Role.String()),
		query.TextValue(reported.Region),
		query.TextValue(string(reported.Zone)),
		query.TextValue(state),
		query.NumberValue(int64(reported.Incarnation >> 1)), // halved to fit into an int64
		query.AddressValue(control),
		query.AddressValue(data),
	}
}

// serviceRows adds a row for each route, with the weights of its targets.
func (n *node) serviceRows(into *query.Collector) {
	for _, route := range n.table.Routes() {
		var shares []string
		for _, target := range route.Targets {
			shares = append(shares, fmt.Sprintf("%s=%d", target.Service, target.Weight))
		}
		into.Add(query.Row{
			query.TextValue(route.Name),
			query.TextValue(protocolHandshake),
			query.AddressValue(route.Address),
			query.NumberValue(int64(n.table.Version())),
			query.TextValue(strings.Join(shares, " ")),
			query.NumberValue(int64(n.countBackends(route, func(handshake.Status) bool { return true }))),
			query.NumberValue(int64(n.countBackends(route, func(s handshake.Status) bool { return !s.Load.Accepts }))),
			query.NumberValue(int64(n.countSlots(route))),
			query.TextValue(route.RequestKind.String()),
			query.DurationValue(route.Timeout),
		})
	}
}

// countBackends counts the known back ends of the route's services whose status matches.
func (n *node) countBackends(route *routing.Route, matches func(handshake.Status) bool) int {
	count := 0
	for _, peer := range n.peers.List() {
		if peer.Status.Role == presence.RoleAgent && route.Contains(peer.Status.Service) && matches(peer.Status) {
			count++
		}
	}
	return count
}

func (n *node) countSlots(route *routing.Route) uint32 {
	slots := uint32(0)
	for _, peer := range n.peers.List() {
		if peer.Status.Role == presence.RoleAgent && route.Contains(peer.Status.Service) {
			slots += peer.Status.Load.Slots
		}
	}
	return slots
}

func (n *node) versionRow(now time.Time, into *query.Collector) {
	into.Add(query.Row{
		query.TextValue(n.settings.Node.ID),
		query.NumberValue(int64(n.table.Version())),
		query.TextValue(fmt.Sprintf("%016x", xxhash.Sum64(n.document))),
		query.DurationValue(now.Sub(n.configuredAt)),
		query.TextValue(version.String()),
		query.TextValue(n.refusalText()),
	})
}

// refusalText returns why the store's latest configuration was rejected, "" if it was not.
func (n *node) refusalText() string {
	if n.configurationError == nil {
		return ""
	}
	return n.configurationError.Error()
}

// backendRows and flowRows add nothing: a balancer has no back end, and agents report the flows.
func (b *balancer) backendRows(time.Time, *query.Collector) {}
func (b *balancer) flowRows(time.Time, *query.Collector)    {}

// backendRows adds the back end beside this agent.
func (a *agent) backendRows(now time.Time, into *query.Collector) {
	tracker := a.flows.Tracker()
	load := a.flows.Load(now)
	into.Add(query.Row{
		query.TextValue(string(a.settings.Backend.Service)),
		query.TextValue(string(tracker.Latest().ID)),
		query.TextValue(a.settings.Node.Region),
		query.TextValue(string(a.settings.Node.Zone)),
		query.TextValue(a.backendStateText()),
		query.TextValue(a.settings.Node.ID),
		query.TextValue("yes"),
		query.AddressValue(a.settings.Backend.Address),
		query.NumberValue(int64(a.flows.ActiveFlows())),
		query.NumberValue(int64(load.InFlight)),
		query.NumberValue(int64(load.Slots)),
		query.NumberValue(int64(a.flows.Refusals())),
		query.TextValue(tracker.Incarnation().StartedAtText()),
		query.DurationValue(incarnationAge(now, tracker)),
	})
}

// backendStateText returns the state of the back end as shown to operators.
func (a *agent) backendStateText() string {
	if a.evacuations.Set().Contains(a.settings.Node.Zone) {
		return status.StateEvacuated
	}
	return a.flows.Tracker().State().String()
}

// flowRows adds the open flows of the back end beside this agent.
func (a *agent) flowRows(now time.Time, into *query.Collector) {
	for _, open := range a.flows.OpenFlows() {
		into.Add(query.Row{
			query.TextValue(a.settings.Node.ID),
			query.TextValue(string(a.settings.Backend.Service)),
			query.TextValue(string(a.flows.Tracker().Latest().ID)),
			query.AddressValue(open.Key.Caller),
			query.DurationValue(now.Sub(open.FirstSeen)),
			query.DurationValue(now.Sub(open.LastSeen)),
		})
	}
}
