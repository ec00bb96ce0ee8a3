package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/responsehead"
)

// readHeader reads a response header and finds out which request it names.
func (c *call) readHeader(resp *fasthttp.Response) error {
	if err := awaitHead(c.reader); err != nil {
		return fmt.Errorf("proxy: read header: %w", c.readError(err))
	}
	if err := resp.ReadLimitBody(c.reader, 0); err != nil {
		return fmt.Errorf("proxy: read header: %w", c.readError(err))
	}
	c.origin.identity = identityOf(c.responseID(&resp.Header), c.id, c.origin.repeated)
	c.countResponse(c.origin.identity)
	return nil
}

// awaitHead waits for the head of a response and checks it. The HTTP library, which reads it next, repairs heads that are none.
func awaitHead(r *bufio.Reader) error {
	err := responsehead.Await(r)
	if errors.Is(err, responsehead.ErrMalformed) {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return err
}

// Read reads the response body. It returns io.EOF only at the end that the framing of
// the response marks, or at the close of the connection if unframedEnd allows that; any
// other end is an error.
func (c *call) Read(p []byte) (int, error) {
	if c.body == nil {
		return 0, io.EOF
	}
	if err := c.conn.SetReadDeadline(c.deadline); err != nil {
		return 0, fmt.Errorf("proxy: set deadline: %w", err)
	}
	c.watch.wait()
	n, err := c.body.Read(p)
	c.watch.pause()
	c.bodyBytes += int64(n)
	switch {
	case c.bodyBytes > c.maxBody:
		return n, errBodyTooLarge
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && c.hasFramedEnd():
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, c.endUnframed()
	default:
		return n, fmt.Errorf("proxy: read response: %w", c.readError(err))
	}
}

// endUnframed returns io.EOF if a response without a length or chunks is whole whose connection was closed in order.
func (c *call) endUnframed() error {
	if c.unframedEnd == nil {
		return errUnframed
	}
	err := c.unframedEnd()
	if errors.Is(err, io.EOF) && !c.conn.awaitDelivery(c.deadline) {
		return errUnframed
	}
	return err
}

// readError returns the error of a failed read of the response. One that the connection has not reported means that the
// bytes that arrived are no response.
func (c *call) readError(err error) error {
	if c.conn.failed() || errors.Is(err, errMalformed) {
		return err
	}
	return fmt.Errorf("%w: %s", errMalformed, err.Error())
}

// hasFramedEnd reports whether the end of the response can be told from a cut connection.
func (c *call) hasFramedEnd() bool { return c.length >= -1 }

// bodyFraming tells how the end of a response's body is marked.
type bodyFraming string

// The framings.
const (
	framedByLength bodyFraming = "length"
	framedByChunks bodyFraming = "chunks"
	framedByClose  bodyFraming = "close"
)

func (c *call) framing() bodyFraming {
	switch {
	case c.length >= 0:
		return framedByLength
	case c.hasFramedEnd():
		return framedByChunks
	default:
		return framedByClose
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// close ends the call. The connection is reused only if the response was read to the end
// that its framing marks and no bytes follow it.
func (c *call) close(whole bool) {
	c.watch.stop()
	if c.release == nil {
		return
	}
	conn := c.conn
	intact := c.detach()
	if !whole {
		conn.reset()
	}
	reuse := whole && intact && c.hasFramedEnd() && c.reader != nil && c.readChunksEnd(conn) &&
		c.resp != nil && !c.resp.ConnectionClose()
	if reuse && c.reader.Buffered() > 0 {
		c.pool.distrust(c.host.Addr, c.now())
	}
	reuse = reuse && c.pool.trusts(c.host.Addr, c.now())
	conn.idleSince = c.now()
	if c.reader != nil {
		c.host.ReleaseReader(c.reader)
	}
	c.release(reuse)
	c.release = nil
}

// readChunksEnd reads the empty line that follows the last chunk, and reports whether it was there. A connection with trailers
// is not reused: they bring nothing that is passed on, and may have no end.
func (c *call) readChunksEnd(conn *backendConn) bool {
	if c.length != chunkedLength || c.body == nil {
		return true
	}
	if err := conn.SetReadDeadline(time.Now().Add(framingEndTimeout)); err != nil {
		return false
	}
	return c.readLineEnd() && conn.SetReadDeadline(time.Time{}) == nil
}
