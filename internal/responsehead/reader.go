package responsehead

import (
	"bufio"
	"bytes"
	"fmt"
)

var errTooManyInterim = fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterim)

// Await waits until r begins with the whole head of a final response, which it leaves there, and checks it. It discards the
// interim responses before it, which are checked as well. It returns an error that wraps ErrMalformed as soon as a line shows that
// the bytes are no head, bufio.ErrBufferFull if a head is larger than the buffer of r, and otherwise the error of r.
func Await(r *bufio.Reader) error {
	for range maxInterim + 1 {
		h, size, err := awaitHead(r)
		if err != nil || !h.isInterim() {
			return err
		}
		if _, err := r.Discard(size); err != nil {
			return err
		}
	}
	return errTooManyInterim
}

// awaitHead waits for a head and returns it with its size in bytes.
func awaitHead(r *bufio.Reader) (h head, size int, err error) {
	for !h.complete {
		line, err := awaitLine(r, size)
		if err != nil {
			return h, size, err
		}
		if err := h.add(line); err != nil {
			return h, size, err
		}
		size += len(line)
	}
	return h, size, nil
}

// awaitLine waits for the end of the line at an offset in the buffer and returns the line.
func awaitLine(r *bufio.Reader, offset int) ([]byte, error) {
	searched := offset
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(buffered[searched:], '\n'); i >= 0 {
			return buffered[offset : searched+i+1], nil
		}
		if offset == 0 {
			if err := checkStart(buffered); err != nil {
				return nil, err
			}
		}
		searched = len(buffered)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}
