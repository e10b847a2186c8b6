// This file queues the lookups of flows, limits how many run at once, and decides their order.

package handshake

import (
	"cmp"
	"slices"
	"time"
)

// queueLookup queues the flow's lookup. If the queue is full, its oldest lookup is abandoned.
func (b *Balancer) queueLookup(now time.Time, entry *flowEntry) {
	if len(b.lookupQueue) >= maxQueuedLookups {
		oldest := b.lookupQueue[0]
		b.lookupQueue = slices.Delete(b.lookupQueue, 0, 1)
		if oldest.lookup != nil && oldest.lookup.queued {
			b.abandonLookup(now, oldest)
		}
	}
	entry.lookup.queued = true
	b.lookupQueue = append(b.lookupQueue, entry)
}

// startLookups starts queued lookups up to maxLookups, those with the most recent datagrams first.
// Lookups whose callers have given up are abandoned.
func (b *Balancer) startLookups(now time.Time) {
	for b.activeLookups < maxLookups && len(b.lookupQueue) > 0 {
		entry := b.dequeueLookup()
		if entry == nil {
			return
		}
		if now.Sub(entry.lastSeenAt) > callerTimeout {
			b.abandonLookup(now, entry)
			continue
		}
		entry.lookup.running = true
		b.activeLookups++
		b.continueLookup(now, entry)
	}
}

// dequeueLookup dequeues a lookup and returns its flow, nil if no lookup is queued. Flows that have
// not been looked up without success before, which most likely are open, come first, then those with
// the most recent datagrams.
func (b *Balancer) dequeueLookup() *flowEntry {
	b.lookupQueue = slices.DeleteFunc(b.lookupQueue, func(entry *flowEntry) bool {
		return entry.lookup == nil || !entry.lookup.queued
	})
	if len(b.lookupQueue) == 0 {
		return nil
	}
	first := 0
	for i, entry := range b.lookupQueue {
		if entry.compareUrgency(b.lookupQueue[first]) >= 0 {
			first = i
		}
	}
	entry := b.lookupQueue[first]
	b.lookupQueue = slices.Delete(b.lookupQueue, first, first+1)
	entry.lookup.queued = false
	return entry
}

// compareUrgency compares the order in which two flows are looked up. The greater one is first.
func (f *flowEntry) compareUrgency(other *flowEntry) int {
	return cmp.Or(compareBools(f.lookupBackoff == 0, other.lookupBackoff == 0),
		f.lastSeenAt.Compare(other.lastSeenAt))
}

// releaseLookupSlot clears the lookup's deadline and frees its slot, so that a queued lookup can
// run.
func (b *Balancer) releaseLookupSlot(entry *flowEntry) {
	b.clearDeadline(entry)
	if entry.lookup.running {
		entry.lookup.running = false
		b.activeLookups--
	}
}
