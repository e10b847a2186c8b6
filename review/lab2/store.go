package main

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

// store is a stand-in for the platform's metadata store. All of its answers are linearizable.
type store struct {
	url      string
	mutex    sync.Mutex
	revision uint64
	objects  map[string]*object // by kind/name
	history  []change
	changed  chan struct{}
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind     string
	revision uint64
	event    event
}

type event struct {
	Gone   bool   `json:"gone"`
	Object object `json:"object"`
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{url: "http://" + listener.Addr().String(), objects: map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	encoded, _ := json.Marshal(spec)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, name, encoded)
}

func (s *store) write(kind, name string, spec json.RawMessage) *object {
	s.revision++
	key := kind + "/" + name
	created := s.revision
	if old := s.objects[key]; old != nil {
		created = old.Meta.Created
	}
	written := &object{Meta: objectMeta{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	s.objects[key] = written
	s.notify(change{kind, s.revision, event{false, *written}})
	return written
}

func (s *store) remove(kind, name string) {
	s.revision++
	key := kind + "/" + name
	last := *s.objects[key]
	last.Meta.Revision = s.revision
	delete(s.objects, key)
	s.notify(change{kind, s.revision, event{true, last}})
}

func (s *store) notify(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path := strings.TrimPrefix(request.URL.Path, "/burlmill/objects/")
	kind, name, _ := strings.Cut(path, "/")
	query := request.URL.Query()
	if request.Method == http.MethodGet {
		if from, err := strconv.ParseUint(query.Get("watch"), 10, 64); err == nil && name == "" {
			wait, _ := strconv.Atoi(query.Get("waitMs"))
			s.watch(writer, request, kind, from, time.Duration(wait)*time.Millisecond)
			return
		}
		s.read(writer, kind, name, query.Get("after"))
		return
	}
	var body object
	if request.Method != http.MethodDelete {
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			answer(writer, http.StatusBadRequest, nil)
			return
		}
	}
	if request.Method == http.MethodPost {
		name = body.Meta.Name
	}
	condition, _ := strconv.ParseUint(query.Get("revision"), 10, 64)
	if condition == 0 {
		condition = body.Meta.Revision
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.objects[kind+"/"+name]
	switch {
	case request.Method == http.MethodPost && found != nil:
		answer(writer, http.StatusConflict, found)
	case request.Method == http.MethodPost:
		answer(writer, http.StatusOK, s.write(kind, name, body.Spec))
	case found == nil:
		answer(writer, http.StatusNotFound, nil)
	case condition != 0 && condition != found.Meta.Revision:
		answer(writer, http.StatusConflict, found)
	case request.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(writer, http.StatusOK, found)
	case string(found.Spec) == string(body.Spec):
		answer(writer, http.StatusOK, found)
	default:
		answer(writer, http.StatusOK, s.write(kind, name, body.Spec))
	}
}

func (s *store) read(writer http.ResponseWriter, kind, name, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		if found := s.objects[kind+"/"+name]; found != nil {
			answer(writer, http.StatusOK, found)
			return
		}
		answer(writer, http.StatusNotFound, nil)
		return
	}
	items := []*object{}
	for key, item := range s.objects {
		if strings.HasPrefix(key, kind+"/") && item.Meta.Name > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(writer, http.StatusOK, map[string]any{"items": items, "more": false, "at": s.revision})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string, from uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mutex.Lock()
		events, changed, revision := []event{}, s.changed, s.revision
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c.event)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout:
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
	}
}
