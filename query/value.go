// This file defines the values and rows that queries are evaluated over, the column types, and the
// order of values and rows.

// Package query implements the language in which operators query flows, back ends,
// nodes and configuration. A query has a table, a condition, an order and a limit:
//
//	flows where service = "lessons" and age > 10m order by age desc limit 20
//
// The package parses queries against typed tables and evaluates them over rows. It does
// no I/O and does not depend on the contents of the tables.
package query

import (
	"cmp"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a column and of its values.
type Type uint8

// Column types.
const (
	Text Type = iota
	Number
	Duration
	Address // an IP address and a port
)

var typeNames = [...]string{"text", "number", "duration", "address"}

// String returns the type's name in lower case.
func (t Type) String() string {
	if int(t) >= len(typeNames) {
		return "invalid"
	}
	return typeNames[t]
}

// Value is one cell of a row. It is immutable.
type Value struct {
	kind    Type
	text    string
	number  int64 // the value of a Number, or of a Duration in nanoseconds
	address netip.AddrPort
}

// Row has one value for each column of its table, in the order of the columns.
type Row []Value

// TextValue returns a value of type Text.
func TextValue(text string) Value { return Value{kind: Text, text: text} }

// NumberValue returns a value of type Number.
func NumberValue(number int64) Value { return Value{kind: Number, number: number} }

// DurationValue returns a value of type Duration.
func DurationValue(duration time.Duration) Value {
	return Value{kind: Duration, number: int64(duration)}
}

// AddressValue returns a value of type Address. An invalid address means no address.
func AddressValue(address netip.AddrPort) Value { return Value{kind: Address, address: address} }

// Type returns the type of the value.
func (v Value) Type() Type { return v.kind }

// Text returns the text of a value of type Text, or "" for other types.
func (v Value) Text() string { return v.text }

// Number returns the number of a value of type Number, the nanoseconds of a value of type
// Duration, and 0 for other types.
func (v Value) Number() int64 { return v.number }

// Duration returns the duration of a value of type Duration.
func (v Value) Duration() time.Duration { return time.Duration(v.number) }

// Address returns the address of a value of type Address, or an invalid one for other types.
func (v Value) Address() netip.AddrPort { return v.address }

// String returns the value in human-readable form, or "" for an invalid address.
func (v Value) String() string {
	switch v.kind {
	case Number:
		return strconv.FormatInt(v.number, 10)
	case Duration:
		return v.Duration().String()
	case Address:
		if !v.address.IsValid() {
			return ""
		}
		return v.address.String()
	}
	return v.text
}

// compare compares two values of the same type.
func (v Value) compare(other Value) int {
	return cmp.Or(
		strings.Compare(v.text, other.text),
		cmp.Compare(v.number, other.number),
		v.address.Compare(other.address),
	)
}

// compareRows compares two rows of the same table by their columns from left to right.
func compareRows(a, b Row) int {
	for index := range a {
		if order := a[index].compare(b[index]); order != 0 {
			return order
		}
	}
	return 0
}
