// Package web reads and writes the JSON bodies of the stand-ins' calls.
package web

import (
	"encoding/json"
	"net/http"
)

// Read reads the body into v. It answers a body that cannot be read with 400, and
// tells whether it could.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Reply answers with a status and v.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
