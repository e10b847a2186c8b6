package query

// predicate says whether a row meets a condition.
type predicate func(Row) bool

// Matches says whether the row meets the query's condition. The row must have
// the columns of the query's table.
func (q *Query) Matches(row Row) bool { return q.where == nil || q.where(row) }

// likeOperator compares a text with a pattern.
const likeOperator = "like"

// disjunction compiles a condition; nil gives a predicate that is nil.
func (b *binder) disjunction(parsed *disjunction) (predicate, error) {
	if parsed == nil {
		return nil, nil
	}
	var alternatives []predicate
	for _, term := range parsed.Terms {
		alternative, err := b.conjunction(term)
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

func (b *binder) conjunction(parsed *conjunction) (predicate, error) {
	var conditions []predicate
	for _, term := range parsed.Terms {
		condition, err := b.factor(term)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, condition)
	}
	if len(conditions) == 1 {
		return conditions[0], nil
	}
	return func(row Row) bool {
		for _, condition := range conditions {
			if !condition(row) {
				return false
			}
		}
		return true
	}, nil
}

func (b *binder) factor(parsed *factor) (predicate, error) {
	condition, err := b.operand(parsed)
	if err != nil || !parsed.Negated {
		return condition, err
	}
	return func(row Row) bool { return !condition(row) }, nil
}

// operand compiles what a factor may negate.
func (b *binder) operand(parsed *factor) (predicate, error) {
	if parsed.Group != nil {
		return b.disjunction(parsed.Group)
	}
	return b.comparison(parsed.Comparison)
}

func (b *binder) comparison(parsed *comparison) (predicate, error) {
	index, err := b.column(parsed.Column)
	if err != nil {
		return nil, err
	}
	column := b.table.Columns[index]
	if parsed.Operator == likeOperator {
		return b.like(index, column, &parsed.Value)
	}
	value, err := b.value(column, &parsed.Value)
	if err != nil {
		return nil, err
	}
	holds := ordering(parsed.Operator)
	if column.Type == Address && value.address.Port() == 0 {
		return func(row Row) bool { return holds(row[index].address.Addr().Compare(value.address.Addr())) }, nil
	}
	return func(row Row) bool { return holds(row[index].compare(value)) }, nil
}

// ordering returns whether the operator holds for the result of a comparison.
func ordering(operator string) func(order int) bool {
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
	default: // the grammar leaves >= only
		return func(order int) bool { return order >= 0 }
	}
}

// like compiles a comparison with a pattern, in which % stands for any
// characters and _ for one. An address is compared as it is written.
func (b *binder) like(index int, column Column, written *literal) (predicate, error) {
	if column.Type != Text && column.Type != Address {
		return nil, errorAt(b.text, written.Pos, "", "column %s is of type %s, and like compares texts and addresses",
			column.Name, column.Type)
	}
	pattern, ok := textOf(written)
	if !ok {
		return nil, errorAt(b.text, written.Pos, `a pattern in double quotes, such as "host-%"`, "not a pattern")
	}
	compiled := []rune(pattern.text)
	return func(row Row) bool { return matches(compiled, []rune(row[index].String())) }, nil
}

const (
	anyCharacters = '%'
	oneCharacter  = '_'
)

// matches compares a text with a pattern. After a mismatch only the latest
// anyCharacters takes one character more, so the time is bounded by the product
// of the lengths.
func matches(pattern, text []rune) bool {
	next, position := 0, 0
	resume, resumeAt := -1, 0 // behind the latest anyCharacters, and the text's place there
	for position < len(text) {
		switch {
		case next < len(pattern) && pattern[next] == anyCharacters:
			next++
			resume, resumeAt = next, position
		case next < len(pattern) && (pattern[next] == oneCharacter || pattern[next] == text[position]):
			next++
			position++
		case resume >= 0:
			resumeAt++
			next, position = resume, resumeAt
		default:
			return false
		}
	}
	for next < len(pattern) && pattern[next] == anyCharacters {
		next++
	}
	return next == len(pattern)
}
