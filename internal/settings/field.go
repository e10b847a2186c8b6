// This file lists the fields of a Settings value by reflection.

package settings

import (
	"reflect"
	"strings"
)

// Names of the struct tags that describe a field.
const (
	keyTag  = "koanf"
	ruleTag = "validate"
	helpTag = "help"
)

// keyDelimiter separates the section from the name of the field in a key, such as node.id.
const keyDelimiter = "."

// field is one setting of a Settings value.
type field struct {
	key   string        // full key, such as "node.id"
	rule  string        // validate tag
	help  string        // help tag: description for operators
	value reflect.Value // settable field of the Settings value
}

// isList reports whether the field is a list. The flag of a list may be given several times.
func (f *field) isList() bool { return f.value.Kind() == reflect.Slice }

// fieldsOf returns the fields of all sections in declaration order.
func fieldsOf(settings *Settings) []field {
	var fields []field
	sections := reflect.ValueOf(settings).Elem()
	for i := range sections.NumField() {
		prefix := sections.Type().Field(i).Tag.Get(keyTag) + keyDelimiter
		fields = append(fields, fieldsOfSection(prefix, sections.Field(i))...)
	}
	return fields
}

// fieldsOfSection returns the fields of one section in declaration order, with the prefix before
// each key.
func fieldsOfSection(prefix string, section reflect.Value) []field {
	var fields []field
	for i := range section.NumField() {
		tag := section.Type().Field(i).Tag
		fields = append(fields, field{
			key:   prefix + tag.Get(keyTag),
			rule:  tag.Get(ruleTag),
			help:  tag.Get(helpTag),
			value: section.Field(i),
		})
	}
	return fields
}

// sectionOf returns the section of a key, or the whole key if it has no delimiter.
func sectionOf(key string) string {
	section, _, _ := strings.Cut(key, keyDelimiter)
	return section
}
