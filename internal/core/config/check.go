package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Finding is one thing wrong with a text, at its place.
type Finding struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// What is wrong, and what was expected.
	What string `json:"what"`
}

// String gives the finding as file:line:column: what.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.What)
}

// Findings is every finding of one text, reported together.
type Findings []Finding

// Error joins the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Check reads and checks the text of an envelope. The error is of type Findings.
func Check(file string, env Envelope) (*Snapshot, error) {
	std, err := hujson.Standardize([]byte(env.Text))
	if err != nil {
		return nil, Findings{{File: file, Line: 1, Column: 1, What: err.Error()}}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	var t Text
	if err := dec.Decode(&t); err != nil {
		return nil, Findings{{File: file, Line: 1, Column: 1, What: err.Error()}}
	}
	fillDefaults(&t)
	return compile(env, t), nil
}
