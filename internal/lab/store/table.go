package store

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/objects"
)

// table holds the objects of a store. It applies conditional writes, lists the changes after a
// version, keeps deleted objects as tombstones, and stores with each object the annotations of its
// previous writes. All objects share one version counter; a version is a catalog.Revision. It is
// not safe for concurrent use: only the goroutine of Store.run may access it.
type table struct {
	version catalog.Revision // of the latest write to any object
	objects map[catalog.ServiceName]objects.Object
}

func newTable() *table {
	return &table{objects: map[catalog.ServiceName]objects.Object{}}
}

// clone returns an independent copy. Objects are never modified, only replaced, so the copies share
// them.
func (t *table) clone() *table {
	return &table{version: t.version, objects: maps.Clone(t.objects)}
}

// conditionalWrite writes or deletes an object if the object is at the expected version.
type conditionalWrite struct {
	name        catalog.ServiceName
	expected    catalog.Revision
	deleted     bool
	body        json.RawMessage
	annotations objects.Annotations
}

// apply applies the write if the object is at the expected version, which is 0 for a new object. It
// returns the resulting object, or the current one if there is a conflict, and whether the write
// was applied.
func (t *table) apply(write conditionalWrite) (objects.Object, bool) {
	current := t.objects[write.name]
	current.Name = write.name
	if current.Version != write.expected {
		return current, false
	}
	t.version++
	next := objects.Object{
		Name:        write.name,
		Version:     t.version,
		Deleted:     write.deleted,
		Body:        write.body,
		Annotations: write.annotations,
		History:     extendHistory(current),
	}
	t.objects[write.name] = next
	return next, true
}

// extendHistory returns the history of the version that follows the current one, latest entry
// first. It omits the oldest entry if there would be objects.HistoryLimit of them.
func extendHistory(current objects.Object) []objects.HistoryEntry {
	if current.Version == 0 {
		return nil
	}
	latest := objects.HistoryEntry{Version: current.Version, Annotations: current.Annotations}
	history := append([]objects.HistoryEntry{latest}, current.History...)
	return history[:min(len(history), objects.HistoryLimit-1)]
}

// changes returns the objects written after the version, including deleted ones, oldest first and
// without their histories.
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
