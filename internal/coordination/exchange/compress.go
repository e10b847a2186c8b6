package exchange

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/fault"
)

// maximumList bounds a list of objects or members after decompression, in bytes.
const maximumList = 4 << 20

// writers keeps gzip writers for reuse, because each holds about 800 KB.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// compress encodes a list. An empty list gives no bytes.
func compress(list proto.Message) []byte {
	encoded, err := proto.Marshal(list)
	if err != nil || len(encoded) == 0 {
		return nil // lists of valid strings always encode
	}
	var buffer bytes.Buffer
	writer := writers.Get().(*gzip.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	_, _ = writer.Write(encoded) // a bytes.Buffer takes every write
	_ = writer.Close()
	return buffer.Bytes()
}

// decompress is the reverse of compress. Errors are of kind fault.Invalid.
func decompress(compressed []byte, list proto.Message) error {
	if len(compressed) == 0 {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "list of %d bytes", len(compressed))
	}
	encoded, err := io.ReadAll(io.LimitReader(reader, maximumList+1))
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "list of %d bytes", len(compressed))
	}
	if len(encoded) > maximumList {
		return fault.New(fault.Invalid, "list exceeds %d bytes", maximumList)
	}
	return fault.Wrap(fault.Invalid, proto.Unmarshal(encoded, list), "list of %d bytes", len(compressed))
}
