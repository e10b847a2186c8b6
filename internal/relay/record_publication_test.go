// This file guards against changes of the agent's record that another write of the record hides or
// replaces.

package relay

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/instance"
)

// latePublishAdapter is a recordAdapter whose Publish replaces the stored record only after that
// contains a drain.
type latePublishAdapter struct {
	recordAdapter
	begun      atomic.Bool
	inProgress atomic.Int32
}

func (a *latePublishAdapter) Publish(ctx context.Context, record Record) (uint64, error) {
	a.inProgress.Add(1)
	defer a.inProgress.Add(-1)
	a.begun.Store(true)
	for len(a.records.drains()) == 0 {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return a.records.replace(record, a.records.currentRevision())
}

// TestPublicationKeepsAcknowledgedDrains guards against an acknowledged drain that is lost because the
// agent also publishes its record in place of one that is not its own.
func TestPublicationKeepsAcknowledgedDrains(t *testing.T) {
	for name, store := range map[string]*recordStore{
		"malformed record":          {revision: 7, stored: StoredRecord{Revision: 7}, malformed: true},
		"record of another machine": {revision: 7, stored: StoredRecord{Record: Record{Address: netip.MustParseAddrPort("10.9.9.9:1")}, Revision: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			adapter := &latePublishAdapter{recordAdapter: recordAdapter{Adapter: &ownRecordAdapter{}, records: store}}
			a := startAgentBefore(t, adapter)
			a.backendSeen.signal()
			waitUntil(t, func() bool { return adapter.begun.Load() || a.recordRevision.Load() != 0 })
			is.NoErr(a.Remove(instance.Incarnation{ID: "i-1"}))
			waitUntil(t, func() bool { return adapter.inProgress.Load() == 0 })
			is.Equal(store.drains(), []instance.Drain{{Incarnation: instance.Incarnation{ID: "i-1"}}})
		})
	}
}

// heldReplaceAdapter is a recordAdapter whose Replace waits until it is released.
type heldReplaceAdapter struct {
	recordAdapter
	begun    chan struct{}
	released chan struct{}
}

func (a heldReplaceAdapter) Replace(ctx context.Context, record Record, revision uint64) (uint64, error) {
	select {
	case a.begun <- struct{}{}:
	default: // a later write
	}
	<-a.released
	return a.recordAdapter.Replace(ctx, record, revision)
}

// TestChangeDuringWriteIsStored guards against a change of the record that is taken for stored
// because a write that does not contain it succeeds.
func TestChangeDuringWriteIsStored(t *testing.T) {
	is := is.New(t)
	store := &recordStore{revision: 7, stored: StoredRecord{Record: Record{Address: testPeerAddress, Stopped: true}, Revision: 7}}
	adapter := heldReplaceAdapter{recordAdapter{Adapter: &ownRecordAdapter{}, records: store}, make(chan struct{}, 1), make(chan struct{})}
	a := startRestoredAgent(t, adapter)
	drain := make(chan error, 1)
	go func() { drain <- a.Remove(instance.Incarnation{ID: "i-1"}) }()
	<-adapter.begun
	a.mutex.Lock()
	a.updateDrains(time.Now().Add(a.settings.Flows.MaxLifetime + time.Second))
	a.mutex.Unlock()
	close(adapter.released)
	<-drain
	waitUntil(t, func() bool { return !store.record().Stopped })
	is.Equal(len(store.record().Drains), 1)
}
