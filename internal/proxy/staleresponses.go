package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

// A connection may bring a stale response: a duplicate of the response to an earlier request, ahead of the one to the last request.

const (
	// maxSkipped limits the responses to other requests that are skipped while one is awaited: a server may send copies
	// without end.
	maxSkipped = 16
	// skipTimeout limits the time to read the rest of one, for which the own response waits.
	skipTimeout = time.Second
)

// readOwnHeader reads the response header. It skips responses to other requests, as far as their ends are marked.
func (c *call) readOwnHeader(resp *fasthttp.Response) error {
	for {
		if err := c.readHeader(resp); err != nil {
			return err
		}
		if !c.isStale() {
			return nil
		}
		c.pool.distrust(c.host.Addr, c.now())
		if c.origin.skipped == maxSkipped || !c.skipResponse(resp) {
			return nil
		}
		c.origin.skipped++
		c.watch.keepAlive()
	}
}

// isStale reports whether the response was sent before, to another request. One that names none is a report on the server if
// responses to requests name them and the connection has carried a process check.
func (c *call) isStale() bool {
	isReport := c.origin.identity == NamesNone && c.namesAll && c.conn.carried.processCheck
	return c.origin.identity == NamesOther || isReport
}

// skipResponse reads the body of a response to another request, and reports whether the next response follows it.
func (c *call) skipResponse(resp *fasthttp.Response) bool {
	if resp.ConnectionClose() {
		return false
	}
	if resp.StatusCode() == http.StatusNoContent || resp.StatusCode() == http.StatusNotModified {
		return true
	}
	head, certain := c.conn.carried.wasHead(c.responseID(&resp.Header))
	switch length := resp.Header.ContentLength(); {
	case certain && head, length == 0:
		return true
	case !certain, length < chunkedLength:
		return false
	default:
		return c.skipBody(length)
	}
}

// skipBody reads a body with a marked end, and reports whether it came to that in time.
func (c *call) skipBody(length int) bool {
	if err := c.conn.SetReadDeadline(earlier(time.Now().Add(skipTimeout), c.deadline)); err != nil {
		return false
	}
	// One byte more than the limit is read if the body is longer.
	_, err := io.CopyN(io.Discard, newBodyReader(c.reader, length), c.maxBody+1)
	if !errors.Is(err, io.EOF) || length == chunkedLength && !c.readLineEnd() {
		return false
	}
	return c.conn.SetReadDeadline(c.deadline) == nil
}

// readLineEnd reads the empty line that ends a body in chunks, and reports whether it was there.
func (c *call) readLineEnd() bool {
	line, err := c.reader.Peek(len(lineEnd))
	if err != nil || string(line) != lineEnd {
		return false
	}
	_, err = c.reader.Discard(len(lineEnd))
	return err == nil
}
