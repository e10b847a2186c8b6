// This file implements Client.Query, which selects the processes to query, queries them
// concurrently within the size limit, and merges their rows. It also parses the addresses of entry
// points.

package fanout

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/membership"
	"github.com/burlmill/burlmill/query"
)

// Query runs a query in the query language on the processes that have rows of its table, and merges
// their rows. Each queried process filters, sorts and limits its own rows. The error is of kind
// fault.Invalid if the text is not a valid query, and fault.Unavailable if no process answered.
func (c *Client) Query(ctx context.Context, text string) (Answer, error) {
	parsed, err := query.Parse(text, status.Tables())
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	scope := status.ScopeOf(parsed.Table().Name)
	if scope == status.ScopeAnyNode {
		result, err := c.queryEntryPoints(ctx, c.newRequest(text), parsed.Table())
		if err != nil {
			return Answer{}, err
		}
		return c.merge(parsed, []nodeResult{result})
	}
	entryPoint, members, err := c.fetchMembers(ctx)
	if err != nil {
		return Answer{}, err
	}
	targets := selectTargets(scope, members)
	if parsed.Table().Name == status.TableBackends {
		targets = append(targets, target{member: entryPoint, unreachable: true})
	}
	return c.merge(parsed, c.queryAll(ctx, text, parsed.Table(), targets))
}

func (c *Client) newRequest(text string) *burlmillv1.QueryRequest {
	return &burlmillv1.QueryRequest{Query: text, LimitBytes: uint64(c.options.MaxBytes)}
}

// queryEntryPoints sends the request to all entry points and returns the first successful result.
// The error is of kind fault.Unavailable if all entry points fail.
func (c *Client) queryEntryPoints(ctx context.Context, request *burlmillv1.QueryRequest, table *query.Table) (nodeResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan nodeResult, len(c.options.EntryPoints))
	for _, entryPoint := range c.options.EntryPoints {
		go func() { results <- c.queryNode(ctx, member{control: entryPoint}, request, table) }()
	}
	var problems []error
	for range c.options.EntryPoints {
		result := <-results
		if result.err == nil {
			return result, nil
		}
		problems = append(problems, newFailure(result).Err)
	}
	return nodeResult{}, fault.Wrap(fault.Unavailable, errors.Join(problems...), "no node answered")
}

// fetchMembers queries the entry points for the list of processes. It also returns the entry point
// that answered. Errors are as for queryEntryPoints.
func (c *Client) fetchMembers(ctx context.Context) (entryPoint member, members []member, err error) {
	parsed, err := query.Parse(status.TableNodes, status.Tables())
	if err != nil {
		return member{}, nil, err
	}
	table := parsed.Table()
	result, err := c.queryEntryPoints(ctx, c.newRequest(status.TableNodes), table)
	if err != nil {
		return member{}, nil, err
	}
	for _, row := range result.rows {
		members = append(members, member{
			id:      row[table.ColumnIndex(status.ColumnID)].Text(),
			role:    row[table.ColumnIndex(status.ColumnRole)].Text(),
			control: row[table.ColumnIndex(status.ColumnControl)].Address(),
		})
	}
	return result.from, members, nil
}

// target is a member to query.
type target struct {
	member
	unreachable bool // query the back ends whose agents the member cannot reach
}

// selectTargets returns the members that have rows of a table with the scope, which must not be
// status.ScopeAnyNode.
func selectTargets(scope status.Scope, members []member) []target {
	var targets []target
	for _, candidate := range members {
		if scope == status.ScopeAllNodes || candidate.role == membership.Agent.String() {
			targets = append(targets, target{member: candidate})
		}
	}
	return targets
}

// queryAll queries every target, up to maxConcurrency at once. Results are in the order of the
// targets. The size limit sent to a target is the budget that remains at that time.
func (c *Client) queryAll(ctx context.Context, text string, table *query.Table, targets []target) []nodeResult {
	results := make([]nodeResult, len(targets))
	budget := &byteBudget{left: c.options.MaxBytes}
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(maxConcurrency, len(targets)) {
		workers.Go(func() {
			for index := range next {
				results[index] = c.queryWithinBudget(ctx, budget, text, table, targets[index])
			}
		})
	}
	for index := range targets {
		next <- index
	}
	close(next)
	workers.Wait()
	return results
}

// queryWithinBudget queries one target within the remaining budget. If the budget is used up, or
// the rows exceed what remains of it when they arrive, the result is truncated and has no rows.
func (c *Client) queryWithinBudget(ctx context.Context, budget *byteBudget, text string, table *query.Table, to target) nodeResult {
	limit := budget.remaining()
	if limit <= 0 {
		return nodeResult{from: to.member, truncated: true}
	}
	request := &burlmillv1.QueryRequest{Query: text, LimitBytes: uint64(limit), Unreachable: to.unreachable}
	result := c.queryNode(ctx, to.member, request, table)
	if !budget.consume(result.size) {
		return nodeResult{from: to.member, truncated: true}
	}
	return result
}

// byteBudget is the part of the size limit of a query that has not been used. It is safe for
// concurrent use.
type byteBudget struct {
	mutex sync.Mutex
	left  int // bytes
}

func (b *byteBudget) remaining() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.left
}

// consume subtracts size from the budget and returns true, or returns false if less than size is
// left.
func (b *byteBudget) consume(size int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > b.left {
		return false
	}
	b.left -= size
	return true
}

// rowBytes returns the encoded size of the rows of a response, in bytes.
func rowBytes(response *burlmillv1.QueryResponse) int {
	size := 0
	for _, row := range response.GetRows() {
		size += proto.Size(row)
	}
	return size
}

// merge merges the results of all processes. The error is of kind fault.Unavailable if all of them
// failed.
func (c *Client) merge(parsed *query.Query, results []nodeResult) (Answer, error) {
	answer := Answer{Table: parsed.Table(), QueryCount: len(results)}
	collector := query.NewCollector(parsed, maxRows)
	var problems []error
	for _, result := range results {
		if result.err != nil {
			failure := newFailure(result)
			answer.Failures = append(answer.Failures, failure)
			problems = append(problems, failure.Err)
			continue
		}
		answer.Truncated = answer.Truncated || result.truncated
		for _, row := range result.rows {
			collector.Add(row)
		}
	}
	if len(results) > 0 && len(problems) == len(results) {
		return Answer{}, fault.Wrap(fault.Unavailable, errors.Join(problems...), "no node answered")
	}
	slices.SortFunc(answer.Failures, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), a.Address.Compare(b.Address))
	})
	answer.Rows = collector.Rows()
	answer.Truncated = answer.Truncated || collector.Truncated()
	return answer, nil
}

// newFailure returns the failure of a process. The error contains the id and the address.
func newFailure(failed nodeResult) Failure {
	name := failed.from.control.String()
	if failed.from.id != "" {
		name = failed.from.id + " at " + name
	}
	return Failure{
		Node:    failed.from.id,
		Address: failed.from.control,
		Err:     fault.Wrap(fault.KindOf(failed.err), failed.err, "node %s", name),
	}
}

// ParseEntryPoints parses control addresses of the form IP:PORT. The error is of kind fault.Invalid
// and reports the first address that is not valid.
func ParseEntryPoints(texts []string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fault.InvalidField("node", text, "must be a control address such as 192.0.2.1:7001")
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
