// Package entry reads JSON objects that any writer may have written: reports of back ends,
// objects of the store, the configuration. A document counts only as a whole: its bytes are
// read strictly, each field by its exact name, and a field that is missing is told from one
// that is zero. The package is pure, and its memory is bounded by the document's.
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

// Bounds of a document.
const (
	// MaximumFields is how many fields an object may have; ten times what any has today (a guess). It
	// keeps the search for duplicates short.
	MaximumFields = 256
	// MaximumName is the length of a name in bytes (a guess; those of DNS have 253).
	MaximumName = 253
)

// Object is one JSON object. Its getters return the zero value for a field that breaks its rule;
// Err then returns the first such error of the object and of all that were read out of it.
type Object struct {
	label  string // before the names of fields in errors
	fields []field
	failed *error // shared with the objects inside
	loose  bool   // the values are not known to be valid JSON
}

// field is one key of an object with its value as written.
type field struct {
	name  []byte
	value json.RawMessage
}

// usualFields is how many fields most objects have at most.
const usualFields = 12

// Parse reads a document of at most so many bytes; label says in errors what it is. What cannot be
// read has no fields, and an error.
func Parse(label string, document []byte, limit int) *Object {
	object := &Object{label: label, failed: new(error)}
	switch {
	case len(document) > limit:
		object.refuse(TooLong, "", fmt.Sprintf("%d bytes", len(document)), fmt.Sprintf("must have at most %d bytes", limit))
	case !isJSON(document):
		object.refuse(Unreadable, "", excerpt(document), ruleJSON)
	default:
		object.read(document)
	}
	return object
}

// Scan reads a document that holds those of other writers, as an answer of the store does. Only its brackets have to
// be whole: a document within it that cannot be read, for its bytes or its depth, spoils none beside it, and is to be
// read by Parse. The values that the getters return are checked all the same.
func Scan(label string, document []byte, limit int) *Object {
	object := &Object{label: label, failed: new(error), loose: true}
	document = trim(document)
	switch {
	case len(document) > limit:
		object.refuse(TooLong, "", fmt.Sprintf("%d bytes", len(document)), fmt.Sprintf("must have at most %d bytes", limit))
	case len(document) == 0 || valueEnd(document) != len(document):
		object.refuse(Unreadable, "", excerpt(document), ruleJSON)
	default:
		object.read(document)
	}
	return object
}

// ruleJSON is the rule for all documents.
const ruleJSON = "must be JSON in UTF-8"

func isJSON(document []byte) bool { return utf8.Valid(document) && json.Valid(document) }

// read splits a JSON value into fields.
func (o *Object) read(value []byte) {
	value = trim(value)
	if len(value) == 0 || value[0] != '{' {
		o.refuse(WrongType, "", excerpt(value), "must be an object")
		return
	}
	o.fields = make([]field, 0, usualFields)
	for rest := inside(value); len(rest) > 0; {
		if len(o.fields) == MaximumFields {
			o.refuse(TooLong, "", excerpt(value), fmt.Sprintf("must have at most %d fields", MaximumFields))
			return
		}
		key, behind, ok := next(rest, ':')
		written, behind, valued := next(behind, ',')
		if !ok || !valued || key[0] != '"' {
			o.refuse(Unreadable, "", excerpt(rest), ruleJSON)
			return
		}
		rest = behind
		name := unquote(key)
		if o.find(string(name)) != nil {
			o.refuse(Duplicate, string(name), excerpt(written), "must be given once")
			return
		}
		o.fields = append(o.fields, field{name, written})
	}
}

// Err returns the first error of the document, nil if there is none.
func (o *Object) Err() error { return *o.failed }

// Label names the object in errors of its fields from now on.
func (o *Object) Label(label string) { o.label = label }

// LabelText returns the name of the object in errors.
func (o *Object) LabelText() string { return o.label }

// Match refuses a field, if it is given, that is not this text.
func (o *Object) Match(name, want string) {
	if o.find(name) == nil {
		return
	}
	if text := o.Text(name); o.Err() == nil && text != want {
		o.refuse(Mismatch, name, text, fmt.Sprintf("must be %q", Shown(want)))
	}
}

// refuse notes that a field breaks a rule; name "" stands for the object itself.
func (o *Object) refuse(reason Reason, name, value, rule string) {
	if *o.failed != nil {
		return
	}
	*o.failed = Refuse(reason, strings.TrimSpace(o.label+" "+name), value, rule)
}

// find returns the value of a field as written; nil: there is none.
func (o *Object) find(name string) json.RawMessage {
	for _, field := range o.fields {
		if string(field.name) == name {
			return field.value
		}
	}
	return nil
}

// Has says whether the field is given and not null.
func (o *Object) Has(name string) bool {
	value := o.find(name)
	return value != nil && string(value) != "null"
}

// require returns the value of a field, and refuses the document where it is missing.
func (o *Object) require(name string) (value json.RawMessage, given bool) {
	if !o.Has(name) {
		o.refuse(Missing, name, "", "must be given")
		return nil, false
	}
	return o.find(name), true
}

// Text returns a field that may be any text.
func (o *Object) Text(name string) string {
	value, given := o.require(name)
	if !given {
		return ""
	}
	if value[0] != '"' {
		o.refuse(WrongType, name, excerpt(value), "must be text")
		return ""
	}
	if o.loose && !isJSON(value) {
		o.refuse(Unreadable, name, excerpt(value), ruleJSON)
		return ""
	}
	return string(unquote(value))
}

// Name returns a field that names something.
func (o *Object) Name(name string) string {
	text := o.Text(name)
	if o.Err() == nil {
		o.keep(CheckName(name, text))
	}
	return text
}

// keep remembers an error of a check of the object if it is the first.
func (o *Object) keep(err error) {
	if *o.failed == nil {
		*o.failed = err
	}
}

// Choice returns a field that is one of the texts.
func (o *Object) Choice(name string, of ...string) string {
	text := o.Text(name)
	if o.Err() == nil && !slices.Contains(of, text) {
		o.refuse(Unnamed, name, text, fmt.Sprintf("must be one of %q", of))
	}
	return text
}

// Whole returns a field that is a whole number within the bounds, written in digits alone.
func (o *Object) Whole(name string, least, most int64) int64 {
	value, given := o.require(name)
	if !given {
		return 0
	}
	if !isNumber(value) || slices.ContainsFunc(value, func(b byte) bool { return b != '-' && (b < '0' || b > '9') }) {
		o.refuse(WrongType, name, excerpt(value), wholeRule(least, most))
		return 0
	}
	number, err := strconv.ParseInt(excerpt(value), 10, 64)
	if err != nil || number < least || number > most {
		o.refuse(OutOfRange, name, excerpt(value), wholeRule(least, most))
		return 0
	}
	return number
}

// Number returns a field that is a number within the bounds.
func (o *Object) Number(name string, least, most float64) float64 {
	value, given := o.require(name)
	if !given {
		return 0
	}
	if !isNumber(value) {
		o.refuse(WrongType, name, excerpt(value), numberRule(least, most))
		return 0
	}
	number, err := strconv.ParseFloat(excerpt(value), 64)
	if err != nil || math.IsInf(number, 0) || number < least || number > most {
		o.refuse(OutOfRange, name, excerpt(value), numberRule(least, most))
		return 0
	}
	return number
}

func wholeRule(least, most int64) string {
	return fmt.Sprintf("must be a whole number from %d to %d", least, most)
}

func numberRule(least, most float64) string {
	return fmt.Sprintf("must be a number from %v to %v", least, most)
}

// AddrPort returns a field that is an IP address and a port above 0.
func (o *Object) AddrPort(name string) netip.AddrPort {
	text := o.Text(name)
	if o.Err() != nil {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		o.refuse(OutOfRange, name, text, "must be an IP address and a port above 0")
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Object returns a field that is an object.
func (o *Object) Object(name string) *Object {
	inner := &Object{label: name, failed: o.failed, loose: o.loose}
	if value, given := o.require(name); given {
		inner.read(value)
	}
	return inner
}

// Objects returns a field that is a list of objects.
func (o *Object) Objects(name string) []*Object {
	values := o.List(name)
	objects := make([]*Object, 0, len(values))
	for _, value := range values {
		inner := &Object{label: name, failed: o.failed, loose: o.loose}
		inner.read(value)
		objects = append(objects, inner)
	}
	return objects
}

// List returns the values of a field that is a list, as they are written.
func (o *Object) List(name string) []json.RawMessage {
	value, given := o.require(name)
	if !given {
		return nil
	}
	if value[0] != '[' {
		o.refuse(WrongType, name, excerpt(value), "must be a list")
		return nil
	}
	var values []json.RawMessage
	for rest := inside(value); len(rest) > 0; {
		one, behind, ok := next(rest, ',')
		if !ok {
			o.refuse(Unreadable, name, excerpt(rest), ruleJSON)
			return nil
		}
		values = append(values, one)
		rest = behind
	}
	return values
}

// Raw returns a field as it is written, nil if it is missing.
func (o *Object) Raw(name string) json.RawMessage { return o.find(name) }

// Flag returns a field that is true or false.
func (o *Object) Flag(name string) bool {
	value, given := o.require(name)
	if given && string(value) != "true" && string(value) != "false" {
		o.refuse(WrongType, name, excerpt(value), "must be true or false")
	}
	return string(value) == "true"
}

// CheckName says whether the text can name something: 1 to MaximumName bytes without spaces or control characters.
func CheckName(field, text string) error {
	unfit := func(r rune) bool { return r == utf8.RuneError || !unicode.IsGraphic(r) || unicode.IsSpace(r) }
	switch {
	case text == "":
		return Refuse(OutOfRange, field, text, "must not be empty")
	case len(text) > MaximumName:
		return Refuse(TooLong, field, text, fmt.Sprintf("must have at most %d bytes", MaximumName))
	case slices.ContainsFunc([]rune(text), unfit):
		return Refuse(OutOfRange, field, text, "must have no spaces and no control characters")
	default:
		return nil
	}
}
