// This file decodes the responses of the API that contain what others have written: objects, lists
// of changed objects and the machine list. One malformed entry does not spoil the others, whatever
// its content, so bodies stay encoded and fields that nobody needs are not decoded.

package objects

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/entry"
)

// parseChanges decodes a ChangeList. Errors are of kind fault.Invalid.
func parseChanges(encoded []byte) (Changes, error) {
	fields := entry.Scan("change list", encoded, len(encoded))
	changes := Changes{Revision: catalog.Revision(fields.Int("version", 0, math.MaxInt64))}
	items := optionalList(fields, "objects")
	if err := fields.Err(); err != nil {
		return Changes{}, err
	}
	for _, item := range items {
		object, err := parseObject(item, changes.Revision)
		if err != nil {
			changes.Skipped = append(changes.Skipped, err)
			continue
		}
		if object.isInternal() {
			continue
		}
		changes.Objects = append(changes.Objects, catalog.Object{Name: object.Name, Revision: object.Version, Deleted: object.Deleted, Body: object.Body})
	}
	return changes, nil
}

// parseObject decodes an object without its annotations. Its version must be one that the store has
// reached, since a later one would hide all further changes. Errors are of kind fault.Invalid.
func parseObject(encoded []byte, latest catalog.Revision) (Object, error) {
	return readObject(entry.Scan("object", encoded, len(encoded)), latest)
}

func readObject(fields *entry.Object, latest catalog.Revision) (Object, error) {
	object := Object{Name: catalog.ServiceName(fields.Name("name"))}
	fields.SetLabel("object " + entry.Truncate(string(object.Name)))
	object.Version = catalog.Revision(fields.Int("version", 1, int64(latest)))
	object.Deleted = fields.Has("deleted") && fields.Bool("deleted")
	object.Body = fields.Raw("body")
	if err := fields.Err(); err != nil {
		return Object{}, err
	}
	return object, nil
}

// decodeObject decodes the response with the named object into object. With malformed annotations or
// history, the object does not show whether a command was applied. Errors are of kind fault.Invalid.
func decodeObject(encoded []byte, name catalog.ServiceName, object *Object) error {
	fields := entry.Scan("object", encoded, len(encoded))
	parsed, err := readObject(fields, math.MaxInt64)
	if err != nil {
		return err
	}
	if parsed.Name != name {
		return fault.New(fault.Invalid, "response contains object %q", parsed.Name)
	}
	parsed.historyIncomplete = readHistory(fields, &parsed) != nil
	*object = parsed
	return nil
}

// readHistory reads the annotations and the history of an object. Errors are of kind fault.Invalid.
func readHistory(fields *entry.Object, object *Object) (err error) {
	if object.Annotations, err = readAnnotations(fields); err != nil {
		return err
	}
	for _, item := range optionalList(fields, "history") {
		written, err := readHistoryEntry(item)
		if err != nil {
			return err
		}
		object.History = append(object.History, written)
	}
	return fields.Err()
}

// readAnnotations returns the annotations in an object or a history entry, the zero value if there
// are none.
func readAnnotations(fields *entry.Object) (Annotations, error) {
	if !fields.Has("annotations") {
		return Annotations{}, nil
	}
	inner := fields.Object("annotations")
	annotations := Annotations{CommandID: CommandID(optionalText(inner, "command_id")), Author: optionalText(inner, "author")}
	return annotations, fields.Err()
}

func readHistoryEntry(encoded json.RawMessage) (HistoryEntry, error) {
	fields := entry.Scan("history entry", encoded, len(encoded))
	written := HistoryEntry{Version: catalog.Revision(fields.Int("version", 1, math.MaxInt64))}
	annotations, err := readAnnotations(fields)
	if err == nil {
		err = fields.Err()
	}
	written.Annotations = annotations
	return written, err
}

// parseMachines decodes a MachineList. It returns the valid entries together with a SkippedError if
// there are malformed ones. A valid one has at least a control address.
func parseMachines(encoded []byte) ([]Machine, error) {
	fields := entry.Scan("machine list", encoded, len(encoded))
	items := optionalList(fields, "machines")
	if err := fields.Err(); err != nil {
		return nil, err
	}
	var machines []Machine
	var skipped []error
	for _, item := range items {
		machine, err := parseMachine(item)
		if err != nil {
			skipped = append(skipped, err)
			continue
		}
		machines = append(machines, machine)
	}
	if len(skipped) > 0 {
		return machines, &SkippedError{skipped}
	}
	return machines, nil
}

func parseMachine(encoded []byte) (Machine, error) {
	fields := entry.Scan("machine", encoded, len(encoded))
	machine := Machine{
		ID:       optionalText(fields, "id"),
		Role:     optionalText(fields, "role"),
		Region:   optionalText(fields, "region"),
		Zone:     catalog.ZoneName(optionalText(fields, "zone")),
		Control:  fields.AddrPort("control"),
		Draining: fields.Has("leaving") && fields.Bool("leaving"),
	}
	if optionalText(fields, "data") != "" {
		machine.Data = fields.AddrPort("data")
	}
	if err := fields.Err(); err != nil {
		return Machine{}, err
	}
	return machine, nil
}

// optionalText returns a string field, "" if it is missing or null.
func optionalText(fields *entry.Object, name string) string {
	if !fields.Has(name) {
		return ""
	}
	return fields.Text(name)
}

// optionalList returns the elements of a list field, nil if the field is missing or null.
func optionalList(fields *entry.Object, name string) []json.RawMessage {
	if !fields.Has(name) {
		return nil
	}
	return fields.List(name)
}

// SkippedError is returned with a list from which malformed entries were left out.
type SkippedError struct {
	Entries []error // reasons, of kind fault.Invalid; not empty
}

// Error returns the number of the entries and the reason for the first.
func (e *SkippedError) Error() string {
	return fmt.Sprintf("%d malformed entries: %v", len(e.Entries), e.Entries[0])
}

// Unwrap returns the reason for the first entry.
func (e *SkippedError) Unwrap() error { return e.Entries[0] }
