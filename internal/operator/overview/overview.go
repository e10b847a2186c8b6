// Package overview collects and prints the status page of a deployment: the configuration versions
// that its nodes use, the configurations that nodes refused, the numbers of nodes by role and
// status, and the services with their back ends. It also prints which parts of the page are
// incomplete.
package overview

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/burlmill/burlmill/internal/operator/fanout"
	"github.com/burlmill/burlmill/internal/operator/output"
	"github.com/burlmill/burlmill/internal/status"
	"github.com/burlmill/burlmill/query"
)

// Overview contains the rows of the tables versions, nodes, services and backends, from which the
// status page is printed.
type Overview struct {
	Versions fanout.Answer
	Nodes    fanout.Answer
	Services fanout.Answer
	Backends fanout.Answer
}

// Collect queries the tables of the status page concurrently. The error is of kind
// fault.Unavailable if no node answers one of the queries.
func Collect(ctx context.Context, client *fanout.Client) (Overview, error) {
	var overview Overview
	group, ctx := errgroup.WithContext(ctx)
	runQuery := func(text string, answer *fanout.Answer) {
		group.Go(func() (err error) {
			*answer, err = client.Query(ctx, text)
			return err
		})
	}
	runQuery(status.TableVersions, &overview.Versions)
	runQuery(status.TableNodes, &overview.Nodes)
	runQuery(status.TableServices, &overview.Services)
	runQuery(status.TableBackends, &overview.Backends)
	return overview, group.Wait()
}

// WriteProblems prints the problems of each partial answer, and nothing if the page is complete.
func (o *Overview) WriteProblems(writer io.Writer) {
	for _, answer := range []*fanout.Answer{&o.Versions, &o.Nodes, &o.Services, &o.Backends} {
		if answer.Partial() {
			fmt.Fprintf(writer, "%s:\n", answer.Table.Name)
			output.WriteProblems(writer, answer)
		}
	}
}

// Write prints the page.
func (o *Overview) Write(writer io.Writer) error {
	o.writeVersions(writer)
	o.writeNodes(writer)
	return o.writeServices(writer)
}

// cellText returns the value of a column, formatted for display. An empty value becomes "-".
func cellText(answer *fanout.Answer, row query.Row, column string) string {
	return output.FormatCell(cellValue(answer, row, column))
}

func cellValue(answer *fanout.Answer, row query.Row, column string) query.Value {
	return row[answer.Table.ColumnIndex(column)]
}

// countByText returns each distinct text, preceded by its number of occurrences, sorted by text.
func countByText(texts []string) []string {
	occurrences := map[string]int{}
	for _, text := range texts {
		occurrences[text]++
	}
	var counted []string
	for _, text := range slices.Sorted(maps.Keys(occurrences)) {
		counted = append(counted, fmt.Sprintf("%d %s", occurrences[text], text))
	}
	return counted
}

func (o *Overview) writeVersions(writer io.Writer) {
	var versions []string
	for _, row := range o.Versions.Rows {
		versions = append(versions, fmt.Sprintf("at revision %s (digest %s)",
			cellText(&o.Versions, row, status.ColumnRevision), cellText(&o.Versions, row, status.ColumnDigest)))
	}
	fmt.Fprintf(writer, "configuration: %s\n", strings.Join(countByText(versions), ", "))
	for _, row := range o.Versions.Rows {
		if refused := cellText(&o.Versions, row, status.ColumnRefused); refused != "" {
			fmt.Fprintf(writer, "refused by %s: %s\n", cellText(&o.Versions, row, status.ColumnNode), refused)
		}
	}
}

func (o *Overview) writeNodes(writer io.Writer) {
	var states []string
	for _, row := range o.Nodes.Rows {
		states = append(states, cellText(&o.Nodes, row, status.ColumnRole)+" "+cellText(&o.Nodes, row, status.ColumnStatus))
	}
	fmt.Fprintf(writer, "nodes: %s\n", strings.Join(countByText(states), ", "))
}

// backendColumns are the columns of the back end list.
var backendColumns = []string{
	status.ColumnBackend, status.ColumnSite, status.ColumnState, status.ColumnNode, status.ColumnReachable,
	status.ColumnFlows, status.ColumnBusy, status.ColumnSlots, status.ColumnRefusals,
}

func (o *Overview) writeServices(writer io.Writer) error {
	for _, service := range o.Services.Rows {
		name := cellValue(&o.Services, service, status.ColumnName).Text()
		fmt.Fprintf(writer, "\nservice %s: %s at %s, revision %s, shares %s\n",
			cellText(&o.Services, service, status.ColumnName),
			cellText(&o.Services, service, status.ColumnProtocol),
			cellText(&o.Services, service, status.ColumnAddress),
			cellText(&o.Services, service, status.ColumnRevision),
			cellText(&o.Services, service, status.ColumnShares))
		if err := o.writeBackends(writer, name); err != nil {
			return err
		}
	}
	return nil
}

func (o *Overview) writeBackends(writer io.Writer, service string) error {
	table := output.NewTableWriter(writer)
	table.WriteRow(headerCells(backendColumns)...)
	for _, row := range o.Backends.Rows {
		if cellValue(&o.Backends, row, status.ColumnService).Text() != service {
			continue
		}
		var cells []string
		for _, column := range backendColumns {
			cells = append(cells, cellText(&o.Backends, row, column))
		}
		table.WriteRow(indentFirstCell(cells)...)
	}
	return table.Flush()
}

func headerCells(columns []string) []string {
	var headers []string
	for _, column := range columns {
		headers = append(headers, strings.ToUpper(column))
	}
	return indentFirstCell(headers)
}

// indentFirstCell indents the first cell of a row in place and returns the row.
func indentFirstCell(cells []string) []string {
	cells[0] = "  " + cells[0]
	return cells
}
