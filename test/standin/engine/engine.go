// Package engine stands in for a model engine: streamed chat completions.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Server is one engine.
type Server struct {
	// Name is the backend server's name, repeated in its answers.
	Name string
	// Tokens is the length of an answer.
	Tokens int
	// Interval is the time between tokens.
	Interval time.Duration
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Stream bool `json:"stream"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !request.Stream {
		_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"role":"assistant","content":"whole answer of %s"}}]}`, s.Name)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range s.Tokens {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s-%d \"}}]}\n\n", i+1, s.Name, i+1)
		w.(http.Flusher).Flush()
		time.Sleep(s.Interval)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
