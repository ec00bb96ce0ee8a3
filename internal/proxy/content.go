package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"github.com/valyala/fasthttp"
)

// contentHash returns a hash of what a backend server does with a request: its method, host,
// target and body. It is the same at every instance. It leaves out the other headers, because
// the request ID, the time left and the trace differ each time that a caller sends the same
// request.
//
// The hash is cryptographic, so that no caller can construct a request that is taken for
// another one.
func contentHash(req *fasthttp.Request, r *Request) uint64 {
	h := sha256.New()
	// The host and the target contain no newline, so the parts cannot run into each other.
	head := strings.Join([]string{string(req.Header.Method()), r.Arrived.Host, r.Target, ""}, "\n")
	_, _ = h.Write([]byte(head))
	_, _ = h.Write(req.Body())
	return binary.BigEndian.Uint64(h.Sum(nil))
}
