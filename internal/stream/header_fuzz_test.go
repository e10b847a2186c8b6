package stream

import (
	"bufio"
	"bytes"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/flow"
)

// FuzzParseHeader checks that no header makes the parser panic, and that every accepted one can be
// formatted.
func FuzzParseHeader(f *testing.F) {
	key := flow.Key{Caller: netip.MustParseAddrPort("192.0.2.1:1"), Service: netip.MustParseAddrPort("192.0.2.2:2")}
	for _, header := range []Header{{Key: key}, {Key: key, HasRoute: true, Revision: 7}} {
		encoded, err := FormatHeader(header)
		is.New(f).NoErr(err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		header, err := parseHeader(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil {
			return
		}
		if _, err := FormatHeader(header); err != nil {
			t.Fatalf("%q gives %+v: %v", encoded, header, err)
		}
	})
}
