// Package engine implements a fake model engine for tests. It supports chat completions with and
// without streaming, resume, cancel, priorities, load reports, a prefix cache and fault injection.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/test/standin/jsonhttp"
)

// DefaultCacheChats is the default size of the prefix cache, in chats.
const DefaultCacheChats = 1024

// maxFinishedStreams is the number of finished streams that can still be resumed.
const maxFinishedStreams = 256

// Server is one engine.
type Server struct {
	// Name is the backend server's name. Its responses contain it.
	Name string
	// Tokens is the number of tokens of a response.
	Tokens int
	// Padding is the number of extra bytes in each event, so that a few events fill a caller's
	// buffers.
	Padding int
	// Interval is the time between tokens.
	Interval time.Duration
	// CacheChats is the size of the prefix cache, in chats. 0 means DefaultCacheChats.
	CacheChats int

	once   sync.Once
	mux    *http.ServeMux
	faults FaultInjector
	mu     sync.Mutex
	cache  *prefixCache

	incarnation uint64
	leaving     bool
	sequence    int
	streams     map[string]*stream
	// finishedStreams holds the finished streams that can still be resumed, the oldest first.
	finishedStreams []*stream
	stats           Stats
}

// Stats holds the counters of an engine.
type Stats struct {
	// Runs counts the runs of each request by its idempotency key, or by its request ID if it
	// has no key.
	Runs map[string]int `json:"runs"`
	// Hits and Misses count the requests whose chat's prefix was or was not in the cache.
	Hits   int `json:"hits"`
	Misses int `json:"misses"`
	// InFlight is the number of responses in progress.
	InFlight  int `json:"in_flight"`
	Cancelled int `json:"cancelled"`
	Resumed   int `json:"resumed"`
	// LastPriority is the priority of the last request.
	LastPriority string `json:"last_priority"`
}

func (s *Server) init() {
	if s.CacheChats == 0 {
		s.CacheChats = DefaultCacheChats
	}
	s.incarnation = uint64(time.Now().UnixNano())
	s.streams = make(map[string]*stream)
	s.cache = newPrefixCache(s.CacheChats)
	s.stats.Runs = make(map[string]int)
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /v1/chat/completions", s.chat)
	s.mux.HandleFunc("GET /v1/streams/{id}", s.resume)
	s.mux.HandleFunc("DELETE /v1/streams/{id}", s.cancel)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("GET /stats", s.serveStats)
	s.mux.Handle("POST /fault", &s.faults)
	s.mux.HandleFunc("POST /leave", s.leave)
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.init)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Stream bool `json:"stream"`
	}
	if !jsonhttp.ReadJSON(w, r, &request) {
		return
	}
	f := s.faults.Next()
	s.setHeaders(w)
	if s.refuse(w, r, f) {
		return
	}
	st := s.startRun(r, request.Stream)
	defer s.endRun()
	switch f.Kind {
	case NoResponse:
		panic(http.ErrAbortHandler)
	case DelayResponse:
		time.Sleep(f.Delay)
	}
	if request.Stream {
		s.sendEvents(w, r, st, 0, f)
		return
	}
	text := fmt.Sprintf(`{"choices":[{"message":{"role":"assistant","content":"whole answer of %s to %s"}}]}`,
		s.Name, r.Header.Get(proxy.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if f.Kind == Cut {
		text = text[:f.After]
	}
	_, _ = fmt.Fprint(w, text)
}

// refuse refuses the request if the fault or the state of the engine requires it, and reports
// whether it did.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, f Fault) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	switch {
	case f.Kind == Refuse || leaving:
		w.Header().Set(proxy.HeaderNotStarted, "true")
		w.Header().Set(proxy.HeaderAnswers, r.Header.Get(proxy.HeaderRequestID))
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.Kind == Busy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// startRun counts a run and creates its stream.
func (s *Server) startRun(r *http.Request, streamed bool) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(proxy.HeaderKey)
	if key == "" {
		key = r.Header.Get(proxy.HeaderRequestID)
	}
	s.stats.Runs[key]++
	s.stats.InFlight++
	s.stats.LastPriority = r.Header.Get(proxy.HeaderEnginePriority)
	if chat := r.Header.Get(proxy.HeaderChat); chat != "" {
		if s.cache.use(chat) {
			s.stats.Hits++
		} else {
			s.stats.Misses++
		}
	}
	s.sequence++
	st := &stream{id: strconv.Itoa(s.sequence), startedAt: time.Now(), padding: strings.Repeat(".", s.Padding), tokens: s.Tokens, interval: s.Interval}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	if streamed {
		s.streams[st.id] = st
	}
	return st
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight--
}

func (s *Server) setHeaders(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := w.Header()
	h.Set(proxy.HeaderLoad, strconv.Itoa(s.stats.InFlight))
	h.Set(proxy.HeaderIncarnation, strconv.FormatUint(s.incarnation, 10))
	h.Set(proxy.HeaderState, string(s.state()))
}

func (s *Server) state() membership.State {
	if s.leaving {
		return membership.Leaving
	}
	return membership.Live
}

// sendEvents sends the events of the stream that follow event number after.
func (s *Server) sendEvents(w http.ResponseWriter, r *http.Request, st *stream, after int, f Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(proxy.HeaderStreamID, st.id)
	flusher := w.(http.Flusher)
	flusher.Flush()
	for n := after + 1; n <= st.tokens+1; n++ {
		s.applyConnFault(r, f, n)
		text, err := st.event(r.Context(), s.Name, n)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if f.Kind == NoEndMark && n > st.tokens {
			return
		}
		if f.Kind == Skip && n == f.After {
			continue
		}
		if f.Kind == Repeat && n == f.After {
			text += text
		}
		_, _ = fmt.Fprint(w, text)
		flusher.Flush()
	}
	s.retainFinished(st)
}

// retainFinished retains a completely sent stream until maxFinishedStreams later ones have
// finished. Its last events may not have arrived, and the reader then resumes the stream.
func (s *Server) retainFinished(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishedStreams = append(s.finishedStreams, st)
	if len(s.finishedStreams) > maxFinishedStreams {
		s.finishedStreams[0].cancel()
		delete(s.streams, s.finishedStreams[0].id)
		s.finishedStreams = s.finishedStreams[1:]
	}
}

// applyConnFault applies the faults that close or block a connection.
func (s *Server) applyConnFault(r *http.Request, f Fault, next int) {
	if next <= f.After {
		return
	}
	switch f.Kind {
	case Cut:
		panic(http.ErrAbortHandler)
	case Restart:
		s.restart()
		panic(http.ErrAbortHandler)
	case Freeze:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Next()
	s.mu.Lock()
	st := s.streams[r.PathValue("id")]
	s.mu.Unlock()
	after, err := strconv.Atoi(r.Header.Get(proxy.HeaderLastEventID))
	if st == nil || err != nil || after < 0 {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	s.setHeaders(w)
	s.mu.Lock()
	s.stats.Resumed++
	s.stats.InFlight++
	s.mu.Unlock()
	defer s.endRun()
	s.sendEvents(w, r, st, after, f)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	st.cancel()
	delete(s.streams, st.id)
	s.stats.Cancelled++
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"incarnation": s.incarnation, "state": s.state(), "in_flight": s.stats.InFlight,
	})
}

func (s *Server) leave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.stats)
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stats
	c.Runs = make(map[string]int, len(s.stats.Runs))
	for key, n := range s.stats.Runs {
		c.Runs[key] = n
	}
	return c
}
