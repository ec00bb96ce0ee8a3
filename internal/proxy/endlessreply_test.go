package proxy_test

import (
	"bytes"
	"io"
	"net/http"
)

// maxKept is how much of a body is kept, and of each of its events and lines.
const maxKept = 4 << 10

// askOnce sends a request and reads the whole response, of which it keeps the beginning.
func askOnce(req *http.Request) endlessReply {
	resp, err := singleUse.Do(req)
	if err != nil {
		return endlessReply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	keeper := bodyKeeper{events: resp.Header.Get("Content-Type") == "text/event-stream"}
	size, err := io.Copy(&keeper, resp.Body)
	return endlessReply{status: resp.StatusCode, body: keeper.String(), size: size, err: err}
}

// bodyKeeper keeps the beginning of a body without the comments of a stream, of which a caller may get any number.
type bodyKeeper struct {
	events bool
	// kept holds whole events, event the lines of the one being read, and line its last one.
	kept, event, line []byte
}

func appendKept(kept, more []byte) []byte {
	return append(kept, more[:min(len(more), max(0, maxKept-len(kept)))]...)
}

// Write implements io.Writer.
func (k *bodyKeeper) Write(p []byte) (int, error) {
	if !k.events {
		k.kept = appendKept(k.kept, p)
		return len(p), nil
	}
	for rest := p; len(rest) > 0; {
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			k.line = appendKept(k.line, rest)
			break
		}
		k.line = appendKept(k.line, rest[:end])
		k.endLine()
		rest = rest[end:]
	}
	return len(p), nil
}

func (k *bodyKeeper) endLine() {
	switch {
	case k.line[0] == ':':
	case k.line[0] != '\n':
		k.event = appendKept(k.event, k.line)
	case len(k.event) > 0:
		k.kept = appendKept(appendKept(k.kept, k.event), k.line)
		k.event = k.event[:0]
	}
	k.line = k.line[:0]
}

func (k *bodyKeeper) String() string { return string(k.kept) + string(k.event) + string(k.line) }
