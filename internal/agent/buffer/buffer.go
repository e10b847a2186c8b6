// Package buffer holds copies of datagrams that outlive the call in which they
// were received. Buffers of the usual size are reused.
package buffer

import "sync"

// pooledCapacity is the capacity in bytes of a reused buffer. It holds a
// datagram of an Ethernet's size with its PROXY header; longer datagrams get a
// buffer of their own.
const pooledCapacity = 2048

// Buffer is one datagram. It has one owner at a time, and the last owner calls
// Release.
type Buffer struct {
	Bytes []byte // content; may be cut to a part of the datagram

	storage []byte
}

var pool = sync.Pool{New: func() any {
	return &Buffer{storage: make([]byte, 0, pooledCapacity)}
}}

// Join returns a buffer that holds the parts, one after the other.
func Join(parts ...[]byte) *Buffer {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	joined := take(length)
	for _, part := range parts {
		joined.storage = append(joined.storage, part...)
	}
	joined.Bytes = joined.storage
	return joined
}

func take(length int) *Buffer {
	if length > pooledCapacity {
		return &Buffer{storage: make([]byte, 0, length)}
	}
	taken := pool.Get().(*Buffer)
	taken.storage = taken.storage[:0]
	return taken
}

// Release gives the buffer back. Its bytes may not be used any more.
func (b *Buffer) Release() {
	b.Bytes = nil
	if cap(b.storage) == pooledCapacity {
		pool.Put(b)
	}
}
