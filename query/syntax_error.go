// This file defines SyntaxError and builds the errors for malformed queries, with the position of
// the error and the elements that would be valid there.

package query

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError describes an error in the text of a query and its position.
type SyntaxError struct {
	Query    string // the whole query
	Offset   int    // position of the error, in bytes from the start of the query
	Problem  string // what is wrong at the position
	Expected string // what would be valid at the position, "" if unknown
}

// Error returns the problem, followed by the line with the error and a caret below its position.
func (e *SyntaxError) Error() string {
	text := e.Problem
	if e.Expected != "" {
		text += "; expected " + e.Expected
	}
	line, column := e.location()
	return fmt.Sprintf("%s\n  %s\n  %s^", text, line, strings.Repeat(" ", column))
}

// location returns the line with the error and the number of characters before the error in it.
func (e *SyntaxError) location() (line string, column int) {
	before := e.Query[:e.Offset]
	start := strings.LastIndexByte(before, '\n') + 1
	line, _, _ = strings.Cut(e.Query[start:], "\n")
	return strings.ReplaceAll(line, "\t", " "), utf8.RuneCountInString(before[start:])
}

// newSyntaxError returns a *SyntaxError at the position. The problem is a format string for the
// arguments.
func newSyntaxError(text string, position lexer.Position, expected, problem string, arguments ...any) error {
	return &SyntaxError{Query: text, Offset: position.Offset, Problem: fmt.Sprintf(problem, arguments...), Expected: expected}
}

// convertParserError converts an error of the parser library to a *SyntaxError that also lists what
// would be valid at its position. It returns other errors unchanged.
func convertParserError(text string, err error, tables []Table) error {
	var parserError participle.Error
	if !errors.As(err, &parserError) {
		return err
	}
	position := parserError.Position()
	expected := expectedAt(text[:position.Offset], tables)
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return newSyntaxError(text, position, expected, "%s", characterProblem(text[position.Offset:]))
	}
	if unexpected.Unexpected.EOF() {
		return newSyntaxError(text, position, expected, "unexpected end of query")
	}
	return newSyntaxError(text, position, expected, "unexpected %q", unexpected.Unexpected.Value)
}

// characterProblem describes why rest does not start with a token.
func characterProblem(rest string) string {
	if strings.HasPrefix(rest, `"`) {
		return "malformed text in double quotes"
	}
	first, _ := utf8.DecodeRuneInString(rest)
	return fmt.Sprintf("unexpected character %q", first)
}

// grammarElement is an element of the grammar that can follow a prefix of a query.
type grammarElement struct {
	sample string // shortest text with which the element starts
	name   string // description in error messages
}

// sampleValue is accepted only where a value is allowed.
const sampleValue = `"x"`

// grammarElements lists all elements that can follow a prefix, in the order in which error messages
// list them.
var grammarElements = []grammarElement{
	{"x", "a column"},
	{"=", "one of = != < <= > >= like"},
	{sampleValue, "a value"},
	{"where", "where"},
	{"not", "not"},
	{"(", "("},
	{"and", "and"},
	{"or", "or"},
	{")", ")"},
	{"order", "order by"},
	{"by", "by"},
	{"desc", "asc, desc"},
	{",", "a comma"},
	{"limit", "limit"},
	{"", "the end"},
}

// expectedAt lists the elements that the grammar allows after the prefix. It parses the prefix with
// the sample of each element appended.
func expectedAt(prefix string, tables []Table) string {
	if strings.TrimSpace(prefix) == "" {
		return "one of the tables " + tableList(tables)
	}
	acceptsValue := accepts(prefix, sampleValue)
	var names []string
	for _, candidate := range grammarElements {
		// The sample of a column is a word, which the grammar also accepts as a value. If the
		// sample is accepted, a column is therefore allowed only where no value is.
		isColumn := candidate.sample == "x"
		if (isColumn && acceptsValue) || !accepts(prefix, candidate.sample) {
			continue
		}
		names = append(names, candidate.name+columnHint(prefix, isColumn, tables))
	}
	return strings.Join(names, ", ")
}

// columnHint lists the columns of the query's table if isColumn is true.
func columnHint(prefix string, isColumn bool, tables []Table) string {
	table := findTable(tables, strings.Fields(prefix)[0])
	if !isColumn || table == nil {
		return ""
	}
	return " (" + strings.Join(table.ColumnNames(), " ") + ")"
}

// accepts reports whether the grammar allows the sample after the prefix, even if the query is then
// still incomplete. In that case the parser reports an error, but at a position after the start of
// the sample. The empty sample is accepted if the prefix is a complete query.
func accepts(prefix, sample string) bool {
	start := len(prefix) + 1
	_, err := grammar.ParseString("", prefix+" "+sample)
	if err == nil {
		return true
	}
	var parserError participle.Error
	return sample != "" && errors.As(err, &parserError) && parserError.Position().Offset > start
}
