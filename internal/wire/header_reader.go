// This file parses a PROXY header with pooled buffers.

package wire

import (
	"bufio"
	"bytes"
	"sync"

	"github.com/pires/go-proxyproto"
)

// headerReader is a reusable buffered reader, so that parsing a header does not
// allocate a buffer.
type headerReader struct {
	source   bytes.Reader
	buffered *bufio.Reader
}

var headerReaders = sync.Pool{New: func() any {
	return &headerReader{buffered: bufio.NewReaderSize(nil, MaxHeaderBytes)}
}}

// readHeader parses a PROXY header that fills the whole slice.
func readHeader(encoded []byte) (*proxyproto.Header, error) {
	reader := headerReaders.Get().(*headerReader)
	defer headerReaders.Put(reader)
	reader.source.Reset(encoded)
	reader.buffered.Reset(&reader.source)
	header, err := proxyproto.Read(reader.buffered)
	reader.source.Reset(nil)
	return header, err
}
