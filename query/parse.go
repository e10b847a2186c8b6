// This file parses the text of a query, resolves its table and columns, and converts its literals.
// Queries that exceed a limit on length or parentheses are rejected.

package query

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/xhit/go-str2duration/v2"

	"github.com/burlmill/burlmill/fault"
)

// Limits on the text of a query.
const (
	MaxQuerySize   = 4096 // bytes
	MaxParentheses = 64   // opening parentheses, including those in quotes
)

// Query is a parsed query. It is immutable and safe for concurrent use.
type Query struct {
	table *Table
	where predicate
	order []sortKey
	limit int // NoLimit if there is none
}

// NoLimit is the limit of a query that has none.
const NoLimit = math.MaxInt

// sortKey is one column of the sort order.
type sortKey struct {
	index      int
	descending bool
}

// Parse parses a query against the given tables. Errors are of kind fault.Invalid and wrap a
// *SyntaxError, unless the text exceeds a limit.
func Parse(text string, tables []Table) (*Query, error) {
	if len(text) > MaxQuerySize {
		return nil, fault.New(fault.Invalid, "query has %d bytes; the maximum is %d", len(text), MaxQuerySize)
	}
	if count := strings.Count(text, "("); count > MaxParentheses {
		return nil, fault.New(fault.Invalid, "query has %d opening parentheses; the maximum is %d", count, MaxParentheses)
	}
	parsed, err := grammar.ParseString("", text)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, convertParserError(text, err, tables), "query")
	}
	query, err := bind(text, parsed, tables)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "query")
	}
	return query, nil
}

// Table returns the table that the query reads.
func (q *Query) Table() *Table { return q.table }

// Limit returns the maximum number of rows, or NoLimit if the query has no limit.
func (q *Query) Limit() int { return q.limit }

// binder resolves the elements of a statement against its table and compiles its condition.
type binder struct {
	text  string
	table *Table
}

func bind(text string, parsed *statement, tables []Table) (*Query, error) {
	table := findTable(tables, parsed.Table.Text)
	if table == nil {
		return nil, newSyntaxError(text, parsed.Table.Pos, "one of "+tableList(tables), "unknown table %q", parsed.Table.Text)
	}
	b := binder{text: text, table: table}
	where, err := b.compileDisjunction(parsed.Where)
	if err != nil {
		return nil, err
	}
	order, err := b.resolveOrder(parsed.Order)
	if err != nil {
		return nil, err
	}
	limit, err := b.limit(parsed.LimitCount)
	if err != nil {
		return nil, err
	}
	return &Query{table: table, where: where, order: order, limit: limit}, nil
}

func (b *binder) resolveColumn(column identifier) (index int, err error) {
	index = b.table.ColumnIndex(column.Text)
	if index < 0 {
		return 0, newSyntaxError(b.text, column.Pos, "one of "+b.table.columnList(),
			"table %s has no column %q", b.table.Name, column.Text)
	}
	return index, nil
}

func (b *binder) resolveOrder(terms []sortTerm) ([]sortKey, error) {
	var keys []sortKey
	for _, term := range terms {
		index, err := b.resolveColumn(term.Column)
		if err != nil {
			return nil, err
		}
		keys = append(keys, sortKey{index: index, descending: term.Descending})
	}
	return keys, nil
}

func (b *binder) limit(count *literal) (int, error) {
	if count == nil {
		return NoLimit, nil
	}
	if count.Number != nil {
		limit, err := strconv.ParseUint(*count.Number, 10, 31)
		if err == nil {
			return int(limit), nil
		}
	}
	return 0, newSyntaxError(b.text, count.Pos, "a whole number from 0", "invalid limit")
}

// convertLiteral converts a literal to a value of the column's type.
func (b *binder) convertLiteral(column Column, lit *literal) (Value, error) {
	var value Value
	ok := false
	expected := ""
	switch column.Type {
	case Text:
		value, ok = textOf(lit)
		expected = "a text, in double quotes unless it is one word"
	case Number:
		value, ok = numberOf(lit)
		expected = "a whole number"
	case Duration:
		value, ok = durationOf(lit)
		expected = "a duration such as 90s, 10m or 2d"
	case Address:
		value, ok = addressOf(lit)
		expected = "an address such as 192.0.2.1 or 192.0.2.1:443"
	}
	if !ok {
		return Value{}, newSyntaxError(b.text, lit.Pos, expected, "column %s is of type %s", column.Name, column.Type)
	}
	return value, nil
}

func textOf(lit *literal) (Value, bool) {
	switch {
	case lit.Quoted != nil:
		return TextValue(*lit.Quoted), true
	case lit.Word != nil:
		return TextValue(*lit.Word), true
	}
	return Value{}, false
}

func numberOf(lit *literal) (Value, bool) {
	if lit.Number == nil {
		return Value{}, false
	}
	number, err := strconv.ParseInt(*lit.Number, 10, 64)
	return NumberValue(number), err == nil
}

func durationOf(lit *literal) (Value, bool) {
	if lit.Duration == nil {
		return Value{}, false
	}
	duration, err := str2duration.ParseDuration(*lit.Duration)
	return DurationValue(time.Duration(duration)), err == nil
}

// addressOf converts a literal to an address. The port is 0 if the literal has none.
func addressOf(lit *literal) (Value, bool) {
	text := lit.Address
	if text == nil {
		text = lit.Quoted
	}
	if text == nil {
		return Value{}, false
	}
	if address, err := netip.ParseAddrPort(*text); err == nil {
		return AddressValue(address), true
	}
	bare := *text
	if len(bare) > 1 && bare[0] == '[' && bare[len(bare)-1] == ']' {
		bare = bare[1 : len(bare)-1]
	}
	address, err := netip.ParseAddr(bare)
	return AddressValue(netip.AddrPortFrom(address, 0)), err == nil
}
