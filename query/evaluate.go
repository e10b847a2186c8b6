// This file compiles the condition of a query to a predicate on rows: and, or, not, comparisons and
// like patterns. It rejects unknown columns and literals that do not suit the column or operator.
// Query.Matches applies the predicate to a row.

package query

// predicate reports whether a row matches a condition or a part of one.
type predicate func(Row) bool

// Matches reports whether the row matches the query's condition. The row must have the
// columns of the query's table.
func (q *Query) Matches(row Row) bool { return q.where == nil || q.where(row) }

// likeOperator is the operator that matches a text against a pattern.
const likeOperator = "like"

// compileDisjunction compiles a whole condition or a group in parentheses. It returns a nil
// predicate if parsed is nil.
func (b *binder) compileDisjunction(parsed *disjunction) (predicate, error) {
	if parsed == nil {
		return nil, nil
	}
	var alternatives []predicate
	for _, term := range parsed.Terms {
		alternative, err := b.compileConjunction(term)
		if err != nil {
			return nil, err
		}
		alternatives = append(alternatives, alternative)
	}
	if len(alternatives) == 1 {
		return alternatives[0], nil
	}
	return func(row Row) bool {
		for _, alternative := range alternatives {
			if alternative(row) {
				return true
			}
		}
		return false
	}, nil
}

func (b *binder) compileConjunction(parsed *conjunction) (predicate, error) {
	var operands []predicate
	for _, term := range parsed.Terms {
		operand, err := b.compileFactor(term)
		if err != nil {
			return nil, err
		}
		operands = append(operands, operand)
	}
	if len(operands) == 1 {
		return operands[0], nil
	}
	return func(row Row) bool {
		for _, operand := range operands {
			if !operand(row) {
				return false
			}
		}
		return true
	}, nil
}

func (b *binder) compileFactor(parsed *factor) (predicate, error) {
	operand, err := b.compileUnnegatedFactor(parsed)
	if err != nil || !parsed.Negated {
		return operand, err
	}
	return func(row Row) bool { return !operand(row) }, nil
}

// compileUnnegatedFactor compiles the group or comparison of a factor and ignores its negation.
func (b *binder) compileUnnegatedFactor(parsed *factor) (predicate, error) {
	if parsed.Group != nil {
		return b.compileDisjunction(parsed.Group)
	}
	return b.compileComparison(parsed.Comparison)
}

func (b *binder) compileComparison(parsed *comparison) (predicate, error) {
	index, err := b.resolveColumn(parsed.Column)
	if err != nil {
		return nil, err
	}
	column := b.table.Columns[index]
	if parsed.Operator == likeOperator {
		return b.compileLike(index, column, &parsed.Value)
	}
	value, err := b.convertLiteral(column, &parsed.Value)
	if err != nil {
		return nil, err
	}
	holds := operatorTest(parsed.Operator)
	// If the literal has no port, only the IP addresses are compared.
	if column.Type == Address && value.address.Port() == 0 {
		return func(row Row) bool { return holds(row[index].address.Addr().Compare(value.address.Addr())) }, nil
	}
	return func(row Row) bool { return holds(row[index].compare(value)) }, nil
}

// operatorTest returns a function that applies the operator to the result of a three-way
// comparison.
func operatorTest(operator string) func(order int) bool {
	switch operator {
	case "=":
		return func(order int) bool { return order == 0 }
	case "!=":
		return func(order int) bool { return order != 0 }
	case "<":
		return func(order int) bool { return order < 0 }
	case "<=":
		return func(order int) bool { return order <= 0 }
	case ">":
		return func(order int) bool { return order > 0 }
	default: // the grammar allows only >= here
		return func(order int) bool { return order >= 0 }
	}
}

// compileLike compiles a pattern match. In a pattern, % matches any sequence of characters and
// _ matches one character. An address is matched in its text form.
func (b *binder) compileLike(index int, column Column, lit *literal) (predicate, error) {
	if column.Type != Text && column.Type != Address {
		return nil, newSyntaxError(b.text, lit.Pos, "", "column %s is of type %s; like applies only to text and address columns",
			column.Name, column.Type)
	}
	pattern, ok := textOf(lit)
	if !ok {
		return nil, newSyntaxError(b.text, lit.Pos, `a pattern in double quotes, such as "host-%"`, "invalid pattern")
	}
	compiled := []rune(pattern.text)
	return func(row Row) bool { return matchesPattern(compiled, []rune(row[index].String())) }, nil
}

const (
	anyCharacters = '%'
	oneCharacter  = '_'
)

// matchesPattern reports whether the pattern matches the whole text. After a mismatch it backtracks
// only to the latest anyCharacters, which then matches one more character, so the time is bounded
// by the product of the lengths.
func matchesPattern(pattern, text []rune) bool {
	patternIndex, textIndex := 0, 0
	resumePattern, resumeText := -1, 0 // where to resume after the latest anyCharacters
	for textIndex < len(text) {
		switch {
		case patternIndex < len(pattern) && pattern[patternIndex] == anyCharacters:
			patternIndex++
			resumePattern, resumeText = patternIndex, textIndex
		case patternIndex < len(pattern) && (pattern[patternIndex] == oneCharacter || pattern[patternIndex] == text[textIndex]):
			patternIndex++
			textIndex++
		case resumePattern >= 0:
			resumeText++
			patternIndex, textIndex = resumePattern, resumeText
		default:
			return false
		}
	}
	for patternIndex < len(pattern) && pattern[patternIndex] == anyCharacters {
		patternIndex++
	}
	return patternIndex == len(pattern)
}
