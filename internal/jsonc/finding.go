package jsonc

import (
	"fmt"
	"slices"
	"strings"
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

// sorted returns the findings in the order of the text.
func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return f
}
