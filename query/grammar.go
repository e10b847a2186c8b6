// This file defines the grammar, the tokens and the reserved keywords of the query language, and
// builds the parser.

package query

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The types below define the grammar. The parser sets each field Pos to the start of the
// element in the text.

type statement struct {
	Table      identifier   `parser:"@@"`
	Where      *disjunction `parser:"( 'where':Keyword @@ )?"`
	Order      []sortTerm   `parser:"( 'order':Keyword 'by':Keyword @@ ( ',' @@ )* )?"`
	LimitCount *literal     `parser:"( 'limit':Keyword @@ )?"`
}

type identifier struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

type sortTerm struct {
	Column     identifier `parser:"@@"`
	Descending bool       `parser:"( @'desc':Keyword | 'asc':Keyword )?"`
}

type disjunction struct {
	Terms []*conjunction `parser:"@@ ( 'or':Keyword @@ )*"`
}

type conjunction struct {
	Terms []*factor `parser:"@@ ( 'and':Keyword @@ )*"`
}

type factor struct {
	Negated    bool         `parser:"@'not':Keyword?"`
	Group      *disjunction `parser:"( '(' @@ ')'"`
	Comparison *comparison  `parser:"| @@ )"`
}

type comparison struct {
	Column   identifier `parser:"@@"`
	Operator string     `parser:"@( Operator | 'like':Keyword )"`
	Value    literal    `parser:"@@"`
}

// literal is an unconverted value. Exactly one of the fields other than Pos is set.
type literal struct {
	Pos      lexer.Position
	Quoted   *string `parser:"@String"`
	Word     *string `parser:"| @Word"`
	Address  *string `parser:"| @Address"`
	Duration *string `parser:"| @Duration"`
	Number   *string `parser:"| @Number"`
}

// keywords are reserved: they cannot name tables or columns, and as texts they must be quoted.
var keywords = []string{"where", "order", "by", "limit", "and", "or", "not", "like", "asc", "desc"}

// neverMatches is the pattern of the token type Keyword, which only mapKeyword assigns.
const neverMatches = `[^\x00-\x{10FFFF}]`

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(?:\\.|[^"\\])*"`},
	{Name: "Address", Pattern: `(?:[0-9]{1,3}\.){3}[0-9]{1,3}(?::[0-9]+)?|\[[0-9A-Fa-f:.]+\](?::[0-9]+)?`},
	{Name: "Duration", Pattern: `(?:[0-9]+(?:\.[0-9]+)?(?:ns|us|ms|s|m|h|d))+`},
	{Name: "Number", Pattern: `-?[0-9]+`},
	{Name: "Word", Pattern: `[\pL_][\pL\pN_.-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Punctuation", Pattern: `[(),]`},
	{Name: "Keyword", Pattern: neverMatches},
})

var grammar = participle.MustBuild[statement](
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.Map(mapKeyword, "Word"),
	// Without lookahead the first token selects the grammar branch, so a later error is
	// reported at its position in that branch.
	participle.UseLookahead(0),
)

// mapKeyword converts a word token that is a keyword, in any case, to a Keyword token.
func mapKeyword(token lexer.Token) (lexer.Token, error) {
	lowered := strings.ToLower(token.Value)
	if slices.Contains(keywords, lowered) {
		token.Type = tokens.Symbols()["Keyword"]
		token.Value = lowered
	}
	return token, nil
}
