// Package buffer provides pooled buffers for datagrams that are kept after the
// call that received them.
package buffer

import "sync"

// pooledCapacity is the capacity in bytes of a pooled buffer. Buffers of longer
// datagrams are allocated separately and not pooled.
const pooledCapacity = 2048

// Buffer is one datagram. It has one owner at a time; the last owner must call
// Release.
type Buffer struct {
	Bytes []byte // content; may be resliced to a part of the datagram

	storage []byte
}

var pool = sync.Pool{New: func() any {
	return &Buffer{storage: make([]byte, 0, pooledCapacity)}
}}

// Join returns a buffer that holds the concatenated parts.
func Join(parts ...[]byte) *Buffer {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	joined := acquire(length)
	for _, part := range parts {
		joined.storage = append(joined.storage, part...)
	}
	joined.Bytes = joined.storage
	return joined
}

func acquire(length int) *Buffer {
	if length > pooledCapacity {
		return &Buffer{storage: make([]byte, 0, length)}
	}
	pooled := pool.Get().(*Buffer)
	pooled.storage = pooled.storage[:0]
	return pooled
}

// Release returns the buffer to the pool. The buffer and its bytes must not be
// used afterwards.
func (b *Buffer) Release() {
	b.Bytes = nil
	if cap(b.storage) == pooledCapacity {
		pool.Put(b)
	}
}
