// This file guards against one malformed entry of a list that hides the others, and against lists
// that make the decoders panic.

package objects

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// deepJSON is valid JSON on its own, but nested too deeply to be decoded as part of a list.
var deepJSON = strings.Repeat("[", 9_999) + strings.Repeat("]", 9_999)

// malformedObjects are objects that no reader can use, by name.
var malformedObjects = map[string]string{
	"not an object":         `7`,
	"null":                  `null`,
	"no name":               `{"version":4,"body":{}}`,
	"name of a type":        `{"name":["x"],"version":4,"body":{}}`,
	"empty name":            `{"name":"","version":4,"body":{}}`,
	"no version":            `{"name":"odd","body":{}}`,
	"version as text":       `{"name":"odd","version":"4","body":{}}`,
	"negative version":      `{"name":"odd","version":-4,"body":{}}`,
	"version 0":             `{"name":"odd","version":0,"body":{}}`,
	"fractional version":    `{"name":"odd","version":4.5,"body":{}}`,
	"version beyond uint64": `{"name":"odd","version":99999999999999999999999,"body":{}}`,
	"version of the future": `{"name":"odd","version":1000000000000000000,"body":{}}`,
	"deleted as text":       `{"name":"odd","version":4,"deleted":"no","body":{}}`,
	"two names":             `{"name":"odd","name":"even","version":4,"body":{}}`,
	"bytes in the name":     "{\"name\":\"o\xffd\",\"version\":4,\"body\":{}}",
}

// usableObjects are objects with oddities in parts that package catalog checks or nobody reads.
var usableObjects = map[string]string{
	"deep body":              `{"name":"odd","version":4,"body":` + deepJSON + `}`,
	"deep field":             `{"name":"odd","version":4,"body":{},"more":` + deepJSON + `}`,
	"large number in body":   `{"name":"odd","version":4,"body":{"weight":1e999}}`,
	"large number in field":  `{"name":"odd","version":4,"body":{},"more":1e999}`,
	"annotations of a type":  `{"name":"odd","version":4,"body":{},"annotations":7}`,
	"history of a type":      `{"name":"odd","version":4,"body":{},"history":{}}`,
	"no body":                `{"name":"odd","version":4}`,
	"negative number inside": `{"name":"odd","version":4,"body":{"slots":-1}}`,
}

func listWith(object string) string {
	return `{"version":9,"objects":[{"name":"first","version":3,"body":{"name":"first"}},` + object + `,{"name":"last","version":9,"deleted":true}]}`
}

func TestMalformedObjectIsSkipped(t *testing.T) {
	for name, object := range malformedObjects {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changes, err := parseChanges([]byte(listWith(object)))
			is.NoErr(err)
			is.Equal(changes.Revision, catalog.Revision(9))
			is.Equal(len(changes.Objects), 2)
			is.Equal(string(changes.Objects[0].Body), `{"name":"first"}`)
			is.True(changes.Objects[1].Deleted)
			is.Equal(len(changes.Skipped), 1)
			is.Equal(fault.KindOf(changes.Skipped[0]), fault.Invalid)
			is.True(len(changes.Skipped[0].Error()) < 500)
		})
	}
	for name, object := range usableObjects {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changes, err := parseChanges([]byte(listWith(object)))
			is.NoErr(err)
			is.Equal(len(changes.Objects), 3)
			is.Equal(changes.Skipped, nil)
			// Package catalog rejects the odd one alone.
			snapshot, _ := catalog.Empty().With(changes.Objects, changes.Revision)
			is.Equal(len(snapshot.Since(0)), 1)
		})
	}
}

// TestLaterWriteReplacesMalformedObject guards against an object that stays malformed for ever
// because an operator cannot read its version.
func TestLaterWriteReplacesMalformedObject(t *testing.T) {
	for name, object := range usableObjects {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newTestClientWith(t, Options{MaxResponseBytes: 1 << 20}, respondWith(200, object))
			found, err := client.Get(t.Context(), "odd")
			is.NoErr(err)
			is.Equal(found.Version, catalog.Revision(4))
			client = newTestClientWith(t, Options{MaxResponseBytes: 1 << 20}, respondWith(412, object))
			_, err = client.Put(t.Context(), Write{Name: "odd", Expected: 2, Body: []byte(`{}`), Command: NewCommandID(), Author: "operator"})
			var conflict *ConflictError
			is.True(errors.As(err, &conflict))
			is.Equal(conflict.Current.Version, catalog.Revision(4))
		})
	}
}

func TestListWithoutObjects(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{`{"version":9}`, `{"version":9,"objects":null}`, `{"version":9,"objects":[]}`} {
		changes, err := parseChanges([]byte(body))
		is.NoErr(err)
		is.Equal(changes.Revision, catalog.Revision(9))
		is.Equal(len(changes.Objects)+len(changes.Skipped), 0)
	}
	for _, body := range []string{``, `[]`, `{"objects":[]}`, `{"version":-1}`, `{"version":9,"objects":{}}`} {
		_, err := parseChanges([]byte(body))
		is.Equal(fault.KindOf(err), fault.Invalid)
	}
}

// TestMalformedMachineIsSkipped guards against a machine without a usable control address that is
// taken as a seed, and against one that hides the others.
func TestMalformedMachineIsSkipped(t *testing.T) {
	for name, machine := range map[string]string{
		"not an object":          `7`,
		"deep":                   deepJSON,
		"no control address":     `{"id":"odd"}`,
		"control of a type":      `{"id":"odd","control":9}`,
		"control without a port": `{"id":"odd","control":"127.0.0.1"}`,
		"port 0":                 `{"id":"odd","control":"127.0.0.1:0"}`,
		"port out of range":      `{"id":"odd","control":"127.0.0.1:70000"}`,
		"negative port":          `{"id":"odd","control":"127.0.0.1:-1"}`,
		"name as address":        `{"id":"odd","control":"there:9"}`,
		"id of a type":           `{"id":1,"control":"127.0.0.1:7"}`,
		"data of a type":         `{"id":"odd","control":"127.0.0.1:7","data":7}`,
		"data port out of range": `{"id":"odd","control":"127.0.0.1:7","data":"127.0.0.1:70000"}`,
		"leaving of a type":      `{"id":"odd","control":"127.0.0.1:7","leaving":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			machines, err := parseMachines([]byte(`{"machines":[{"id":"a","control":"127.0.0.1:8"},` + machine + `,{"id":"b","control":"127.0.0.1:9"}]}`))
			is.Equal(len(machines), 2)
			is.Equal(machines[1].ID, "b")
			is.Equal(fault.KindOf(err), fault.Invalid)
			is.True(len(err.Error()) < 500)
		})
	}
	for name, machine := range map[string]string{
		"deep field":        `{"id":"odd","control":"127.0.0.1:7","more":` + deepJSON + `}`,
		"large number":      `{"id":"odd","control":"127.0.0.1:7","more":1e999}`,
		"no id, role, zone": `{"control":"127.0.0.1:7"}`,
		"empty data":        `{"id":"odd","control":"127.0.0.1:7","data":""}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			machines, err := parseMachines([]byte(`{"machines":[` + machine + `]}`))
			is.NoErr(err)
			is.Equal(machines[0].Control.Port(), uint16(7))
		})
	}
}

// FuzzChanges checks that no list makes the decoder panic, and that every object has a name and a
// version that the store has reached.
func FuzzChanges(f *testing.F) {
	for _, object := range malformedObjects {
		f.Add([]byte(listWith(object)))
	}
	f.Add([]byte(listWith(`{"name":"odd","version":4,"body":{"a":[1]}}`)))
	f.Fuzz(func(t *testing.T, body []byte) {
		changes, err := parseChanges(body)
		if err != nil {
			return
		}
		for _, object := range changes.Objects {
			if object.Name == "" || object.Revision == 0 || object.Revision > changes.Revision {
				t.Fatalf("%q gives %+v", body, object)
			}
		}
		_, _ = catalog.Empty().With(changes.Objects, changes.Revision)
	})
}

// FuzzObject checks that no object makes the decoder panic.
func FuzzObject(f *testing.F) {
	for _, object := range malformedObjects {
		f.Add([]byte(object))
	}
	f.Add([]byte(`{"name":"odd","version":4,"body":{},"annotations":{"command_id":"c","author":"a"},"history":[{"version":3,"annotations":{"command_id":"c","author":"a"}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var object Object
		if err := decodeObject(body, "odd", &object); err == nil && (object.Name != "odd" || object.Version == 0) {
			t.Fatalf("%q gives %+v", body, object)
		}
	})
}

// FuzzMachines checks that no machine list makes the decoder panic, and that every machine has a
// control address.
func FuzzMachines(f *testing.F) {
	f.Add([]byte(`{"machines":[{"id":"a","role":"agent","region":"r","zone":"z","control":"127.0.0.1:8","data":"127.0.0.1:9","leaving":true}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		machines, _ := parseMachines(body)
		for _, machine := range machines {
			if !machine.Control.IsValid() || machine.Control.Port() == 0 {
				t.Fatalf("%q gives %+v", body, machine)
			}
		}
	})
}

// TestSkippedObjectsAreReported checks that a watch returns when there are only malformed objects,
// and does not return them again and again.
func TestSkippedObjectsAreReported(t *testing.T) {
	is := is.New(t)
	client := newTestClient(t, respondWith(200, fmt.Sprintf(`{"version":9,"objects":[%s]}`, malformedObjects["no version"])))
	changes, err := client.Watch(t.Context(), 3, 0)
	is.NoErr(err)
	is.Equal(changes.Revision, catalog.Revision(9))
	is.Equal(len(changes.Skipped), 1)
}
