package wire

// Cache is a bounded map from byte strings to values. It keeps two generations:
// when the younger one is full it becomes the older one, and the older one is
// dropped. An entry that is used moves into the younger generation, so the limit
// most recently used entries are always held and at most twice the limit.
// Looking up a held key does not allocate. A Cache belongs to one goroutine.
type Cache[Value any] struct {
	limit   int
	younger map[string]Value
	older   map[string]Value
}

// NewCache returns an empty cache whose generations hold limit entries each; a
// limit below 1 counts as 1.
func NewCache[Value any](limit int) *Cache[Value] {
	return &Cache[Value]{limit: max(limit, 1), younger: map[string]Value{}}
}

// Get returns the value for the key. The key is not kept.
func (c *Cache[Value]) Get(key []byte) (value Value, held bool) {
	if value, held = c.younger[string(key)]; held {
		return value, true
	}
	if value, held = c.older[string(key)]; held {
		c.Put(key, value)
	}
	return value, held
}

// Put stores the value for the key. The key's bytes are copied.
func (c *Cache[Value]) Put(key []byte, value Value) {
	_, held := c.younger[string(key)]
	if !held && len(c.younger) >= c.limit {
		c.older = c.younger
		c.younger = make(map[string]Value, c.limit)
	}
	c.younger[string(key)] = value
}

// Len returns the number of entries held, those of both generations counted twice.
func (c *Cache[Value]) Len() int { return len(c.younger) + len(c.older) }

// Decoder reads envelopes like ParseEnvelope, but remembers the headers it has
// read: in the steady state a datagram costs one map lookup and no allocation. A
// Decoder belongs to one goroutine.
type Decoder struct{ headers *Cache[Envelope] }

// NewDecoder returns a decoder that remembers the limit most recently used
// headers, and at most twice as many.
func NewDecoder(limit int) *Decoder {
	return &Decoder{headers: NewCache[Envelope](limit)}
}

// Decode reads the header of a datagram as ParseEnvelope does.
func (d *Decoder) Decode(datagram []byte) (envelope Envelope, headerLength int, err error) {
	header, err := HeaderOf(datagram)
	if err != nil {
		return Envelope{}, 0, err
	}
	envelope, held := d.headers.Get(header)
	if held {
		return envelope, len(header), nil
	}
	envelope, err = parseHeader(header)
	if err != nil {
		return Envelope{}, 0, err
	}
	d.headers.Put(header, envelope)
	return envelope, len(header), nil
}
