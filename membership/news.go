package membership

import "slices"

// newsCapacity is the number of changes that a member remembers in order to
// tell them to its neighbours. What a neighbour missed beyond that, it gets by
// comparing tables.
const newsCapacity = 1024

// Cursor is how far one neighbour has been told the news.
type Cursor struct {
	urgent, ordinary uint64
}

// Back returns the cursor some changes earlier in each class.
func (c Cursor) Back(changes uint64) Cursor {
	return Cursor{c.urgent - min(c.urgent, changes), c.ordinary - min(c.ordinary, changes)}
}

// Max returns the later of two cursors in each class.
func (c Cursor) Max(other Cursor) Cursor {
	return Cursor{max(c.urgent, other.urgent), max(c.ordinary, other.ordinary)}
}

// change is one record that replaced another, and who told it.
type change struct {
	member *Member
	source string
}

// journal keeps the latest changes in the order in which they happened.
type journal struct {
	changes []change
	first   uint64 // sequence number of changes[0]
}

func (j *journal) add(added change) {
	j.changes = append(j.changes, added)
	if len(j.changes) < 2*newsCapacity {
		return
	}
	surplus := len(j.changes) - newsCapacity
	j.changes = slices.Clone(j.changes[surplus:])
	j.first += uint64(surplus)
}

func (j *journal) end() uint64 { return j.first + uint64(len(j.changes)) }

// news gives changes in two classes: members that are leaving or gone go ahead
// of all others.
type news struct {
	urgent, ordinary journal
}

func (n *news) add(added change) {
	if added.member.Status == Alive {
		n.ordinary.add(added)
		return
	}
	n.urgent.add(added)
}

func (n *news) end() Cursor { return Cursor{n.urgent.end(), n.ordinary.end()} }

// collect returns up to limit changes after the cursor that did not come from
// the neighbour itself and are still current, and the cursor behind them.
func (n *news) collect(table *Table, after Cursor, neighbour string, limit int) ([]*Member, Cursor) {
	records, urgent := n.urgent.collect(nil, table, after.urgent, neighbour, limit)
	records, ordinary := n.ordinary.collect(records, table, after.ordinary, neighbour, limit)
	return records, Cursor{urgent, ordinary}
}

// urgentFor says whether the neighbour lacks an urgent change.
func (n *news) urgentFor(table *Table, after Cursor, neighbour string) bool {
	records, _ := n.urgent.collect(nil, table, after.urgent, neighbour, 1)
	return len(records) > 0
}

func (j *journal) collect(records []*Member, table *Table, after uint64, neighbour string, limit int) ([]*Member, uint64) {
	next := max(after, j.first)
	for next < j.end() && len(records) < limit {
		candidate := j.changes[next-j.first]
		next++
		if candidate.source != neighbour && table.Get(candidate.member.ID) == candidate.member {
			records = append(records, candidate.member)
		}
	}
	return records, next
}
