package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata
// store"). It never fails, keeps all history and answers each call at once with current data.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]*object // by kind/name
	events   []event
	changed  chan struct{} // closed at the next change
	server   *http.Server
	Address  string
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object object `json:"object"`
	Gone   bool   `json:"gone"`
	kind   string
}

// StartStore serves a store at the address.
func StartStore(address string) (*Store, error) {
	s := &Store{objects: map[string]*object{}, changed: make(chan struct{}), Address: address}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an object as the operator does.
func (s *Store) Put(kind, name string, spec any) {
	encoded, _ := json.Marshal(spec)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.putLocked(kind, name, encoded)
}

func (s *Store) putLocked(kind, name string, spec json.RawMessage) object {
	s.revision++
	stored := s.objects[kind+"/"+name]
	if stored == nil {
		stored = &object{Meta: objectMeta{Name: name, Created: s.revision, Finalizers: []string{}}}
		s.objects[kind+"/"+name] = stored
	}
	stored.Meta.Revision = s.revision
	stored.Spec = spec
	s.addEvent(event{Object: *stored, kind: kind})
	return *stored
}

func (s *Store) addEvent(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/burlmill/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && single:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if stored := s.objects[kind+"/"+name]; stored != nil {
			writeJSON(w, http.StatusOK, stored)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	default:
		s.write(w, r, kind, name)
	}
}

const pageItems = 500

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []*object{}
	for key, stored := range s.objects {
		if strings.HasPrefix(key, kind+"/") && stored.Meta.Name > after {
			items = append(items, stored)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	page := items[:min(len(items), pageItems)]
	writeJSON(w, http.StatusOK, map[string]any{"items": page, "more": len(page) < len(items), "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > from {
				found = append(found, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(found) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			writeJSON(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stored := s.objects[kind+"/"+name]
	condition, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if condition == 0 {
		condition = body.Meta.Revision
	}
	switch {
	case stored != nil && (r.Method == http.MethodPost || condition != 0 && condition != stored.Meta.Revision):
		writeJSON(w, http.StatusConflict, stored)
	case stored == nil && r.Method != http.MethodPost:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.revision++
		stored.Meta.Revision = s.revision
		delete(s.objects, kind+"/"+name)
		s.addEvent(event{Object: *stored, Gone: true, kind: kind})
		w.WriteHeader(http.StatusOK)
	default:
		writeJSON(w, http.StatusOK, s.putLocked(kind, name, body.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
