// This file guards against malformed documents that are accepted or panic, valid ones that Parse
// decodes differently from encoding/json or from Scan, wrong or too long error messages, wrong
// reasons, and later errors that replace the first one.

package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/fault"
)

const documentLimit = 1 << 10 // bytes

// decodeAllKinds decodes a document with a field of each kind.
func decodeAllKinds(document []byte) error {
	fields := Parse("thing", document, documentLimit)
	fields.Name("name")
	fields.Text("note")
	fields.Enum("state", "on", "off")
	fields.Int("count", 1, 10)
	fields.Number("share", 0, 1)
	fields.AddrPort("address")
	fields.Bool("flag")
	fields.Object("inner").Text("text")
	for _, element := range fields.Objects("list") {
		element.Int("number", 0, 9)
	}
	fields.Match("id", "i-1")
	return fields.Err()
}

const validDocument = `{"name":"n-1","note":"any \"text\", {[","state":"on","count":3,"share":2.5e-1,"address":"10.0.0.1:80","flag":true,` +
	`"inner":{"text":""},"list":[{"number":1},{"number":2}],"id":"i-1","further":{"a":[1,{"b":null}]}}`

func TestDecodeAllFields(t *testing.T) {
	is := is.New(t)
	is.NoErr(decodeAllKinds([]byte(validDocument)))
	fields := Parse("thing", []byte(" \n"+validDocument+"\t"), documentLimit)
	is.Equal(fields.Name("name"), "n-1")
	is.Equal(fields.Text("note"), `any "text", {[`)
	is.Equal(fields.Int("count", 1, 10), int64(3))
	is.Equal(fields.Number("share", 0, 1), 0.25)
	is.Equal(fields.AddrPort("address"), netip.MustParseAddrPort("10.0.0.1:80"))
	is.True(fields.Bool("flag"))
	is.Equal(fields.Objects("list")[1].Int("number", 0, 9), int64(2))
	is.Equal(string(fields.Raw("further")), `{"a":[1,{"b":null}]}`)
	is.True(!fields.Has("nothing"))
	is.NoErr(fields.Err())
	is.True(strings.HasPrefix(Parse("", []byte(`{"a":"::ffff:10.0.0.1:1"}`), documentLimit).Text("a"), "::ffff"))
	is.Equal(Parse("", []byte(`{"a":"[::ffff:10.0.0.1]:1"}`), documentLimit).AddrPort("a"), netip.MustParseAddrPort("10.0.0.1:1"))
	is.Equal(Parse("", []byte(`{"n\u0061me":"escaped"}`), documentLimit).Name("name"), "escaped")
}

// TestErrorReasons checks the reason and the message of the error for each invalid field.
func TestErrorReasons(t *testing.T) {
	for name, test := range map[string]struct {
		old, new string
		reason   Reason
		want     string
	}{
		"empty document":                   {validDocument, "", Unreadable, `thing = "": must be JSON`},
		"truncated document":               {`"i-1",`, `"i-1`, Unreadable, "must be JSON"},
		"two documents":                    {`{"name"`, `{} {"name"`, Unreadable, "must be JSON"},
		"not a number":                     {`"count":3`, `"count":NaN`, Unreadable, "must be JSON"},
		"infinite":                         {`"share":2.5e-1`, `"share":Infinity`, Unreadable, "must be JSON"},
		"not UTF-8":                        {`"n-1"`, "\"n\xff\"", Unreadable, "must be JSON in UTF-8"},
		"list for the document":            {validDocument, "[" + validDocument + "]", WrongType, "must be an object"},
		"string for the document":          {validDocument, `"{\"name\":\"n-1\"}"`, WrongType, "must be an object"},
		"null document":                    {validDocument, "null", WrongType, "must be an object"},
		"nested in another object":         {validDocument, `{"thing":` + validDocument + `}`, Missing, `thing name = "": must be given`},
		"too long":                         {`"n-1"`, `"` + strings.Repeat("n", documentLimit) + `"`, TooLong, "must have at most 1024 bytes"},
		"too many fields":                  {`{"name"`, `{` + manyFields(MaxFields) + `"name"`, TooLong, "must have at most"},
		"a long name":                      {`"n-1"`, `"` + strings.Repeat("n", MaxNameBytes+1) + `"`, TooLong, "must have at most 253 bytes"},
		"duplicate key":                    {`"count":3`, `"count":3,"count":4`, Duplicate, `thing count = "4": must be given once`},
		"duplicate key, one escaped":       {`"count":3`, `"count":3,"c\u006funt":3`, Duplicate, "must be given once"},
		"duplicate key in a nested object": {`{"number":1}`, `{"number":1,"number":1}`, Duplicate, `list number = "1"`},
		"missing":                          {`"count":3,`, ``, Missing, `thing count = "": must be given`},
		"null field":                       {`"count":3`, `"count":null`, Missing, "thing count"},
		"key in another case":              {`"count":3`, `"Count":3`, Missing, "thing count"},
		"missing in a nested object":       {`{"number":1}`, `{}`, Missing, "list number"},
		"string for a number":              {`"count":3`, `"count":"3"`, WrongType, `thing count = "\"3\"": must be a whole number from 1 to 10`},
		"fraction":                         {`"count":3`, `"count":3.0`, WrongType, `thing count = "3.0"`},
		"exponent":                         {`"count":3`, `"count":3e0`, WrongType, `thing count = "3e0"`},
		"object for a number":              {`"count":3`, `"count":{}`, WrongType, "thing count"},
		"number for a string":              {`"note":"any`, `"note":7,"further2":"any`, WrongType, "thing note"},
		"list for an object":               {`{"text":""}`, `[]`, WrongType, "inner"},
		"object for a list":                {`[{"number":1},{"number":2}]`, `{}`, WrongType, "list"},
		"number in a list":                 {`{"number":1}`, `1`, WrongType, "list"},
		"string for a boolean":             {`"flag":true`, `"flag":"true"`, WrongType, "must be true or false"},
		"zero":                             {`"count":3`, `"count":0`, OutOfRange, `thing count = "0"`},
		"negative":                         {`"count":3`, `"count":-1`, OutOfRange, `thing count = "-1"`},
		"beyond 64 bits":                   {`"count":3`, `"count":99999999999999999999`, OutOfRange, "thing count"},
		"share above":                      {`2.5e-1`, `1.1`, OutOfRange, "thing share"},
		"share beyond a float":             {`2.5e-1`, `1e999`, OutOfRange, "thing share"},
		"share with many digits":           {`2.5e-1`, `0.25` + strings.Repeat("0", 70) + `e5`, OutOfRange, "thing share"},
		"host name for an IP address":      {`10.0.0.1:80`, `there:80`, OutOfRange, "must be an IP address and a port"},
		"port 0":                           {`10.0.0.1:80`, `10.0.0.1:0`, OutOfRange, "must be an IP address and a port"},
		"address with a zone":              {`10.0.0.1:80`, `[fe80::1%eth0]:80`, OutOfRange, "must be an IP address and a port"},
		"empty name":                       {`"n-1"`, `""`, OutOfRange, "must not be empty"},
		"control character":                {`"n-1"`, `"n\u0000"`, OutOfRange, "must have no spaces"},
		"unpaired surrogate":               {`"n-1"`, `"n\ud800"`, OutOfRange, "must have no spaces"},
		"unknown state":                    {`"on"`, `"ON"`, UnknownName, `thing state = "ON": must be one of ["on" "off"]`},
		"another id":                       {`"i-1"`, `"i-2"`, Mismatch, `thing id = "i-2": must be "i-1"`},
		"an id of another type":            {`"i-1"`, `1`, WrongType, "thing id"},
		"null id":                          {`"i-1"`, `null`, Missing, "thing id"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			document := strings.Replace(validDocument, test.old, test.new, 1)
			is.True(document != validDocument)
			err := decodeAllKinds([]byte(document))
			is.Equal(ReasonOf(err), test.reason)
			is.Equal(fault.KindOf(err), fault.Invalid)
			if !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %q lacks %q", err, test.want)
			}
			is.True(len(err.Error()) < 4*maxValueBytes) // fits a log line
		})
	}
	is.New(t).Equal(ReasonOf(errors.New("another")), OtherReason)
}

func manyFields(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `"%x":0,`, i)
	}
	return text.String()
}

// TestFirstErrorIsKept checks that a later error does not replace the first one.
func TestFirstErrorIsKept(t *testing.T) {
	is := is.New(t)
	fields := Parse("thing", []byte(`{"a":1,"b":"x"}`), documentLimit)
	is.Equal(fields.Text("a"), "")
	first := fields.Err()
	is.Equal(fields.Int("b", 0, 1), int64(0))
	is.Equal(fields.Err(), first)
}

// drawValue draws a JSON value of at most the given depth.
func drawValue(t *rapid.T, depth int) any {
	switch kind := rapid.IntRange(0, 6).Draw(t, "kind"); {
	case kind == 0:
		return nil
	case kind == 1:
		return rapid.Bool().Draw(t, "truth")
	case kind == 2:
		return rapid.Float64Range(-1e6, 1e6).Draw(t, "number")
	case kind <= 4 || depth == 0:
		return rapid.String().Draw(t, "text")
	case kind == 5:
		var list []any
		for range rapid.IntRange(0, 4).Draw(t, "length") {
			list = append(list, drawValue(t, depth-1))
		}
		return list
	default:
		object := map[string]any{}
		for range rapid.IntRange(0, 4).Draw(t, "fields") {
			object[rapid.String().Draw(t, "key")] = drawValue(t, depth-1)
		}
		return object
	}
}

// TestSplitMatchesEncodingJSON checks that every field has the encoded value that
// encoding/json returns for it.
func TestSplitMatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := map[string]any{}
		for range rapid.IntRange(0, 6).Draw(t, "fields") {
			object[rapid.String().Draw(t, "key")] = drawValue(t, 3)
		}
		encoded, err := json.MarshalIndent(object, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		if err != nil {
			t.Fatal(err)
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(encoded, &want); err != nil {
			t.Fatal(err)
		}
		fields := Parse("any", encoded, len(encoded))
		if err := fields.Err(); err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		for name, value := range want {
			if got := fields.Raw(name); string(got) != string(value) {
				t.Fatalf("%s: %q is %s, want %s", encoded, name, got, value)
			}
		}
	})
}

// FuzzParse checks that arbitrary bytes cause only errors of kind Invalid, and that encoding/json
// decodes each accepted document to the same fields.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"list":[{"number":1},[],"]}",{"number":-0}]}`))
	f.Add([]byte("{\"a\":1 , \"a\\u0000\" : [ ] }"))
	f.Fuzz(func(t *testing.T, document []byte) {
		if err := decodeAllKinds(document); err != nil && fault.KindOf(err) != fault.Invalid {
			t.Fatalf("error of kind %v", fault.KindOf(err))
		}
		fields := Parse("any", document, documentLimit)
		if fields.Err() != nil {
			return
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(document, &want); err != nil {
			t.Fatalf("accepted malformed document %q: %v", document, err)
		}
		if len(want) != len(fields.fields) {
			t.Fatalf("%q: %d fields, want %d", document, len(fields.fields), len(want))
		}
		for name, value := range want {
			if string(fields.Raw(name)) != string(value) {
				t.Fatalf("%q: %q is %q, want %q", document, name, fields.Raw(name), value)
			}
		}
	})
}

// FuzzScan checks that arbitrary bytes cause only errors of kind Invalid, and that Scan returns the
// same fields as Parse for a valid document.
func FuzzScan(f *testing.F) {
	for _, seed := range []string{validDocument, `{"list":[{"number":1},[}],"inner":{"text":"\xff"}}`, `{"a"`, `{"a":"}`, `{`, `{]`, `{"a":]}[`, `{,}`, `{"a":,}`, "{\"\xff\":1}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		scanned := Scan("any", document, documentLimit)
		parsed := Parse("any", document, documentLimit)
		if scanned.Err() != nil && parsed.Err() == nil {
			t.Fatalf("%q: %v", document, scanned.Err())
		}
		for _, field := range parsed.fields {
			if string(scanned.Raw(string(field.name))) != string(field.value) {
				t.Fatalf("%q: %q is %q, want %q", document, field.name, scanned.Raw(string(field.name)), field.value)
			}
		}
		for _, field := range scanned.fields {
			name := string(field.name)
			for _, read := range []func(*Object){
				func(o *Object) { o.Text(name) }, func(o *Object) { o.Int(name, 0, 9) }, func(o *Object) { o.Number(name, 0, 9) }, func(o *Object) { o.Bool(name) },
				func(o *Object) { o.Object(name) }, func(o *Object) { o.Objects(name) }, func(o *Object) { o.AddrPort(name) },
			} {
				again := Scan("any", document, documentLimit)
				read(again)
				if err := again.Err(); err != nil && fault.KindOf(err) != fault.Invalid {
					t.Fatalf("%q: %v", document, err)
				}
			}
		}
	})
}
