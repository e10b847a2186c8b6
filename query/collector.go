package query

import "slices"

// Collector gathers the rows that answer a query and keeps no more of them than
// it has to. Rows of the same query from several collectors can be added to a
// further one. It is not safe for concurrent use.
type Collector struct {
	query *Query
	bound int // rows to keep
	rows  []Row
	left  int // rows that met the condition and were left out
}

// NewCollector returns a collector that keeps the rows that come first in the
// query's order, up to its limit and up to maximum.
func NewCollector(query *Query, maximum int) *Collector {
	return &Collector{query: query, bound: min(query.limit, maximum)}
}

// Add takes the row if it meets the query's condition. The row must not be
// changed afterwards.
func (c *Collector) Add(row Row) {
	if !c.query.Matches(row) {
		return
	}
	c.rows = append(c.rows, row)
	if len(c.rows) > 2*c.bound {
		c.trim()
	}
}

// Rows returns the rows kept, in order. Rows that the order leaves equal are
// ordered by their columns from left to right.
func (c *Collector) Rows() []Row {
	c.trim()
	return c.rows
}

// Truncated says whether rows within the query's limit were left out because of
// the maximum.
func (c *Collector) Truncated() bool {
	c.trim()
	return c.left > 0 && c.bound < c.query.limit
}

func (c *Collector) trim() {
	slices.SortFunc(c.rows, c.query.compare)
	if len(c.rows) > c.bound {
		c.left += len(c.rows) - c.bound
		clear(c.rows[c.bound:])
		c.rows = c.rows[:c.bound]
	}
}

// compare orders two rows as the query asks.
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
