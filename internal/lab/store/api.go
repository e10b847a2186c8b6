// This file serves the object API: reads, conditional writes, lists and watches, and the list and
// changes of machines. It applies the fault switches, which delay responses and writes, lose
// replies, leave requests without a response and serve an outdated machine list. It rejects writes
// whose body is too large or not JSON.

package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// maxWatchWait is the maximum wait that a watch request may specify; a longer one is rejected.
const maxWatchWait = time.Minute

// apiHandler serves the HTTP API of package objects, subject to the fault switches.
func (s *Store) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objects.PathObjects+"/{name}", s.getObject)
	mux.HandleFunc("PUT "+objects.PathObjects+"/{name}", s.writeObject)
	mux.HandleFunc("DELETE "+objects.PathObjects+"/{name}", s.writeObject)
	mux.HandleFunc("GET "+objects.PathObjects, s.listObjects)
	mux.HandleFunc("GET "+objects.PathWatch, s.watchObjects)
	mux.HandleFunc("GET "+objects.PathMachines, s.listMachines)
	mux.HandleFunc("PUT "+objects.PathMachines+"/{id}", s.putMachine)
	mux.HandleFunc("DELETE "+objects.PathMachines+"/{id}", s.deleteMachine)
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if !s.awaitHangEnd(request.Context()) {
			closeConnection(response)
			return
		}
		s.delayResponse(request.Context())
		mux.ServeHTTP(response, request)
	})
}

// delayResponse waits for half of Faults.Slow, or until the context is done.
func (s *Store) delayResponse(ctx context.Context) {
	sleep(ctx, s.Faults().Slow.duration()/2)
}

func (s *Store) getObject(response http.ResponseWriter, request *http.Request) {
	name := catalog.ServiceName(request.PathValue("name"))
	object := fromState(s, func(state *state) objects.Object {
		state.counters.Reads++
		return state.table.objects[name]
	})
	s.delayResponse(request.Context())
	switch {
	case object.Version == 0:
		respondProblem(response, fault.New(fault.NotFound, "object %q does not exist", name))
	case object.Deleted:
		respondObject(response, http.StatusNotFound, object)
	default:
		respondObject(response, http.StatusOK, object)
	}
}

// writeObject serves PUT and DELETE of an object.
func (s *Store) writeObject(response http.ResponseWriter, request *http.Request) {
	write, err := readWrite(request)
	if err != nil {
		respondProblem(response, err)
		return
	}
	delayed, lost := s.nextWriteFaults()
	if delayed > 0 {
		s.tasks.Go(func() { s.applyDelayed(write, delayed) })
		closeConnection(response)
		return
	}
	object, applied := s.apply(write)
	s.delayResponse(request.Context())
	switch {
	case lost:
		closeConnection(response)
	case !applied:
		respondObject(response, http.StatusPreconditionFailed, object)
	default:
		response.Header().Set(objects.HeaderETag, objects.FormatEntityTag(object.Version))
		respondJSON(response, http.StatusOK, objects.WriteResponse{Name: object.Name, Version: object.Version})
	}
}

// readWrite decodes and validates a write request. Errors are of kind fault.Invalid.
func readWrite(request *http.Request) (conditionalWrite, error) {
	expected, err := objects.ParseEntityTag(request.Header.Get(objects.HeaderIfMatch))
	if err != nil {
		return conditionalWrite{}, err
	}
	write := conditionalWrite{
		name:     catalog.ServiceName(request.PathValue("name")),
		expected: expected,
		deleted:  request.Method == http.MethodDelete,
		annotations: objects.Annotations{
			CommandID: objects.CommandID(request.Header.Get(objects.HeaderCommandID)),
			Author:    request.Header.Get(objects.HeaderAuthor),
		},
	}
	if err := write.annotations.Validate(); err != nil {
		return write, err
	}
	if write.deleted {
		return write, nil
	}
	write.body, err = io.ReadAll(request.Body)
	if err != nil {
		return write, fault.Wrap(fault.Invalid, err, "body")
	}
	if len(write.body) > catalog.MaxBodySize || !json.Valid(write.body) {
		return write, fault.InvalidField("body", len(write.body), "must be JSON of at most "+strconv.Itoa(catalog.MaxBodySize)+" bytes")
	}
	return write, nil
}

// nextWriteFaults counts a write and returns the faults that apply to it: the delay before it is
// applied, 0 for none, or whether its reply is lost.
func (s *Store) nextWriteFaults() (delayed time.Duration, lost bool) {
	s.withState(func(state *state) {
		state.counters.Writes++
		switch {
		case state.faults.DelayWrites > 0:
			state.faults.DelayWrites--
			delayed = max(state.faults.WriteDelay.duration(), 1)
			state.counters.DelayedWrites++
		case state.faults.LoseReplies > 0:
			state.faults.LoseReplies--
			lost = true
		}
	})
	return delayed, lost
}

// applyDelayed applies a write after the delay, unless the store is closed first. The expected
// version is compared only after the delay.
func (s *Store) applyDelayed(write conditionalWrite, delay time.Duration) {
	if !sleep(s.context, delay) {
		return
	}
	s.apply(write)
	s.withState(func(state *state) { state.counters.DelayedWrites-- })
}

// apply is table.apply on the store's table. If the write is applied, it wakes the waiting watches.
func (s *Store) apply(write conditionalWrite) (object objects.Object, applied bool) {
	s.withState(func(state *state) {
		object, applied = state.table.apply(write)
		if applied {
			state.notifyWaiters()
		}
	})
	return object, applied
}

func (s *Store) listObjects(response http.ResponseWriter, request *http.Request) {
	after, err := parseAfter(request)
	if err != nil {
		respondProblem(response, err)
		return
	}
	list := fromState(s, func(state *state) objects.ChangeList {
		state.counters.Reads++
		return state.table.changes(after)
	})
	s.delayResponse(request.Context())
	respondJSON(response, http.StatusOK, list)
}

// parseAfter returns the version after which changes are requested. Errors are of kind
// fault.Invalid.
func parseAfter(request *http.Request) (catalog.Revision, error) {
	text := request.URL.Query().Get(objects.QueryAfter)
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.InvalidField(objects.QueryAfter, text, "must be a version")
	}
	return catalog.Revision(after), nil
}

func (s *Store) watchObjects(response http.ResponseWriter, request *http.Request) {
	after, err := parseAfter(request)
	if err != nil {
		respondProblem(response, err)
		return
	}
	text := request.URL.Query().Get(objects.QueryWait)
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWatchWait {
		respondProblem(response, fault.InvalidField(objects.QueryWait, text, "must be 0s to "+maxWatchWait.String()))
		return
	}
	s.withState(func(state *state) {
		state.counters.Watches++
		state.counters.OpenWatches++
	})
	defer s.withState(func(state *state) { state.counters.OpenWatches-- })
	list, complete := s.awaitChanges(request.Context(), after, wait)
	if !complete {
		closeConnection(response)
		return
	}
	s.delayResponse(request.Context())
	respondJSON(response, http.StatusOK, list)
}

// awaitChanges waits until the store's version is above after, at most for wait, and returns the
// changes. It returns false if an outage is set or ctx is done before that. In an OutageHang it
// returns only after the outage has ended or ctx is done.
func (s *Store) awaitChanges(ctx context.Context, after catalog.Revision, wait time.Duration) (objects.ChangeList, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for {
		var list objects.ChangeList
		var outage Outage
		var changed <-chan struct{}
		s.withState(func(state *state) {
			list = state.table.changes(after)
			outage = state.faults.Outage
			changed = state.changed
		})
		switch {
		case outage != OutageNone:
			s.awaitHangEnd(ctx)
			return list, false
		case list.Version > after || expired:
			return list, true
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return list, false
		}
	}
}

func (s *Store) listMachines(response http.ResponseWriter, request *http.Request) {
	machines := fromState(s, func(state *state) []objects.Machine {
		state.counters.Reads++
		return state.machines.at(time.Now().Add(-state.faults.MachineLag.duration()))
	})
	list := objects.MachineList{Machines: []json.RawMessage{}}
	for _, machine := range machines {
		encoded, err := json.Marshal(machine)
		if err != nil {
			respondProblem(response, err)
			return
		}
		list.Machines = append(list.Machines, encoded)
	}
	s.delayResponse(request.Context())
	respondJSON(response, http.StatusOK, list)
}

func (s *Store) putMachine(response http.ResponseWriter, request *http.Request) {
	var machine objects.Machine
	if err := json.NewDecoder(request.Body).Decode(&machine); err != nil {
		respondProblem(response, fault.Wrap(fault.Invalid, err, "machine"))
		return
	}
	machine.ID = request.PathValue("id")
	s.SetMachine(machine)
	respondJSON(response, http.StatusOK, machine)
}

func (s *Store) deleteMachine(response http.ResponseWriter, request *http.Request) {
	s.RemoveMachine(request.PathValue("id"))
	respondJSON(response, http.StatusOK, struct{}{})
}
