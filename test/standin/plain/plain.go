// Package plain stands in for a plain service.
package plain

import (
	"fmt"
	"net/http"
)

// Server is one backend server of a plain service.
type Server struct {
	// Name is repeated in the answers.
	Name string
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "%s %s by %s\n", r.Method, r.URL.Path, s.Name)
}
