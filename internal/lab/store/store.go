// This file starts and closes a store, serializes access to its state, opens and closes the port of
// the object API, changes the machine list and returns the counters.

// Package store implements an in-memory substitute for the platform's object store in tests and
// experiments. It serves the object API and the machine list of package objects, and simulates
// faults of a real store: outages, slow responses, lost replies, delayed writes and restored
// backups.
package store

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/burlmill/burlmill/internal/objects"
)

// Store is a running store. All methods are safe for concurrent use. After Close, methods that read
// the state return zero values, and ControlURL and SetFaults must not be called.
type Store struct {
	operations chan func(*state)
	context    context.Context // canceled by Close
	cancel     context.CancelFunc
	tasks      sync.WaitGroup // the goroutine of run and those of delayed writes

	address       string // of the object API; has the actual port after the first openPort
	controlServer *server

	portMutex sync.Mutex // held while the port is opened or closed
	apiServer *server    // nil while the port is closed; guarded by portMutex
}

// state is the data of a store. Only the goroutine of Store.run accesses it, by executing the
// functions sent to Store.operations.
type state struct {
	table     *table
	snapshots []*table
	machines  machineHistory
	faults    Faults
	changed   chan struct{} // closed and replaced when the table or the faults change
	counters  Counters
}

// Counters holds totals of requests since Start, and the current numbers of watch requests and
// delayed writes.
type Counters struct {
	Reads       int `json:"reads"`        // valid requests for an object, object list or machine list
	Writes      int `json:"writes"`       // valid requests to write or delete an object
	Watches     int `json:"watches"`      // valid watch requests
	OpenWatches int `json:"open_watches"` // watch requests being served

	DelayedWrites int `json:"delayed_writes"` // delayed writes that are not processed yet
}

// notifyWaiters wakes all goroutines that wait on changed.
func (s *state) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Start starts a store that serves the object API on the TCP address, such as 127.0.0.1:0, until
// Close. The control API is served on a free port of the same host, see ControlURL. Errors have no
// fault kind.
func Start(address string) (*Store, error) {
	return StartWithControl(address, "")
}

// StartWithControl is like Start, but serves the control API on the TCP address controlAddress. If
// it is empty, the control API uses a free port of the same host.
func StartWithControl(address, controlAddress string) (*Store, error) {
	ctx, cancel := context.WithCancel(context.Background())
	store := &Store{
		operations: make(chan func(*state)),
		context:    ctx,
		cancel:     cancel,
		address:    address,
	}
	store.tasks.Go(store.run)
	if err := store.listen(controlAddress); err != nil {
		store.Close()
		return nil, err
	}
	return store, nil
}

// listen starts the servers of the object API and of the control API.
func (s *Store) listen(controlAddress string) error {
	s.portMutex.Lock()
	defer s.portMutex.Unlock()
	if err := s.openPort(); err != nil {
		return err
	}
	if controlAddress == "" {
		host, _, err := net.SplitHostPort(s.address)
		if err != nil {
			return err
		}
		controlAddress = net.JoinHostPort(host, "0")
	}
	control, err := startServer(controlAddress, s.controlHandler())
	s.controlServer = control
	return err
}

// run creates the state and executes operations on it until the store is closed.
func (s *Store) run() {
	state := &state{table: newTable(), changed: make(chan struct{})}
	for {
		select {
		case operation := <-s.operations:
			operation(state)
		case <-s.context.Done():
			return
		}
	}
}

// withState executes the operation on the state and waits until it has returned. It does nothing
// after Close.
func (s *Store) withState(operation func(*state)) {
	done := make(chan struct{})
	run := func(state *state) {
		defer close(done)
		operation(state)
	}
	select {
	case s.operations <- run:
		<-done
	case <-s.context.Done():
	}
}

// fromState returns the result of read on the state, or the zero value after Close.
func fromState[T any](s *Store, read func(*state) T) T {
	var result T
	s.withState(func(state *state) { result = read(state) })
	return result
}

// openPort starts the server of the object API on the store's address unless it is running. The
// caller must hold s.portMutex.
func (s *Store) openPort() error {
	if s.apiServer != nil {
		return nil
	}
	api, err := startServer(s.address, s.apiHandler())
	if err != nil {
		return err
	}
	s.apiServer = api
	s.address = api.address
	return nil
}

// closePort stops the server of the object API and closes its connections. The error is always nil.
// The caller must hold s.portMutex.
func (s *Store) closePort() error {
	if s.apiServer != nil {
		s.apiServer.close()
		s.apiServer = nil
	}
	return nil
}

// URL returns the base URL of the object API.
func (s *Store) URL() string { return "http://" + s.address }

// ControlURL returns the base URL of the control API, which stays reachable during an outage.
func (s *Store) ControlURL() string { return "http://" + s.controlServer.address }

// Counters returns the current counters.
func (s *Store) Counters() Counters {
	return fromState(s, func(state *state) Counters { return state.counters })
}

// SetMachine adds a machine to the machine list or replaces the one with the same id.
func (s *Store) SetMachine(machine objects.Machine) {
	s.changeMachines(func(machines map[string]objects.Machine) { machines[machine.ID] = machine })
}

// RemoveMachine removes the machine from the machine list.
func (s *Store) RemoveMachine(id string) {
	s.changeMachines(func(machines map[string]objects.Machine) { delete(machines, id) })
}

func (s *Store) changeMachines(edit func(map[string]objects.Machine)) {
	s.withState(func(state *state) { state.machines = state.machines.appendChanged(time.Now(), edit) })
}

// Close stops the servers, and waits for the goroutines of the state and of delayed writes. Writes
// that are still delayed are discarded.
func (s *Store) Close() {
	s.cancel()
	s.portMutex.Lock()
	defer s.portMutex.Unlock()
	_ = s.closePort()
	if s.controlServer != nil {
		s.controlServer.close()
		s.controlServer = nil
	}
	s.tasks.Wait()
}
