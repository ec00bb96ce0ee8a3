package proxy

import (
	"errors"

	"github.com/ebonydyke/ebonydyke/internal/responsehead"
)

// maxMethod is the maximum length of a request's method in bytes. The longest that is registered has 17.
const maxMethod = 32

// maxEmptyLines is the maximum number of bytes of empty lines before a request. Some callers send one after a body.
const maxEmptyLines = 256

// errNoRequest means that the bytes of a caller cannot begin a request.
var errNoRequest = errors.New("proxy: not a request")

// methodCheck checks the method of a request as its bytes arrive. The HTTP library checks a request line only once it is complete,
// and would wait for the rest of bytes that are none, such as a handshake of TLS.
type methodCheck struct {
	// checking is set until the method is complete. length is the number of its bytes, and empty that of the empty lines before it.
	checking      bool
	length, empty int
}

// begin starts the check of the next request. A pipelined one is not checked: the limits of its header hold.
func (m *methodCheck) begin(pipelined bool) { *m = methodCheck{checking: !pipelined} }

// check returns an error if the method cannot be one with the next bytes b.
func (m *methodCheck) check(b []byte) error {
	for _, c := range b {
		switch {
		case !m.checking:
			return nil
		case m.length == 0 && (c == '\r' || c == '\n'):
			m.empty++
			if m.empty > maxEmptyLines {
				return errNoRequest
			}
		case m.length > 0 && c == ' ':
			m.checking = false
		case m.length == maxMethod, !responsehead.IsTokenByte(c):
			return errNoRequest
		default:
			m.length++
		}
	}
	return nil
}
