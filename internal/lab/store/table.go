package store

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/objects"
)

// table holds the objects under one version counter. It has no locks: the
// store's owner goroutine is its only user.
type table struct {
	version catalog.Revision
	objects map[catalog.ServiceName]objects.Object
}

func newTable() *table {
	return &table{objects: map[catalog.ServiceName]objects.Object{}}
}

// clone returns an independent copy. Objects are replaced and never changed, so
// both copies may share them.
func (t *table) clone() *table {
	return &table{version: t.version, objects: maps.Clone(t.objects)}
}

// change is one conditional write.
type change struct {
	name        catalog.ServiceName
	expected    catalog.Revision
	deleted     bool
	body        json.RawMessage
	annotations objects.Annotations
}

// apply carries the write out if the object is at the expected version. It
// returns the object as it then stands, and whether the write was applied.
func (t *table) apply(change change) (objects.Object, bool) {
	current := t.objects[change.name]
	current.Name = change.name
	if current.Version != change.expected {
		return current, false
	}
	t.version++
	next := objects.Object{
		Name:        change.name,
		Version:     t.version,
		Deleted:     change.deleted,
		Body:        change.body,
		Annotations: change.annotations,
		History:     extendHistory(current),
	}
	t.objects[change.name] = next
	return next, true
}

func extendHistory(current objects.Object) []objects.HistoryEntry {
	if current.Version == 0 {
		return nil
	}
	latest := objects.HistoryEntry{Version: current.Version, Annotations: current.Annotations}
	history := append([]objects.HistoryEntry{latest}, current.History...)
	return history[:min(len(history), objects.HistoryLimit-1)]
}

// changes returns the objects written after the version, oldest first and without
// their histories.
func (t *table) changes(after catalog.Revision) objects.ChangeList {
	list := objects.ChangeList{Version: t.version, Objects: []objects.Object{}}
	for _, object := range t.objects {
		if object.Version > after {
			object.History = nil
			list.Objects = append(list.Objects, object)
		}
	}
	slices.SortFunc(list.Objects, func(a, b objects.Object) int { return cmp.Compare(a.Version, b.Version) })
	return list
}
