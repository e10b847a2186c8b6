package wire

import (
	"bufio"
	"bytes"
	"sync"

	"github.com/pires/go-proxyproto"
)

// headerReader is a buffered reader that can be pointed at new bytes, so that
// parsing a header does not need a new buffer.
type headerReader struct {
	source   bytes.Reader
	buffered *bufio.Reader
}

var headerReaders = sync.Pool{New: func() any {
	return &headerReader{buffered: bufio.NewReaderSize(nil, MaximumHeader)}
}}

// readHeader reads the PROXY header that encoded consists of.
func readHeader(encoded []byte) (*proxyproto.Header, error) {
	reader := headerReaders.Get().(*headerReader)
	defer headerReaders.Put(reader)
	reader.source.Reset(encoded)
	reader.buffered.Reset(&reader.source)
	header, err := proxyproto.Read(reader.buffered)
	reader.source.Reset(nil)
	return header, err
}
