package query

import "slices"

// Collector collects the rows that match a query, sorts them, keeps the first ones in bounded
// memory and reports whether it has discarded rows within the query's limit. Partial results of the
// same query can be merged by adding their rows to another collector. A Collector is not safe for
// concurrent use.
type Collector struct {
	query     *Query
	maxRows   int // maximum number of rows to return, at most the query's limit
	rows      []Row
	discarded int // number of matching rows discarded
}

// NewCollector returns a collector that keeps the first rows in the query's order, up
// to the query's limit or maxRows, whichever is lower.
func NewCollector(query *Query, maxRows int) *Collector {
	return &Collector{query: query, maxRows: min(query.limit, maxRows)}
}

// Add adds the row if it matches the query's condition. The caller must not modify the
// row afterwards.
func (c *Collector) Add(row Row) {
	if !c.query.Matches(row) {
		return
	}
	c.rows = append(c.rows, row)
	if len(c.rows) > 2*c.maxRows {
		c.trim()
	}
}

// Rows returns the collected rows in the query's order. Ties are sorted by the columns
// from left to right.
func (c *Collector) Rows() []Row {
	c.trim()
	return c.rows
}

// Truncated reports whether rows within the query's limit were discarded because of the
// collector's maxRows.
func (c *Collector) Truncated() bool {
	c.trim()
	return c.discarded > 0 && c.maxRows < c.query.limit
}

func (c *Collector) trim() {
	slices.SortFunc(c.rows, c.query.compare)
	if len(c.rows) > c.maxRows {
		c.discarded += len(c.rows) - c.maxRows
		clear(c.rows[c.maxRows:])
		c.rows = c.rows[:c.maxRows]
	}
}

// compare compares two rows in the query's order, and ties by the columns from left to right.
func (q *Query) compare(a, b Row) int {
	for _, key := range q.order {
		order := a[key.index].compare(b[key.index])
		if key.descending {
			order = -order
		}
		if order != 0 {
			return order
		}
	}
	return compareRows(a, b)
}
