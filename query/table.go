// This file defines the description of a table and its typed columns, looks up tables and columns
// by name, and lists them for error messages.

package query

import (
	"slices"
	"strings"
)

// Column is one typed column of a table.
type Column struct {
	Name string
	Type Type
	Help string // meaning, in a few words
}

// Table describes the rows of one table.
type Table struct {
	Name    string
	Help    string // what a row is, in a few words
	Columns []Column
}

// ColumnIndex returns the index of a column in a row, or -1 if the table has no such column.
func (t *Table) ColumnIndex(name string) int {
	return slices.IndexFunc(t.Columns, func(column Column) bool { return column.Name == name })
}

// ColumnNames returns the names of the columns in the order of a row's values.
func (t *Table) ColumnNames() []string {
	names := make([]string, 0, len(t.Columns))
	for _, column := range t.Columns {
		names = append(names, column.Name)
	}
	return names
}

// columnList returns the columns with their types, for error messages.
func (t *Table) columnList() string {
	var described []string
	for _, column := range t.Columns {
		described = append(described, column.Name+" ("+column.Type.String()+")")
	}
	return strings.Join(described, ", ")
}

// findTable returns the table with the given name, or nil if there is none.
func findTable(tables []Table, name string) *Table {
	index := slices.IndexFunc(tables, func(table Table) bool { return table.Name == name })
	if index < 0 {
		return nil
	}
	return &tables[index]
}

func tableList(tables []Table) string {
	var names []string
	for _, table := range tables {
		names = append(names, table.Name)
	}
	return strings.Join(names, ", ")
}
