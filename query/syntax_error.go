package query

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError says what is wrong with a query's text, and where.
type SyntaxError struct {
	Query    string // the whole text
	Offset   int    // place of the mistake, in bytes from the start of the text
	Problem  string // what stands there
	Expected string // what could stand there, "" if that is not known
}

// Error returns the problem, the line in which it stands and a caret below its place.
func (e *SyntaxError) Error() string {
	text := e.Problem
	if e.Expected != "" {
		text += "; expected " + e.Expected
	}
	line, column := e.place()
	return fmt.Sprintf("%s\n  %s\n  %s^", text, line, strings.Repeat(" ", column))
}

// place returns the line of the mistake and the number of characters before it.
func (e *SyntaxError) place() (line string, column int) {
	before := e.Query[:e.Offset]
	start := strings.LastIndexByte(before, '\n') + 1
	line, _, _ = strings.Cut(e.Query[start:], "\n")
	return strings.ReplaceAll(line, "\t", " "), utf8.RuneCountInString(before[start:])
}

func errorAt(text string, at lexer.Position, expected, problem string, arguments ...any) error {
	return &SyntaxError{Query: text, Offset: at.Offset, Problem: fmt.Sprintf(problem, arguments...), Expected: expected}
}

// syntaxError explains why the grammar refuses the text.
func syntaxError(text string, err error, tables []Table) error {
	var located participle.Error
	if !errors.As(err, &located) {
		return err
	}
	at := located.Position()
	expected := expectedAt(text[:at.Offset], tables)
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return errorAt(text, at, expected, "%s", characterProblem(text[at.Offset:]))
	}
	if unexpected.Unexpected.EOF() {
		return errorAt(text, at, expected, "the query ends too early")
	}
	return errorAt(text, at, expected, "unexpected %q", unexpected.Unexpected.Value)
}

// characterProblem says why no token begins at the start of rest.
func characterProblem(rest string) string {
	if strings.HasPrefix(rest, `"`) {
		return "unreadable text in double quotes"
	}
	first, _ := utf8.DecodeRuneInString(rest)
	return fmt.Sprintf("unexpected character %q", first)
}

// continuation is something that may stand at some place of a query.
type continuation struct {
	sample string // a shortest example of it
	name   string
}

// sampleValue stands where a value may stand, and only there.
const sampleValue = `"x"`

// continuations lists what can follow a part of a query.
var continuations = []continuation{
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

// expectedAt says what may follow the prefix, by trying all that there is.
func expectedAt(prefix string, tables []Table) string {
	if strings.TrimSpace(prefix) == "" {
		return "one of the tables " + tableList(tables)
	}
	value := accepts(prefix, sampleValue)
	var names []string
	for _, candidate := range continuations {
		isColumn := candidate.sample == "x"
		if (isColumn && value) || !accepts(prefix, candidate.sample) {
			continue
		}
		names = append(names, candidate.name+columnsAfter(prefix, isColumn, tables))
	}
	return strings.Join(names, ", ")
}

// columnsAfter lists the columns that a column's name can be taken from.
func columnsAfter(prefix string, isColumn bool, tables []Table) string {
	table := findTable(tables, strings.Fields(prefix)[0])
	if !isColumn || table == nil {
		return ""
	}
	return " (" + strings.Join(table.Names(), " ") + ")"
}

// accepts says whether the grammar goes on after the prefix with the sample.
func accepts(prefix, sample string) bool {
	start := len(prefix) + 1
	_, err := grammar.ParseString("", prefix+" "+sample)
	if err == nil {
		return true
	}
	var located participle.Error
	return sample != "" && errors.As(err, &located) && located.Position().Offset > start
}
