// This file contains a bounded cache, and a decoder that uses it to avoid parsing the same header
// again.

package wire

// Cache is a bounded map from byte strings to values with two generations: when
// the younger one is full, it replaces the older one. A lookup of an entry in the older
// generation copies it to the younger one. The most recently used entries, up to the
// limit of a generation, are therefore present; older ones are dropped. A lookup in the
// younger generation does not allocate. A Cache is not safe for concurrent use.
type Cache[Value any] struct {
	limit   int
	younger map[string]Value
	older   map[string]Value
}

// NewCache returns an empty cache with up to limit entries per generation; a limit
// below 1 counts as 1.
func NewCache[Value any](limit int) *Cache[Value] {
	return &Cache[Value]{limit: max(limit, 1), younger: map[string]Value{}}
}

// Get returns the value for the key and whether it is present. It does not retain the key.
func (c *Cache[Value]) Get(key []byte) (value Value, found bool) {
	if value, found = c.younger[string(key)]; found {
		return value, true
	}
	if value, found = c.older[string(key)]; found {
		c.Put(key, value)
	}
	return value, found
}

// Put stores the value for a copy of the key.
func (c *Cache[Value]) Put(key []byte, value Value) {
	_, found := c.younger[string(key)]
	if !found && len(c.younger) >= c.limit {
		c.older = c.younger
		c.younger = make(map[string]Value, c.limit)
	}
	c.younger[string(key)] = value
}

// Len returns the number of entries. An entry in both generations counts twice.
func (c *Cache[Value]) Len() int { return len(c.younger) + len(c.older) }

// Decoder parses envelopes like ParseEnvelope, but caches parsed headers: a datagram
// with a header that is cached, apart from its age, costs a map lookup and no parsing.
// A Decoder is not safe for concurrent use.
type Decoder struct{ headers *Cache[Envelope] }

// NewDecoder returns a decoder with a Cache of headers, with up to limit entries per
// generation.
func NewDecoder(limit int) *Decoder {
	return &Decoder{headers: NewCache[Envelope](limit)}
}

// Decode parses the header of a datagram like ParseEnvelope.
func (d *Decoder) Decode(datagram []byte) (envelope Envelope, headerLength int, err error) {
	header, err := HeaderBytes(datagram)
	if err != nil {
		return Envelope{}, 0, err
	}
	// The key of a header with an age ends with the tag of the age. All headers with this key have
	// the same fields before it, so they all end with an age.
	key, age := cutAge(header)
	if envelope, found := d.headers.Get(key); found {
		if len(key) < len(header) {
			envelope.Age = age
		}
		return envelope, len(header), nil
	}
	envelope, endsWithAge, err := parseHeader(header)
	if err != nil {
		return Envelope{}, 0, err
	}
	if endsWithAge || len(key) == len(header) { // not if it only looks as if it ended with an age
		d.headers.Put(key, envelope)
	}
	return envelope, len(header), nil
}
