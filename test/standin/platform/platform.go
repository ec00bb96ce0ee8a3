// Package platform stands in for the platform's services in tests and trials: a
// key-value store with compare-and-swap and watches, and the instance list.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	platformclient "github.com/ebonydyke/ebonydyke/internal/platform"
)

type entry struct {
	value   []byte
	version uint64
	changed chan struct{}
	// history holds every value, so that an old one can be put back.
	history [][]byte
}

func (e *entry) set(value []byte) {
	e.value = value
	e.version++
	e.history = append(e.history, value)
	close(e.changed)
	e.changed = make(chan struct{})
}

// Server is the stand-in.
type Server struct {
	handler http.Handler

	mu        sync.Mutex
	keys      map[string]*entry
	instances map[string]membership.Instance
	faults    Faults
	// changed is closed when the faults change.
	changed chan struct{}
	// frozen is the list that is shown while it is frozen.
	frozen map[string]membership.Instance
}

// New returns an empty platform.
func New() *Server {
	mux := http.NewServeMux()
	s := &Server{
		changed:   make(chan struct{}),
		keys:      make(map[string]*entry),
		instances: make(map[string]membership.Instance),
	}
	s.handler = s.faulty(mux)
	mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	mux.HandleFunc("GET /v1/instances", s.list)
	mux.HandleFunc("PUT /v1/instances", s.register)
	mux.HandleFunc("PUT /fault", s.setFaults)
	mux.HandleFunc("POST /fault/restore/{key...}", s.restore)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Server) entry(key string) *entry {
	e := s.keys[key]
	if e == nil {
		e = &entry{changed: make(chan struct{})}
		s.keys[key] = e
	}
	return e
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e := s.entry(r.PathValue("key"))
	if after := r.FormValue("after"); after != "" && after == strconv.FormatUint(e.version, 10) {
		s.wait(w, r, e)
		return
	}
	value, version := e.value, e.version
	s.mu.Unlock()
	reply(w, value, version)
}

// wait holds a watch until the key changes. It takes over the lock.
func (s *Server) wait(w http.ResponseWriter, r *http.Request, e *entry) {
	changed := e.changed
	s.mu.Unlock()
	limit, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	_, faultsChanged := s.currentFaults()
	select {
	case <-changed:
	case <-faultsChanged:
		panic(http.ErrAbortHandler)
	case <-time.After(limit):
		w.WriteHeader(http.StatusNotModified)
		return
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	value, version := e.value, e.version
	s.mu.Unlock()
	reply(w, value, version)
}

func reply(w http.ResponseWriter, value []byte, version uint64) {
	if version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(platformclient.VersionHeader, strconv.FormatUint(version, 10))
	_, _ = w.Write(value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(r.PathValue("key"))
	if r.FormValue("version") != strconv.FormatUint(e.version, 10) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	lost, takesEffect := s.loses()
	if takesEffect {
		e.set(value)
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, nil, e.version)
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := s.instances
	if s.faults.FreezeList {
		shown = s.frozen
	}
	list := make([]membership.Instance, 0, len(shown))
	for _, in := range shown {
		list = append(list, in)
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var in membership.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[in.Name] = in
}
