// Package jsonc strictly decodes JSON with comments into typed structs.
//
// It collects all errors of a document with their positions and reports them together:
// unknown fields, duplicate fields, wrong types, and the findings that a caller's own
// validation adds by path. A syntax error is reported alone. The package does no I/O.
package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxFindings limits the findings kept for one document. Further ones are only counted, so
// that a malicious document cannot flood logs and status pages.
const MaxFindings = 100

// MaxDepth is the maximum nesting depth of a document.
const MaxDepth = 64

// Document is a parsed document and its findings.
type Document struct {
	file     string
	text     []byte
	root     hujson.Value
	findings Findings
	omitted  int
	// undecodable holds the offsets of the values that could not be decoded.
	undecodable map[int]bool
	// fieldCache caches for each struct type the indexes of its fields by JSON name.
	fieldCache map[reflect.Type]map[string]int
}

// Parse parses a document. If it is not valid JSON with comments, the error is a Findings
// with the first syntax error.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{file: file, text: text, undecodable: make(map[int]bool), fieldCache: make(map[reflect.Type]map[string]int)}
	// The parser recurses for each nesting level. A megabyte of opening brackets would
	// overflow the stack, and recover cannot catch that.
	if offset := findExcessiveNesting(text); offset >= 0 {
		d.addFinding(offset, fmt.Sprintf("nested deeper than %d levels", MaxDepth))
		return nil, d.Err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	d.root = root
	return d, nil
}

// syntaxFinding converts a parser error to a finding, with the position from its message.
func syntaxFinding(file string, err error) Finding {
	f := Finding{File: file, Line: 1, Column: 1, Message: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &f.Column); scanErr == nil {
		f.Message = "syntax: " + errors.Unwrap(err).Error()
	}
	return f
}

// Add adds a finding at a path such as services[2].depends_on[0]. If the document has no
// value at the path, the finding gets the position of the nearest ancestor that exists. A
// value that could not be decoded already has a finding and gets no second one.
func (d *Document) Add(path, format string, args ...any) {
	if len(d.findings) >= MaxFindings {
		d.omitted++
		return
	}
	value, found := d.lookup(path)
	if found && d.undecodable[value.StartOffset] {
		return
	}
	d.addFinding(value.StartOffset, fmt.Sprintf(format, args...))
}

// Err returns the findings in document order, or nil if there are none.
func (d *Document) Err() error {
	if len(d.findings) == 0 {
		return nil
	}
	sorted := d.findings.sorted()
	if d.omitted > 0 {
		last := sorted[len(sorted)-1]
		last.Message = fmt.Sprintf("and %d more findings", d.omitted)
		return append(sorted, last)
	}
	return sorted
}

// Position returns the 1-based line and column of the value at a path.
func (d *Document) Position(path string) (line, column int) {
	value, _ := d.lookup(path)
	return d.positionAt(value.StartOffset)
}

// Has reports whether the document has a value at a path.
func (d *Document) Has(path string) bool {
	_, found := d.lookup(path)
	return found
}

func (d *Document) addFinding(offset int, message string) {
	if len(d.findings) >= MaxFindings {
		d.omitted++
		return
	}
	line, column := d.positionAt(offset)
	d.findings = append(d.findings, Finding{File: d.file, Line: line, Column: column, Message: message})
}

func (d *Document) positionAt(offset int) (line, column int) {
	before := d.text[:offset]
	return 1 + bytes.Count(before, []byte("\n")), offset - bytes.LastIndexByte(before, '\n')
}

// lookup returns the value at a path, or the nearest ancestor that exists. It reports in found
// whether the value itself exists.
func (d *Document) lookup(path string) (value hujson.Value, found bool) {
	value = d.root
	for path != "" {
		segment, rest := nextSegment(path)
		child, ok := childOf(value, segment)
		if !ok {
			return value, false
		}
		value, path = child, rest
	}
	return value, true
}

// nextSegment splits off the first segment of a path: a field name, or an index in brackets.
func nextSegment(path string) (segment, rest string) {
	path = strings.TrimPrefix(path, ".")
	if strings.HasPrefix(path, "[") {
		end := strings.IndexByte(path, ']')
		return path[:end+1], path[end+1:]
	}
	end := strings.IndexAny(path, ".[")
	if end < 0 {
		return path, ""
	}
	return path[:end], path[end:]
}

func childOf(value hujson.Value, segment string) (hujson.Value, bool) {
	switch v := value.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			if memberName(m) == segment {
				return m.Value, true
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(strings.Trim(segment, "[]"))
		if err == nil && i >= 0 && i < len(v.Elements) {
			return v.Elements[i], true
		}
	}
	return hujson.Value{}, false
}

func memberName(m hujson.ObjectMember) string {
	return stringValue(m.Name.Value.(hujson.Literal))
}

// stringValue returns the value of a string literal. Most literals need no unescaping.
func stringValue(literal hujson.Literal) string {
	inner := literal[1 : len(literal)-1]
	for _, c := range inner {
		if c == '\\' || c >= utf8.RuneSelf {
			return literal.String()
		}
	}
	return string(inner)
}

// findExcessiveNesting returns the offset of the first bracket that exceeds MaxDepth, or -1. It
// ignores brackets in strings and comments.
func findExcessiveNesting(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '/':
			i = commentEnd(text, i)
		case '[', '{':
			if depth++; depth > MaxDepth {
				return i
			}
		case ']', '}':
			depth--
		}
	}
	return -1
}

// stringEnd returns the offset of the closing quote of the string that starts at i.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the offset of the last byte of the comment that starts at i, or i if
// there is no comment.
func commentEnd(text []byte, i int) int {
	closing := []byte("\n")
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
	case bytes.HasPrefix(text[i:], []byte("/*")):
		closing = []byte("*/")
	default:
		return i
	}
	end := bytes.Index(text[i+2:], closing)
	if end < 0 {
		return len(text)
	}
	return i + 2 + end + len(closing) - 1
}
