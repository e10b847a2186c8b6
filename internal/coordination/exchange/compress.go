// This file encodes lists of objects or members as compressed bytes and decodes them. It rejects
// lists that decompress to more than maxListBytes.

package exchange

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/burlmill/burlmill/fault"
)

// maxListBytes limits the decompressed size of a list of objects or members.
const maxListBytes = 4 << 20

// gzipWriters pools gzip writers, because each allocates large buffers.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// compress encodes a list and compresses it with gzip. It returns nil for an empty list and for one
// that contains a string of invalid UTF-8.
func compress(list proto.Message) []byte {
	encoded, err := proto.Marshal(list)
	if err != nil || len(encoded) == 0 {
		return nil
	}
	var buffer bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&buffer)
	_, _ = writer.Write(encoded) // writes to a bytes.Buffer never fail
	_ = writer.Close()
	return buffer.Bytes()
}

// decompress decodes the result of compress into list. Errors are of kind fault.Invalid.
func decompress(compressed []byte, list proto.Message) error {
	if len(compressed) == 0 {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "gzip header of a compressed list of %d bytes", len(compressed))
	}
	encoded, err := io.ReadAll(io.LimitReader(reader, maxListBytes+1))
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "decompress list of %d bytes", len(compressed))
	}
	if len(encoded) > maxListBytes {
		return fault.New(fault.Invalid, "decompressed list exceeds %d bytes", maxListBytes)
	}
	return fault.Wrap(fault.Invalid, proto.Unmarshal(encoded, list), "decode list of %d compressed bytes", len(compressed))
}
