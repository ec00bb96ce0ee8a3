package main

import (
	"encoding/json"
	"io"
	"unicode/utf8"
)

// jsonString writes a JSON string whose content arrives in parts. Encoding a large response only once it is complete could exceed the
// command's timeout.
type jsonString struct {
	w io.Writer
	// rest is an incomplete character at the end of the last part.
	rest []byte
	// open is set once the opening quotation mark has been written.
	open bool
}

// Write encodes a part of the content.
func (j *jsonString) Write(part []byte) (int, error) {
	text := append(append([]byte(nil), j.rest...), part...)
	whole := len(text) - incompleteRune(text)
	j.rest = append([]byte(nil), text[whole:]...)
	return len(part), j.encode(text[:whole])
}

// Close writes what is left and the closing quotation mark. It writes nothing if there was no content.
func (j *jsonString) Close() error {
	if err := j.encode(j.rest); err != nil || !j.open {
		return err
	}
	_, err := io.WriteString(j.w, `"`)
	return err
}

func (j *jsonString) encode(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	encoded, err := json.Marshal(string(text))
	if err != nil {
		return err
	}
	// Only the first part keeps its opening quotation mark, and none its closing one.
	encoded = encoded[:len(encoded)-1]
	if j.open {
		encoded = encoded[1:]
	}
	j.open = true
	_, err = j.w.Write(encoded)
	return err
}

// incompleteRune returns the number of bytes at the end of text that begin a character and do not complete it.
func incompleteRune(text []byte) int {
	for n := 1; n < utf8.UTFMax && n <= len(text); n++ {
		end := text[len(text)-n:]
		if utf8.RuneStart(end[0]) {
			if utf8.FullRune(end) {
				return 0
			}
			return n
		}
	}
	return 0
}

// prefixWriter writes a prefix before the first byte.
type prefixWriter struct {
	w       io.Writer
	prefix  string
	written bool
}

func (p *prefixWriter) Write(b []byte) (int, error) {
	if !p.written {
		p.written = true
		if _, err := io.WriteString(p.w, p.prefix); err != nil {
			return 0, err
		}
	}
	return p.w.Write(b)
}
