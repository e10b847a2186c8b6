// Package store is a stand-in for the platform's service in tests and
// experiments: the object API and the machine list of package platform, held in
// memory, with switches for the faults that the real service shows.
package store

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/burlmill/burlmill/internal/objects"
)

// Store is one running stand-in. All methods are safe for concurrent use; after
// Close they return zero values.
type Store struct {
	commands chan func(*state)
	context  context.Context // ends with the store
	cancel   context.CancelFunc
	tasks    sync.WaitGroup // the owner goroutine and delayed writes

	address string // of the API, fixed by the first openPort
	lab     *server

	control sync.Mutex // held while the port is opened or closed
	api     *server    // nil while the port is closed; guarded by control
}

// state is owned by one goroutine, which runs the functions sent to it.
type state struct {
	table     *table
	snapshots []*table
	machines  machineLog
	faults    Faults
	changed   chan struct{} // closed and replaced at each change of table or faults
	counters  Counters
}

// Counters say how much the store was used.
type Counters struct {
	Reads       int `json:"reads"`        // requests for objects, lists and machines
	Writes      int `json:"writes"`       // requests to write an object
	Watches     int `json:"watches"`      // watch requests
	OpenWatches int `json:"open_watches"` // watch requests waiting now

	DelayedWrites int `json:"delayed_writes"` // writes whose application is still due
}

// notify wakes whoever waits for a change.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Start runs a store on the TCP address, such as 127.0.0.1:0. The fault switches
// are served on another port of the same host, see LabURL.
func Start(address string) (*Store, error) {
	return StartWithLab(address, "")
}

// StartWithLab is like Start with a fixed TCP address for the fault switches. An
// empty one takes a free port of the same host.
func StartWithLab(address, labAddress string) (*Store, error) {
	ctx, cancel := context.WithCancel(context.Background())
	store := &Store{
		commands: make(chan func(*state)),
		context:  ctx,
		cancel:   cancel,
		address:  address,
	}
	store.tasks.Go(store.run)
	if err := store.listen(labAddress); err != nil {
		store.Close()
		return nil, err
	}
	return store, nil
}

func (s *Store) listen(labAddress string) error {
	s.control.Lock()
	defer s.control.Unlock()
	if err := s.openPort(); err != nil {
		return err
	}
	if labAddress == "" {
		host, _, err := net.SplitHostPort(s.address)
		if err != nil {
			return err
		}
		labAddress = net.JoinHostPort(host, "0")
	}
	lab, err := startServer(labAddress, s.labHandler())
	s.lab = lab
	return err
}

// run owns the state until the store ends.
func (s *Store) run() {
	state := &state{table: newTable(), changed: make(chan struct{})}
	for {
		select {
		case command := <-s.commands:
			command(state)
		case <-s.context.Done():
			return
		}
	}
}

// do runs command on the state and waits for it. It does nothing after Close.
func (s *Store) do(command func(*state)) {
	done := make(chan struct{})
	run := func(state *state) {
		defer close(done)
		command(state)
	}
	select {
	case s.commands <- run:
		<-done
	case <-s.context.Done():
	}
}

// query returns what read finds in the state.
func query[T any](s *Store, read func(*state) T) T {
	var found T
	s.do(func(state *state) { found = read(state) })
	return found
}

// openPort starts the API on the store's address unless it is running. The caller
// holds control.
func (s *Store) openPort() error {
	if s.api != nil {
		return nil
	}
	api, err := startServer(s.address, s.apiHandler())
	if err != nil {
		return err
	}
	s.api = api
	s.address = api.address
	return nil
}

// closePort cuts all connections of the API. The caller holds control.
func (s *Store) closePort() error {
	if s.api != nil {
		s.api.close()
		s.api = nil
	}
	return nil
}

// URL returns the base URL of the API.
func (s *Store) URL() string { return "http://" + s.address }

// LabURL returns the base URL of the fault switches, reachable in an outage too.
func (s *Store) LabURL() string { return "http://" + s.lab.address }

// Counters returns how much the store was used so far.
func (s *Store) Counters() Counters {
	return query(s, func(state *state) Counters { return state.counters })
}

// SetMachine adds a machine to the list or replaces the one with its id.
func (s *Store) SetMachine(machine objects.Machine) {
	s.changeMachines(func(machines map[string]objects.Machine) { machines[machine.ID] = machine })
}

// RemoveMachine takes the machine off the list.
func (s *Store) RemoveMachine(id string) {
	s.changeMachines(func(machines map[string]objects.Machine) { delete(machines, id) })
}

func (s *Store) changeMachines(edit func(map[string]objects.Machine)) {
	s.do(func(state *state) { state.machines = state.machines.change(time.Now(), edit) })
}

// Close stops the store and waits for all it started. Delayed writes that are
// still due are lost.
func (s *Store) Close() {
	s.cancel()
	s.control.Lock()
	defer s.control.Unlock()
	_ = s.closePort()
	if s.lab != nil {
		s.lab.close()
		s.lab = nil
	}
	s.tasks.Wait()
}
