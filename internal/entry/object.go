// This file contains Object, a decoded JSON object: Parse and Scan decode a document of limited
// size, and the getters return and validate the fields. The first error of a document is kept.
// CheckName validates a name.

// Package entry decodes JSON objects from untrusted writers: reports of back ends, objects of
// the store, the configuration. Decoding is strict: field names match exactly, duplicate keys
// are errors, a missing field differs from a zero one, and one error invalidates the whole
// document. The package does no I/O, and its memory use is bounded by the document's size.
package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of a document.
const (
	// MaxFields is the maximum number of fields of an object. It bounds the quadratic cost of
	// the search for duplicates.
	MaxFields = 256
	// MaxNameBytes is the maximum length of a name in bytes, as in DNS.
	MaxNameBytes = 253
)

// Object is a decoded JSON object. Err returns the first error of its getters and of those of all
// nested objects. A value that a getter returns is meaningful only if Err returns nil.
type Object struct {
	label       string // prefix of field names in errors
	fields      []field
	firstErr    *error // first error; shared with nested objects
	unvalidated bool   // values are not validated as JSON
}

// field is a key of an object with its encoded value.
type field struct {
	name  []byte
	value json.RawMessage
}

// initialFields is the initial capacity of an object's field list.
const initialFields = 12

// Parse decodes a document of at most limit bytes. The label identifies the document in errors.
// If the document is too long or not a JSON object, the returned Object has no fields. Err returns
// the error.
func Parse(label string, document []byte, limit int) *Object {
	object := &Object{label: label, firstErr: new(error)}
	switch {
	case len(document) > limit:
		object.fail(TooLong, "", fmt.Sprintf("%d bytes", len(document)), fmt.Sprintf("must have at most %d bytes", limit))
	case !isJSON(document):
		object.fail(Unreadable, "", excerpt(document), ruleJSON)
	default:
		object.read(document)
	}
	return object
}

// Scan decodes a document that embeds documents of other writers, such as a response of the store.
// Only its brackets must balance, so that one malformed embedded document does not invalidate the
// others; the caller decodes each of them with Parse. Getters still validate what they return.
func Scan(label string, document []byte, limit int) *Object {
	object := &Object{label: label, firstErr: new(error), unvalidated: true}
	document = trim(document)
	switch {
	case len(document) > limit:
		object.fail(TooLong, "", fmt.Sprintf("%d bytes", len(document)), fmt.Sprintf("must have at most %d bytes", limit))
	case len(document) == 0 || valueEnd(document) != len(document):
		object.fail(Unreadable, "", excerpt(document), ruleJSON)
	default:
		object.read(document)
	}
	return object
}

const ruleJSON = "must be JSON in UTF-8"

func isJSON(document []byte) bool { return utf8.Valid(document) && json.Valid(document) }

// read splits a JSON object into fields.
func (o *Object) read(value []byte) {
	value = trim(value)
	if len(value) == 0 || value[0] != '{' {
		o.fail(WrongType, "", excerpt(value), "must be an object")
		return
	}
	o.fields = make([]field, 0, initialFields)
	for rest := contents(value); len(rest) > 0; {
		if len(o.fields) == MaxFields {
			o.fail(TooLong, "", excerpt(value), fmt.Sprintf("must have at most %d fields", MaxFields))
			return
		}
		key, remainder, ok := splitValue(rest, ':')
		encoded, remainder, hasValue := splitValue(remainder, ',')
		if !ok || !hasValue || key[0] != '"' {
			o.fail(Unreadable, "", excerpt(rest), ruleJSON)
			return
		}
		rest = remainder
		name := unquote(key)
		if o.find(string(name)) != nil {
			o.fail(Duplicate, string(name), excerpt(encoded), "must be given once")
			return
		}
		o.fields = append(o.fields, field{name, encoded})
	}
}

// Err returns the first error of the document, or nil.
func (o *Object) Err() error { return *o.firstErr }

// SetLabel sets the label that later errors of the object's fields contain.
func (o *Object) SetLabel(label string) { o.label = label }

// Label returns the label that errors of the object's fields contain.
func (o *Object) Label() string { return o.label }

// Match rejects the field if it is present and its text is not want.
func (o *Object) Match(name, want string) {
	if o.find(name) == nil {
		return
	}
	if text := o.Text(name); o.Err() == nil && text != want {
		o.fail(Mismatch, name, text, fmt.Sprintf("must be %q", Truncate(want)))
	}
}

// fail records the error of a field that violates a rule unless an earlier error is recorded.
// An empty name means the object itself.
func (o *Object) fail(reason Reason, name, value, rule string) {
	if *o.firstErr != nil {
		return
	}
	*o.firstErr = NewError(reason, strings.TrimSpace(o.label+" "+name), value, rule)
}

// find returns the encoded value of a field, or nil if there is none.
func (o *Object) find(name string) json.RawMessage {
	for _, field := range o.fields {
		if string(field.name) == name {
			return field.value
		}
	}
	return nil
}

// Has reports whether the field is present and not null.
func (o *Object) Has(name string) bool {
	value := o.find(name)
	return value != nil && string(value) != "null"
}

// require returns the encoded value of a field. It records an error if the field is missing or
// null.
func (o *Object) require(name string) (value json.RawMessage, present bool) {
	if !o.Has(name) {
		o.fail(Missing, name, "", "must be given")
		return nil, false
	}
	return o.find(name), true
}

// Text returns a string field.
func (o *Object) Text(name string) string {
	value, present := o.require(name)
	if !present {
		return ""
	}
	if value[0] != '"' {
		o.fail(WrongType, name, excerpt(value), "must be text")
		return ""
	}
	if o.unvalidated && !isJSON(value) {
		o.fail(Unreadable, name, excerpt(value), ruleJSON)
		return ""
	}
	return string(unquote(value))
}

// Name returns a string field that satisfies CheckName.
func (o *Object) Name(name string) string {
	text := o.Text(name)
	if o.Err() == nil {
		o.recordError(CheckName(name, text))
	}
	return text
}

// recordError records err unless an earlier error is recorded.
func (o *Object) recordError(err error) {
	if *o.firstErr == nil {
		*o.firstErr = err
	}
}

// Enum returns a string field whose value is one of the given strings.
func (o *Object) Enum(name string, choices ...string) string {
	text := o.Text(name)
	if o.Err() == nil && !slices.Contains(choices, text) {
		o.fail(UnknownName, name, text, fmt.Sprintf("must be one of %q", choices))
	}
	return text
}

// Int returns an integer field within the inclusive bounds. Fractions and exponents are errors.
func (o *Object) Int(name string, lower, upper int64) int64 {
	value, present := o.require(name)
	if !present {
		return 0
	}
	if !isNumber(value) || slices.ContainsFunc(value, func(b byte) bool { return b != '-' && (b < '0' || b > '9') }) {
		o.fail(WrongType, name, excerpt(value), intRule(lower, upper))
		return 0
	}
	number, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || number < lower || number > upper {
		o.fail(OutOfRange, name, excerpt(value), intRule(lower, upper))
		return 0
	}
	return number
}

// Number returns a numeric field within the inclusive bounds.
func (o *Object) Number(name string, lower, upper float64) float64 {
	value, present := o.require(name)
	if !present {
		return 0
	}
	if !isNumber(value) {
		o.fail(WrongType, name, excerpt(value), numberRule(lower, upper))
		return 0
	}
	number, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsInf(number, 0) || number < lower || number > upper {
		o.fail(OutOfRange, name, excerpt(value), numberRule(lower, upper))
		return 0
	}
	return number
}

func intRule(lower, upper int64) string {
	return fmt.Sprintf("must be a whole number from %d to %d", lower, upper)
}

func numberRule(lower, upper float64) string {
	return fmt.Sprintf("must be a number from %v to %v", lower, upper)
}

// AddrPort returns a field that contains an IP address without a zone and a port above 0.
// IPv4-mapped addresses are unmapped.
func (o *Object) AddrPort(name string) netip.AddrPort {
	text := o.Text(name)
	if o.Err() != nil {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		o.fail(OutOfRange, name, text, "must be an IP address and a port above 0")
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Object returns a field whose value is an object.
func (o *Object) Object(name string) *Object {
	inner := &Object{label: name, firstErr: o.firstErr, unvalidated: o.unvalidated}
	if value, present := o.require(name); present {
		inner.read(value)
	}
	return inner
}

// Objects returns a field whose value is a list of objects.
func (o *Object) Objects(name string) []*Object {
	values := o.List(name)
	objects := make([]*Object, 0, len(values))
	for _, value := range values {
		inner := &Object{label: name, firstErr: o.firstErr, unvalidated: o.unvalidated}
		inner.read(value)
		objects = append(objects, inner)
	}
	return objects
}

// List returns the encoded elements of a field whose value is a list.
func (o *Object) List(name string) []json.RawMessage {
	value, present := o.require(name)
	if !present {
		return nil
	}
	if value[0] != '[' {
		o.fail(WrongType, name, excerpt(value), "must be a list")
		return nil
	}
	var values []json.RawMessage
	for rest := contents(value); len(rest) > 0; {
		element, remainder, ok := splitValue(rest, ',')
		if !ok {
			o.fail(Unreadable, name, excerpt(rest), ruleJSON)
			return nil
		}
		values = append(values, element)
		rest = remainder
	}
	return values
}

// Raw returns the encoded value of a field, or nil if it is missing.
func (o *Object) Raw(name string) json.RawMessage { return o.find(name) }

// Bool returns a boolean field.
func (o *Object) Bool(name string) bool {
	value, present := o.require(name)
	if present && string(value) != "true" && string(value) != "false" {
		o.fail(WrongType, name, excerpt(value), "must be true or false")
	}
	return string(value) == "true"
}

// CheckName validates a name: 1 to MaxNameBytes bytes without spaces or control characters. The
// field appears in the error.
func CheckName(field, text string) error {
	isForbidden := func(r rune) bool { return r == utf8.RuneError || !unicode.IsGraphic(r) || unicode.IsSpace(r) }
	switch {
	case text == "":
		return NewError(OutOfRange, field, text, "must not be empty")
	case len(text) > MaxNameBytes:
		return NewError(TooLong, field, text, fmt.Sprintf("must have at most %d bytes", MaxNameBytes))
	case slices.ContainsFunc([]rune(text), isForbidden):
		return NewError(OutOfRange, field, text, "must have no spaces and no control characters")
	default:
		return nil
	}
}
