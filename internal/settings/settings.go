// Package settings reads the daemon's own settings: who it is and where it
// listens. What the fleet does stands in the operators' text, not here.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// Settings are the daemon's own settings, in JSON with comments.
type Settings struct {
	// Name identifies the instance in the fleet.
	Name string `json:"name"`
	// Zone is the availability zone the instance stands in.
	Zone string `json:"zone"`
	// Listen is the address for callers.
	Listen string `json:"listen"`
	// PeerListen is the address for other instances.
	PeerListen string `json:"peer_listen"`
	// AdminListen is the address for operators and metrics; loopback by default.
	AdminListen string `json:"admin_listen"`
	// Platform is the base URL of the platform's service.
	Platform string `json:"platform"`
	// AcceptDelay is how long a stopping instance goes on accepting.
	AcceptDelay config.Duration `json:"accept_delay"`
}

// Read reads and checks a settings file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	std, err := hujson.Standardize(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	s := Settings{AdminListen: "127.0.0.1:0"}
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return &s, nil
}
