// Package heads holds heads of responses, broken ones and unusual ones, for the tests of all that reads responses.
package heads

import "fmt"

// Head is a response to be sent by a stand-in, by its parts.
type Head struct {
	// Name is the name of a test.
	Name string
	// Before precedes the response.
	Before string
	// StatusLine is the status line, or "" for one with the status of a usual response.
	StatusLine string
	// Lines are field lines, each with its end.
	Lines string
	// Framing are the field lines that tell where the body ends, "" for the length of the body.
	Framing string
}

// Text returns the response with further field lines and a body.
func (h Head) Text(statusLine, lines, body string) string {
	if h.StatusLine != "" {
		statusLine = h.StatusLine
	}
	framing := h.Framing
	if framing == "" {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return h.Before + statusLine + "\r\n" + h.Lines + lines + framing + "\r\n" + body
}

// BrokenStatusLines returns responses with a status line that breaks the protocol.
func BrokenStatusLines() []Head {
	heads := []Head{
		{Name: "status 099 before the response", Before: "HTTP/1.1 099 Processing\r\n\r\n"},
		{Name: "status 000 before the response", Before: "HTTP/1.1 000 Continue\r\n\r\n"},
		{Name: "empty line before the response", Before: "\r\n"},
	}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1\t200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.x 200 OK",
		"HTTP/1.11 200 OK", "HTTP/1. 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK",
	} {
		heads = append(heads, Head{Name: fmt.Sprintf("status line %q", line), StatusLine: line})
	}
	return heads
}

// BrokenFields returns responses with a field line that breaks the protocol.
func BrokenFields() []Head {
	heads := []Head{
		{Name: "blank in a name before the response", Before: "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n"},
		{Name: "line without a carriage return", Lines: "X-Y: z\n"},
		{Name: "blank before the first field", Lines: " "},
		{Name: "tab before the first field", Lines: "\t"},
	}
	for _, line := range []string{
		"X Y: z", "X-Y : z", "X-Y  : z", "X-Y\t: z", "X\tY: z", "X\x00Y: z", "X\x01Y: z", "X\x1fY: z", "X\x7fY: z", "X\x80Y: z", "X\xe9Y: z", "X(Y): z", "X/Y: z",
		"X\"Y\": z", "X\rY: z", "\x01: z", ": z", " : z", "X-Y", "X-Y z", "X-Y: a\r\n b", "X-Y: a\r\n\tb", "X-Y:\r\n b", "X-Y: a\x00b", "X-Y: a\x01b", "X-Y: a\x7fb", "X-Y: a\rb",
	} {
		heads = append(heads, Head{Name: fmt.Sprintf("field %q", line), Lines: line + "\r\n"})
	}
	return heads
}

// BrokenFramings returns responses whose fields do not tell in one way where the body ends.
func BrokenFramings() []Head {
	heads := []Head{{Name: "version 1.0 with chunks", StatusLine: "HTTP/1.0 200 OK", Framing: "Transfer-Encoding: chunked\r\n"}}
	for _, lines := range []string{
		"Content-Length : 3", "Content-Length\t: 3", "Content Length: 3\r\nContent-Length: 14", "Content-Length: 3\r\nContent-Length: 14",
		"Content-Length: 3\r\ncontent-length: 14", "Content-Length: 3, 14", "Content-Length: +3", "Content-Length: -3", "Content-Length: 0x3", "Content-Length: 3 4",
		"Content-Length:", "Content-Length: x", "Transfer-Encoding : chunked", "Transfer-Encoding: chunked\r\nContent-Length: 3",
		"Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\ntransfer-encoding: identity", "Transfer-Encoding:",
	} {
		heads = append(heads, Head{Name: fmt.Sprintf("framing %q", lines), Framing: lines + "\r\n"})
	}
	return heads
}

// Broken returns all responses whose head breaks the protocol.
func Broken() []Head {
	return append(append(BrokenStatusLines(), BrokenFields()...), BrokenFramings()...)
}

// tokenBytes are the bytes of which names consist.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// Unusual returns responses that are unusual and follow the protocol. Their status is that of a usual one.
func Unusual() []Head {
	heads := []Head{
		{Name: "version 1.0", StatusLine: "HTTP/1.0 200 OK"},
		{Name: "version 1.2", StatusLine: "HTTP/1.2 200 OK"},
		{Name: "no reason", StatusLine: "HTTP/1.1 200 "},
		{Name: "no reason and no blank", StatusLine: "HTTP/1.1 200"},
		{Name: "reason with bytes above 0x7f", StatusLine: "HTTP/1.1 200 \x80 \xff\tS\xc3\xa3o"},
		{Name: "reason of blanks", StatusLine: "HTTP/1.1 200  "},
		{Name: "100 before", Before: "HTTP/1.1 100 Continue\r\n\r\n"},
		{Name: "103 with fields before", Before: "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"},
		{Name: "102 and 199 before", Before: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 \r\nX-Y: z\r\n\r\n"},
	}
	lines := []string{
		"X-Empty:", "X-Empty: ", "X-Narrow:z", "X-Wide: \t z \t ", "X-Tab: a\tb", "X-Colon: a:b: c", "X-High: \x80\xe9\xff", "X-Utf8: São João",
		"X-Quoted: \"a, b\"; c='d'", "x-lower: z", "X-UPPER: z", "X-Length: 3", "Content-Lengths: 3", "Transfer-Encodings: z",
	}
	for _, c := range tokenBytes {
		lines = append(lines, fmt.Sprintf("X%cY: z", c))
	}
	for _, line := range lines {
		heads = append(heads, Head{Name: fmt.Sprintf("field %q", line), Lines: line + "\r\n"})
	}
	return heads
}
