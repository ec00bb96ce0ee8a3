// Package responsehead decides whether the head of an HTTP/1 response follows the protocol (RFC 9110, RFC 9112).
//
// HTTP libraries repair much of what does not: they cut off the blank behind a field's name, read a status of 0 as 200, join
// folded lines, and choose between two lengths. What they then return is a guess at what the server meant. So each reader of
// responses has the bytes of a head checked here before a library parses them, or as it reads them.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// ErrMalformed means that the bytes that arrived are no head of a response.
var ErrMalformed = errors.New("malformed response head")

// maxInterim is the maximum number of interim responses before a final one.
const maxInterim = 100

const (
	// minStatus and maxStatus are the bounds of a valid status code (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	// minFinalStatus is the lowest status code of a final response, apart from switchingProtocols.
	minFinalStatus     = 200
	switchingProtocols = 101
	statusDigits       = 3
)

const (
	// versionStart is what each response begins with, and a digit follows it.
	versionStart = "HTTP/1."
	// chunkedVersion is the version whose responses may be in chunks.
	chunkedVersion   = "HTTP/1.1"
	chunked          = "chunked"
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
	lineEnd          = "\r\n"
	blanks           = " \t"
)

// head is what is known of the head of a response after some of its lines. The zero value is a head without any.
type head struct {
	// status is the status code, 0 before the first line.
	status int
	// mayBeChunked is set if the version is one in which a body may be in chunks.
	mayBeChunked bool
	// hasLength and isChunked are set if a field gives the length of the body, or says that it is in chunks.
	hasLength, isChunked bool
	// complete is set once the empty line behind the fields was added.
	complete bool
}

// isInterim reports whether another response follows the head.
func (h *head) isInterim() bool { return h.status < minFinalStatus && h.status != switchingProtocols }

// add adds the next line, with its end. It returns an error if no head can have it there.
func (h *head) add(line []byte) error {
	text, whole := bytes.CutSuffix(line, []byte(lineEnd))
	switch {
	case !whole:
		return malformed("line without a carriage return", line)
	case h.status == 0:
		return h.addStatusLine(text)
	case len(text) == 0:
		h.complete = true
		return nil
	default:
		return h.addField(text)
	}
}

// addStatusLine adds a status line (RFC 9112, section 4). The blank behind the status code may be missing if there is no reason.
func (h *head) addStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	minor, found := bytes.CutPrefix(version, []byte(versionStart))
	if !found || len(minor) != 1 || !isDigit(minor[0]) {
		return malformed("version", line)
	}
	status, ok := parseStatus(code)
	if !ok || !isText(reason) {
		return malformed("status line", line)
	}
	h.status, h.mayBeChunked = status, string(version) == chunkedVersion
	return nil
}

// parseStatus returns a status code, and false if it is not valid.
func parseStatus(code []byte) (int, bool) {
	status := 0
	for _, c := range code {
		if !isDigit(c) {
			return 0, false
		}
		status = 10*status + int(c-'0')
	}
	return status, len(code) == statusDigits && minStatus <= status && status <= maxStatus
}

// addField adds the line of a field (RFC 9112, section 5). A folded line has no name and is refused.
func (h *head) addField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) || !isText(value) {
		return malformed("field", line)
	}
	return h.addFraming(name, bytes.Trim(value, blanks), line)
}

// addFraming checks a field that tells where the body ends (RFC 9112, section 6). The others pass.
func (h *head) addFraming(name, value, line []byte) error {
	switch {
	case len(name) == len(contentLength) && strings.EqualFold(string(name), contentLength):
		if h.hasLength || h.isChunked || !isNumber(value) {
			return malformed("length", line)
		}
		h.hasLength = true
	case len(name) == len(transferEncoding) && strings.EqualFold(string(name), transferEncoding):
		if h.hasLength || h.isChunked || !h.mayBeChunked || !strings.EqualFold(string(value), chunked) {
			return malformed("transfer encoding", line)
		}
		h.isChunked = true
	}
	return nil
}

// checkStart returns an error if the beginning of a status line, whose end has not arrived, cannot become one.
func checkStart(start []byte) error {
	n := min(len(start), len(versionStart))
	if string(start[:n]) != versionStart[:n] {
		return malformed("start", start[:n])
	}
	return nil
}

// maxQuoted is the maximum number of bytes of a line in an error.
const maxQuoted = 80

func malformed(part string, line []byte) error {
	return fmt.Errorf("%w: %s: %q", ErrMalformed, part, line[:min(len(line), maxQuoted)])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isNumber(text []byte) bool {
	for _, c := range text {
		if !isDigit(c) {
			return false
		}
	}
	return len(text) > 0
}

// tokenBytes tells for each byte whether it may occur in a token.
var tokenBytes = func() (table [256]bool) {
	for c := range table {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		table[c] = letter || isDigit(byte(c)) || strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return table
}()

// IsTokenByte reports whether c may occur in a token (RFC 9110, section 5.6.2).
func IsTokenByte(c byte) bool { return tokenBytes[c] }

func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether the text of a value or of a reason has no control byte but tabs (RFC 9110, section 5.5). Bytes above
// 0x7f may be anything.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
