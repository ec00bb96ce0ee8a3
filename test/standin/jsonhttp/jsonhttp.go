// Package jsonhttp reads and writes the JSON bodies of the fake servers' calls.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// ReadJSON decodes the JSON body of the request into v and reports whether that succeeded. If not,
// it responds with status 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with a status and with v as the JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
