// This file declares the columns and the scope of each table.

// Package status answers operators' queries about one process: its peers, its current
// configuration, its back ends and flows, and its recent log events. It serves the query language
// of package query over connect-go.
package status

import "github.com/burlmill/burlmill/query"

// Names of the tables.
const (
	TableNodes    = "nodes"
	TableServices = "services"
	TableBackends = "backends"
	TableFlows    = "flows"
	TableVersions = "versions"
	TableEvents   = "events"
)

// Names of the columns that other packages read.
const (
	ColumnID        = "id"
	ColumnNode      = "node"
	ColumnRole      = "role"
	ColumnStatus    = "status"
	ColumnControl   = "control"
	ColumnRevision  = "revision"
	ColumnDigest    = "digest"
	ColumnRefused   = "refused"
	ColumnName      = "name"
	ColumnProtocol  = "protocol"
	ColumnAddress   = "address"
	ColumnShares    = "shares"
	ColumnService   = "service"
	ColumnBackend   = "backend"
	ColumnSite      = "site"
	ColumnState     = "state"
	ColumnReachable = "reachable"
	ColumnFlows     = "flows"
	ColumnBusy      = "busy"
	ColumnSlots     = "slots"
	ColumnRefusals  = "refusals"
)

// Scope is the set of processes that must be queried to get all rows of a table.
type Scope uint8

// The scopes.
const (
	ScopeAnyNode  Scope = iota // each process has all rows
	ScopeAgents                // each agent has its own rows, other processes have none
	ScopeAllNodes              // each process has its own rows
)

// tableScopes lists the tables with their scopes, in the order that Tables returns.
var tableScopes = []struct {
	table query.Table
	scope Scope
}{
	{query.Table{Name: TableNodes, Help: "processes that the asked one can reach", Columns: []query.Column{
		{Name: ColumnID, Type: query.Text, Help: "unique name"},
		{Name: ColumnRole, Type: query.Text, Help: "balancer or agent"},
		{Name: "region", Type: query.Text, Help: "region"},
		{Name: "zone", Type: query.Text, Help: "failure zone"},
		{Name: ColumnStatus, Type: query.Text, Help: "alive, suspect or leaving"},
		{Name: "incarnation", Type: query.Number, Help: "milliseconds since 1970 at the start, raised by each refutation"},
		{Name: ColumnControl, Type: query.Address, Help: "TCP address for other processes and operators"},
		{Name: "data", Type: query.Address, Help: "UDP address for datagrams"},
	}}, ScopeAnyNode},
	{query.Table{Name: TableServices, Help: "services as configured", Columns: []query.Column{
		{Name: ColumnName, Type: query.Text, Help: "unique name"},
		{Name: ColumnProtocol, Type: query.Text, Help: "udp, http or tcp"},
		{Name: ColumnAddress, Type: query.Address, Help: "address that callers use"},
		{Name: ColumnRevision, Type: query.Number, Help: "revision of the service's object"},
		{Name: ColumnShares, Type: query.Text, Help: "percent of new flows for each site"},
		{Name: "backends", Type: query.Number, Help: "back ends"},
		{Name: "leaving", Type: query.Number, Help: "back ends that take no new work"},
		{Name: ColumnSlots, Type: query.Number, Help: "slots of all back ends"},
		{Name: "requests", Type: query.Text, Help: "repeatable, once-only, long-answer or unknown; by-method: each request says it itself"},
		{Name: "timeout", Type: query.Duration, Help: "when callers give up; 0: not told"},
	}}, ScopeAnyNode},
	{query.Table{Name: TableBackends, Help: "back ends as configured and what they do", Columns: []query.Column{
		{Name: ColumnService, Type: query.Text, Help: "name of the service"},
		{Name: ColumnBackend, Type: query.Text, Help: "id, unique within its service"},
		{Name: ColumnSite, Type: query.Text, Help: "data centre"},
		{Name: "zone", Type: query.Text, Help: "failure zone"},
		{Name: ColumnState, Type: query.Text, Help: "active, leaving or evacuated"},
		{Name: ColumnNode, Type: query.Text, Help: "id of its agent, empty if that cannot be reached"},
		{Name: ColumnReachable, Type: query.Text, Help: "whether its agent can be reached: yes or no"},
		{Name: ColumnAddress, Type: query.Address, Help: "address of the back end itself"},
		{Name: ColumnFlows, Type: query.Number, Help: "open flows"},
		{Name: ColumnBusy, Type: query.Number, Help: "slots in use; 0 unless the service is http"},
		{Name: ColumnSlots, Type: query.Number, Help: "slots as configured"},
		{Name: ColumnRefusals, Type: query.Number, Help: "requests answered not-run since its agent started"},
		{Name: "born", Type: query.Text, Help: "when its present life began by its own clock, where it tells that"},
		{Name: "age", Type: query.Duration, Help: "since its agent first heard of its present life; 0: not known"},
	}}, ScopeAgents},
	{query.Table{Name: TableFlows, Help: "open flows", Columns: []query.Column{
		{Name: ColumnNode, Type: query.Text, Help: "id of the agent"},
		{Name: ColumnService, Type: query.Text, Help: "name of the service"},
		{Name: ColumnBackend, Type: query.Text, Help: "id of the back end"},
		{Name: "caller", Type: query.Address, Help: "address of the caller"},
		{Name: "age", Type: query.Duration, Help: "time since the flow was admitted"},
		{Name: "idle", Type: query.Duration, Help: "time since its latest datagram"},
	}}, ScopeAgents},
	{query.Table{Name: TableVersions, Help: "the configuration in force at each process", Columns: []query.Column{
		{Name: ColumnNode, Type: query.Text, Help: "id of the process"},
		{Name: ColumnRevision, Type: query.Number, Help: "revision in force"},
		{Name: ColumnDigest, Type: query.Text, Help: "hash over the objects held; equal revisions must have equal ones"},
		{Name: "age", Type: query.Duration, Help: "time since it came into force there"},
		{Name: "program", Type: query.Text, Help: "version of the program"},
		{Name: ColumnRefused, Type: query.Text, Help: "why a newer configuration of the store is not in force; empty: none was refused"},
	}}, ScopeAllNodes},
	{query.Table{Name: TableEvents, Help: "latest events of each process", Columns: []query.Column{
		{Name: ColumnNode, Type: query.Text, Help: "id of the process"},
		{Name: "age", Type: query.Duration, Help: "time since the event"},
		{Name: "level", Type: query.Text, Help: "info, warn or error"},
		{Name: "event", Type: query.Text, Help: "name of the event, as in the log"},
		{Name: "detail", Type: query.Text, Help: "the event's fields"},
	}}, ScopeAllNodes},
}

func Tables() []query.Table {
	var tables []query.Table
	for _, entry := range tableScopes {
		tables = append(tables, entry.table)
	}
	return tables
}

// ScopeOf returns the scope of the named table, or ScopeAnyNode for an unknown table.
func ScopeOf(table string) Scope {
	for _, entry := range tableScopes {
		if entry.table.Name == table {
			return entry.scope
		}
	}
	return ScopeAnyNode
}
