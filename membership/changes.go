// This file queues the latest changes of the table for gossip, urgent ones first, and defines the
// cursors that mark how far a neighbour has received them. Only a limited number of changes is
// retained.

package membership

import "slices"

// journalCapacity is the minimum number of latest changes that a full journal retains.
// Neighbours that have missed older ones receive them by comparing tables.
const journalCapacity = 1024

// Cursor is a neighbour's position in the sequences of urgent and ordinary changes: the sequence
// number of the next change of each class. The zero value precedes all changes.
type Cursor struct {
	urgent, ordinary uint64
}

// Rewind returns the cursor moved back by the number of changes in each class, at most to before
// the first change.
func (c Cursor) Rewind(changes uint64) Cursor {
	return Cursor{c.urgent - min(c.urgent, changes), c.ordinary - min(c.ordinary, changes)}
}

// Max returns the cursor that has, in each class, the later position of the two cursors.
func (c Cursor) Max(other Cursor) Cursor {
	return Cursor{max(c.urgent, other.urgent), max(c.ordinary, other.ordinary)}
}

// change is a record that was added to the table or replaced an older one.
type change struct {
	member *Member
	source string // ID of the neighbour that sent it, empty if it originated here
}

// journal holds the latest changes, oldest first.
type journal struct {
	changes []change
	first   uint64 // sequence number of changes[0]
}

func (j *journal) add(added change) {
	j.changes = append(j.changes, added)
	if len(j.changes) < 2*journalCapacity {
		return
	}
	surplus := len(j.changes) - journalCapacity
	j.changes = slices.Clone(j.changes[surplus:])
	j.first += uint64(surplus)
}

func (j *journal) end() uint64 { return j.first + uint64(len(j.changes)) }

// changeQueue holds the changes to gossip in two classes. Changes to members that are not alive
// are urgent and sent before the others.
type changeQueue struct {
	urgent, ordinary journal
}

func (q *changeQueue) add(added change) {
	if added.member.Status == Alive {
		q.ordinary.add(added)
		return
	}
	q.urgent.add(added)
}

func (q *changeQueue) end() Cursor { return Cursor{q.urgent.end(), q.ordinary.end()} }

// collect returns up to limit changes after the cursor, and the cursor after them. It skips
// changes received from the neighbour itself and records that have been replaced.
func (q *changeQueue) collect(table *Table, after Cursor, neighbour string, limit int) ([]*Member, Cursor) {
	records, urgent := q.urgent.collect(nil, table, after.urgent, neighbour, limit)
	records, ordinary := q.ordinary.collect(records, table, after.ordinary, neighbour, limit)
	return records, Cursor{urgent, ordinary}
}

// hasUrgentFor reports whether there is an urgent change for the neighbour after the cursor.
func (q *changeQueue) hasUrgentFor(table *Table, after Cursor, neighbour string) bool {
	records, _ := q.urgent.collect(nil, table, after.urgent, neighbour, 1)
	return len(records) > 0
}

// collect appends the changes from the sequence number after on, until there are limit records, and
// also returns the sequence number to continue from.
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
