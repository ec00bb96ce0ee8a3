package responsehead

import (
	"bytes"
	"net"
	"sync/atomic"
)

// checkedConn is a connection of a client that checks the heads of responses while a library reads them. Once one is malformed, all
// reads return an error that wraps ErrMalformed.
type checkedConn struct {
	net.Conn
	// expected is set if the next bytes to arrive begin a response. Any goroutine may set it.
	expected atomic.Bool
	// response is the response whose head is being read, nil if none is.
	response *arrivingHeads
	// malformed is the error of a malformed head. The library may read on: to it, an error also ends a line.
	malformed error
}

// expect tells that a request is about to be sent, so that the next bytes to arrive begin its response.
func (c *checkedConn) expect() { c.expected.Store(true) }

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.Conn.Read(p)
	if c.malformed = c.check(p[:n]); c.malformed != nil {
		return 0, c.malformed
	}
	return n, err
}

// check checks the next bytes as far as they are heads.
func (c *checkedConn) check(p []byte) error {
	if len(p) > 0 && c.expected.CompareAndSwap(true, false) {
		c.response = &arrivingHeads{}
	}
	if c.response == nil {
		return nil
	}
	done, err := c.response.add(p)
	if done {
		c.response = nil
	}
	return err
}

// arrivingHeads are the heads of a response, the interim ones and the final one, as their bytes arrive. The zero value is a
// response of which none has.
type arrivingHeads struct {
	current head
	// interim is the number of interim responses.
	interim int
	// begun holds the bytes of a line whose end has not arrived.
	begun []byte
}

// add adds the next bytes of a response. It reports whether the final head is complete.
func (a *arrivingHeads) add(p []byte) (done bool, err error) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			return false, a.begin(p)
		}
		line := p[:i+1]
		p = p[i+1:]
		if len(a.begun) > 0 {
			line = append(a.begun, line...)
			a.begun = a.begun[:0]
		}
		if done, err := a.addLine(line); done || err != nil {
			return done, err
		}
	}
	return false, nil
}

// begin adds bytes of a line whose end has not arrived.
func (a *arrivingHeads) begin(p []byte) error {
	a.begun = append(a.begun, p...)
	if a.current.status == 0 {
		return checkStart(a.begun)
	}
	return nil
}

// addLine adds the next line, and reports whether it ends the final head.
func (a *arrivingHeads) addLine(line []byte) (done bool, err error) {
	if err := a.current.add(line); err != nil || !a.current.complete {
		return false, err
	}
	if !a.current.isInterim() {
		return true, nil
	}
	a.interim++
	if a.interim > maxInterim {
		return false, errTooManyInterim
	}
	a.current = head{}
	return false, nil
}
