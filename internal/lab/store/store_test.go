// This file tests a store through the client of package objects: the errors that each fault causes,
// conflicting writes, watches, snapshots, outdated machine lists, repeated outages, fault switches
// over HTTP, and that Client.Resolve agrees with the writes that were applied.

package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// Timeouts of the tests.
const (
	shortTimeout = 150 * time.Millisecond // of clients whose requests must time out
	longTimeout  = 10 * time.Second       // of other clients and of conditions
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a running store with a client.
type fixture struct {
	store  *Store
	client *objects.Client
}

func startStore(t testing.TB, timeout time.Duration) fixture {
	store, err := Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := objects.NewClient(store.URL(), objects.Options{Timeout: timeout})
	t.Cleanup(func() {
		client.Close()
		store.Close()
	})
	return fixture{store: store, client: client}
}

func newWrite(name catalog.ServiceName, expected catalog.Revision, body string) objects.Write {
	return objects.Write{
		Name:     name,
		Expected: expected,
		Body:     json.RawMessage(body),
		Command:  objects.NewCommandID(),
		Author:   "operator",
	}
}

// eventually polls until the condition holds, and fails the test if it does not within longTimeout.
func eventually(t rapid.TB, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(longTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for a condition")
		}
	}
}

func TestFaultKinds(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		put    fault.Kind
		get    fault.Kind
		status objects.Status // of the write, after the faults are cleared
	}{
		{"refuse", Faults{Outage: OutageRefuse}, fault.Unavailable, fault.Unavailable, objects.Undetermined},
		{"hang", Faults{Outage: OutageHang}, fault.OutcomeUnknown, fault.Deadline, objects.Undetermined},
		{"slow", Faults{Slow: Milliseconds(3 * shortTimeout / 2 / time.Millisecond)}, fault.OutcomeUnknown, fault.Deadline, objects.Applied},
		{"lost reply", Faults{LoseReplies: 1}, fault.OutcomeUnknown, fault.NotFound, objects.Applied},
		{"delayed write", Faults{DelayWrites: 1, WriteDelay: 50}, fault.OutcomeUnknown, fault.NotFound, objects.Applied},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startStore(t, shortTimeout)
			is.NoErr(f.store.SetFaults(test.faults))
			_, err := f.client.Get(t.Context(), "other")
			is.Equal(fault.KindOf(err), test.get)
			put := newWrite("lessons", 0, `{"a":1}`)
			_, err = f.client.Put(t.Context(), put)
			is.Equal(fault.KindOf(err), test.put)
			is.NoErr(f.store.SetFaults(Faults{}))
			eventually(t, func() bool {
				outcome, err := f.client.Resolve(t.Context(), put)
				return err == nil && outcome.Status == test.status
			})
		})
	}
}

func TestConflictingCommands(t *testing.T) {
	is := is.New(t)
	f := startStore(t, longTimeout)
	first := newWrite("lessons", 0, `{"a":1}`)
	version, err := f.client.Put(t.Context(), first)
	is.NoErr(err)
	second := newWrite("lessons", 0, `{"a":2}`)
	_, err = f.client.Put(t.Context(), second)
	var conflict *objects.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(fault.KindOf(err), fault.Conflict)
	is.Equal(conflict.Current.Version, version)
	is.Equal(conflict.Current.Annotations, objects.Annotations{CommandID: first.Command, Author: "operator"})
	repeated, err := f.client.Put(t.Context(), first) // a repeated command is not a conflict
	is.NoErr(err)
	is.Equal(repeated, version)

	deletion := newWrite("lessons", version, "")
	deleted, err := f.client.Delete(t.Context(), deletion)
	is.NoErr(err)
	object, err := f.client.Get(t.Context(), "lessons")
	is.Equal(fault.KindOf(err), fault.NotFound)
	is.Equal(object.Version, deleted)
	_, err = f.client.Put(t.Context(), newWrite("lessons", 0, `{}`)) // a deletion is a version too
	is.Equal(fault.KindOf(err), fault.Conflict)
	_, err = f.client.Put(t.Context(), newWrite("lessons", deleted, `{}`))
	is.NoErr(err)
	_, err = f.client.Put(t.Context(), newWrite("lessons", deleted, `{`))
	is.Equal(fault.KindOf(err), fault.Invalid)
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	f := startStore(t, longTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	received := make(chan objects.Changes, 1)
	go func() {
		defer close(received)
		changes, err := f.client.Watch(ctx, 0, longTimeout)
		if err == nil {
			received <- changes
		}
	}()
	eventually(t, func() bool { return f.store.Counters().OpenWatches == 1 })
	_, err := f.client.Put(ctx, newWrite(objects.InternalPrefix+"lease", 0, `{}`))
	is.NoErr(err)
	// Watch must not return for an internal object, so the client sends another watch request.
	eventually(t, func() bool { return f.store.Counters().Watches == 2 })
	snapshot := f.store.Snapshot()
	version, err := f.client.Put(ctx, newWrite("lessons", 0, `{"a":1}`))
	is.NoErr(err)
	changes := <-received
	want := catalog.Object{Name: "lessons", Revision: version, Body: []byte(`{"a":1}`)}
	is.Equal(changes, objects.Changes{Revision: version, Objects: []catalog.Object{want}})

	is.NoErr(f.store.Restore(snapshot))
	changes, err = f.client.Watch(ctx, version, time.Millisecond)
	is.NoErr(err)
	is.Equal(changes, objects.Changes{Revision: version - 1})
}

func TestMachineListLags(t *testing.T) {
	is := is.New(t)
	f := startStore(t, longTimeout)
	machine := objects.Machine{ID: "one", Role: "agent", Control: netip.MustParseAddrPort("127.0.0.1:9")}
	f.store.SetMachine(machine)
	is.NoErr(f.store.SetFaults(Faults{MachineLag: Milliseconds(time.Hour / time.Millisecond)}))
	machines, err := f.client.Machines(t.Context())
	is.NoErr(err)
	is.Equal(len(machines), 0)
	is.NoErr(f.store.SetFaults(Faults{}))
	machines, err = f.client.Machines(t.Context())
	is.NoErr(err)
	is.Equal(machines, []objects.Machine{machine})
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	f := startStore(t, longTimeout)
	defer http.DefaultClient.CloseIdleConnections()
	post := func(body string) int {
		response, err := http.Post(f.store.ControlURL()+PathFaults, "application/json", bytes.NewBufferString(body))
		is.NoErr(err)
		defer response.Body.Close()
		return response.StatusCode
	}
	is.Equal(post(`{"outage":"refuse"}`), http.StatusOK)
	_, err := f.client.Changes(t.Context(), 0)
	is.Equal(fault.KindOf(err), fault.Unavailable)
	is.Equal(post(`{"outage":"sometimes"}`), http.StatusBadRequest)
	is.Equal(post(`{}`), http.StatusOK)
	_, err = f.client.Changes(t.Context(), 0)
	is.NoErr(err)
}

func TestOutagesInQuickSuccession(t *testing.T) {
	is := is.New(t)
	f := startStore(t, longTimeout)
	for range 50 {
		is.NoErr(f.store.SetFaults(Faults{Outage: OutageRefuse}))
		is.NoErr(f.store.SetFaults(Faults{}))
	}
	_, err := f.client.Changes(t.Context(), 0)
	is.NoErr(err)
}

// resolution is a result of Resolve for a write.
type resolution struct {
	command objects.CommandID
	outcome objects.Outcome
}

// TestResolveMatchesAppliedWrites guards against a result of Resolve that a later state of the
// store contradicts, with faults and concurrent writes to the same object.
func TestResolveMatchesAppliedWrites(t *testing.T) {
	f := startStore(t, longTimeout)
	rapid.Check(t, func(t *rapid.T) {
		name := catalog.ServiceName(objects.NewCommandID())
		applied := map[objects.CommandID]catalog.Revision{}
		// Called before each write, so that no write leaves the object's history between two calls.
		recordApplied := func() (current catalog.Revision) {
			object := fromState(f.store, func(state *state) objects.Object { return state.table.objects[name] })
			applied[object.Annotations.CommandID] = object.Version
			for _, entry := range object.History {
				applied[entry.Annotations.CommandID] = entry.Version
			}
			return object.Version
		}
		var sent []objects.Write
		var resolutions []resolution
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { recordApplied() },
			"put": func(t *rapid.T) {
				faults := rapid.SampledFrom([]Faults{{}, {LoseReplies: 1}, {DelayWrites: 1, WriteDelay: 3}}).Draw(t, "faults")
				if err := f.store.SetFaults(faults); err != nil {
					t.Fatal(err)
				}
				put := newWrite(name, recordApplied(), `{}`)
				_, _ = f.client.Put(t.Context(), put) // Resolve determines the outcome
				sent = append(sent, put)
			},
			"others": func(t *rapid.T) {
				for range rapid.IntRange(1, objects.HistoryLimit+2).Draw(t, "writes") {
					annotations := objects.Annotations{CommandID: objects.NewCommandID()}
					f.store.apply(conditionalWrite{name: name, expected: recordApplied(), annotations: annotations})
				}
			},
			"resolve": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent")
				}
				put := rapid.SampledFrom(sent).Draw(t, "write")
				outcome, err := f.client.Resolve(t.Context(), put)
				if err != nil {
					t.Fatal(err)
				}
				resolutions = append(resolutions, resolution{command: put.Command, outcome: outcome})
			},
		})
		eventually(t, func() bool { return f.store.Counters().DelayedWrites == 0 })
		recordApplied()
		for _, result := range resolutions {
			version, wasApplied := applied[result.command]
			outcome := result.outcome
			wrong := outcome.Status == objects.Applied && (!wasApplied || version != outcome.Version)
			if wrong || outcome.Status == objects.NotApplied && wasApplied {
				t.Fatalf("Resolve returned %s version %d, but applied=%t version %d", outcome.Status, outcome.Version, wasApplied, version)
			}
		}
	})
}
