// This file encodes the rows of a query result as protobuf messages, up to a size limit, and
// decodes and validates them for the operator's client.

package status

import (
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/fault"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/query"
)

// maxRowOverhead is the maximum number of bytes that a row adds to an encoded response besides its
// own size: 1 byte for the protobuf tag of field QueryResponse.rows and at most 5 for the row's
// length.
const maxRowOverhead = 6

// encodeRows encodes rows in order until the next one would exceed limit bytes. complete is false
// if rows were left out.
func encodeRows(rows []query.Row, limit int) (encoded []*burlmillv1.ResultRow, complete bool) {
	size := 0
	for _, row := range rows {
		next := encodeRow(row)
		size += proto.Size(next) + maxRowOverhead
		if size > limit {
			return encoded, false
		}
		encoded = append(encoded, next)
	}
	return encoded, true
}

func encodeRow(row query.Row) *burlmillv1.ResultRow {
	encoded := &burlmillv1.ResultRow{Values: make([]*burlmillv1.ResultValue, 0, len(row))}
	for _, value := range row {
		encoded.Values = append(encoded.Values, encodeValue(value))
	}
	return encoded
}

func encodeValue(value query.Value) *burlmillv1.ResultValue {
	switch value.Type() {
	case query.Number:
		return &burlmillv1.ResultValue{Kind: &burlmillv1.ResultValue_Number{Number: value.Number()}}
	case query.Duration:
		return &burlmillv1.ResultValue{Kind: &burlmillv1.ResultValue_Nanoseconds{Nanoseconds: int64(value.Duration())}}
	case query.Address:
		var address []byte
		if value.Address().IsValid() {
			address, _ = value.Address().MarshalBinary() // MarshalBinary never returns an error
		}
		return &burlmillv1.ResultValue{Kind: &burlmillv1.ResultValue_Address{Address: address}}
	}
	text := strings.ToValidUTF8(value.Text(), "\uFFFD") // protobuf strings must be valid UTF-8
	return &burlmillv1.ResultValue{Kind: &burlmillv1.ResultValue_Text{Text: text}}
}

// DecodeRows decodes the rows of a response to a query of the table. Errors have
// the kind fault.Invalid: the response does not match the table's columns, or a value is malformed.
func DecodeRows(table *query.Table, response *burlmillv1.QueryResponse) ([]query.Row, error) {
	names := table.ColumnNames()
	if strings.Join(names, " ") != strings.Join(response.GetColumns(), " ") {
		return nil, fault.New(fault.Invalid, "query response has columns %q, want %q; the queried process may run another version",
			response.GetColumns(), names)
	}
	rows := make([]query.Row, 0, len(response.GetRows()))
	for _, encoded := range response.GetRows() {
		row, err := decodeRow(table, encoded)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func decodeRow(table *query.Table, encoded *burlmillv1.ResultRow) (query.Row, error) {
	if len(encoded.GetValues()) != len(table.Columns) {
		return nil, fault.New(fault.Invalid, "query response has a row with %d values, want %d", len(encoded.GetValues()), len(table.Columns))
	}
	row := make(query.Row, 0, len(table.Columns))
	for index, column := range table.Columns {
		value, err := decodeValue(encoded.GetValues()[index])
		if err != nil {
			return nil, err
		}
		if value.Type() != column.Type {
			return nil, fault.New(fault.Invalid, "column %s of the query response has a value of type %s, want %s", column.Name, value.Type(), column.Type)
		}
		row = append(row, value)
	}
	return row, nil
}

func decodeValue(encoded *burlmillv1.ResultValue) (query.Value, error) {
	switch content := encoded.GetKind().(type) {
	case *burlmillv1.ResultValue_Text:
		return query.TextValue(content.Text), nil
	case *burlmillv1.ResultValue_Number:
		return query.NumberValue(content.Number), nil
	case *burlmillv1.ResultValue_Nanoseconds:
		return query.DurationValue(time.Duration(content.Nanoseconds)), nil
	case *burlmillv1.ResultValue_Address:
		return decodeAddress(content.Address)
	}
	return query.Value{}, fault.New(fault.Invalid, "query response has a value without a kind")
}

func decodeAddress(encoded []byte) (query.Value, error) {
	var address netip.AddrPort
	if len(encoded) > 0 {
		if err := address.UnmarshalBinary(encoded); err != nil {
			return query.Value{}, fault.Wrap(fault.Invalid, err, "decode address in query response")
		}
	}
	return query.AddressValue(address), nil
}
