// Package output formats the answer of a query as a table for display, or as JSON or CSV for
// programs, and prints why an answer is incomplete. Its TableWriter and FormatCell also format the
// tables of other commands.
package output

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/burlmill/burlmill/internal/operator/fanout"
	"github.com/burlmill/burlmill/query"
)

// Format is an output format.
type Format string

// Formats of Write.
const (
	Table Format = "table"
	JSON  Format = "json"
	CSV   Format = "csv"
)

// Formats returns all formats as the values of a command line flag.
func Formats() []string { return []string{string(Table), string(JSON), string(CSV)} }

// Write prints the answer in the given format; for an unknown format, it prints a table. In JSON
// and CSV, durations are in seconds. Only JSON contains the failed processes and whether rows were
// left out because of a limit; for the other formats, WriteProblems prints them.
func Write(writer io.Writer, format Format, answer *fanout.Answer) error {
	switch format {
	case JSON:
		return writeJSON(writer, answer)
	case CSV:
		return writeCSV(writer, answer)
	}
	return writeTable(writer, answer)
}

// WriteProblems prints the failed processes and whether rows were left out because of a limit. It
// prints nothing if the answer is complete.
func WriteProblems(writer io.Writer, answer *fanout.Answer) {
	for _, failure := range answer.Failures {
		fmt.Fprintf(writer, "no answer: %v\n", failure.Err)
	}
	if len(answer.Failures) > 0 {
		fmt.Fprintf(writer, "partial result: %d of %d queries to nodes failed\n", len(answer.Failures), answer.QueryCount)
	}
	if answer.Truncated {
		fmt.Fprintln(writer, "partial result: rows are left out because of a limit; narrow the query or raise --limit-bytes")
	}
}

func writeTable(writer io.Writer, answer *fanout.Answer) error {
	table := NewTableWriter(writer)
	var headers []string
	for _, column := range answer.Table.Columns {
		headers = append(headers, strings.ToUpper(column.Name))
	}
	table.WriteRow(headers...)
	for _, row := range answer.Rows {
		var cells []string
		for _, value := range row {
			cells = append(cells, FormatCell(value))
		}
		table.WriteRow(cells...)
	}
	return table.Flush()
}

// durationPrecision is the unit to which durations in tables are rounded.
const durationPrecision = 100 * time.Millisecond

// FormatCell formats a value for display. Empty values become "-", and characters that are not
// printable are replaced.
func FormatCell(value query.Value) string {
	text := value.String()
	if value.Type() == query.Duration {
		text = value.Duration().Round(durationPrecision).String()
	}
	if text == "" {
		return "-"
	}
	return strings.Map(replaceUnprintable, text)
}

// replaceUnprintable replaces non-printable characters, which a terminal could interpret as control
// sequences.
func replaceUnprintable(character rune) rune {
	if unicode.IsPrint(character) {
		return character
	}
	return unicode.ReplacementChar
}

// TableWriter prints rows of cells in aligned columns.
type TableWriter struct{ tabs *tabwriter.Writer }

// NewTableWriter returns a writer that prints its table on Flush.
func NewTableWriter(writer io.Writer) *TableWriter {
	const gap = 2 // spaces between columns
	return &TableWriter{tabs: tabwriter.NewWriter(writer, 0, 0, gap, ' ', 0)}
}

// WriteRow adds a row. Cells must not contain tabs or newlines.
func (w *TableWriter) WriteRow(cells ...string) { fmt.Fprintln(w.tabs, strings.Join(cells, "\t")) }

// Flush prints all added rows.
func (w *TableWriter) Flush() error {
	if err := w.tabs.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// jsonDocument is the JSON form of an answer.
type jsonDocument struct {
	Rows      []map[string]any `json:"rows"`
	Partial   bool             `json:"partial"`
	Truncated bool             `json:"truncated"`
	Failures  []jsonFailure    `json:"unanswered"`
}

// jsonFailure is the JSON form of a fanout.Failure.
type jsonFailure struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Error   string `json:"error"`
}

func writeJSON(writer io.Writer, answer *fanout.Answer) error {
	encoded := jsonDocument{
		Rows:      []map[string]any{},
		Partial:   answer.Partial(),
		Truncated: answer.Truncated,
		Failures:  []jsonFailure{},
	}
	for _, row := range answer.Rows {
		fields := map[string]any{}
		for index, value := range row {
			fields[answer.Table.Columns[index].Name] = machineValue(value)
		}
		encoded.Rows = append(encoded.Rows, fields)
	}
	for _, failure := range answer.Failures {
		encoded.Failures = append(encoded.Failures, jsonFailure{failure.Node, failure.Address.String(), failure.Err.Error()})
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(encoded); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// machineValue returns a value for JSON and CSV: numbers as they are, durations in seconds, and all
// others as text.
func machineValue(value query.Value) any {
	switch value.Type() {
	case query.Number:
		return value.Number()
	case query.Duration:
		return value.Duration().Seconds()
	}
	return value.String()
}

func writeCSV(writer io.Writer, answer *fanout.Answer) error {
	lines := csv.NewWriter(writer)
	_ = lines.Write(answer.Table.ColumnNames()) // lines.Error returns this error
	for _, row := range answer.Rows {
		var cells []string
		for _, value := range row {
			cells = append(cells, fmt.Sprint(machineValue(value)))
		}
		_ = lines.Write(cells)
	}
	lines.Flush()
	if err := lines.Error(); err != nil {
		return fmt.Errorf("write CSV: %w", err)
	}
	return nil
}
