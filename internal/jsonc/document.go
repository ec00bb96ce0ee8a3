// Package jsonc decodes JSON with comments strictly into typed structs.
//
// Everything wrong with a text is collected with its place and reported
// together: syntax, unknown fields, duplicate fields and wrong types here, and
// what a caller's own checks add by path. It does no input or output.
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

// MaxFindings bounds the findings kept of one text; the rest are only counted,
// so that a hostile text cannot fill logs and status pages.
const MaxFindings = 100

// MaxDepth bounds the nesting of a text.
const MaxDepth = 64

// Document is one parsed text and what is wrong with it.
type Document struct {
	file     string
	text     []byte
	root     hujson.Value
	findings Findings
	omitted  int
	// misfits are the offsets of values that could not be decoded.
	misfits map[int]bool
	// fields are the fields of each struct type by their json names.
	fields map[reflect.Type]map[string]int
}

// Parse reads a text. A text that is not JSON with comments gives its first
// syntax error as Findings.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{file: file, text: text, misfits: make(map[int]bool), fields: make(map[reflect.Type]map[string]int)}
	// The parser calls itself for each level: a megabyte of opening brackets
	// would exhaust the stack, which no recover can catch.
	if at := tooDeep(text); at >= 0 {
		d.addAt(at, fmt.Sprintf("nested deeper than %d levels", MaxDepth))
		return nil, d.Err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Findings{syntaxFinding(file, err)}
	}
	d.root = root
	return d, nil
}

// syntaxFinding takes the place out of the parser's message.
func syntaxFinding(file string, err error) Finding {
	f := Finding{File: file, Line: 1, Column: 1, What: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &f.Column); scanErr == nil {
		f.What = "syntax: " + errors.Unwrap(err).Error()
	}
	return f
}

// Add records a finding at a path such as services[2].depends_on[0]. A path that
// the text lacks is reported at its nearest ancestor in the text. A value that
// could not be decoded has its finding already and gets no second one.
func (d *Document) Add(path, format string, args ...any) {
	if len(d.findings) >= MaxFindings {
		d.omitted++
		return
	}
	value, whole := d.find(path)
	if whole && d.misfits[value.StartOffset] {
		return
	}
	d.addAt(value.StartOffset, fmt.Sprintf(format, args...))
}

// Err returns the findings in the order of the text, or nil.
func (d *Document) Err() error {
	if len(d.findings) == 0 {
		return nil
	}
	sorted := d.findings.sorted()
	if d.omitted > 0 {
		last := sorted[len(sorted)-1]
		last.What = fmt.Sprintf("and %d more findings", d.omitted)
		return append(sorted, last)
	}
	return sorted
}

// Place returns the line and column, from 1, of the value at a path.
func (d *Document) Place(path string) (line, column int) {
	value, _ := d.find(path)
	return d.place(value.StartOffset)
}

// Has tells whether the text has a value at a path.
func (d *Document) Has(path string) bool {
	_, whole := d.find(path)
	return whole
}

func (d *Document) addAt(offset int, what string) {
	if len(d.findings) >= MaxFindings {
		d.omitted++
		return
	}
	line, column := d.place(offset)
	d.findings = append(d.findings, Finding{File: d.file, Line: line, Column: column, What: what})
}

func (d *Document) place(offset int) (line, column int) {
	before := d.text[:offset]
	return 1 + bytes.Count(before, []byte("\n")), offset - bytes.LastIndexByte(before, '\n')
}

// find returns the value at a path, or its nearest ancestor in the text, and
// whether the path was followed to its end.
func (d *Document) find(path string) (value hujson.Value, whole bool) {
	value = d.root
	for path != "" {
		step, rest := nextStep(path)
		child, ok := childOf(value, step)
		if !ok {
			return value, false
		}
		value, path = child, rest
	}
	return value, true
}

// nextStep splits the first step off a path: a field's name, or an index in
// brackets.
func nextStep(path string) (step, rest string) {
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

func childOf(value hujson.Value, step string) (hujson.Value, bool) {
	switch v := value.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			if nameOf(m) == step {
				return m.Value, true
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(strings.Trim(step, "[]"))
		if err == nil && i >= 0 && i < len(v.Elements) {
			return v.Elements[i], true
		}
	}
	return hujson.Value{}, false
}

func nameOf(m hujson.ObjectMember) string {
	return textOf(m.Name.Value.(hujson.Literal))
}

// textOf returns the text of a string literal. Most have nothing to unescape.
func textOf(literal hujson.Literal) string {
	inner := literal[1 : len(literal)-1]
	for _, c := range inner {
		if c == '\\' || c >= utf8.RuneSelf {
			return literal.String()
		}
	}
	return string(inner)
}

// tooDeep returns the offset of the first bracket that is nested too deep, or -1.
// Brackets in strings and comments do not count.
func tooDeep(text []byte) int {
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

// stringEnd returns the offset of the closing quote of the string that opens at i.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the offset of the last byte of the comment that opens at i,
// or i if none does.
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
