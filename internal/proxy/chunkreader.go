package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxChunkOverhead is the number of bytes between the chunks of a body that may exceed what its content explains: 16 for
	// each chunk and twice its size.
	maxChunkOverhead    = 16 << 10
	expectedPerChunk    = 16
	expectedPerByte     = 2
	lineEnd             = "\r\n"
	hexadecimal         = 16
	maxChunkSizeBits    = 63
	chunkExtensionStart = ';'
)

var (
	errChunkLine     = errors.New("proxy: malformed line between chunks")
	errChunkOverhead = errors.New("proxy: too much between chunks")
)

// chunkReader reads a body in chunks (RFC 9112, 7.1). Unlike the standard library's reader it returns what has arrived of a
// chunk without waiting for more. It returns io.EOF at the last chunk and reads no trailers.
type chunkReader struct {
	reader *bufio.Reader
	// left is the rest of the current chunk in bytes, and begun is set once there was one.
	left  int64
	begun bool
	// overhead is the number of bytes between the chunks so far beyond the expected ones.
	overhead int64
	err      error
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.left == 0 && c.err == nil {
		c.err = c.beginChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	c.err = unexpectedEOF(err)
	return n, c.err
}

// beginChunk reads what lies between the data of two chunks. It returns io.EOF if the next one is the last.
func (c *chunkReader) beginChunk() error {
	if c.begun {
		if line, err := c.readLine(); err != nil || len(line) > 0 {
			return errors.Join(err, errChunkLine)
		}
	}
	c.begun = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte{chunkExtensionStart})
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), hexadecimal, maxChunkSizeBits)
	if err != nil {
		return errChunkLine
	}
	c.left = int64(size)
	c.overhead = max(0, c.overhead+int64(len(line))-expectedPerChunk-expectedPerByte*min(c.left, maxChunkOverhead))
	switch {
	case c.overhead > maxChunkOverhead:
		return errChunkOverhead
	case size == 0:
		return io.EOF
	default:
		return nil
	}
}

// readLine returns a line without its end. The buffer limits its length.
func (c *chunkReader) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	text, whole := bytes.CutSuffix(line, []byte(lineEnd))
	if !whole {
		return nil, errChunkLine
	}
	return text, nil
}

// unexpectedEOF replaces io.EOF, which is not the end that the framing marks.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
