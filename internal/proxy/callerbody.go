package proxy

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"
)

const (
	// noLength is the length that the HTTP library gives for a request that announces no body.
	noLength = -2
	// firstBodyBuffer is the size in bytes of the first buffer for a body that is larger. It doubles as the body arrives.
	firstBodyBuffer = 16 << 10
	// spareBodyBuffer is the space in bytes behind a body, so that the start of the next request is read together with its end.
	spareBodyBuffer = 512
	// headerAnnounced passes the announced length of a body from announceNoBody to readBody.
	headerAnnounced = fleetPrefix + "Announced-Length"
)

// errHeadEnd means that the HTTP library sees the end of a request's header elsewhere than the connection.
var errHeadEnd = errors.New("proxy: the end of the header is ambiguous")

// announceNoBody makes the HTTP library read no body with a header, because it would allocate the announced length at once.
// readBody reverts this.
func announceNoBody(h *fasthttp.RequestHeader) {
	h.Del(headerAnnounced)
	if length := h.ContentLength(); length != noLength {
		h.Set(headerAnnounced, strconv.Itoa(length))
		h.SetContentLength(noLength)
	}
}

// announcedLength returns the length that announceNoBody has taken from a header, and removes it.
func announcedLength(h *fasthttp.RequestHeader) int {
	defer h.Del(headerAnnounced)
	length, err := strconv.Atoi(string(h.Peek(headerAnnounced)))
	if err != nil {
		return noLength
	}
	return length
}

// readBody reads the body of a request whose header the HTTP library has read, and restores the length in its header. The
// memory that it takes is proportional to what has arrived, and counts in grant. A body that exceeds limit bytes is refused before
// it is read.
func (c *callerConn) readBody(req *fasthttp.Request, limit int, grant *bodyGrant) error {
	length := announcedLength(&req.Header)
	if !c.head.ended() {
		return errHeadEnd
	}
	var body []byte
	var err error
	switch {
	case length == noLength:
		return nil
	case length > limit:
		return fasthttp.ErrBodyTooLarge
	case length == chunkedLength:
		body, err = c.readChunks(limit, grant)
		if len(body) == 0 {
			length = 0
		}
	default:
		if err = grant.take(length); err == nil {
			body, err = c.readLength(length)
		}
	}
	if err != nil {
		return err
	}
	req.SetBodyRaw(body)
	req.Header.SetContentLength(length)
	return nil
}

// readLength reads a body of a known length.
func (c *callerConn) readLength(length int) ([]byte, error) {
	var body []byte
	for len(body) < length {
		if len(body) == cap(body) {
			body = growBody(body, length, spareBodyBuffer)
		}
		n, err := bodySource{c}.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && len(body) < length {
			return nil, unexpectedEOF(err)
		}
	}
	c.setReadAhead(slices.Concat(body[length:], c.readAhead))
	return body[:length:length], nil
}

// growBody returns body with a larger buffer. most is the maximum length of the body in bytes, and spare is added to it.
func growBody(body []byte, most, spare int) []byte {
	size := max(firstBodyBuffer, 2*cap(body))
	if size >= most {
		size = most + spare
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return larger
}

// readChunks reads a body in chunks. Its trailers are read and not kept.
func (c *callerConn) readChunks(limit int, grant *bodyGrant) (body []byte, err error) {
	in := c.server.chunkBuffers.acquire(bodySource{c}, c.server.options.MaxHeader)
	defer func() {
		rest, _ := in.Peek(in.Buffered())
		c.setReadAhead(slices.Concat(rest, c.readAhead))
		c.server.chunkBuffers.release(in)
	}()
	lines := chunkLines{reader: in}
	for {
		size, err := lines.readSize()
		switch {
		case err != nil:
			return nil, unexpectedEOF(err)
		case size == 0:
			// What trails the body is no field of the header: it would be passed on as one, in place of what the caller's
			// client or an intermediary has checked.
			var trailers fasthttp.RequestHeader
			return body, unexpectedEOF(trailers.ReadTrailer(in))
		case size > limit-len(body):
			return nil, fasthttp.ErrBodyTooLarge
		}
		body, err = appendBody(in, body, size, limit, grant)
		if err == nil {
			err = lines.readEnd()
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
}

// appendBody reads n bytes and appends them to body, which has at most most bytes in the end.
func appendBody(r io.Reader, body []byte, n, most int, grant *bodyGrant) ([]byte, error) {
	for left := n; left > 0; {
		if len(body) == cap(body) {
			larger := growBody(body, most, 0)
			if err := grant.take(cap(larger) - cap(body)); err != nil {
				return nil, err
			}
			body = larger
		}
		read, err := r.Read(body[len(body):min(cap(body), len(body)+left)])
		body = body[:len(body)+read]
		left -= read
		if left > 0 && err != nil {
			return nil, err
		}
	}
	return body, nil
}

// bodySource reads the bytes of a body from a caller's connection.
type bodySource struct{ conn *callerConn }

// Read implements io.Reader.
func (b bodySource) Read(p []byte) (int, error) {
	if len(b.conn.readAhead) > 0 {
		return b.conn.takeReadAhead(p), nil
	}
	return b.conn.readConn(p)
}

// readerPool holds buffered readers of one size that are not in use.
type readerPool struct{ free sync.Pool }

// acquire returns a reader of r with a buffer of size bytes.
func (p *readerPool) acquire(r io.Reader, size int) *bufio.Reader {
	if in, ok := p.free.Get().(*bufio.Reader); ok {
		in.Reset(r)
		return in
	}
	return bufio.NewReaderSize(r, size)
}

// release makes a reader available again.
func (p *readerPool) release(in *bufio.Reader) {
	in.Reset(nil)
	p.free.Put(in)
}

// chunkLines reads what lies between the data of two chunks of a request (RFC 9112, 7.1). It refuses whatever another reader
// may understand differently, so that no caller can hide a request behind another one.
type chunkLines struct {
	reader *bufio.Reader
	// overhead is the number of bytes between the chunks so far beyond the expected ones.
	overhead int
}

// maxSizeDigits is the maximum number of digits of a chunk's size, so that it fits into an int.
const maxSizeDigits = 15

// readSize reads the line before a chunk and returns the size of the chunk in bytes.
func (l *chunkLines) readSize() (int, error) {
	size := 0
	for digits := 0; ; digits++ {
		b, err := l.reader.ReadByte()
		if err != nil {
			return 0, err
		}
		digit, err := strconv.ParseUint(string(b), hexadecimal, 64)
		if err != nil && digits > 0 {
			return size, l.readExtension(b, size)
		}
		if err != nil || digits == maxSizeDigits {
			return 0, errChunkLine
		}
		size = size*hexadecimal + int(digit)
	}
}

// readExtension reads the rest of the line before a chunk of the given size. b is the first byte after the size.
func (l *chunkLines) readExtension(b byte, size int) error {
	length := 0
	for first := b; b != '\r'; length++ {
		// Spaces may end the line but not precede an extension.
		if blank := b == ' ' || b == '\t'; first != chunkExtensionStart && !blank || b == '\n' {
			return errChunkLine
		}
		if length == maxChunkOverhead {
			return errChunkOverhead
		}
		var err error
		if b, err = l.reader.ReadByte(); err != nil {
			return err
		}
	}
	if b, err := l.reader.ReadByte(); err != nil || b != '\n' {
		return errors.Join(err, errChunkLine)
	}
	l.overhead = max(0, l.overhead+length-expectedPerChunk-expectedPerByte*size)
	if l.overhead > maxChunkOverhead {
		return errChunkOverhead
	}
	return nil
}

// readEnd reads the end of line behind the data of a chunk.
func (l *chunkLines) readEnd() error {
	for _, want := range []byte(lineEnd) {
		if b, err := l.reader.ReadByte(); err != nil || b != want {
			return errors.Join(err, errChunkLine)
		}
	}
	return nil
}
