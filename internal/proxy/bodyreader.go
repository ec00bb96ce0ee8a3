package proxy

import (
	"bufio"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"
)

// chunkedLength is the length that the HTTP library gives for a body in chunks. A body that ends with its connection has a
// lower one.
const chunkedLength = -1

// newBodyReader returns a reader of the body that follows a response header, by the length of the header. It returns
// io.EOF at the end of the body: with its last byte if the header gives its length, and before the trailers if it is in
// chunks.
func newBodyReader(r *bufio.Reader, length int) io.Reader {
	switch {
	case length >= 0:
		return &lengthReader{reader: r, left: length}
	case length == chunkedLength:
		return &chunkReader{reader: r}
	default:
		return r
	}
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	reader io.Reader
	left   int
}

// Read returns io.EOF with the last byte, and io.ErrUnexpectedEOF if the connection ends before it.
func (b *lengthReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	if b.left == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}

// hasBody reports whether a body follows a response header (RFC 9110, 6.4.1).
func hasBody(req *fasthttp.Request, status int) bool {
	return !req.Header.IsHead() && status != http.StatusNoContent && status != http.StatusNotModified
}
