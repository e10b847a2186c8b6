package flow

import "time"

// expiringMap is a map whose entries expire when lifetime has passed since they were last put.
type expiringMap[K comparable, V any] struct {
	lifetime time.Duration
	entries  map[K]expiringEntry[V]
}

type expiringEntry[V any] struct {
	value     V
	expiresAt time.Time
}

func newExpiringMap[K comparable, V any](lifetime time.Duration) expiringMap[K, V] {
	return expiringMap[K, V]{lifetime: lifetime, entries: map[K]expiringEntry[V]{}}
}

func (m *expiringMap[K, V]) put(now time.Time, key K, value V) {
	m.entries[key] = expiringEntry[V]{value: value, expiresAt: now.Add(m.lifetime)}
}

func (m *expiringMap[K, V]) get(now time.Time, key K) (value V, ok bool) {
	entry, ok := m.entries[key]
	if !ok || !now.Before(entry.expiresAt) {
		return value, false
	}
	return entry.value, true
}

func (m *expiringMap[K, V]) expire(now time.Time) {
	for key, entry := range m.entries {
		if !now.Before(entry.expiresAt) {
			delete(m.entries, key)
		}
	}
}
