package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a document, with its position.
type Finding struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Message describes the error and the expected value.
	Message string `json:"what"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings holds all findings of one document.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the findings in document order and returns them.
func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return f
}
